// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/relay_request.h"

namespace waycove {

/// How a target's rates apply to a request that is to be sent to it.
enum class RateUse {
  /// No rate bounds the target now.
  Unbounded,
  /// The request was counted against the rates.
  Counted,
  /// The rates leave no request for this node now.
  Exhausted,
};

/// Bounds the requests to targets that are cold, state a limit, rest or leave.
/// Thread-safe.
class TargetBounds {
public:
  explicit TargetBounds(EntryBoard &Board) : Board(Board) {}

  /// Adds to \p Avoid those of \p Targets that take no request of this node
  /// now: those that want none, and those whose rates leave none for it.
  void avoidClosed(const RelayRequest &Request,
                   const std::vector<ServingTarget> &Targets, TimePoint Now,
                   std::vector<VmId> &Avoid);
  /// Counts the request against the rates of the target, if these are bounded.
  RateUse take(const RelayRequest &Request, const ServingTarget &To,
               TimePoint Now);
  /// Whether the target rests or leaves, as it states.
  bool isPaused(const ServingTarget &To, TimePoint Now) const;
  /// About how long until the target takes a request; zero if it does now or if
  /// it leaves.
  Millis waitFor(const RelayRequest &Request, const ServingTarget &To,
                 TimePoint Now);

private:
  StatedPause pauseOf(const ServingTarget &To, TimePoint Now) const;
  /// Those of \p Targets whose rates are bounded now.
  std::vector<BoundedTarget>
  boundedTargets(const RelayRequest &Request,
                 const std::vector<ServingTarget> &Targets,
                 TimePoint Now) const;

  EntryBoard &Board;
};

} // namespace waycove
