// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/urgency.h"

#include <algorithm>

namespace waycove {

namespace {

/// Minimum time to the first byte on an idle target.
constexpr Millis MinFirstByteTime(100);

} // namespace

unsigned priorityOf(const HttpRoute &Route, const KeyOwner *Owner) {
  return Owner && Owner->Priority ? *Owner->Priority : Route.Priority;
}

unsigned urgencyOf(const HttpRoute &Route, const KeyOwner *Owner,
                   Millis Waited) {
  unsigned Rank = priorityOf(Route, Owner);
  bool Late = Route.Goal.count() > 0 && Waited + MinFirstByteTime > Route.Goal;
  return std::min(2 * Rank + (Late ? 1U : 0U), LeastUrgent);
}

} // namespace waycove
