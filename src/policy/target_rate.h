// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"
#include "policy/node_rank.h"
#include "policy/stated_limits.h"

#include <functional>
#include <map>
#include <optional>

namespace waycove {

/// The part of a target's rate that one node may use.
struct RateShare {
  /// From the time when the node learns of the limit to its first request.
  Millis FirstDelay{0};
  /// Between two requests of the node.
  Millis Interval{0};
};

/// Returns the share of node \p Me in the rate of \p Target, or nothing if it
/// is not one of the senders or not announced.
///
/// The senders are a few nodes, chosen by rendezvous hashing over all announced
/// ones; their number depends on the rate alone. So the sum of all requests
/// holds within a few requests whatever the nodes know of each other's, at any
/// number of nodes, and while some of them are cut off.
std::optional<RateShare> senderShare(const NodeTable &Nodes, const NodeId &Me,
                                     const VmIncarnation &Target,
                                     RequestRate Rate);
/// The same, except that nodes which are no senders get a small part, in turn.
/// By that they notice the end of a limit of which no other node tells them.
std::optional<RateShare> rateShare(const NodeTable &Nodes, const NodeId &Me,
                                   const VmIncarnation &Target,
                                   RequestRate Rate);
/// The rates that bound the requests to a target.
struct RateBounds {
  /// While it is cold.
  std::optional<RequestRate> Cold;
  /// What it states in its responses.
  std::optional<StatedLimit> Stated;

  bool any() const { return this->Cold || this->Stated; }
  bool operator==(const RateBounds &) const = default;
};

/// A target with bounded rates, and the nodes that share them.
struct BoundedTarget {
  VmIncarnation Target;
  RateBounds Bounds;
  NodeRankingRef Nodes;
  NodeId Me;
  /// Whether Nodes was confirmed recently. If not, there may be nodes that it
  /// lacks, and that choose senders without this one.
  bool HasCurrentNodes = false;
};

/// Limits the requests of this node to targets that are cold or state a limit.
/// Every request counts: first attempts, retries and resumed streams. Not
/// thread-safe.
class TargetRateLimiter {
public:
  /// Returns whether a request may be sent to the target now.
  bool allows(const BoundedTarget &To, TimePoint Now);
  /// The same; if it may be sent, counts it as sent.
  bool take(const BoundedTarget &To, TimePoint Now);
  /// Returns about how long it takes until the target takes another request,
  /// from this node or another one.
  Millis expectedWait(const BoundedTarget &To, TimePoint Now);
  /// Drops targets for which \p IsListed returns false.
  void forget(const std::function<bool(const VmIncarnation &)> &IsListed);

private:
  /// Directory changes take effect after this time.
  static constexpr Millis RecheckInterval{1000};
  /// A node whose directory is not current sends at intervals that are longer
  /// by this factor, so that a part of the fleet which knows only itself uses
  /// little of the rate beside those that the directory lists.
  static constexpr int IsolatedFactor = 4;
  struct Entry {
    RateBounds Bounds;
    bool HasCurrentNodes = false;
    std::optional<RateShare> Share;
    std::optional<TimePoint> CheckedAt;
    std::optional<TimePoint> SentAt;
    /// When the last request was sent, had it been sent as soon as allowed.
    TimePoint DueAt;
  };
  static std::optional<RateShare> shareOf(const BoundedTarget &To);
  static TimePoint nextDue(const Entry &Limit);
  /// Returns when this node may send the next request; nothing if it has no
  /// share.
  std::optional<TimePoint> nextAt(const BoundedTarget &To, TimePoint Now);

  std::map<VmIncarnation, Entry> Entries;
};

} // namespace waycove
