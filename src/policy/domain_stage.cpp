// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Staging of weights on hosts: those that a group lacks before it forms, and
// spares, so that repairs do not wait for the shared store.

#include "policy/domain_step.h"

#include <algorithm>
#include <limits>

namespace waycove {

namespace {

/// Staging is ordered again if it has not shown after this many load times.
constexpr int StagingRetryFactor = 3;
/// Maximum concurrent stagings per domain on hosts of serving VMs. The registry
/// does not show these loads, so scheduleLoads() cannot count them.
constexpr int MaxConcurrentStagings = 1;
/// Loads of idle VMs are limited by scheduleLoads() alone: with one at a time
/// in each domain, new VMs can come faster than they are staged.
constexpr int NoConcurrencyLimit = std::numeric_limits<int>::max();
/// Number of groups of smaller models (donors) whose hosts also stage the
/// largest model: DonorsBesideReserves in a domain with at least MinReserves
/// free VMs, else DonorsAlone.
constexpr std::size_t MinReserves = 2;
constexpr std::size_t DonorsBesideReserves = 1;
constexpr std::size_t DonorsAlone = 2;

} // namespace

/// The groups of smaller models whose hosts also stage \p Large, given \p Free
/// free VMs.
std::vector<const DomainPlanner::AnnouncedGroup *>
DomainPlanner::donorsFor(const Step &S, const ModelSpec &Large,
                         std::size_t Free) {
  std::size_t Wanted = Free >= MinReserves ? DonorsBesideReserves : DonorsAlone;
  std::vector<const AnnouncedGroup *> Donors;
  for (const auto &[Key, Group] : S.Groups) {
    const ModelSpec *Model = S.Engine.model(modelOf(Key.Name));
    if (Donors.size() < Wanted && Model && Model->GroupSize < Large.GroupSize &&
        Group.Head && Group.Head->Group->State == MemberState::Open)
      Donors.push_back(&Group);
  }
  return Donors;
}

/// The usable listed VMs that load weights in a load group.
std::vector<TargetRef> DomainPlanner::loadingVms(const Step &S) const {
  std::vector<TargetRef> Loading;
  for (const auto &[Key, Load] : this->WarmUps) {
    auto At = std::find_if(S.View.Targets.begin(), S.View.Targets.end(),
                           [&, Incarnation = Load.Vm](const TargetRef &Vm) {
                             return Vm->incarnation() == Incarnation;
                           });
    if (At != S.View.Targets.end() && S.isUsable(**At))
      Loading.push_back(*At);
  }
  return Loading;
}

/// Rank of \p Vm as a member of a group of \p Model: 0 if it has or loads the
/// weights, 1 if it has no weights, 2 if it has others. Nothing if it loads or
/// is reserved for another model.
std::optional<int> DomainPlanner::loadRankOf(const TargetInfo &Vm,
                                             const ModelSpec &Model) const {
  if (this->isReservedForOther(Vm, Model))
    return std::nullopt;
  for (const auto &[Key, Load] : this->WarmUps)
    if (Load.Vm == Vm.incarnation())
      return modelOf(Key.Name) == Model.Name ? std::optional(0) : std::nullopt;
  if (Vm.hasStaged(Model.Name) || Vm.hasLoaded(Model.Name))
    return 0;
  return Vm.Staged.empty() && Vm.Loaded.empty() ? 1 : 2;
}

/// Returns the group of \p Vms with the largest gain per load time. VMs that
/// have the weights come first, then those without any. No members if no group
/// is possible.
DomainPlanner::LoadPlan
DomainPlanner::bestLoadPlan(const Step &S, const GroupCounts &Now,
                            const std::vector<TargetRef> &Vms) const {
  LoadPlan Best;
  double BestRate = 0;
  for (const ModelSpec *Model : modelsLargestFirst(S.Engine)) {
    std::vector<std::pair<int, TargetRef>> Ranked;
    for (const TargetRef &Vm : Vms)
      if (std::optional<int> Rank = this->loadRankOf(*Vm, *Model))
        Ranked.emplace_back(*Rank, Vm);
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
    for (const auto &[Rank, Vm] : Ranked)
      Best.Members.push_back(Vm);
  }
  return Best;
}

/// Loads missing weights onto hosts of free VMs. After an outage or an exchange
/// of VMs, a domain may have enough free VMs for a group, but with the weights
/// of another model or none.
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
    for (const TargetRef &Vm : Plan.Members) {
      std::erase(Vms, Vm);
      bool IsLoading =
          std::find(Loading.begin(), Loading.end(), Vm) != Loading.end();
      if (!IsLoading && !Vm->hasLoaded(Plan.Model->Name))
        this->stageModel(S, Vm, *Plan.Model, NoConcurrencyLimit);
    }
  }
}

