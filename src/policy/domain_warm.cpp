// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Keeps reserves loaded. A VM that has a model loaded joins a group of it much
// faster than one whose host merely has the weights staged. A reserve therefore
// joins a load group once, which is never opened, and leaves it when the
// weights are loaded.

#include "policy/domain_step.h"
#include "policy/load_schedule.h"

#include <algorithm>

namespace waycove {

namespace {

/// A VM has to be free for this time before it loads alone: the VMs of a
/// returning domain are listed one after the other and may form a group first.
constexpr Millis WarmUpDelay{700};

} // namespace

/// Orders free VMs without a loaded model to load one that their hosts have
/// staged. Tried once per VM.
void DomainPlanner::warmUpReserves(Step &S) {
  std::map<VmIncarnation, TimePoint> Since;
  for (const TargetRef &Vm : S.freeVms()) {
    auto Known = this->FreeSince.find(Vm->incarnation());
    Since[Vm->incarnation()] =
        Known == this->FreeSince.end() ? S.View.Now : Known->second;
    if (!Vm->Loaded.empty() || Vm->Group ||
        S.View.Now - Since[Vm->incarnation()] < WarmUpDelay)
      continue;
    auto Model = std::find_if(
        S.Engine.Models.begin(), S.Engine.Models.end(),
        [&](const ModelSpec &Each) { return Vm->hasStaged(Each.Name); });
    if (Model != S.Engine.Models.end() &&
        this->WarmUpTried.insert(Vm->incarnation()).second)
      this->joinLoadGroup(S, Vm, *Model, "warming up a reserve");
  }
  this->FreeSince = std::move(Since);
}

/// Orders \p Vm to join a load group of its own.
void DomainPlanner::joinLoadGroup(Step &S, const TargetRef &Vm,
                                  const ModelSpec &Model,
                                  const std::string &Reason) {
  GroupKey Key = this->nextGroupKey(S, Model);
  Key.Name = loadGroupName(Model.Name, S.View.Domain, Key.Epoch);
  bool Cold = !Vm->hasStaged(Model.Name) && !Vm->hasLoaded(Model.Name);
  this->WarmUps[Key] = {Vm->incarnation(), S.View.Now, Cold};
  S.Busy.insert(Vm->incarnation());
  S.Orders.push_back({OrderKind::Join, Vm, Key, Model.Name, {Vm->Id}, Reason});
}

/// Handles \p Key if it is a load group, of this owner or an earlier one:
/// releases it once the VM is ready or after a timeout. False for other groups.
bool DomainPlanner::reviewWarmUp(Step &S, const GroupKey &Key,
                                 const AnnouncedGroup &Group) {
  if (!isLoadGroup(Key.Name) || !Group.Head)
    return false;
  const ModelSpec *Model = S.Engine.model(modelOf(Key.Name));
  WarmUp &Load =
      this->WarmUps
          .try_emplace(Key, WarmUp{Group.Head->incarnation(), S.View.Now,
                                   isLoading(*Group.Head)})
          .first->second;
  Millis Timeout = !Model      ? Millis(0)
                   : Load.Cold ? formTimeout(Model->LoadTime)
                               : formTimeout(Model->StagedLoadTime);
  bool Late = S.View.Now - Load.Since > Timeout;
  if (Group.AllReady || Late)
    this->release(S, Key, Group,
                  Group.AllReady ? "weights are loaded" : "loading timed out");
  else
    S.markBusy(Group);
  return true;
}

/// Marks VMs busy that were ordered into a load group and do not announce it
/// yet, and drops orders that do not show in time.
void DomainPlanner::trackWarmUps(Step &S) {
  std::erase_if(this->WarmUps, [&](const auto &Entry) {
    const auto &[Key, Load] = Entry;
    if (S.Groups.contains(Key))
      return false;
    bool Awaited = !this->LeftGroups.contains(Key) &&
                   S.View.Now - Load.Since < OrderVisibilityTimeout;
    if (Awaited)
      S.Busy.insert(Load.Vm);
    return !Awaited;
  });
}

} // namespace waycove
