// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/views.h"

namespace waycove {

ViewRef ViewBuilder::buildGroupView(const FoldState &State, const VmTable &Vms,
                                    const DrainSet &Drains,
                                    const Object &Row) const {
  const auto *Spec = Row.as<Deployment>();
  auto View = std::make_shared<RouteView>();
  View->SlotsPerReplica = Spec->SlotsPerReplica;
  View->VmsPerReplica = Spec->VmsPerReplica;
  View->KvTokensPerReplica = Spec->KvTokensPerReplica;
  std::optional<Selector> Allowed = State.resolve(Spec->Match, Spec->Selectors);
  View->Resolved = Allowed.has_value();
  View->Workspaces = Spec->Workspaces;
  if (!Allowed)
    return View;
  for (const auto &[Id, Formed] : State.groups()) {
    if (Formed.Place.Deployment.Text != Row.Key.Name ||
        Formed.Place.DataCentre != this->Tables.Self.DataCentre)
      continue;
    // A surplus replica gets no new requests and is dissolved once it is idle.
    if (Formed.Place.Index.Value >=
        Spec->replicasIn(this->Tables.Self.DataCentre))
      continue;
    RouteTarget Target;
    Target.Group = Id;
    Target.Head = Formed.Vms.front();
    Target.Members = Formed.Vms;
    // A group is not routed to while a member drains or is not listed: without
    // its labels, no selector can allow it.
    bool Routable = true;
    for (const VmId &Vm : Formed.Vms) {
      const VmInfo *Info = Vms.find(Vm);
      Labels VmLabels = Info ? effectiveLabels(*Info, State) : Labels();
      Routable = Routable && Info && !Drains.covers(Vm, VmLabels);
      if (Info && Vm == Target.Head)
        Target.Address = Info->Address;
      Target.addLabels(std::move(VmLabels));
    }
    if (Routable && Target.allows(*Allowed))
      View->Targets.push_back(std::move(Target));
  }
  View->makeRing();
  return View;
}

ViewRef ViewBuilder::buildServiceView(const FoldState &State,
                                      const VmTable &Vms,
                                      const DrainSet &Drains,
                                      const Object &Row) const {
  const auto *Spec = Row.as<Service>();
  auto View = std::make_shared<RouteView>();
  std::optional<Selector> Allowed = State.resolve(Spec->Match, Spec->Selectors);
  View->Resolved = Allowed.has_value();
  View->Workspaces = Spec->Workspaces;
  if (!Allowed)
    return View;
  for (const auto &[Vm, Info] : Vms.rows()) {
    Labels VmLabels = effectiveLabels(Info, State);
    if (!Allowed->matches(VmLabels) || Drains.covers(Vm, VmLabels))
      continue;
    RouteTarget Target;
    Target.Head = Vm;
    Target.Address = Info.Address;
    Target.Members = {Vm};
    Target.MemberLabels = {std::move(VmLabels)};
    View->Targets.push_back(std::move(Target));
  }
  View->makeRing();
  return View;
}

bool ViewBuilder::refresh() {
  std::uint64_t Version = this->Tables.RoutingVersion.load();
  if (Version == this->LastVersion)
    return false;
  this->LastVersion = Version;
  ViewTable NewViews;
  this->Tables.State.read([&](const FoldState &State) {
    DrainSet Drains(State);
    this->Tables.Vms.read([&](const VmTable &Vms) {
      for (const auto &[Key, Row] : State.objects()) {
        if (Key.Kind == ObjectKind::Deployment)
          NewViews.Rows[Key] = this->buildGroupView(State, Vms, Drains, *Row);
        if (Key.Kind == ObjectKind::Service)
          NewViews.Rows[Key] = this->buildServiceView(State, Vms, Drains, *Row);
      }
    });
  });
  this->Tables.Views.write(
      [&](ViewTable &Views) { Views.Rows.swap(NewViews.Rows); });
  return true;
}

} // namespace waycove
