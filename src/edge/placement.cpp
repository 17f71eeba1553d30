// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "edge/placement.h"

#include <algorithm>
#include <set>

namespace waycove {

/// Joins all that says where the request may land. Denies where any part of
/// it is unknown.
absl::StatusOr<Plan> Placement::plan(const CallerRequest &Request) const {
  return this->Tables.State.read(
      [&](const FoldState &State) -> absl::StatusOr<Plan> {
        const auto *Owner = State.spec<Workspace>(ObjectKind::Workspace,
                                                  Request.Workspace.Text);
        if (!Owner)
          return makeError(ErrorKind::NotAllowed, "unknown workspace");
        ObjectRef Target = State.object(Request.Target);
        if (!Target)
          return makeError(ErrorKind::NotFound,
                           "there is no " + Request.Target.text());
        const auto *Model = Target->as<Deployment>();
        const auto *Endpoint = Target->as<Service>();
        const Selector &Who = Model ? Model->Workspaces : Endpoint->Workspaces;
        if (!Who.matches(Owner->Own))
          return makeError(ErrorKind::NotAllowed, "not open to this workspace");
        std::optional<Selector> Own =
            Model ? State.resolve(Model->Match, Model->Selectors)
                  : State.resolve(Endpoint->Match, Endpoint->Selectors);
        std::optional<Selector> Allow =
            State.resolve(Owner->Allow, Owner->Selectors);
        if (!Own || !Allow)
          return makeError(ErrorKind::NotAllowed,
                           "a selector that it names does not exist");
        Plan Result;
        Result.Wanted = Request.Wanted;
        Result.Wanted.narrow(*Own);
        Result.Wanted.narrow(*Allow);
        Result.Weight = Owner->Weight;
        Result.View = this->Tables.Views.read(
            [&](const ViewTable &Views) { return Views.find(Target->Key); });
        if (!Result.View)
          Result.View = std::make_shared<RouteView>();
        return Result;
      });
}

/// Whether \p Target may be sent work right now, labels aside.
bool Placement::serves(const RouteTarget &Target) const {
  WallMs Now = SystemClock{}.wall();
  bool Leaving = this->Tables.Vms.read([&](const VmTable &Vms) {
    return std::any_of(Target.Members.begin(), Target.Members.end(),
                       [&](const VmId &Vm) { return Vms.isLeaving(Vm, Now); });
  });
  if (Leaving)
    return false;
  return Target.Group == Fence() ||
         this->Tables.isGroupServing(Target.Group, SystemClock{}.now());
}

absl::Status Placement::whyNot(const Plan &Way) const {
  bool Any = std::any_of(
      Way.View->Targets.begin(), Way.View->Targets.end(),
      [&](const RouteTarget &Row) { return Row.allows(Way.Wanted); });
  if (Any || Way.View->Targets.empty())
    return makeError(ErrorKind::NoCapacity, "no target is serving",
                     ComeBackSoon);
  return makeError(ErrorKind::NotAllowed, "the labels allow no target");
}

/// Other data centres that may hold an allowed target, as far as their own
/// labels say; they check again.
std::vector<DataCentreId> Placement::elsewhere(const CallerRequest &Request,
                                               const Plan &Way) const {
  std::vector<DataCentreId> Known = this->knownCentres(Request);
  return this->Tables.State.read([&](const FoldState &State) {
    std::vector<DataCentreId> Found;
    for (const DataCentreId &Centre : Known) {
      Labels Own;
      if (const auto *Row =
              State.spec<DataCentre>(ObjectKind::DataCentre, Centre.Text))
        Own = Row->Own;
      Own.set("data_centre", Centre.Text);
      bool Possible =
          std::all_of(Way.Wanted.rows().begin(), Way.Wanted.rows().end(),
                      [&](const Requirement &Row) {
                        Selector One;
                        One.require(Row);
                        return !Own.find(Row.Key) || One.matches(Own);
                      });
      if (Possible)
        Found.push_back(Centre);
    }
    return Found;
  });
}

std::vector<DataCentreId>
Placement::knownCentres(const CallerRequest &Request) const {
  std::set<DataCentreId> Found;
  this->Tables.State.read([&](const FoldState &State) {
    ObjectRef Row = State.object(Request.Target);
    const auto *Spec = Row ? Row->as<Deployment>() : nullptr;
    if (Spec)
      for (const ReplicaCount &Count : Spec->Replicas)
        if (Count.Replicas > 0)
          Found.insert(Count.DataCentre);
  });
  if (Request.Target.Kind == ObjectKind::Service)
    for (const Member &Row : this->Tables.members(SystemClock{}.now()))
      Found.insert(Row.DataCentre);
  Found.erase(this->Tables.Self.DataCentre);
  return {Found.begin(), Found.end()};
}

std::optional<Endpoint> Placement::entryIn(const DataCentreId &Centre,
                                           std::uint64_t Random) const {
  return this->Tables.Peers.read(
      [&](const PeerTable &Rows) -> std::optional<Endpoint> {
        std::vector<NodeHash> Live =
            Rows.servingNodes(Centre, SystemClock{}.now());
        if (Live.empty())
          return std::nullopt;
        const Peer *Row = Rows.find(Live[Random % Live.size()]);
        return Endpoint{Row->Row.host, Row->Row.peer_port};
      });
}

} // namespace waycove
