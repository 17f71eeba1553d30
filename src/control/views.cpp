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
  std::optional<Selector> Own = State.resolve(Spec->Match, Spec->Selectors);
  View->Resolved = Own.has_value();
  View->Workspaces = Spec->Workspaces;
  if (!Own)
    return View;
  for (const auto &[Id, Formed] : State.groups()) {
    if (Formed.Place.Deployment.Text != Row.Key.Name ||
        Formed.Place.DataCentre != this->Tables.Self.DataCentre)
      continue;
    // A replica that is no longer asked for gets no new work, and is dissolved
    // once it is idle.
    if (Formed.Place.Index.Value >=
        Spec->replicasIn(this->Tables.Self.DataCentre))
      continue;
    RouteTarget Target;
    Target.Group = Id;
    Target.Head = Formed.Vms.front();
    Target.Members = Formed.Vms;
    // A drained member takes the group out of routing, and so does one that
    // the list does not know, for it has no labels that anything allows.
    bool Whole = true;
    for (const VmId &Vm : Formed.Vms) {
      const VmInfo *Info = Vms.find(Vm);
      Labels Joined = Info ? effectiveLabels(*Info, State) : Labels();
      Whole = Whole && Info && !Drains.covers(Vm, Joined);
      if (Info && Vm == Target.Head)
        Target.Address = Info->Address;
      // Members of one domain are mostly labelled alike.
      Target.addLabels(std::move(Joined));
    }
    if (Whole && Target.allows(*Own))
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
    Target.Members = {Vm};
    Target.MemberLabels = {std::move(Joined)};
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
  ViewTable Fresh;
  this->Tables.State.read([&](const FoldState &State) {
    DrainSet Drains(State);
    this->Tables.Vms.read([&](const VmTable &Vms) {
      for (const auto &[Key, Row] : State.objects()) {
        if (Key.Kind == ObjectKind::Deployment)
          Fresh.Rows[Key] = this->buildGroupView(State, Vms, Drains, *Row);
        if (Key.Kind == ObjectKind::Service)
          Fresh.Rows[Key] = this->buildServiceView(State, Vms, Drains, *Row);
      }
    });
  });
  this->Tables.Views.write(
      [&](ViewTable &Views) { Views.Rows.swap(Fresh.Rows); });
  return true;
}

} // namespace waycove
