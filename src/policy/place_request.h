// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/pool_load.h"
#include "policy/routing.h"

namespace waycove {

/// A request that needs a place at a target.
struct PlaceRequest {
  /// Operators' priority; 0 is the most urgent.
  unsigned Priority = 0;
  WorkspaceId Workspace;
  /// Expected work, in tokens; at least 1.
  Tokens Work{1};
  TimePoint ArrivedAt;
  /// Latest time at which it may be sent and still meet its latency objective;
  /// unset without an objective, in the past if it is late already.
  std::optional<TimePoint> InTimeUntil;
  /// Latest time at which sending it is still useful; it is refused then. Some
  /// seconds after its arrival at most, whatever the deadline.
  TimePoint UsefulUntil;
  /// Callers honour a Retry-After up to this.
  Millis MaxRetryAfter{0};
  /// The caller was refused before and came back, as inferred from its timeout.
  bool HasReturned = false;

  /// Whether it can no longer meet its objective; false without one.
  bool isLate(TimePoint Now) const {
    return this->InTimeUntil && Now > *this->InTimeUntil;
  }
};

/// What a node knows about a request, its route and its pool.
struct PlaceRequestSources {
  const HttpRoute &Route;
  /// Null if there is none.
  const KeyOwner *Owner = nullptr;
  WorkspaceId Workspace;
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxOutputTokens = 0;
  TimePoint ArrivedAt;
  TimePoint Deadline;
  /// How long the caller had waited when the request arrived.
  Millis PriorWait{0};
  /// Time to the first byte of the fastest target, in milliseconds; 0 if
  /// unknown.
  double FirstByteMs = 0;
  /// Usual time that a request of the pool holds its place; 0 if unknown.
  Millis UsualHold{0};
};

/// Returns the longest Retry-After that callers honour: a third of the time
/// that they have left, zero after the deadline.
Millis maxRetryAfter(TimePoint Deadline, TimePoint Now);

/// Returns when the request has to be sent to be in time or useful at all.
/// Objectives and deadlines that are absent or absurd get defaults.
PlaceRequest makePlaceRequest(const PlaceRequestSources &From);

} // namespace waycove
