// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/routing.h"

namespace waycove {

/// The last of the ranks that targets tell apart, as their headers say.
inline constexpr unsigned LeastUrgent = 9;

/// How long a caller has waited already when its request came, as far as it
/// can be told: callers of a route have its whole time at first, and less when
/// they come back. Zero where callers have less time than the route anyway.
Millis priorWait(const HttpRoute &Route, std::optional<Millis> TimeLeft);

/// How urgent a send is to a target, from 0, which goes first, to
/// LeastUrgent. The operators' rank decides; of the same rank, requests that
/// can still be in time go before those that are late whatever happens, since
/// serving these first makes the others late too.
unsigned urgencyOf(const HttpRoute &Route, const KeyOwner *Owner,
                   Millis Waited);

} // namespace waycove
