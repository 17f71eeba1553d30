// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/pool_load.h"

#include <vector>

namespace waycove {

/// Returns the fraction of a pool's places that this node may use, 0 to 1: its
/// part of the arrivals at all nodes. Known nodes that are missing in the
/// reports count like the average of the others. Without reports, all known
/// nodes have equal parts.
double placeShare(const PoolLoad &Load);

/// Returns how many requests of node \p Me may hold a place of the pool at the
/// same time, at least 1; nothing if the number of places is unknown.
///
/// Answers a pool for which more requests arrive than its targets can run: the
/// limits of all nodes together are then the number of places, so that requests
/// wait at their nodes. While the pool is not fully used, the limit is larger
/// than the share, since arrivals at one node cluster at random while other
/// nodes leave places free.
std::optional<std::size_t> placeLimit(const PoolLoad &Load, const NodeId &Me,
                                      const PoolKey &Pool);

/// Tracks which pools are overloaded. Not thread-safe.
class OverloadMonitor {
public:
  /// A pool that became overloaded, or was relieved.
  struct Change {
    PoolKey Pool;
    bool IsOverloaded = false;
    PoolLoad Load;
  };
  /// Applies a round of reports and returns the changes.
  std::vector<Change> update(const PoolLoads &Loads);
  bool isOverloaded(const PoolKey &Pool) const;

private:
  struct State {
    bool IsOverloaded = false;
    /// Successive rounds with requests waiting and too few places.
    unsigned CrowdedRounds = 0;
  };
  std::map<PoolKey, State> Pools;
};

} // namespace waycove
