// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "edge/placement.h"

#include <algorithm>
#include <set>

namespace waycove {

absl::StatusOr<RoutePlan> Placement::plan(const CallerRequest &Request) const {
  return this->Tables.State.read(
      [&](const FoldState &State) -> absl::StatusOr<RoutePlan> {
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
        const Selector &AllowedWorkspaces =
            Model ? Model->Workspaces : Endpoint->Workspaces;
        if (!AllowedWorkspaces.matches(Owner->Own))
          return makeError(ErrorKind::NotAllowed, "not open to this workspace");
        std::optional<Selector> Match =
            Model ? State.resolve(Model->Match, Model->Selectors)
                  : State.resolve(Endpoint->Match, Endpoint->Selectors);
        std::optional<Selector> Allow =
            State.resolve(Owner->Allow, Owner->Selectors);
        if (!Match || !Allow)
          return makeError(ErrorKind::NotAllowed,
                           "a selector that it names does not exist");
        RoutePlan Result;
        Result.Wanted = Request.Wanted;
        Result.Wanted.narrow(*Match);
        Result.Wanted.narrow(*Allow);
        Result.Weight = Owner->Weight;
        Result.View = this->Tables.Views.read(
            [&](const ViewTable &Views) { return Views.find(Target->Key); });
        if (!Result.View)
          Result.View = std::make_shared<RouteView>();
        return Result;
      });
}

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

absl::Status Placement::noTargetError(const RoutePlan &Plan) const {
  bool AnyAllowed = std::any_of(
      Plan.View->Targets.begin(), Plan.View->Targets.end(),
      [&](const RouteTarget &Target) { return Target.allows(Plan.Wanted); });
  if (AnyAllowed || Plan.View->Targets.empty())
    return makeError(ErrorKind::NoCapacity,
                     "no target is serving" + this->reasonsNotServing(Plan),
                     DefaultRetryAfter);
  return makeError(ErrorKind::NotAllowed, "the labels allow no target");
}

std::string Placement::reasonsNotServing(const RoutePlan &Plan) const {
  constexpr std::size_t MaxGroups = 4;
  std::string Text;
  std::size_t Count = 0;
  for (const RouteTarget &Target : Plan.View->Targets) {
    if (Target.Group == Fence() || !Target.allows(Plan.Wanted))
      continue;
    if (++Count > MaxGroups)
      break;
    std::string Reason =
        this->Tables.reasonNotServing(Target.Group, SystemClock{}.now());
    Text += "; group " + std::to_string(Target.Group.Value) + ": " +
            (Reason.empty() ? "a member leaves" : Reason);
  }
  return Text.empty() ? "; none is routed to" : Text;
}

std::vector<DataCentreId>
Placement::otherDataCentres(const CallerRequest &Request,
                            const RoutePlan &Plan) const {
  std::vector<DataCentreId> Candidates = this->candidateDataCentres(Request);
  return this->Tables.State.read([&](const FoldState &State) {
    std::vector<DataCentreId> Found;
    for (const DataCentreId &Centre : Candidates) {
      Labels CentreLabels;
      if (const auto *Spec =
              State.spec<DataCentre>(ObjectKind::DataCentre, Centre.Text))
        CentreLabels = Spec->Own;
      CentreLabels.set("data_centre", Centre.Text);
      bool Possible =
          std::all_of(Plan.Wanted.rows().begin(), Plan.Wanted.rows().end(),
                      [&](const Requirement &Required) {
                        Selector Single;
                        Single.require(Required);
                        return !CentreLabels.find(Required.Key) ||
                               Single.matches(CentreLabels);
                      });
      if (Possible)
        Found.push_back(Centre);
    }
    return Found;
  });
}

std::vector<DataCentreId>
Placement::candidateDataCentres(const CallerRequest &Request) const {
  std::set<DataCentreId> Found;
  this->Tables.State.read([&](const FoldState &State) {
    ObjectRef Object = State.object(Request.Target);
    const auto *Spec = Object ? Object->as<Deployment>() : nullptr;
    if (Spec)
      for (const ReplicaCount &Count : Spec->Replicas)
        if (Count.Replicas > 0)
          Found.insert(Count.DataCentre);
  });
  if (Request.Target.Kind == ObjectKind::Service)
    for (const Member &Daemon : this->Tables.members(SystemClock{}.now()))
      Found.insert(Daemon.DataCentre);
  Found.erase(this->Tables.Self.DataCentre);
  return {Found.begin(), Found.end()};
}

std::optional<Endpoint> Placement::pickDaemon(const DataCentreId &Centre,
                                              std::uint64_t Random) const {
  return this->Tables.Peers.read(
      [&](const PeerTable &Table) -> std::optional<Endpoint> {
        std::vector<NodeHash> Live =
            Table.servingNodes(Centre, SystemClock{}.now());
        if (Live.empty())
          return std::nullopt;
        const Peer *Chosen = Table.find(Live[Random % Live.size()]);
        return Endpoint{Chosen->Row.host, Chosen->Row.peer_port};
      });
}

} // namespace waycove
