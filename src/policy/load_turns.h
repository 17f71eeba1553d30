// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"

#include <set>
#include <vector>

namespace waycove {

/// Which VMs without weights may read them from the shared store now. The store
/// serves a few loads at full speed, and all more slowly beyond; so loads
/// queue, those first that put most VMs to work for the time that they take.
/// Every owner of a domain works out the same queue from the registry alone: a
/// VM leaves it when it shows its weights, and the next one moves up. Without
/// the queue each owner had a fixed part of the loads, and in a day of 41 s
/// with 48 VMs new ones rested 302 VM-seconds while owners elsewhere loaded
/// nothing.
///
/// \p Targets: all VMs of one service.
std::set<VmId> loadTurns(const std::vector<TargetRef> &Targets,
                         const EngineSpec &Engine);

} // namespace waycove
