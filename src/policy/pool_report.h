// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/pool_key.h"

#include <map>

namespace waycove {

/// What a set of nodes reports of its requests for one pool of targets.
struct PoolReport {
  /// Requests that arrive per second, averaged over the last few seconds.
  double Arrivals = 0;
  /// Requests that hold a place at a target.
  double InFlight = 0;
  /// Requests that wait at their nodes for a place.
  double Waiting = 0;
  /// Number of nodes in the set.
  unsigned Nodes = 0;

  /// Adds the report of other nodes.
  void add(const PoolReport &Other);
  /// Whether all numbers are plausible: finite, not negative and not absurdly
  /// large.
  bool isValid() const;
};

/// By pool.
using PoolReports = std::map<PoolKey, PoolReport>;

} // namespace waycove