/// Stages spare weights. The hosts of donor groups also get the largest model,
/// so that its repairs can use them. Free VMs become reserves of the smallest
/// and the largest model in equal numbers; ties go to the smallest if there are
/// donors, else to the largest.
void DomainPlanner::stageSpares(Step &S) {
  std::vector<const ModelSpec *> Models = modelsLargestFirst(S.Engine);
  if (S.Engine.ModelsStagedPerHost == 0 || Models.empty())
    return;
  std::vector<TargetRef> Free = S.freeVms();
  const ModelSpec &Large = *Models.front();
  const ModelSpec &Small = *Models.back();
  std::vector<const AnnouncedGroup *> Donors = donorsFor(S, Large, Free.size());
  std::map<std::string, int> Reserves;
  for (const TargetRef &Vm : Free)
    for (const ModelSpec *Model : Models)
      Reserves[Model->Name] += Vm->hasStaged(Model->Name) ? 1 : 0;
  for (const TargetRef &Vm : Free) {
    bool Any =
        std::any_of(Models.begin(), Models.end(), [&](const ModelSpec *Model) {
          return Vm->hasStaged(Model->Name);
        });
    if (Any)
      continue;
    bool ForSmall = !Donors.empty()
                        ? Reserves[Small.Name] <= Reserves[Large.Name]
                        : Reserves[Small.Name] < Reserves[Large.Name];
    const ModelSpec &Next = ForSmall ? Small : Large;
    ++Reserves[Next.Name];
    this->stageModel(S, Vm, Next, NoConcurrencyLimit);
  }
  for (const AnnouncedGroup *Donor : Donors)
    for (const auto &[Rank, Vm] : Donor->Ranks)
      this->stageModel(S, Vm, Large, MaxConcurrentStagings);
}

/// Ordered loads from the shared store that the registry may not show yet, and
/// that scheduleLoads() therefore does not count.
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

/// Estimated number of running loads in this domain.
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

/// Consumes one of the remaining loads; false if there is none, or if the
/// domain already runs \p MaxConcurrent loads.
bool DomainPlanner::tryStartLoad(Step &S, int MaxConcurrent) {
  if (S.View.LoadsAllowed >= UnlimitedLoads)
    return true;
  if (S.RemainingLoads == 0 || this->runningLoads(S) >= MaxConcurrent)
    return false;
  --S.RemainingLoads;
  return true;
}

/// Loads \p Model onto the host of \p Vm unless that is done, under way or not
/// allowed yet. A VM without a group joins a load group, which makes the load
/// visible to all owners; the host of a member is staged while the VM serves.
void DomainPlanner::stageModel(Step &S, const TargetRef &Vm,
                               const ModelSpec &Model, int MaxConcurrent) {
  if (!S.isUsable(*Vm) || Vm->hasStaged(Model.Name))
    return;
  TimePoint &At = this->StagingOrderedAt[{Vm->incarnation(), Model.Name}];
  if (At != TimePoint() &&
      S.View.Now - At < Model.LoadTime * StagingRetryFactor)
    return;
  if (!this->tryStartLoad(S, MaxConcurrent))
    return;
  if (!Vm->Group) {
    this->joinLoadGroup(S, Vm, Model, "loading missing weights");
    return;
  }
  At = S.View.Now;
  GroupOrder Order;
  Order.Kind = OrderKind::Stage;
  Order.To = Vm;
  Order.Model = Model.Name;
  Order.Reason = "staging a reserve for repairs";
  S.Orders.push_back(std::move(Order));
}

} // namespace waycove
