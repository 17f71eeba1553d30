// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/node_rank.h"

#include <functional>

namespace waycove {

/// Selects the nodes that are asked for a way to targets by a node that has
/// lost its own links. Not thread-safe.
class WaySelector {
public:
  /// Returns the nodes to ask for one request, in order: those of the own data
  /// centre first, in an order that \p Random shuffles, so that the load is
  /// spread. Leaves out those for which \p MayCarry returns false and those
  /// that offered no way recently.
  std::vector<NodeInfo>
  candidates(const NodeRanking &Known, const NodeInfo &Me,
             const std::function<bool(const NodeInfo &)> &MayCarry,
             std::uint64_t Random, TimePoint Now) const;
  /// The node did not respond.
  void onUnreachable(const NodeId &Node, TimePoint Now) {
    this->Backoff.onFailure(Node, Now);
  }
  /// The node responded that it offers no way: it is cut off itself, stops, or
  /// carries as many requests as it may.
  void onNoWay(const NodeId &Node, TimePoint Now) {
    this->Backoff.backOffUntil(Node, Now + NoWayDelay);
  }
  void onWay(const NodeId &Node) { this->Backoff.onSuccess(Node); }
  /// This node reaches targets itself again.
  void reset() { this->Backoff = {}; }

private:
  /// Nodes that are asked for one request.
  static constexpr std::size_t MaxCandidates = 6;
  /// A node that offered no way is not asked for this long.
  static constexpr Millis NoWayDelay{500};

  NodeBackoff Backoff;
};

} // namespace waycove
