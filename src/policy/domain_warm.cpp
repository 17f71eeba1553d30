// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Keeping reserves loaded. A VM whose last group ran a model joins another one
// of that model in 0.2 s; one whose host merely has the weights takes a second
// or two. So a reserve joins a group of its own once, which is never opened,
// and leaves it when its weights are loaded.

#include "policy/domain_step.h"
#include "policy/load_schedule.h"

#include <algorithm>

namespace waycove {

namespace {

/// The VMs of a domain that comes back are listed one after the other within
/// half a second: those that make a group are not to be kept from it, for 2 s,
/// by loading each on its own.
constexpr Millis ReserveWait{700};

} // namespace

/// Orders reserves that never ran a model to load the one that their hosts have
/// staged. Each is tried once.
void DomainPlanner::warmUpReserves(Step &S) {
  std::map<VmIncarnation, TimePoint> Since;
  for (const TargetRef &Row : S.freeVms()) {
    auto Before = this->FreeSince.find(Row->incarnation());
    Since[Row->incarnation()] =
        Before == this->FreeSince.end() ? S.View.Now : Before->second;
    if (!Row->Loaded.empty() || Row->Group ||
        S.View.Now - Since[Row->incarnation()] < ReserveWait)
      continue;
    auto Model = std::find_if(
        S.Engine.Models.begin(), S.Engine.Models.end(),
        [&](const ModelSpec &Each) { return Row->hasStaged(Each.Name); });
    if (Model != S.Engine.Models.end() &&
        this->WarmUpTried.insert(Row->incarnation()).second)
      this->joinLoadGroup(S, Row, *Model, "a reserve is kept loaded");
  }
  this->FreeSince = std::move(Since);
}

/// Orders \p Vm to join a group of its own.
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

/// Whether \p Key is such a group, of this owner or an earlier one; it is left
/// as soon as its VM is ready, or where that takes too long.
bool DomainPlanner::reviewWarmUp(Step &S, const GroupKey &Key,
                                 const AnnouncedGroup &Row) {
  if (!isLoadGroup(Key.Name) || !Row.Head)
    return false;
  const ModelSpec *Model = S.Engine.model(modelOf(Key.Name));
  WarmUp &Entry =
      this->WarmUps
          .try_emplace(Key, WarmUp{Row.Head->incarnation(), S.View.Now,
                                   isLoading(*Row.Head)})
          .first->second;
  Millis Timeout = !Model       ? Millis(0)
                   : Entry.Cold ? formTimeout(Model->LoadTime)
                                : formTimeout(Model->StagedLoadTime);
  bool Late = S.View.Now - Entry.Since > Timeout;
  if (Row.AllReady || Late)
    this->release(S, Key, Row, Row.AllReady ? "it is loaded" : "it loads late");
  else
    S.markBusy(Row);
  return true;
}

/// VMs that were ordered into such a group and do not show it yet are not free;
/// an order that is lost is forgotten.
void DomainPlanner::trackWarmUps(Step &S) {
  std::erase_if(this->WarmUps, [&](const auto &Entry) {
    const auto &[Key, Row] = Entry;
    if (S.Groups.contains(Key))
      return false;
    bool Awaited = !this->LeftGroups.contains(Key) &&
                   S.View.Now - Row.Since < OrderVisibilityTimeout;
    if (Awaited)
      S.Busy.insert(Row.Vm);
    return !Awaited;
  });
}

} // namespace waycove
