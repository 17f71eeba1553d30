// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <map>
#include <optional>
#include <vector>

namespace waycove {

/// An entry node, as it announced itself.
struct NodeInfo {
  NodeId Node;
  IncarnationId Incarnation;
  DataCentreId DataCentre;
  /// Where it listens for other nodes.
  std::string Host;
  std::uint16_t Port = 0;
  /// Of its network link, in Mbit/s; 0 where operators do not say.
  std::uint32_t LinkMbps = 0;
  /// It knew which configuration was in force before this era of the store
  /// began, and saw it written again. A node that finds this in the directory
  /// may take what the store has for the newest.
  StoreEra Settled{};

  /// Whether both are the same node, reached at the same address over the same
  /// link.
  bool sameAddress(const NodeInfo &Other) const {
    return this->Node == Other.Node && this->DataCentre == Other.DataCentre &&
           this->Host == Other.Host && this->Port == Other.Port &&
           this->LinkMbps == Other.LinkMbps;
  }
};

using NodeTable = std::map<NodeId, NodeInfo>;

/// The nodes of \p Centre in the order in which they are to read for the
/// others: those with the fastest links first. All nodes that know the same
/// nodes agree, and each data centre has an order of its own.
std::vector<NodeInfo> readerOrder(const NodeTable &Nodes,
                                  const DataCentreId &Centre);
/// The place that a node at \p Place of \p Order asks; nothing for the first.
/// Each is given to a bounded number, so the first does not drown in a large
/// data centre. The faster its link, the more that is: where all nodes of a
/// data centre restart at once, each needs 0.1 MB from the one that it asks,
/// and with 12 askers each at links of 20 Mbit/s the last had it after 0.9 s;
/// three of 59 with 200 Mbit/s bring that to 0.2 s.
std::optional<std::size_t> upstreamPlace(const std::vector<NodeInfo> &Order,
                                         std::size_t Place);
/// All data centres, in the order in which their readers are to read for the
/// readers of the others.
std::vector<DataCentreId> dataCentreOrder(const NodeTable &Nodes);

/// Nodes that did not answer or had nothing current, left alone for a time that
/// grows with each failure. Not thread-safe.
class NodeBackoff {
public:
  void onFailure(const NodeId &Node, TimePoint Now);
  /// Leaves it alone until then, and no longer the next time.
  void backOffUntil(const NodeId &Node, TimePoint Until);
  void onSuccess(const NodeId &Node) { this->Rows.erase(Node); }
  bool isBackedOff(const NodeId &Node, TimePoint Now) const;

private:
  /// A node that was killed is back within seconds; one that was taken away is
  /// asked ever more rarely.
  static constexpr Millis Least{2000};
  static constexpr Millis Most{30000};
  struct Row {
    TimePoint Until;
    Millis Pause{0};
  };
  std::map<NodeId, Row> Rows;
};

} // namespace waycove
