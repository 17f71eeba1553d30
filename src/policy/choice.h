// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/place_limit.h"

#include <vector>

namespace waycove {

/// Parameters of one choice of a target.
struct ChoiceQuery {
  /// Empty for plain services.
  std::string Model;
  DataCentreId Here;
  /// Do not prefer targets of this data centre.
  bool AnyDataCentre = false;
  /// This node's part of the targets' places; unset if it is not limited.
  std::optional<PlaceShare> Places;
  /// Targets that this request was already sent to.
  std::vector<VmId> Avoid;
  TimePoint Now;
  /// The registry view is older than the drain bound.
  bool RegistryStale = false;
  /// Uniformly distributed random bits.
  std::uint64_t Random = 0;
};

/// Returns the target with the shortest expected wait, or null if none is
/// available. Targets in other data centres and suspect targets are charged a
/// penalty. Targets that may be leaving are used only if no other target serves
/// the model: those retained after their entry vanished and, while the registry
/// view is stale, those that close their connections.
const ServingTarget *chooseTarget(const std::vector<ServingTarget> &Targets,
                                  const TargetStatsTable &Stats,
                                  const ChoiceQuery &Query);

} // namespace waycove
