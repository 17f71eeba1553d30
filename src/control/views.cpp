// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/views.h"

namespace waycove {

namespace {

std::uint64_t placeOf(const VmId &Vm) { return hashText(Vm.Text, 7); }

} // namespace

ViewRef ViewBuilder::groupView(const FoldState &State, const VmTable &Vms,
                               const DrainSet &Drains,
                               const Object &Row) const {
  const auto *Spec = Row.as<Deployment>();
  auto View = std::make_shared<RouteView>();
  View->SlotsPerReplica = Spec->SlotsPerReplica;
  View->VmsPerReplica = Spec->VmsPerReplica;
  std::optional<Selector> Own = State.resolve(Spec->Match, Spec->Selectors);
  View->Resolved = Own.has_value();
  View->Workspaces = Spec->Workspaces;
  if (!Own)
    return View;
  for (const auto &[Id, Formed] : State.groups()) {
    if (Formed.Place.Deployment.Text != Row.Key.Name ||
        Formed.Place.DataCentre != this->Tables.Me.DataCentre)
      continue;
    RouteTarget Target;
    Target.Group = Id;
    Target.Head = Formed.Vms.front();
    Target.Place = placeOf(Target.Head);
    Target.Members = Formed.Vms;
    for (const VmId &Vm : Formed.Vms)
      if (const VmInfo *Info = Vms.find(Vm)) {
        if (Vm == Target.Head)
          Target.Address = Info->Address;
        Labels Joined = effectiveLabels(*Info, State);
        if (!Drains.covers(Vm, Joined))
          Target.MemberLabels.push_back(std::move(Joined));
      }
    // A drained member takes the group out of routing, and so does one that
    // the list does not know, for it has no labels that anything allows.
    if (Target.MemberLabels.size() == Formed.Vms.size() && Target.allows(*Own))
      View->Targets.push_back(std::move(Target));
  }
  View->sortByPlace();
  return View;
}

ViewRef ViewBuilder::serviceView(const FoldState &State, const VmTable &Vms,
                                 const DrainSet &Drains,
                                 const Object &Row) const {
  const auto *Spec = Row.as<Service>();
  auto View = std::make_shared<RouteView>();
  std::optional<Selector> Own = State.resolve(Spec->Match, Spec->Selectors);
  View->Resolved = Own.has_value();
  View->Workspaces = Spec->Workspaces;
  if (!Own)
    return View;
  for (const auto &[Vm, Info] : Vms.rows()) {
    Labels Joined = effectiveLabels(Info, State);
    if (!Own->matches(Joined) || Drains.covers(Vm, Joined))
      continue;
    RouteTarget Target;
    Target.Head = Vm;
    Target.Address = Info.Address;
    Target.Place = placeOf(Vm);
    Target.Members = {Vm};
    Target.MemberLabels = {std::move(Joined)};
    View->Targets.push_back(std::move(Target));
  }
  View->sortByPlace();
  return View;
}

bool ViewBuilder::refresh() {
  std::uint64_t Version = this->Tables.RoutingVersion.load();
  if (Version == this->Seen)
    return false;
  this->Seen = Version;
  ViewTable Fresh;
  this->Tables.State.read([&](const FoldState &State) {
    DrainSet Drains(State);
    this->Tables.Vms.read([&](const VmTable &Vms) {
      for (const auto &[Key, Row] : State.objects()) {
        if (Key.Kind == ObjectKind::Deployment)
          Fresh.Rows[Key] = this->groupView(State, Vms, Drains, *Row);
        if (Key.Kind == ObjectKind::Service)
          Fresh.Rows[Key] = this->serviceView(State, Vms, Drains, *Row);
      }
    });
  });
  this->Tables.Views.write(
      [&](ViewTable &Views) { Views.Rows.swap(Fresh.Rows); });
  return true;
}

} // namespace waycove
