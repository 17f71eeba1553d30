// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"

#include <map>
#include <vector>

namespace waycove {

/// Loads of weights that may start now.
struct LoadSchedule {
  std::map<DomainId, unsigned> ByDomain;
  /// Further loads that the store can serve at full speed.
  unsigned SpareLoads = 0;
};

/// Computes how many loads of weights from the shared store each domain may
/// start now. The store serves a limited number of loads at full speed and
/// slows down beyond it: where six run at full speed, 35 at a time take 40 s
/// each instead of 12, and hosts are lost before any group is complete. So
/// loads are queued: first for models that no group
/// serves, then for the groups that put the most VMs into service per load
/// time, last for reserves. Every domain owner computes the same queue from the
/// registry, in which a loading VM appears as joining a group whose weights are
/// not on its host.
///
/// \p Targets are all VMs of one service.
LoadSchedule scheduleLoads(const std::vector<TargetRef> &Targets,
                           const EngineSpec &Engine);

/// Whether the VM is loading weights from the shared store for a group that it
/// joins.
bool isLoading(const TargetInfo &Target);

} // namespace waycove
