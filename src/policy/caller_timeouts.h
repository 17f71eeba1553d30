// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/routing.h"

#include <unordered_map>

namespace waycove {

/// Infers how long callers had waited before their requests arrived. A repeated
/// request comes with less time left than a first one, but callers also differ
/// in how long they wait at all. So only what lies below the timeouts that most
/// callers of the route state counts as prior wait. Not thread-safe.
class CallerTimeouts {
public:
  /// Records a request on \p Route whose caller waits for \p Stated; unset if
  /// it does not say so. Returns the caller's prior wait, zero if unknown.
  Millis onRequest(const HttpRoute &Route, std::optional<Millis> Stated);

private:
  /// Low quantile of the stated timeouts of a route, in milliseconds.
  struct Estimate {
    double LowMs = 0;
    Millis RouteTimeout{0};
  };
  std::unordered_map<std::string, Estimate> ByRoute;
};

} // namespace waycove
