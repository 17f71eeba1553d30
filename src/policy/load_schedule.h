// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"

#include <map>
#include <vector>

namespace waycove {

/// Loads that may begin now.
struct LoadSchedule {
  std::map<DomainId, unsigned> ByDomain;
  /// Beyond these, as many as the store still serves at full speed.
  unsigned SpareLoads = 0;
};

/// How many loads of weights from the shared store each domain may begin now.
/// The store serves a few loads at full speed, and all more slowly beyond: 35
/// at a time where six run at full speed took 40 s each instead of 12, and
/// hosts were lost before any group was whole. So loads queue: first those of
/// models that nothing serves, then those that put most VMs to work for the
/// time that they take, and last those of reserves. Every owner of a domain
/// works out the same queue from the registry alone, in which a VM shows that
/// it loads: it is joining a group whose weights its host does not hold.
///
/// \p Targets: all VMs of one service.
LoadSchedule scheduleLoads(const std::vector<TargetRef> &Targets,
                           const EngineSpec &Engine);

/// Whether the VM reads weights from the shared store, for a group that it
/// joins.
bool isLoading(const TargetInfo &Row);

} // namespace waycove
