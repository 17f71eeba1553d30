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
  /// Returns the nodes to ask for one request, in order: some of the own data
  /// centre first, and then of others, each shuffled by \p Random, so that the
  /// load is spread. Where nodes of a data centre offered no way, all others
  /// come before it for a while. Leaves out nodes for which \p MayCarry returns
  /// false and those that offered no way themselves recently.
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
  void onNoWay(const NodeInfo &Node, TimePoint Now);
  void onWay(const NodeInfo &Node);
  /// This node reaches targets itself again.
  void reset() { *this = {}; }

private:
  /// Nodes that are asked for one request.
  static constexpr std::size_t MaxCandidates = 6;
  /// Of these, the nodes of the own data centre, all of which may be cut off.
  static constexpr std::size_t MaxLocal = 3;
  /// A node that offered no way is not asked for this long.
  static constexpr Millis NoWayDelay{500};
  /// A data centre comes after all others for this long.
  static constexpr Millis CentreDelay{1000};

  struct Candidate {
    bool IsDenied = false;
    bool IsElsewhere = false;
    std::uint64_t Rank = 0;
    const NodeInfo *Node = nullptr;

    bool operator<(const Candidate &Other) const;
  };
  bool isDenied(const DataCentreId &Centre, TimePoint Now) const;

  NodeBackoff Backoff;
  /// When a node of the data centre last offered no way.
  std::map<DataCentreId, TimePoint> DeniedAt;
};

} // namespace waycove
