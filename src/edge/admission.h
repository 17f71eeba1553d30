// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "edge/gate.h"
#include "edge/placement.h"

namespace waycove {

/// Lets requests in, by workspace and in fair shares: this daemon's part of
/// the slots that the serving targets have.
class Admission {
public:
  Admission(Board &Tables, const Placement &Places)
      : Tables(Tables), Places(Places), Rows(Tables.Config) {}

  /// Waits for a slot; \p Door is the gate to give it back to. Errors: those
  /// of Gate::enter.
  absl::StatusOr<TicketId> enter(const CallerRequest &Request, const Plan &Way,
                                 std::shared_ptr<Gate> &Door);

private:
  void setLimits(const CallerRequest &Request, const Plan &Way,
                 Gate &Door) const;
  std::shared_ptr<Gate> gateFor(const CallerRequest &Request, const Plan &Way);
  static FairOffer offerFor(const CallerRequest &Request, const Plan &Way);

  Board &Tables;
  const Placement &Places;
  Gates Rows;
};

} // namespace waycove
