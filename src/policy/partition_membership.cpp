// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/partition_membership.h"

#include <algorithm>

namespace waycove {

namespace {

constexpr std::size_t SpareMembers = 1;

/// The place of this node among the nodes and members of its data centre.
struct Standing {
  /// Nodes before this one in the order.
  std::size_t MembersBefore = 0;
  std::size_t OthersBefore = 0;
  std::size_t Members = 0;
  bool Listed = false;
};

Standing findStanding(const PartitionMembership::Input &In) {
  Standing Result;
  for (const NodeInfo &Node : In.Order) {
    if (Node.Node == In.Me) {
      Result.Listed = true;
      continue;
    }
    bool IsMember = In.Renewals.isMember(memberHash(Node.Node), In.Now);
    Result.Members += IsMember ? 1 : 0;
    if (!Result.Listed)
      ++(IsMember ? Result.MembersBefore : Result.OthersBefore);
  }
  return Result;
}

} // namespace

void MembershipRenewals::record(MemberHash Node, TimePoint At) {
  TimePoint &Last = this->Renewals[Node];
  Last = std::max(Last, At);
}

bool MembershipRenewals::isMember(MemberHash Node, TimePoint Now) const {
  auto At = this->Renewals.find(Node);
  return At != this->Renewals.end() && Now - At->second < RenewalMaxAge;
}

std::vector<std::pair<MemberHash, Millis>>
MembershipRenewals::currentAges(TimePoint Now) const {
  std::vector<std::pair<MemberHash, Millis>> Ages;
  for (const auto &[Node, At] : this->Renewals)
    if (Now - At < RenewalMaxAge)
      Ages.emplace_back(Node, std::chrono::ceil<Millis>(Now - At));
  return Ages;
}

std::size_t requiredMembers(std::uint64_t Partitions, std::size_t Centres) {
  std::size_t Divisor = std::max<std::size_t>(Centres, 1);
  return (Partitions + Divisor - 1) / Divisor + SpareMembers;
}

bool PartitionMembership::decide(const Input &In) {
  if (this->Member ? this->shouldLeave(In) : this->shouldJoin(In)) {
    this->Member = !this->Member;
    this->ShortageSince.reset();
    this->EnoughSince.reset();
  }
  return this->Member;
}

bool PartitionMembership::shouldJoin(const Input &In) {
  Standing Result = findStanding(In);
  if (Result.Listed && Result.Members >= In.Wanted) {
    this->ShortageSince.reset();
    return false;
  }
  Millis Shortage = std::chrono::duration_cast<Millis>(
      In.Now - this->ShortageSince.value_or(In.Now));
  this->ShortageSince = this->ShortageSince.value_or(In.Now);
  if (!Result.Listed)
    return Shortage >= UnlistedJoinDelay;
  std::size_t Missing = In.Wanted - Result.Members;
  if (Result.OthersBefore < Missing)
    return true;
  auto Place = static_cast<int>(Result.OthersBefore - Missing);
  return Shortage >= JoinDelay + PlaceDelay * Place;
}

bool PartitionMembership::shouldLeave(const Input &In) {
  if (In.HoldsPartitions || findStanding(In).MembersBefore < In.Wanted) {
    this->EnoughSince.reset();
    return false;
  }
  this->EnoughSince = this->EnoughSince.value_or(In.Now);
  return In.Now - *this->EnoughSince >= LeaveDelay;
}

} // namespace waycove
