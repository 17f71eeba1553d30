// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/pool_load.h"

#include <vector>

namespace waycove {

/// This node's part of the places at each target of a pool.
struct PlaceShare {
  /// Places of this node, per slot of a target.
  double Fraction = 0;
  /// Where the part begins, 0 to 1: the parts of successive nodes adjoin.
  double Begin = 0;

  /// Returns how many requests of this node may hold a place at the target at
  /// the same time, at most \p Slots. If all nodes have the same fraction and
  /// these add up to 1, the numbers add up to \p Slots. If the fractions
  /// differ, the parts overlap or leave gaps at single targets, and the numbers
  /// add up to the slots on average over the targets.
  std::size_t placesAt(TargetHash Target, unsigned Slots) const;
};

/// Returns the part of all requests for a pool that arrive at this node, 0 to
/// 1. Known nodes that are missing in the reports count like the average of the
/// others. Without reports, all known nodes have equal parts.
double arrivalShare(const PoolLoad &Load);

/// Returns this node's part of the places; nothing if their number is unknown.
///
/// Answers a pool for which more requests arrive than its targets can run: the
/// parts of all nodes then add up to the slots of each target, so that requests
/// wait at their nodes, and no target queues while another one has free slots.
/// Nodes need not know what the others send at that moment. While the pool is
/// not fully used, the part is larger, since arrivals at one node cluster at
/// random while other nodes leave places free. While requests wait although
/// places are free, such as those of nodes that died, it is larger, too, by a
/// bounded factor.
std::optional<PlaceShare> placeShare(const PoolLoad &Load);

/// Returns how many requests of this node may hold a place of the pool at the
/// same time, at least 1 so that a pool is always tried.
std::size_t placeLimit(const PoolLoad &Load, const PlaceShare &Share);

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
  /// Returns whether the pool is overloaded by the latest round of reports;
  /// false for an unknown one.
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
