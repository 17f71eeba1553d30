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
  /// Latest time at which sending it is still useful.
  TimePoint UsefulUntil;
  /// The caller was told to come back with this request, and did.
  bool HasReturned = false;

  bool isLate(TimePoint Now) const {
    return this->InTimeUntil && Now > *this->InTimeUntil;
  }
};

/// What admission knows about a request before it needs a place.
struct PlaceRequestSources {
  const HttpRoute &Route;
  /// Null if there is none.
  const KeyOwner *Owner = nullptr;
  WorkspaceId Workspace;
  std::uint64_t PromptTokens = 0;
  std::uint64_t MaxOutputTokens = 0;
  TimePoint ArrivedAt;
  TimePoint Deadline;
  /// How long the caller said that it waits; unset if it did not.
  std::optional<Millis> CallerTimeout;
  /// Expected time to the first byte at a free place; 0 if unknown.
  double FirstByteMs = 0;
  /// Usual time that a request of the pool holds its place; 0 if unknown.
  Millis UsualHold{0};
};

/// Returns when the request has to be sent to be in time or useful at all.
/// Objectives and deadlines that are absent or absurd get defaults.
PlaceRequest makePlaceRequest(const PlaceRequestSources &From);

} // namespace waycove
