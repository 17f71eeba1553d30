// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"
#include "policy/pool_report.h"
#include "policy/target_stats.h"

#include <functional>

namespace waycove {

/// What this node knows about one pool of targets.
struct PoolLoad {
  /// Requests that the usable targets can run at the same time; 0 if unknown.
  double Places = 0;
  /// Expected time to the first byte, in milliseconds, at a target with a free
  /// place; 0 if unknown.
  double FirstByteMs = 0;
  PoolReport Own;
  /// Sum of the current reports of other nodes.
  PoolReport Others;
  /// Age of Others; unset if there is no current report.
  std::optional<Millis> ReportAge;
  /// Nodes in the directory, this one included; at least 1.
  std::size_t KnownNodes = 1;

  /// Requests in flight and waiting at all nodes, per place; 0 if the number
  /// of places is unknown.
  double utilization() const;
};

using PoolLoads = std::map<PoolKey, PoolLoad>;

/// Inputs of foldPoolLoads().
struct PoolLoadSources {
  const ServingView &View;
  const RoutingConfig &Config;
  const TargetStatsTable &Stats;
  const PoolReports &Own;
  const PoolReports &Others;
  /// When the reports of other nodes were last summed; unset if never.
  std::optional<TimePoint> OthersAt;
  std::size_t KnownNodes = 1;
  /// Whether a target's rate is bounded now, so that its slots cannot be used
  /// freely.
  std::function<bool(const ServingTarget &)> IsBounded;
};

/// Returns what this node knows about each pool that has serving targets.
/// Suspect, stalled, retained, cold and rate-limited targets offer no places.
PoolLoads foldPoolLoads(const PoolLoadSources &From, TimePoint Now);

} // namespace waycove
