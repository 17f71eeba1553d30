// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"
#include "policy/target_stats.h"

#include <compare>
#include <map>
#include <vector>

namespace waycove {

/// Targets that take the same requests.
struct PoolKey {
  ServiceId Service;
  /// Empty for plain services.
  std::string Model;
  // The comparison that the compiler makes is no text of ours. NOLINTNEXTLINE
  auto operator<=>(const PoolKey &) const = default;
};

/// Requests under way at a target, on average.
struct CentreLoad {
  /// Over the targets of this node's data centre.
  double Here = 0;
  /// Over those of all data centres.
  double All = 0;
  /// How many this node's data centre has, at least one.
  double Targets = 1;
};

using CentreLoads = std::map<PoolKey, CentreLoad>;

/// How busy targets are, in \p Here and on the whole, as this node and all
/// others see them. Targets that are under suspicion do not count: what is
/// under way there will not end. Nothing for pools that have no target in
/// \p Here.
CentreLoads centreLoads(const ServingView &View, const TargetStatsTable &Stats,
                        const DataCentreId &Here, TimePoint Now);

/// What part of the requests a node keeps in its own data centre, by pool. All
/// go to the nearest targets while these are no busier than others. Where some
/// of them fall out, the part falls with their number at once; where the rest
/// are busier than others, it falls on for as long as they are.
///
/// It answers a data centre that lost some of its groups while its callers
/// stayed: nodes preferred the near groups, since each saw too little of them
/// to tell that they were full. In virtual time, five data centres of 60 nodes
/// and 10 groups, of which three lose 1, 2 and 3 at once: 14 in 100 first
/// events from then on came late; now 1.4, with 9 of 100 requests sent
/// elsewhere, 4 before. With no preference at all it is 1.1, and 80 sent
/// elsewhere. What others tell of single targets cannot be used so: it is half
/// a second old, and would send all requests to the same ones.
class CentreBalance {
public:
  /// A pool of which more requests leave than before, or hardly any more.
  struct Change {
    PoolKey Pool;
    bool Busy = false;
    double LocalFraction = 1;
  };
  /// Takes a round of news; what changed by it.
  std::vector<Change> update(const CentreLoads &Loads, TimePoint Now);
  /// 0 to 1; 1 for pools of which nothing is known.
  double localFraction(const PoolKey &Pool) const;

private:
  struct Row {
    double LocalFraction = 1;
    double Targets = 1;
    bool Busy = false;
  };
  std::map<PoolKey, Row> Rows;
  TimePoint UpdatedAt;
};

} // namespace waycove
