// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"
#include "policy/pool_key.h"
#include "policy/target_stats.h"

#include <map>
#include <vector>

namespace waycove {

/// Average requests in flight per target.
struct CentreLoad {
  /// Average over the targets of this node's data centre.
  double Here = 0;
  /// Average over the targets of all data centres.
  double All = 0;
  /// Number of targets in this node's data centre, at least one.
  double Targets = 1;
};

using CentreLoads = std::map<PoolKey, CentreLoad>;

/// Returns the average load of targets in \p Here and overall, from this node
/// and the reports of others. Suspect targets do not count, since their
/// requests may never end. Empty for pools without a target in \p Here.
CentreLoads centreLoads(const ServingView &View, const TargetStatsTable &Stats,
                        const DataCentreId &Here, TimePoint Now);

/// Decides which fraction of the requests a node sends to targets of its own
/// data centre, by pool. It is 1 while these are no busier than others. It
/// drops in proportion when targets are lost, and keeps falling while the
/// remaining ones are busier than those of other data centres. The load is
/// averaged over all targets of a data centre, as this node sees it and other
/// nodes report it: a single node sends too few requests to know the load, and
/// reports of single targets are out of date when they arrive, so that they
/// would send the requests of all nodes to the same ones.
class CentreBalance {
public:
  /// A pool that began to send requests to other data centres, or nearly
  /// stopped to.
  struct Change {
    PoolKey Pool;
    bool Busy = false;
    double LocalFraction = 1;
  };
  /// Applies a round of reports and returns the changes.
  std::vector<Change> update(const CentreLoads &Loads, TimePoint Now);
  /// Returns the fraction, 0 to 1; 1 for unknown pools.
  double localFraction(const PoolKey &Pool) const;

private:
  struct PoolState {
    double LocalFraction = 1;
    double Targets = 1;
    bool Busy = false;
  };
  std::map<PoolKey, PoolState> Pools;
  TimePoint UpdatedAt;
};

} // namespace waycove
