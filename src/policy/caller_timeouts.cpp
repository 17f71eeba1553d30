// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/caller_timeouts.h"

#include <algorithm>

namespace waycove {

namespace {

/// Fraction of the stated timeouts below the estimate. Above the fraction of
/// repeated requests in calm times, below that in an overload.
constexpr double LowQuantile = 0.1;
/// Change of the estimate by one request, as a fraction of the route's timeout.
constexpr double StepFraction = 0.01;
/// Routes that are remembered; more are renamed routes of old configurations.
constexpr std::size_t MaxRoutes = 10000;

} // namespace

Millis CallerTimeouts::onRequest(const HttpRoute &Route,
                                 std::optional<Millis> Stated) {
  if (!Stated || Route.Timeout <= Millis(0) || *Stated < Millis(0))
    return Millis(0);
  if (this->ByRoute.size() >= MaxRoutes)
    this->ByRoute.clear();
  Millis Timeout = std::min(*Stated, Route.Timeout);
  Estimate &Known = this->ByRoute[Route.Name];
  if (Known.RouteTimeout != Route.Timeout)
    Known = {static_cast<double>(Timeout.count()), Route.Timeout};
  double Step = StepFraction * static_cast<double>(Route.Timeout.count());
  auto TimeoutMs = static_cast<double>(Timeout.count());
  // Stochastic approximation of the quantile.
  if (TimeoutMs < Known.LowMs)
    Known.LowMs -= Step * (1 - LowQuantile);
  else if (TimeoutMs > Known.LowMs)
    Known.LowMs = std::min(Known.LowMs + Step * LowQuantile, TimeoutMs);
  Millis Low(static_cast<std::int64_t>(Known.LowMs));
  return std::max(Low - Timeout, Millis(0));
}

} // namespace waycove
