// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/node_rank.h"

#include <optional>

namespace waycove {

/// Hash of a node's id, independent of its incarnation; identifies members in
/// reports between nodes.
using MemberHash = Number<struct MemberHashTag>;

inline MemberHash memberHash(const NodeId &Node) {
  return MemberHash(hashText(Node.Text));
}

/// Tracks when nodes last renewed their membership, as reported by any node.
/// Records are maxima per node, so reports may be forwarded in any order and
/// any number of times. Not thread-safe.
class MembershipRenewals {
public:
  void record(MemberHash Node, TimePoint At);
  /// Returns true if the node renewed recently.
  bool isMember(MemberHash Node, TimePoint Now) const;
  /// Returns the age of each renewal that has not expired.
  std::vector<std::pair<MemberHash, Millis>> currentAges(TimePoint Now) const;

private:
  /// Maximum age of a renewal that counts: longer than the renewal interval,
  /// the time of four hops between nodes, and the lease of a member together:
  /// a hop takes 0.25 s, a lease 2 s.
  static constexpr Millis RenewalMaxAge{4000};

  std::map<MemberHash, TimePoint> Renewals;
};

/// Returns the number of members per data centre: one for each partition,
/// divided among the data centres, and one spare.
std::size_t requiredMembers(std::uint64_t Partitions, std::size_t Centres);

/// Decides whether this node is a member that partitions are assigned to. Each
/// member renews continuously, so the number of members is limited to keep
/// renewals independent of the number of nodes. The first nodes of the order of
/// each data centre are members; while some of them do not renew, the next ones
/// join one after the other. Not thread-safe.
class PartitionMembership {
public:
  struct Input {
    /// Nodes of this data centre, in order.
    const std::vector<NodeInfo> &Order;
    const NodeId &Me;
    const MembershipRenewals &Renewals;
    std::size_t Wanted;
    bool HoldsPartitions;
    TimePoint Now;
  };
  /// Returns true if this node is a member from now on.
  bool decide(const Input &In);

private:
  /// A node that is not among the first joins after this time without enough
  /// members, and PlaceDelay later for each node before it.
  static constexpr Millis JoinDelay{1500};
  static constexpr Millis PlaceDelay{300};
  /// A member without partitions leaves after there were enough other members
  /// for this long.
  static constexpr Millis LeaveDelay{10000};
  /// A node that the directory does not list joins after this time, without a
  /// place in the order.
  static constexpr Millis UnlistedJoinDelay{5000};

  bool shouldJoin(const Input &In);
  bool shouldLeave(const Input &In);

  bool Member = false;
  std::optional<TimePoint> ShortageSince;
  std::optional<TimePoint> EnoughSince;
};

} // namespace waycove
