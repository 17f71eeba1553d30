// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"
#include "policy/pool_report.h"
#include "policy/target_stats.h"

#include <functional>

namespace waycove {

/// A target that offers places.
struct PlaceOffer {
  TargetHash Target;
  unsigned Slots = 0;
};

/// What this node knows about one pool of targets.
struct PoolLoad {
  /// The usable targets.
  std::vector<PlaceOffer> Offers;
  /// Requests that these can run at the same time; 0 if unknown.
  double Places = 0;
  /// Time to the first byte, in milliseconds, of the fastest usable target; 0
  /// if unknown. A request that would be late even there is late.
  double FirstByteMs = 0;
  PoolReport Own;
  /// Sum of the current reports of other nodes.
  PoolReport Others;
  /// Age of Others; unset if there is no current report.
  std::optional<Millis> ReportAge;
  /// Nodes in the directory, this one included; at least 1.
  std::size_t KnownNodes = 1;
  /// Index of this node among them.
  std::size_t NodeIndex = 0;

  /// Requests in flight and waiting at all nodes, per place; 0 if the number
  /// of places is unknown.
  double utilization() const;
};

/// By pool.
using PoolLoads = std::map<PoolKey, PoolLoad>;

/// Inputs of foldPoolLoads().
struct PoolLoadSources {
  const ServingView &View;
  const TargetStatsTable &Stats;
  const PoolReports &Own;
  const PoolReports &Others;
  /// When the reports of other nodes were last summed; unset if never.
  std::optional<TimePoint> OthersAt;
  std::size_t KnownNodes = 1;
  std::size_t NodeIndex = 0;
  /// Whether a target's rate is bounded now, so that its slots cannot be used
  /// freely.
  std::function<bool(const ServingTarget &)> IsBounded;
};

/// Returns what this node knows about each pool that has serving targets.
/// Retained, cold and rate-limited targets offer no places. Nor do suspect and
/// stalled ones, unless their responses move, so that they are full and not
/// lost, or unless more than half of the targets look like that.
PoolLoads foldPoolLoads(const PoolLoadSources &From, TimePoint Now);

} // namespace waycove
