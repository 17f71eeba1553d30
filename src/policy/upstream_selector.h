// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/node_rank.h"

namespace waycove {

/// Selects the upstream nodes that this node requests updates from. All nodes
/// that know the same nodes agree on an order of data centres and of nodes
/// within each. A node uses only nodes before it, so updates never return to
/// their origin, and the first one with access to the store reads it for all
/// others. A node whose assigned upstream fails tries others before it, and
/// reads the store only if these fail, too. Not thread-safe.
class UpstreamSelector {
public:
  /// Returns the nodes to try in this round, in order, until one has current
  /// updates. Empty for the first node of all, and if all candidates are backed
  /// off.
  std::vector<NodeInfo> nextCandidates(const NodeRanking &Known,
                                       const NodeInfo &Me, TimePoint Now) const;
  /// Returns all other nodes, for a node that has lost the store and every node
  /// before it: those of its data centre first, starting after its own place.
  std::vector<NodeInfo> fallbackCandidates(const NodeRanking &Known,
                                           const NodeInfo &Me,
                                           TimePoint Now) const;
  /// The node did not respond.
  void onFailure(const NodeId &Node, TimePoint Now) {
    this->Backoff.onFailure(Node, Now);
  }
  /// The node responded without current updates.
  void onStale(const NodeId &Node, TimePoint Now) {
    this->Backoff.backOffUntil(Node, Now + StaleDelay);
  }
  void onSuccess(const NodeId &Node) { this->Backoff.onSuccess(Node); }
  bool isBackedOff(const NodeId &Node, TimePoint Now) const {
    return this->Backoff.isBackedOff(Node, Now);
  }

private:
  /// Maximum candidates per round; each may cost a connect timeout.
  static constexpr std::size_t MaxCandidates = 3;
  /// Candidates from each other data centre; the other nodes there use these.
  static constexpr std::size_t CandidatesPerCentre = 2;
  /// A node without current updates is skipped for this long, about the time it
  /// needs to catch up after it has reached the store again.
  static constexpr Millis StaleDelay{400};

  NodeBackoff Backoff;
};

/// Range of the interval between calls of a node to a store that fails.
struct ProbeBackoff {
  Millis Min;
  Millis Max;
};

/// Returns the interval at which a node retries a store that fails, when \p
/// Nodes nodes do. The first node of each data centre retries soon, since all
/// others learn from it. The rate of the others is bounded over all nodes
/// together.
ProbeBackoff probeBackoff(std::size_t Nodes, bool IsFirst);

} // namespace waycove
