// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Forming groups of VMs that are free, and freeing VMs for the models that are
// short of groups.

#include "policy/domain_step.h"

#include <algorithm>

namespace waycove {

namespace {

/// 0 is best: the VM ran the model last, then its host has the weights.
int loadRank(const TargetInfo &Row, const std::string &Model) {
  if (Row.hasLoaded(Model))
    return 0;
  return Row.hasStaged(Model) ? 1 : 2;
}

/// Of \p Free, those that form a group of \p Model without losing weights of
/// another one.
std::size_t countOwn(const std::vector<TargetRef> &Free,
                     const ModelSpec &Model) {
  return static_cast<std::size_t>(
      std::count_if(Free.begin(), Free.end(), [&](const TargetRef &Row) {
        return Row->hasLoaded(Model.Name) ||
               (Row->Loaded.empty() &&
                (Row->Staged.empty() || Row->hasStaged(Model.Name)));
      }));
}

std::size_t countWarm(const std::vector<TargetRef> &Free,
                      const ModelSpec &Model) {
  return static_cast<std::size_t>(
      std::count_if(Free.begin(), Free.end(), [&](const TargetRef &Row) {
        return loadRank(*Row, Model.Name) < 2;
      }));
}

} // namespace

/// Forms groups of the VMs that are free. Where nothing serves yet and weights
/// load freely, as the plan for all VMs says; else one after the other, each
/// time the one with which callers win most. Where all heads were lost at once,
/// the plan's groups may lack weights that take 12 s and more to load, while
/// those that are there make others: ten VMs rested for eight seconds so.
void DomainPlanner::formMissing(Step &S) {
  if (!S.anyServes() && !S.loadsBeforeForming()) {
    auto Usable = static_cast<std::size_t>(
        std::count_if(S.View.Targets.begin(), S.View.Targets.end(),
                      [&](const TargetRef &Row) { return S.isUsable(*Row); }));
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

/// The model of which one more group, of free VMs, serves callers best; null
/// where none can form. Where it is better to close a smaller group for a
/// larger one, that is done first, and nothing forms meanwhile.
const ModelSpec *DomainPlanner::bestModelToForm(Step &S) {
  GroupCounts Now = S.ownGroups();
  GroupCounts BestCounts = Now;
  double Most = 0;
  const ModelSpec *Best = nullptr;
  for (const ModelSpec *Model : modelsLargestFirst(S.Engine)) {
    std::vector<TargetRef> Free = this->freeVmsFor(S, *Model);
    bool Forms = Free.size() >= Model->GroupSize &&
                 (countWarm(Free, *Model) >= Model->GroupSize ||
                  !S.loadsBeforeForming());
    double Gain = S.gainOf(*Model, Now);
    bool Converts = countOwn(Free, *Model) < Model->GroupSize;
    if (!Forms || Gain <= Most || (Converts && Gain < MinGain * S.lossOf(Now)))
      continue;
    Most = Gain;
    Best = Model;
    BestCounts = Now;
    ++BestCounts[Model->Name];
  }
  for (const ModelSpec *Model : modelsLargestFirst(S.Engine))
    if (this->preemptSmaller(S, *Model, BestCounts))
      return nullptr;
  return Best;
}

/// Free VMs but for those that are to load another model.
std::vector<TargetRef> DomainPlanner::freeVmsFor(const Step &S,
                                                 const ModelSpec &Model) const {
  std::vector<TargetRef> Free = S.freeVms();
  std::erase_if(Free, [&](const TargetRef &Vm) {
    return this->isReservedForOther(*Vm, Model);
  });
  return Free;
}

/// Names a new group, above each epoch that was used or seen.
GroupKey DomainPlanner::nextGroupKey(const Step &S, const ModelSpec &Model) {
  std::uint64_t Seen = S.View.EpochFloor;
  for (const TargetRef &Row : S.View.Targets)
    if (Row->Group)
      Seen = std::max(Seen, Row->Group->Group.Epoch);
  this->LastEpoch = std::max(this->LastEpoch, Seen) + 1;
  return {groupName(Model.Name, S.View.Domain, this->LastEpoch),
          this->LastEpoch};
}

/// Forms a group of \p Model of VMs that are free; false where it cannot.
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

/// Orders \p Members into a new group, of which \p Cold load from the store.
void DomainPlanner::orderJoins(Step &S, const ModelSpec &Model,
                               const std::vector<TargetRef> &Members,
                               unsigned Cold) {
  GroupKey Key = this->nextGroupKey(S, Model);
  FormingGroup Row{Model.Name,
                   {},
                   S.View.Now,
                   formTimeout(Cold ? Model.LoadTime : Model.StagedLoadTime)};
  std::vector<VmId> Ids;
  for (const TargetRef &Vm : Members) {
    Row.Members.push_back(Vm->incarnation());
    Ids.push_back(Vm->Id);
  }
  for (const TargetRef &Vm : Members) {
    S.Busy.insert(Vm->incarnation());
    S.Orders.push_back({OrderKind::Join, Vm, Key, Model.Name, Ids,
                        Cold ? "form, with loads" : "form"});
  }
  this->Pending.emplace(Key, std::move(Row));
}

/// Closes a group of a smaller model whose VMs make, with warm ones that are
/// free, a group of \p Model without loading weights, if callers lose less then
/// than with the groups \p Else, by far. True where one is closed, or still
/// closing.
bool DomainPlanner::preemptSmaller(Step &S, const ModelSpec &Model,
                                   const GroupCounts &Else) {
  std::size_t Warm = countWarm(this->freeVmsFor(S, Model), Model);
  if (Warm >= Model.GroupSize)
    return false;
  const std::pair<const GroupKey, AnnouncedGroup> *Best = nullptr;
  for (const auto &Entry : S.Groups) {
    const auto &[Key, Row] = Entry;
    const ModelSpec *Other = S.Engine.model(modelOf(Key.Name));
    if (!Row.Head || !Other || Other->GroupSize >= Model.GroupSize ||
        this->LeftGroups.contains(Key))
      continue;
    auto Helps = static_cast<std::size_t>(
        std::count_if(Row.Ranks.begin(), Row.Ranks.end(), [&](const auto &R) {
          return S.isUsable(*R.second) && R.second->hasStaged(Model.Name);
        }));
    if (Warm + Helps < Model.GroupSize)
      continue;
    MemberState State = Row.Head->Group->State;
    if (State == MemberState::Closing && this->AbandonedGroups.contains(Key))
      return true;
    GroupCounts After = S.ownGroups();
    ++After[Model.Name];
    --After[Other->Name];
    if (State == MemberState::Open && !Best &&
        S.lossAfterTrades(After) < (1 - MinGain) * S.lossAfterTrades(Else))
      Best = &Entry;
  }
  if (!Best)
    return false;
  const auto &[Key, Row] = *Best;
  this->AbandonedGroups.insert(Key);
  this->addOrder(S, OrderKind::Close, Row.Head, Key,
                 "its VMs are needed for " + Model.Name);
  return true;
}

} // namespace waycove
