// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/centre_balance.h"

#include <map>
#include <vector>

namespace waycove {

/// Requests in flight at all targets of a pool, and how many these can run at a
/// time; the others queue there.
struct PoolUse {
  double InFlight = 0;
  double Slots = 0;
};

using PoolUses = std::map<PoolKey, PoolUse>;

/// Returns the use of each pool whose targets have a known number of slots, from
/// this node and the reports of others. Suspect targets do not count. Empty if
/// other nodes exist and none has reported.
PoolUses poolUses(const ServingView &View, const RoutingConfig &Config,
                  const TargetStatsTable &Stats, bool IsAlone, TimePoint Now);

/// Decides which fraction of the requests for a pool a node refuses while more
/// arrive than its targets can run. Without that, queues at the targets grow
/// until nearly every response is late; with it, most of those that are
/// accepted are in time.
///
/// All nodes apply the same rule to nearly the same reports: a PI controller
/// that holds the requests in flight at the number of slots. Its gains allow
/// for the age of the reports.
class LoadShedder {
public:
  /// A pool of which requests begin to be refused, or no longer are.
  struct Change {
    PoolKey Pool;
    bool IsOverloaded = false;
    double Utilization = 0;
  };
  /// Applies a round of reports and returns the changes.
  std::vector<Change> update(const PoolUses &Uses, TimePoint Now);
  /// Returns the fraction of requests to refuse, 0 to 1.
  double refusedFraction(const PoolKey &Pool) const;

private:
  struct PoolState {
    double Integral = 0;
    double Fraction = 0;
    bool IsOverloaded = false;
  };
  std::map<PoolKey, PoolState> Pools;
  TimePoint UpdatedAt;
};

} // namespace waycove
