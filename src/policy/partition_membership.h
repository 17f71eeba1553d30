// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/node_rank.h"

#include <optional>

namespace waycove {

/// Hash of a node's id, whichever life of its process; nodes name it to each
/// other so.
using MemberHash = Number<struct MemberHashTag>;

inline MemberHash memberHash(const NodeId &Node) {
  return MemberHash(hashText(Node.Text));
}

/// When nodes last renewed their membership of the shared work, as far as this
/// one was told. The latest time of each counts, whoever told it and however
/// often, so nodes pass all of it on to whomever they talk to. Not thread-safe.
class MembershipRenewals {
public:
  void record(MemberHash Node, TimePoint At);
  /// Whether the node is a member, for all that is known.
  bool isMember(MemberHash Node, TimePoint Now) const;
  /// The age of each newest renewal that still counts.
  std::vector<std::pair<MemberHash, Millis>> currentAges(TimePoint Now) const;

private:
  /// Members renew twice a second, and each hears of it over four hops of a
  /// round of news, 0.25 s each; a lease ends after 2 s.
  static constexpr Millis FreshTime{4000};

  std::map<MemberHash, TimePoint> Rows;
};

/// How many nodes of a data centre take part in the shared work: enough that
/// each holds one part, and one more, so that a death leaves no member with
/// much more than the others. Where all are lost, those of the other data
/// centres are dealt their parts.
std::size_t requiredMembers(std::uint64_t Parts, std::size_t Centres);

/// Whether this node takes part in the shared work. Each member renews twice a
/// second for as long as it lives, so with all nodes as members the renewals
/// grow with the nodes: 33 calls a second at 295, of 35 for all purposes on a
/// calm day. The first of each data centre's order take part; where some of
/// them do not renew, the next ones do, one after the other, so that a few
/// deaths do not bring in everybody. Not thread-safe.
class PartitionMembership {
public:
  struct Input {
    /// This data centre's nodes in order.
    const std::vector<NodeInfo> &Order;
    const NodeId &Me;
    const MembershipRenewals &Renewals;
    std::size_t Wanted;
    bool HoldsPartitions;
    TimePoint Now;
  };
  /// Whether it takes part from here on.
  bool decide(const Input &Given);

private:
  /// A node that is not among the first waits so long for news of members, and
  /// so much longer for each node before it.
  static constexpr Millis DeputyWait{1500};
  static constexpr Millis PlaceWait{300};
  /// For so long there have to be enough without a member that holds nothing
  /// before it goes: a node that is back is noticed at once.
  static constexpr Millis SurplusWait{10000};
  /// A node that the directory does not list after this time takes part
  /// without knowing its place.
  static constexpr Millis UnlistedWait{5000};

  bool isDue(const Input &Given);
  bool isSurplus(const Input &Given);

  bool Member = false;
  std::optional<TimePoint> ShortSince;
  std::optional<TimePoint> EnoughSince;
};

} // namespace waycove
