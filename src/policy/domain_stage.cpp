// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Staging weights on hosts: what a group lacks before it forms, and ahead of
// need, so that repairs do not wait for the shared store.

#include "policy/domain_step.h"

#include <algorithm>
#include <limits>

namespace waycove {

namespace {

/// Staging is given again where it did not show after this.
constexpr int StageTimeFactor = 3;
/// Hosts of one domain that are staged beside their work at the same time: what
/// they load does not show in the registry, so turns do not count it.
constexpr int StagingsAtOnce = 1;
/// Turns alone bound the loads of VMs that rest. One at a time in each domain
/// was slower than two new VMs came in three seconds: eight of 162 rested
/// empty.
constexpr int MissingLoadsAtOnce = std::numeric_limits<int>::max();
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
std::vector<const DomainPlanner::AnnouncedGroup *>
DomainPlanner::donorsFor(const Step &S, const ModelSpec &Large,
                         std::size_t Free) {
  std::size_t Wanted = Free >= FewReserves ? DonorsBesideReserves : DonorsAlone;
  std::vector<const AnnouncedGroup *> Donors;
  for (const auto &[Key, Group] : S.Groups) {
    const ModelSpec *Model = S.Engine.model(modelOf(Key.Name));
    if (Donors.size() < Wanted && Model && Model->GroupSize < Large.GroupSize &&
        Group.Head && Group.Head->Group->State == MemberState::Open)
      Donors.push_back(&Group);
  }
  return Donors;
}

/// The VMs that load weights in a group of their own, as far as they are
/// listed.
std::vector<TargetRef> DomainPlanner::loadingVms(const Step &S) const {
  std::vector<TargetRef> Rows;
  for (const auto &[Key, Row] : this->WarmUps) {
    auto At = std::find_if(S.View.Targets.begin(), S.View.Targets.end(),
                           [&, Life = Row.Vm](const TargetRef &Vm) {
                             return Vm->incarnation() == Life;
                           });
    if (At != S.View.Targets.end() && S.isUsable(**At))
      Rows.push_back(*At);
  }
  return Rows;
}

/// How far \p Vm is from a group of \p Model: 0 where it has the weights or
/// loads them, 1 with none, 2 with others; nothing where it loads others.
std::optional<int> DomainPlanner::loadRankOf(const TargetInfo &Vm,
                                             const ModelSpec &Model) const {
  if (this->isReservedForOther(Vm, Model))
    return std::nullopt;
  for (const auto &[Key, Row] : this->WarmUps)
    if (Row.Vm == Vm.incarnation())
      return modelOf(Key.Name) == Model.Name ? std::optional(0) : std::nullopt;
  if (Vm.hasStaged(Model.Name) || Vm.hasLoaded(Model.Name))
    return 0;
  return Vm.Staged.empty() && Vm.Loaded.empty() ? 1 : 2;
}

/// The group of \p Vms to load weights for next: of which callers win most for
/// the time that its loads take together. Its VMs with the weights come first,
/// then those without any. Empty members where none fits.
DomainPlanner::LoadPlan
DomainPlanner::bestLoadPlan(const Step &S, const GroupCounts &Now,
                            const std::vector<TargetRef> &Vms) const {
  LoadPlan Best;
  double BestRate = 0;
  for (const ModelSpec *Model : modelsLargestFirst(S.Engine)) {
    std::vector<std::pair<int, TargetRef>> Ranked;
    for (const TargetRef &Row : Vms)
      if (std::optional<int> Rank = this->loadRankOf(*Row, *Model))
        Ranked.emplace_back(*Rank, Row);
    if (Ranked.size() < Model->GroupSize)
      continue;
    std::stable_sort(Ranked.begin(), Ranked.end(),
                     [](const auto &Left, const auto &Right) {
                       return Left.first < Right.first;
                     });
    Ranked.resize(Model->GroupSize);
    auto Lacks =
        std::count_if(Ranked.begin(), Ranked.end(),
                      [](const auto &Entry) { return Entry.first > 0; });
    double Seconds = std::chrono::duration<double>(Model->LoadTime * Lacks +
                                                   Model->StagedLoadTime)
                         .count();
    double Rate = S.gainOf(*Model, Now) / Seconds;
    if (Rate <= BestRate)
      continue;
    BestRate = Rate;
    Best = {Model, {}};
    for (const auto &[Rank, Row] : Ranked)
      Best.Members.push_back(Row);
  }
  return Best;
}

/// Loads what groups lack onto hosts that rest: where a domain came back from
/// an outage, got new VMs or lost some, enough of them may be free for a group,
/// with the weights of another model or none.
void DomainPlanner::stageMissing(Step &S) {
  if (S.Engine.ModelsStagedPerHost == 0)
    return;
  std::vector<TargetRef> Vms = S.freeVms();
  std::vector<TargetRef> Loading = this->loadingVms(S);
  Vms.insert(Vms.end(), Loading.begin(), Loading.end());
  GroupCounts Groups = S.ownGroups();
  while (true) {
    LoadPlan Plan = this->bestLoadPlan(S, Groups, Vms);
    if (!Plan.Model)
      return;
    ++Groups[Plan.Model->Name];
    for (const TargetRef &Row : Plan.Members) {
      std::erase(Vms, Row);
      bool Comes =
          std::find(Loading.begin(), Loading.end(), Row) != Loading.end();
      if (!Comes && !Row->hasLoaded(Plan.Model->Name))
        this->stageModel(S, Row, *Plan.Model, MissingLoadsAtOnce);
    }
  }
}

/// Stages models on hosts ahead of need. The hosts of some groups of smaller
/// models hold the largest besides: its repair takes them. Free VMs are the
/// reserve of the smaller models then, and else of the largest.
void DomainPlanner::stageSpares(Step &S) {
  std::vector<const ModelSpec *> Models = modelsLargestFirst(S.Engine);
  if (S.Engine.ModelsStagedPerHost == 0 || Models.empty())
    return;
  std::vector<TargetRef> Free = S.freeVms();
  const ModelSpec &Large = *Models.front();
  const ModelSpec &Small = *Models.back();
  std::vector<const AnnouncedGroup *> Donors = donorsFor(S, Large, Free.size());
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
    this->stageModel(S, Row, Next, MissingLoadsAtOnce);
  }
  for (const AnnouncedGroup *Donor : Donors)
    for (const auto &[Rank, Vm] : Donor->Ranks)
      this->stageModel(S, Vm, Large, StagingsAtOnce);
}

/// Loads from the shared store that were ordered and that the registry may not
/// show yet, so that scheduleLoads() counts them once more.
unsigned DomainPlanner::unseenLoads(const Step &S) const {
  auto Unseen = [&](TimePoint Since) {
    return Since != TimePoint() && S.View.Now - Since < OrderVisibilityTimeout;
  };
  auto Alone = std::count_if(
      this->WarmUps.begin(), this->WarmUps.end(), [&](const auto &Entry) {
        return Entry.second.Cold && Unseen(Entry.second.Since) &&
               !S.Groups.contains(Entry.first);
      });
  auto Staged = std::count_if(
      this->StagingOrderedAt.begin(), this->StagingOrderedAt.end(),
      [&](const auto &Entry) { return Unseen(Entry.second); });
  return static_cast<unsigned>(Alone + Staged);
}

/// Loads of this domain that run, for all that was ordered.
int DomainPlanner::runningLoads(const Step &S) const {
  auto Runs = [&](const std::string &Name, TimePoint Since) {
    const ModelSpec *Model = S.Engine.model(Name);
    return Model && Since != TimePoint() &&
           S.View.Now - Since < Model->LoadTime;
  };
  auto Staged =
      std::count_if(this->StagingOrderedAt.begin(),
                    this->StagingOrderedAt.end(), [&](const auto &Entry) {
                      return Runs(Entry.first.second, Entry.second);
                    });
  auto Alone = std::count_if(
      this->WarmUps.begin(), this->WarmUps.end(), [&](const auto &Entry) {
        return Entry.second.Cold &&
               Runs(modelOf(Entry.first.Name), Entry.second.Since);
      });
  return static_cast<int>(Staged + Alone);
}

/// Whether a load may begin, and counts it: in its turn, and so that \p AtOnce
/// run in the domain.
bool DomainPlanner::tryStartLoad(Step &S, int AtOnce) {
  if (S.View.LoadsAllowed >= UnlimitedLoads)
    return true;
  if (S.RemainingLoads == 0 || this->runningLoads(S) >= AtOnce)
    return false;
  --S.RemainingLoads;
  return true;
}

/// Has the host load the weights unless that is done, under way, or may not
/// begin yet. A VM that is in no group joins one of its own for that, which
/// shows all owners that it loads; the host of a member is staged beside it.
void DomainPlanner::stageModel(Step &S, const TargetRef &Vm,
                               const ModelSpec &Model, int AtOnce) {
  if (!S.isUsable(*Vm) || Vm->hasStaged(Model.Name))
    return;
  TimePoint &At = this->StagingOrderedAt[{Vm->incarnation(), Model.Name}];
  if (At != TimePoint() && S.View.Now - At < Model.LoadTime * StageTimeFactor)
    return;
  if (!this->tryStartLoad(S, AtOnce))
    return;
  if (!Vm->Group) {
    this->joinLoadGroup(S, Vm, Model, "it loads its weights");
    return;
  }
  At = S.View.Now;
  GroupOrder Order;
  Order.Kind = OrderKind::Stage;
  Order.To = Vm;
  Order.Model = Model.Name;
  Order.Reason = "a reserve for repairs";
  S.Orders.push_back(std::move(Order));
}

} // namespace waycove
