// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/board.h"
#include "edge/request.h"

namespace waycove {

/// A refused caller with no better advice comes back after this.
constexpr Millis ComeBackSoon(1000);

/// Where a request may land, once all that says so is joined.
struct Plan {
  ViewRef View;
  Selector Wanted;
  std::uint64_t Weight = 1;
};

/// Answers, for one request, which targets and data centres its labels, its
/// workspace and its deployment allow. Denies by default. Reads the blackboard
/// only.
class Placement {
public:
  explicit Placement(Board &Tables) : Tables(Tables) {}

  absl::StatusOr<Plan> plan(const CallerRequest &Request) const;
  bool serves(const RouteTarget &Target) const;
  /// The error to give where no target here may be used.
  absl::Status whyNot(const Plan &Way) const;
  std::vector<DataCentreId> elsewhere(const CallerRequest &Request,
                                      const Plan &Way) const;
  /// A serving daemon of \p Centre.
  std::optional<Endpoint> entryIn(const DataCentreId &Centre,
                                  std::uint64_t Random) const;

private:
  std::vector<DataCentreId> knownCentres(const CallerRequest &Request) const;

  Board &Tables;
};

} // namespace waycove
