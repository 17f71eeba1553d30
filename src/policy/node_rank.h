// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace waycove {

/// An entry node as it announced itself in the directory.
struct NodeInfo {
  NodeId Node;
  IncarnationId Incarnation;
  DataCentreId DataCentre;
  /// Address at which it listens for other nodes.
  std::string Host;
  std::uint16_t Port = 0;
  /// Speed of its network link in Mbit/s; 0 if not configured.
  std::uint32_t LinkMbps = 0;
  /// The era of the store whose configuration this node has verified: it knew
  /// the configuration in force before that era began and saw it written again.
  /// A node that reads this may take the stored configuration as the newest.
  StoreEra Settled{};

  /// Returns true if both are the same node with the same address and link.
  bool sameAddress(const NodeInfo &Other) const {
    return this->Node == Other.Node && this->DataCentre == Other.DataCentre &&
           this->Host == Other.Host && this->Port == Other.Port &&
           this->LinkMbps == Other.LinkMbps;
  }
};

using NodeTable = std::map<NodeId, NodeInfo>;

/// Nodes and the orders that follow from them. Immutable, and made once for
/// each change of the nodes, since the orders of a large system are needed many
/// times a second. All nodes that know the same nodes agree on the orders.
class NodeRanking {
public:
  NodeRanking() = default;
  explicit NodeRanking(NodeTable Known);

  const NodeTable &nodes() const { return this->Nodes; }
  /// Returns the nodes of \p Centre in the order in which they read updates for
  /// the others: fastest links first, then by hash. It differs between data
  /// centres.
  const std::vector<NodeInfo> &readers(const DataCentreId &Centre) const;
  /// Returns the index of \p Node in nodes(), or where it will be listed.
  std::size_t indexOf(const NodeId &Node) const;
  /// Returns all data centres in the order in which their first nodes read
  /// updates for those of the others.
  const std::vector<DataCentreId> &centres() const { return this->Centres; }
  /// Returns the place of \p Node in the order of its data centre; if it is not
  /// listed, the one that it will have.
  std::size_t placeOf(const NodeInfo &Node) const;

private:
  NodeTable Nodes;
  std::map<DataCentreId, std::vector<NodeInfo>> Readers;
  std::vector<DataCentreId> Centres;
};

using NodeRankingRef = std::shared_ptr<const NodeRanking>;

/// Returns whether the first nodes of data centre \p Left read updates for
/// those of \p Right.
bool readsBefore(const DataCentreId &Left, const DataCentreId &Right);
/// Returns the index in \p Order of the upstream node of the one at \p Place,
/// or nothing for the first. Each node serves a bounded number of others, more
/// if its link is fast. So the first node of a large data centre is not
/// overloaded, and nodes that restart at the same time receive the feeds soon:
/// with 12 readers each at links of 20 Mbit/s the last one has them after 0.9
/// s, and three links of 200 Mbit/s among 59 nodes bring that to 0.2 s.
std::optional<std::size_t> upstreamPlace(const std::vector<NodeInfo> &Order,
                                         std::size_t Place);
/// Tracks nodes that failed or had no current updates. The backoff grows with
/// each failure. Not thread-safe.
class NodeBackoff {
public:
  void onFailure(const NodeId &Node, TimePoint Now);
  /// Skips the node until then, without changing its backoff.
  void backOffUntil(const NodeId &Node, TimePoint Until);
  void onSuccess(const NodeId &Node) { this->Entries.erase(Node); }
  bool isBackedOff(const NodeId &Node, TimePoint Now) const;

private:
  /// A restarted node is back within seconds; one that was removed is tried
  /// ever more rarely.
  static constexpr Millis MinDelay{2000};
  static constexpr Millis MaxDelay{30000};
  struct Entry {
    TimePoint Until;
    Millis Delay{0};
  };
  std::map<NodeId, Entry> Entries;
};

} // namespace waycove
