// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Forms groups of free VMs, and preempts smaller groups for larger ones.

#include "policy/domain_step.h"

#include <algorithm>

namespace waycove {

namespace {

/// Cost rank of loading \p Model: 0 if the VM has it loaded, 1 if its host has
/// the weights staged, else 2.
int loadRank(const TargetInfo &Vm, const std::string &Model) {
  if (Vm.hasLoaded(Model))
    return 0;
  return Vm.hasStaged(Model) ? 1 : 2;
}

/// Counts the VMs of \p Free that can serve \p Model without losing the weights
/// of another model.
std::size_t countCompatible(const std::vector<TargetRef> &Free,
                            const ModelSpec &Model) {
  return static_cast<std::size_t>(
      std::count_if(Free.begin(), Free.end(), [&](const TargetRef &Vm) {
        return Vm->hasLoaded(Model.Name) ||
               (Vm->Loaded.empty() &&
                (Vm->Staged.empty() || Vm->hasStaged(Model.Name)));
      }));
}

/// Counts the VMs of \p Free that have the weights of \p Model.
std::size_t countWarm(const std::vector<TargetRef> &Free,
                      const ModelSpec &Model) {
  return static_cast<std::size_t>(
      std::count_if(Free.begin(), Free.end(), [&](const TargetRef &Vm) {
        return loadRank(*Vm, Model.Name) < 2;
      }));
}

} // namespace

/// Forms groups of free VMs. If nothing serves yet and loads are not limited,
/// follows planGroupCounts() for all usable VMs. Otherwise forms one group at a
/// time, the one with the largest gain, since the planned groups may lack
/// weights while the weights present allow others. That is so where all heads
/// were lost at once, and VMs would be idle for as long as a load takes.
void DomainPlanner::formMissing(Step &S) {
  if (!S.anyServes() && !S.loadsBeforeForming()) {
    auto Usable = static_cast<std::size_t>(
        std::count_if(S.View.Targets.begin(), S.View.Targets.end(),
                      [&](const TargetRef &Vm) { return S.isUsable(*Vm); }));
    S.Wanted = planGroupCounts(S.Engine, Usable, S.View.DomainIndex);
    for (const ModelSpec *Model : modelsLargestFirst(S.Engine))
      while (S.isShort(*Model) && this->formGroup(S, *Model))
        ++S.OwnCounts[Model->Name];
    return;
  }
  while (const ModelSpec *Model = this->bestModelToForm(S)) {
    if (!this->formGroup(S, *Model))
      return;
    ++S.OwnCounts[Model->Name];
  }
}

/// Returns the model of which one more group of free VMs gains most, or null if
/// none can form. If closing a smaller group for a larger one is better, orders
/// that instead; nothing forms until it is done.
const ModelSpec *DomainPlanner::bestModelToForm(Step &S) {
  GroupCounts Now = S.ownGroups();
  GroupCounts BestCounts = Now;
  double BestGain = 0;
  const ModelSpec *Best = nullptr;
  for (const ModelSpec *Model : modelsLargestFirst(S.Engine)) {
    std::vector<TargetRef> Free = this->freeVmsFor(S, *Model);
    bool CanForm = Free.size() >= Model->GroupSize &&
                   (countWarm(Free, *Model) >= Model->GroupSize ||
                    !S.loadsBeforeForming());
    double Gain = S.gainOf(*Model, Now);
    bool ReplacesWeights = countCompatible(Free, *Model) < Model->GroupSize;
    if (!CanForm || Gain <= BestGain ||
        (ReplacesWeights && Gain < MinGain * S.lossOf(Now)))
      continue;
    BestGain = Gain;
    Best = Model;
    BestCounts = Now;
    ++BestCounts[Model->Name];
  }
  for (const ModelSpec *Model : modelsLargestFirst(S.Engine))
    if (this->preemptSmaller(S, *Model, BestCounts))
      return nullptr;
  return Best;
}

/// Free VMs that are not reserved for another model.
std::vector<TargetRef> DomainPlanner::freeVmsFor(const Step &S,
                                                 const ModelSpec &Model) const {
  std::vector<TargetRef> Free = S.freeVms();
  std::erase_if(Free, [&](const TargetRef &Vm) {
    return this->isReservedForOther(*Vm, Model);
  });
  return Free;
}

/// Key of a new group, with an epoch above all used or seen ones.
GroupKey DomainPlanner::nextGroupKey(const Step &S, const ModelSpec &Model) {
  std::uint64_t Seen = S.View.EpochFloor;
  for (const TargetRef &Vm : S.View.Targets)
    if (Vm->Group)
      Seen = std::max(Seen, Vm->Group->Group.Epoch);
  this->LastEpoch = std::max(this->LastEpoch, Seen) + 1;
  return {groupName(Model.Name, S.View.Domain, this->LastEpoch),
          this->LastEpoch};
}

/// Forms a group of \p Model from free VMs; false if there are not enough.
bool DomainPlanner::formGroup(Step &S, const ModelSpec &Model) {
  std::vector<TargetRef> Free = this->freeVmsFor(S, Model);
  std::size_t Warm = countWarm(Free, Model);
  if (Free.size() < Model.GroupSize)
    return false;
  if (Warm < Model.GroupSize && S.loadsBeforeForming())
    return false;
  std::stable_sort(Free.begin(), Free.end(),
                   [&](const TargetRef &Left, const TargetRef &Right) {
                     return loadRank(*Left, Model.Name) <
                            loadRank(*Right, Model.Name);
                   });
  Free.resize(Model.GroupSize);
  auto Cold = static_cast<unsigned>(Free.size() - countWarm(Free, Model));
  this->orderJoins(S, Model, Free, Cold);
  return true;
}

/// Orders \p Members to join a new group; \p Cold of them load from the shared
/// store.
void DomainPlanner::orderJoins(Step &S, const ModelSpec &Model,
                               const std::vector<TargetRef> &Members,
                               unsigned Cold) {
  GroupKey Key = this->nextGroupKey(S, Model);
  FormingGroup Forming{
      Model.Name,
      {},
      S.View.Now,
      formTimeout(Cold ? Model.LoadTime : Model.StagedLoadTime)};
  std::vector<VmId> Ids;
  for (const TargetRef &Vm : Members) {
    Forming.Members.push_back(Vm->incarnation());
    Ids.push_back(Vm->Id);
  }
  for (const TargetRef &Vm : Members) {
    S.Busy.insert(Vm->incarnation());
    S.Orders.push_back({OrderKind::Join, Vm, Key, Model.Name, Ids,
                        Cold ? "form, with loads" : "form"});
  }
  this->FormingGroups.emplace(Key, std::move(Forming));
}

/// Closes a group of a smaller model if its VMs and free warm ones form a group
/// of \p Model without loading weights, and the loss is then lower by MinGain
/// than with the groups \p Alternative. True if a group was closed or is still
/// closing.
bool DomainPlanner::preemptSmaller(Step &S, const ModelSpec &Model,
                                   const GroupCounts &Alternative) {
  std::size_t Warm = countWarm(this->freeVmsFor(S, Model), Model);
  if (Warm >= Model.GroupSize)
    return false;
  const std::pair<const GroupKey, AnnouncedGroup> *Best = nullptr;
  for (const auto &Entry : S.Groups) {
    const auto &[Key, Group] = Entry;
    const ModelSpec *Other = S.Engine.model(modelOf(Key.Name));
    if (!Group.Head || !Other || Other->GroupSize >= Model.GroupSize ||
        this->LeftGroups.contains(Key))
      continue;
    auto WarmMembers = static_cast<std::size_t>(std::count_if(
        Group.Ranks.begin(), Group.Ranks.end(), [&](const auto &Member) {
          return S.isUsable(*Member.second) &&
                 Member.second->hasStaged(Model.Name);
        }));
    if (Warm + WarmMembers < Model.GroupSize)
      continue;
    MemberState State = Group.Head->Group->State;
    if (State == MemberState::Closing && this->AbandonedGroups.contains(Key))
      return true;
    GroupCounts After = S.ownGroups();
    ++After[Model.Name];
    --After[Other->Name];
    if (State == MemberState::Open && !Best &&
        S.lossAfterTrades(After) <
            (1 - MinGain) * S.lossAfterTrades(Alternative))
      Best = &Entry;
  }
  if (!Best)
    return false;
  const auto &[Key, Group] = *Best;
  this->AbandonedGroups.insert(Key);
  this->addOrder(S, OrderKind::Close, Group.Head, Key,
                 "its VMs are needed for " + Model.Name);
  return true;
}

} // namespace waycove
