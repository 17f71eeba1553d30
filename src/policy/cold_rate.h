// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"
#include "policy/node_rank.h"

#include <functional>
#include <map>
#include <optional>

namespace waycove {

/// Returns the shortest interval between two requests of node \p Me to the cold
/// target \p Target, which takes \p PerSecond requests a second from all nodes
/// together, or nothing if this node may send none.
///
/// At most PerSecond nodes, chosen by rendezvous hashing over all announced
/// nodes, may send to a cold target, and at least a second lies between two
/// requests of one node. So the limit holds whatever the nodes know of each
/// other's requests, and also while some of them are cut off. With fewer nodes
/// than that, each gets an equal part.
std::optional<Millis> coldSendInterval(const NodeTable &Nodes, const NodeId &Me,
                                       const VmIncarnation &Target,
                                       double PerSecond);

/// Limits the requests of this node to cold targets. Not thread-safe.
class ColdRateLimiter {
public:
  /// Returns the interval for a target, as coldSendInterval(). Called at most
  /// once per RecheckInterval and target.
  using IntervalOf =
      std::function<std::optional<Millis>(const VmIncarnation &Target)>;

  /// Returns whether a request may be sent to the cold target now.
  bool allows(const VmIncarnation &Target, const IntervalOf &Interval,
              TimePoint Now);
  /// The same; if it may be sent, counts it as sent.
  bool take(const VmIncarnation &Target, const IntervalOf &Interval,
            TimePoint Now);
  /// Drops targets for which \p IsListed returns false.
  void forget(const std::function<bool(const VmIncarnation &)> &IsListed);

private:
  /// Directory changes take effect after this time.
  static constexpr Millis RecheckInterval{1000};
  struct Entry {
    std::optional<Millis> Interval;
    TimePoint CheckedAt;
    std::optional<TimePoint> SentAt;
  };
  std::map<VmIncarnation, Entry> Entries;
};

} // namespace waycove
