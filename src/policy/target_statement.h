// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <compare>
#include <optional>

namespace waycove {

/// Requests per second.
struct RequestRate {
  double PerSecond = 0;

  // Defaulted by the compiler. NOLINTNEXTLINE
  auto operator<=>(const RequestRate &) const = default;
};

/// What a target states about itself in the head of a response. Unlike what a
/// node infers from its own requests, it binds the node also where no other
/// target is left.
struct TargetStatement {
  /// Requests that the target takes from all nodes together. Unset if it takes
  /// any number.
  std::optional<RequestRate> Limit;
  /// It states a limit that cannot be read, so an earlier one stays in force.
  bool HasUnreadableLimit = false;
  /// It leaves: it will end and wants no more requests.
  bool Leaving = false;
  /// What it states about leaving cannot be read, which has no effect.
  bool HasUnreadableLeaving = false;
  /// It has turned the request away and wants none from this node for so long.
  std::optional<Millis> Rest;
  /// It asks for a rest whose length cannot be read, which has no effect.
  bool HasUnreadableRest = false;
};

} // namespace waycove
