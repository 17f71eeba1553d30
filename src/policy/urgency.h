// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/routing.h"

namespace waycove {

/// Largest rank, and so the least urgent, that the targets' header supports.
inline constexpr unsigned LeastUrgent = 9;

/// Operators' priority of a request: the owner's if set, or else the route's.
/// 0 is the most urgent.
unsigned priorityOf(const HttpRoute &Route, const KeyOwner *Owner);

/// Urgency of a request at a target, from 0 (first) to LeastUrgent. Determined
/// by the operators' priority; within the same priority, requests that can
/// still meet the route's goal precede those that are late already.
unsigned urgencyOf(const HttpRoute &Route, const KeyOwner *Owner,
                   Millis Waited);

} // namespace waycove
