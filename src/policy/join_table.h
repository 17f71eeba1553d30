// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/node_rank.h"

#include <string>
#include <utility>

namespace waycove {

/// What a seed tells a node that starts.
struct JoinAnswer {
  /// Nodes to get the feeds from, in order.
  std::vector<NodeInfo> Upstream;
  /// No other node can provide the feeds: the node reads them from the store.
  bool ReadsStore = false;
  /// Nodes that the seed knows.
  std::size_t NodeCount = 0;
  /// When to ask again. Grows with the number of nodes that start, so that a
  /// seed gets a bounded number of requests per second.
  Millis RetryAfter{0};
};

/// The nodes that asked a seed to join and are not in the directory yet. A seed
/// writes their announcements to the store together, and tells each node which
/// others to get the feeds from, so that a start costs the store a few calls
/// for any number of nodes. Not thread-safe.
class JoinTable {
public:
  using Announcements = std::vector<std::pair<NodeId, std::string>>;

  /// Records that \p Node asked to join with the announcement \p Bytes. Returns
  /// whether its address was unknown.
  bool add(const NodeInfo &Node, std::string Bytes, TimePoint Now);
  /// Returns the nodes of \p Listed and those that joined.
  NodeTable withJoined(const NodeTable &Listed) const;
  /// Returns the announcements that have to be written to the store, and counts
  /// them as written at \p Now.
  Announcements takeUnwritten(const NodeTable &Listed, TimePoint Now);
  /// The last ones could not be written.
  void onWriteFailed(const Announcements &Unwritten);
  /// Forgets nodes that the directory lists, and those that joined long ago.
  void prune(const NodeTable &Listed, TimePoint Now);
  bool empty() const { return this->Joined.empty(); }

private:
  /// An announcement that the directory does not show after this time is
  /// written again.
  static constexpr Millis RewriteInterval{5000};
  /// A node that is not listed by then has ended.
  static constexpr Millis MaxAge{20000};

  struct Entry {
    NodeInfo Node;
    std::string Bytes;
    TimePoint JoinedAt;
    std::optional<TimePoint> WrittenAt;
  };
  static bool isListed(const NodeTable &Listed, const NodeInfo &Node);
  std::map<NodeId, Entry> Joined;
};

/// Returns the answer to \p Who, given the nodes that the seed knows. \p Failed
/// are those that \p Who could not reach. \p Complete tells whether the seed
/// knows the nodes that started before.
JoinAnswer answerJoin(const NodeRanking &Known, const NodeInfo &Who,
                      const std::vector<NodeId> &Failed, bool Complete,
                      TimePoint Now);

/// Returns when a node that no seed answers may read the directory from the
/// store, counted from when it gave up on the seeds. The number of nodes is
/// unknown then, so the admitted fraction doubles at fixed intervals, and the
/// first ones are there for the others to ask.
Millis storeTurn(const NodeId &Node);

} // namespace waycove
