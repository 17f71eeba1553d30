// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Staging weights on hosts: what a group lacks before it forms, and ahead of
// need, so that repairs do not wait for the shared store.

#include "policy/domain_step.h"

#include <algorithm>

namespace waycove {

namespace {

/// Staging is given again where it did not show after this.
constexpr int StageTimeFactor = 3;
/// Hosts of one domain that are staged at the same time: the store slows down
/// where more than a few load.
constexpr int StagingsAtOnce = 1;
/// The same where hosts rest that would make a group with other weights.
constexpr int MissingStagingsAtOnce = 4;
/// Groups of smaller models whose hosts hold the largest model besides, in a
/// domain with at least so many free VMs, and in one without. Tried: two
/// everywhere left the smaller model short where domains have free VMs, one
/// everywhere the larger one where they have none.
constexpr std::size_t FewReserves = 2;
constexpr std::size_t DonorsBesideReserves = 1;
constexpr std::size_t DonorsAlone = 2;

} // namespace

/// The groups of smaller models whose hosts are to hold \p Large besides,
/// where \p Free VMs are free.
std::vector<const DomainPlanner::Announced *>
DomainPlanner::donorsFor(const Step &S, const ModelSpec &Large,
                         std::size_t Free) {
  std::size_t Wanted = Free >= FewReserves ? DonorsBesideReserves : DonorsAlone;
  std::vector<const Announced *> Donors;
  for (const auto &[Key, Group] : S.Groups) {
    const ModelSpec *Model = S.Engine.model(modelOf(Key.Name));
    if (Donors.size() < Wanted && Model && Model->GroupSize < Large.GroupSize &&
        Group.Head && Group.Head->Group->State == MemberState::Open)
      Donors.push_back(&Group);
  }
  return Donors;
}

/// The group of free VMs to load weights for next: of which callers win most
/// for the time that its loads take together. Its VMs with the weights come
/// first, then those without any. Empty members where none fits.
DomainPlanner::LoadPlan DomainPlanner::bestLoads(const Step &S,
                                                 const GroupCounts &Now,
                                                 std::vector<TargetRef> Free) {
  LoadPlan Best;
  double BestRate = 0;
  for (const ModelSpec *Model : largestFirst(S.Engine)) {
    if (Free.size() < Model->GroupSize)
      continue;
    auto Rank = [&](const TargetRef &Row) {
      if (Row->hasStaged(Model->Name) || Row->hasLoaded(Model->Name))
        return 0;
      return Row->Staged.empty() && Row->Loaded.empty() ? 1 : 2;
    };
    std::stable_sort(Free.begin(), Free.end(),
                     [&](const TargetRef &Left, const TargetRef &Right) {
                       return Rank(Left) < Rank(Right);
                     });
    auto End = Free.begin() + Model->GroupSize;
    auto Lacks = std::count_if(
        Free.begin(), End, [&](const TargetRef &Row) { return Rank(Row) > 0; });
    GroupCounts After = Now;
    ++After[Model->Name];
    double Seconds = std::chrono::duration<double>(Model->LoadTime * Lacks +
                                                   Model->StagedLoadTime)
                         .count();
    double Rate = (S.lossOf(Now) - S.lossOf(After)) / Seconds;
    if (Rate <= BestRate)
      continue;
    BestRate = Rate;
    Best = {Model, {Free.begin(), End}};
  }
  return Best;
}

/// Stages what groups lack on hosts that rest: where a domain came back from an
/// outage, got new VMs or lost some, enough of them may be free for a group,
/// with the weights of another model or none.
void DomainPlanner::stageMissing(Step &S) {
  if (S.Engine.ModelsStagedPerHost == 0)
    return;
  std::vector<TargetRef> Free = S.freeVms();
  GroupCounts Groups = S.own();
  while (true) {
    LoadPlan Plan = bestLoads(S, Groups, Free);
    if (!Plan.Model)
      return;
    ++Groups[Plan.Model->Name];
    for (const TargetRef &Row : Plan.Members) {
      std::erase(Free, Row);
      if (!Row->hasLoaded(Plan.Model->Name))
        this->stage(S, Row, *Plan.Model, MissingStagingsAtOnce);
    }
  }
}

/// Stages models on hosts ahead of need. The hosts of some groups of smaller
/// models hold the largest besides: its repair takes them. Free VMs are the
/// reserve of the smaller models then, and else of the largest.
void DomainPlanner::stageSpares(Step &S) {
  std::vector<const ModelSpec *> Models = largestFirst(S.Engine);
  if (S.Engine.ModelsStagedPerHost == 0 || Models.empty())
    return;
  std::vector<TargetRef> Free = S.freeVms();
  const ModelSpec &Large = *Models.front();
  const ModelSpec &Small = *Models.back();
  std::vector<const Announced *> Donors = donorsFor(S, Large, Free.size());
  std::map<std::string, int> Reserves;
  for (const TargetRef &Row : Free)
    for (const ModelSpec *Model : Models)
      Reserves[Model->Name] += Row->hasStaged(Model->Name) ? 1 : 0;
  for (const TargetRef &Row : Free) {
    bool Any =
        std::any_of(Models.begin(), Models.end(), [&](const ModelSpec *Model) {
          return Row->hasStaged(Model->Name);
        });
    if (Any)
      continue;
    bool ForSmall = !Donors.empty()
                        ? Reserves[Small.Name] <= Reserves[Large.Name]
                        : Reserves[Small.Name] < Reserves[Large.Name];
    const ModelSpec &Next = ForSmall ? Small : Large;
    ++Reserves[Next.Name];
    this->stage(S, Row, Next, StagingsAtOnce);
  }
  for (const Announced *Donor : Donors)
    for (const auto &[Rank, Vm] : Donor->Ranks)
      this->stage(S, Vm, Large, StagingsAtOnce);
}

/// Whether a load may begin on \p Vm, and counts it: in its turn where it holds
/// no weights, else within what is left of the budget, and so that \p AtOnce
/// run in the domain.
bool DomainPlanner::takeLoad(Step &S, const VmId &Vm, int AtOnce) {
  if (S.View.LoadTurns.contains(Vm)) {
    if (S.TurnsLeft == 0)
      return false;
    --S.TurnsLeft;
    return true;
  }
  bool Free = S.View.LoadsAllowed >= FreeLoads;
  auto UnderWay = std::count_if(
      this->Staging.begin(), this->Staging.end(), [&](const auto &Entry) {
        const ModelSpec *Model = S.Engine.model(Entry.first.second);
        return Model && Entry.second != TimePoint() &&
               S.View.Now - Entry.second < Model->LoadTime;
      });
  if (S.LoadsLeft == 0 || (!Free && UnderWay >= AtOnce))
    return false;
  --S.LoadsLeft;
  return true;
}

/// Orders the staging unless it is done, under way, or may not begin yet.
void DomainPlanner::stage(Step &S, const TargetRef &Vm, const ModelSpec &Model,
                          int AtOnce) {
  if (!S.isUsable(*Vm) || Vm->hasStaged(Model.Name))
    return;
  TimePoint &At = this->Staging[{Vm->Id, Model.Name}];
  if (At != TimePoint() && S.View.Now - At < Model.LoadTime * StageTimeFactor)
    return;
  if (!this->takeLoad(S, Vm->Id, AtOnce))
    return;
  At = S.View.Now;
  GroupOrder Order;
  Order.Kind = OrderKind::Stage;
  Order.To = Vm;
  Order.Model = Model.Name;
  Order.Reason = "a reserve for repairs";
  S.Orders.push_back(std::move(Order));
}

} // namespace waycove
