// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "edge/gate.h"
#include "edge/placement.h"

namespace waycove {

/// Limits concurrent requests to this daemon's share of the serving targets'
/// slots, with fair queueing by workspace.
class Admission {
public:
  Admission(Board &Tables, const Placement &PlacementRules)
      : Tables(Tables), PlacementRules(PlacementRules), Gates(Tables.Config) {}

  /// Waits for a slot. \p SlotGate is set to the gate that must release it.
  /// Errors: as for AdmissionGate::enter.
  absl::StatusOr<TicketId> enter(const CallerRequest &Request,
                                 const RoutePlan &Plan,
                                 std::shared_ptr<AdmissionGate> &SlotGate);

private:
  /// Sets the gate's limits to this daemon's share of the serving targets'
  /// capacity, split evenly among the data centre's controllers.
  void setLimits(const CallerRequest &Request, const RoutePlan &Plan,
                 AdmissionGate &SlotGate) const;
  std::shared_ptr<AdmissionGate> gateFor(const CallerRequest &Request,
                                         const RoutePlan &Plan);
  /// The request's cost estimate, priority and deadline for the fair queue.
  static FairOffer offerFor(const CallerRequest &Request,
                            const RoutePlan &Plan);

  Board &Tables;
  const Placement &PlacementRules;
  AdmissionGates Gates;
};

} // namespace waycove
