// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"
#include "policy/group_load.h"

#include <vector>

namespace waycove {

/// Expected groups of one domain in the near future, derived from the registry.
/// Owners of domains plan concurrently; if each counted only the groups that
/// serve now, all would compensate for the same shortage.
struct DomainForecast {
  DataCentreId Centre;
  /// Groups that serve, that are forming, and that ungrouped VMs can form. VMs
  /// in load groups count as having the weights.
  GroupCounts Groups;
  /// Of these, complete groups that are open.
  GroupCounts ServingGroups;
  /// Whether a group of the domain is closing.
  bool AnyGroupClosing = false;
  /// Change of Groups if the owner closes a small group whose VMs form a large
  /// one together with ungrouped VMs. Empty where that is not possible.
  GroupCounts Trade;
};

/// Forecasts each domain among \p Targets, which are all VMs of one service.
std::map<DomainId, DomainForecast>
forecastDomains(const std::vector<TargetRef> &Targets,
                const EngineSpec &Engine);

} // namespace waycove
