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

Millis priorWait(const HttpRoute &Route, std::optional<Millis> Remaining) {
  if (!Remaining || Route.Timeout.count() <= 0)
    return Millis(0);
  return std::max(Millis(0), Route.Timeout - *Remaining);
}

unsigned urgencyOf(const HttpRoute &Route, const KeyOwner *Owner,
                   Millis Waited) {
  unsigned Rank = Owner && Owner->Priority ? *Owner->Priority : Route.Priority;
  bool Late = Route.Goal.count() > 0 && Waited + MinFirstByteTime > Route.Goal;
  return std::min(2 * Rank + (Late ? 1U : 0U), LeastUrgent);
}

} // namespace waycove
