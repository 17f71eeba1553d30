// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/board.h"
#include "edge/request.h"

namespace waycove {

/// Retry-After of refusals that have no better estimate.
constexpr Millis DefaultRetryAfter(1000);

/// The targets of a request's deployment or service, and the label requirements
/// that they must meet.
struct RoutePlan {
  ViewRef View;
  Selector Wanted;
  std::uint64_t Weight = 1;
};

/// Determines which targets and data centres a request may use, given its
/// labels, workspace, and deployment or service. Denies by default. Only reads
/// the blackboard.
class Placement {
public:
  explicit Placement(Board &Tables) : Tables(Tables) {}

  /// Combines the requirements of the request, its workspace and its
  /// deployment or service. Errors: NotAllowed, also where a selector cannot be
  /// resolved; NotFound.
  absl::StatusOr<RoutePlan> plan(const CallerRequest &Request) const;
  /// Whether \p Target can be sent work now, regardless of labels.
  bool serves(const RouteTarget &Target) const;
  /// The error to return where no local target may be used.
  absl::Status noTargetError(const RoutePlan &Plan) const;
  /// Other data centres whose labels do not rule out a target for the request.
  /// They check the labels of their targets themselves.
  std::vector<DataCentreId> otherDataCentres(const CallerRequest &Request,
                                             const RoutePlan &Plan) const;
  /// The peer address of a serving daemon in \p Centre, chosen by \p Random.
  std::optional<Endpoint> pickDaemon(const DataCentreId &Centre,
                                     std::uint64_t Random) const;

private:
  /// Why the groups of the plan do not serve, for the message of an error.
  std::string reasonsNotServing(const RoutePlan &Plan) const;
  std::vector<DataCentreId>
  candidateDataCentres(const CallerRequest &Request) const;

  Board &Tables;
};

} // namespace waycove
