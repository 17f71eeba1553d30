// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/node_rank.h"

namespace waycove {

/// Whom a node asks for news. All nodes that know the same nodes agree on an
/// order in which they come, by data centre and within each; a node reads
/// through nodes before it alone, so what it is told never came through itself,
/// and the first that has the store reads it for all. Where the one that is
/// given to it fails, it asks others before it, before it reads the store: on a
/// site of 295 nodes one reads the store on a calm day, and still one when a
/// third of the nodes are turned away by it. Not thread-safe.
class UpstreamSelector {
public:
  /// The nodes to ask in this round, one after the other until one has current
  /// news. Empty for the first node of all, and where all have failed lately.
  std::vector<NodeInfo> nextCandidates(const NodeTable &Nodes,
                                       const NodeInfo &Me, TimePoint Now) const;
  /// All other nodes, as a node asks them that lost the store and all before
  /// it: those of its data centre first, from its place on.
  std::vector<NodeInfo> fallbackCandidates(const NodeTable &Nodes,
                                           const NodeInfo &Me,
                                           TimePoint Now) const;
  /// The node did not answer.
  void onFailure(const NodeId &Node, TimePoint Now) {
    this->Failures.onFailure(Node, Now);
  }
  /// The node answered that it has nothing current.
  void onStale(const NodeId &Node, TimePoint Now) {
    this->Failures.backOffUntil(Node, Now + StaleTime);
  }
  void onSuccess(const NodeId &Node) { this->Failures.onSuccess(Node); }
  bool isBackedOff(const NodeId &Node, TimePoint Now) const {
    return this->Failures.isBackedOff(Node, Now);
  }

private:
  /// Nodes asked in a round; each may cost the time for a connection.
  static constexpr std::size_t MostAsked = 3;
  /// Of each other data centre; the others there ask these.
  static constexpr std::size_t AskedOfCentre = 2;
  /// A node with old news has new ones about a round after it gets the store
  /// back; until then those behind it in the order are asked.
  static constexpr Millis StaleTime{400};

  NodeBackoff Failures;
};

/// Pauses between a node's calls to a store that fails.
struct ProbeBackoff {
  Millis Min;
  Millis Max;
};

/// How often a node tries a store that fails, where \p Nodes nodes try: the
/// first of each data centre soon, since all others learn from it; the others
/// so rarely that all together make some 50 calls a second, however many they
/// are. One that alone has lost the store learns from others meanwhile.
ProbeBackoff probeBackoff(std::size_t Nodes, bool First);

} // namespace waycove
