// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/vm_time.h"

#include <utility>

namespace waycove {

namespace {

/// The engine of a service with groups; null for other services.
const EngineSpec *groupEngine(const RoutingConfig &Config,
                              const TargetInfo &Vm) {
  const ServiceSpec *Spec = Config.service(Vm.Service);
  return Spec && Spec->hasGroups() ? &*Spec->Engine : nullptr;
}

} // namespace

std::string_view stateName(VmState State) {
  switch (State) {
  case VmState::Serving:
    return "serving";
  case VmState::Forming:
    return "forming";
  case VmState::Loading:
    return "loading";
  case VmState::Headless:
    return "headless";
  case VmState::Incomplete:
    return "incomplete";
  case VmState::Closing:
    return "closing";
  case VmState::Draining:
    return "draining";
  case VmState::Evacuated:
    return "evacuated";
  case VmState::Reserve:
    break;
  }
  return "reserve";
}

void VmTime::update(const RoutingConfig &Config, const Fleet &Current,
                    const Evacuations &Evacuated, TimePoint Now) {
  this->addTimeUntil(Now);
  Inputs Newest{&Config, Config.Version, Current.Version, Evacuated.version()};
  if (std::exchange(this->Last, Newest) == Newest)
    return;
  this->collect(Config, Current, Evacuated);
  this->Counts.clear();
  for (const auto &[Id, Vm] : Current.Targets)
    if (const EngineSpec *Engine = groupEngine(Config, *Vm))
      ++this->Counts[this->useOf(*Vm, *Engine, Evacuated)];
}

std::map<ServiceId, VmDuration> VmTime::listedTime() const {
  std::map<ServiceId, VmDuration> Sums;
  for (const auto &[Use, Time] : this->Totals)
    Sums[Use.Service] += Time;
  return Sums;
}

void VmTime::addTimeUntil(TimePoint Now) {
  if (!this->UpdatedAt) {
    this->UpdatedAt = Now;
    return;
  }
  auto Passed = std::chrono::floor<VmDuration>(Now - *this->UpdatedAt);
  if (Passed <= VmDuration(0))
    return;
  // Not Now, so that rounding does not lose time with each update.
  *this->UpdatedAt += Passed;
  for (const auto &[Use, Count] : this->Counts)
    this->Totals[Use] += Passed * Count;
}

/// Collects the groups with listed members.
void VmTime::collect(const RoutingConfig &Config, const Fleet &Current,
                     const Evacuations &Evacuated) {
  Groups Listed;
  for (const auto &[Id, Vm] : Current.Targets) {
    if (!Vm->Group || !groupEngine(Config, *Vm))
      continue;
    Group &Joined = Listed[Vm->Group->Group];
    Joined.Seen.insert(Vm->Group->Rank);
    if (Vm->Group->State != MemberState::Broken)
      Joined.Usable.insert(Vm->Group->Rank);
    if (Vm->Group->Rank == 0)
      Joined.Head = Vm;
  }
  for (auto &[Key, Joined] : Listed)
    if (auto Before = this->Known.find(Key); Before != this->Known.end())
      Joined.Seen.merge(Before->second.Seen);
  for (const auto &[Id, Removed] : Current.Removed)
    if (const auto &Member = Removed.Last->Group; Member)
      if (auto Joined = Listed.find(Member->Group); Joined != Listed.end())
        Joined->second.Seen.insert(Member->Rank);
  ServingViewRef View = makeServingView(Config, Current, Evacuated);
  for (const auto &[Service, Rows] : View->ByService)
    for (const ServingTarget &Row : Rows)
      if (!Row.Model.empty())
        Listed[Row.Target->Group->Group].Serves = true;
  this->Known = std::move(Listed);
}

/// A group that serves does so whatever else holds for its members, as in the
/// serving view. Otherwise the operators' reasons come first.
VmUse VmTime::useOf(const TargetInfo &Vm, const EngineSpec &Engine,
                    const Evacuations &Evacuated) const {
  const Group *Joined =
      Vm.Group ? &this->Known.find(Vm.Group->Group)->second : nullptr;
  if (Joined && Joined->Serves)
    return {Vm.Service, VmState::Serving, ""};
  if (Evacuated.contains(Vm.DataCentre))
    return {Vm.Service, VmState::Evacuated, ""};
  if (Vm.Draining || (Joined && Joined->Head && Joined->Head->Draining))
    return {Vm.Service, VmState::Draining, ""};
  if (!Joined)
    return {Vm.Service, VmState::Reserve, ""};
  VmState State = stateInGroup(*Vm.Group, *Joined, Engine);
  std::string Model = modelOf(Vm.Group->Group.Name);
  if (State != VmState::Loading || !Vm.hasStaged(Model))
    Model.clear();
  return {Vm.Service, State, Model};
}

/// State of a member of a group that does not serve.
VmState VmTime::stateInGroup(const Membership &Member, const Group &Joined,
                             const EngineSpec &Engine) {
  const std::string &Name = Member.Group.Name;
  const ModelSpec *Model = Engine.model(modelOf(Name));
  if (Joined.hasLost(0))
    return VmState::Headless;
  if (Joined.headIs(MemberState::Closing) ||
      Member.State == MemberState::Closing)
    return VmState::Closing;
  if (!Model || Joined.hasLostAny() || Member.State == MemberState::Broken)
    return VmState::Incomplete;
  if (isLoadGroup(Name))
    return VmState::Loading;
  // An open group was complete. A rank beyond the group's size cannot complete
  // it.
  if (Joined.headIs(MemberState::Open) || Member.Rank >= Model->GroupSize)
    return VmState::Incomplete;
  return Member.State == MemberState::Joining ? VmState::Loading
                                              : VmState::Forming;
}

} // namespace waycove
