// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"
#include "policy/group_load.h"

#include <vector>

namespace waycove {

/// What another domain's groups will soon be, as far as the registry tells.
/// Owners of domains decide at the same time: where each counted only the
/// groups that serve at this moment, all of them made up for the same lack. On
/// a day with a quarter of 48 VMs unseen for 9 s that left 3 small groups
/// beside 7 large ones.
struct DomainForecast {
  DataCentreId Centre;
  /// Groups that serve, that form, and that loose VMs make; those that load
  /// weights alone count as having them.
  GroupCounts Groups;
  /// Of these, whole ones that are open.
  GroupCounts ServingGroups;
  /// A group is closing.
  bool AnyGroupClosing = false;
  /// How these change where its owner closes a small group, which with its
  /// loose VMs makes a large one. Empty where that is not possible.
  GroupCounts Trade;
};

/// The outlook of each domain among \p Targets, all VMs of one service.
std::map<DomainId, DomainForecast>
forecastDomains(const std::vector<TargetRef> &Targets,
                const EngineSpec &Engine);

} // namespace waycove
