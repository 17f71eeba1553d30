// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/partition_membership.h"

#include <algorithm>

namespace waycove {

namespace {

constexpr std::size_t SpareMembers = 1;

struct Standing {
  /// Of the nodes before this one, those that are members and those that are
  /// not.
  std::size_t MembersBefore = 0;
  std::size_t OthersBefore = 0;
  std::size_t Members = 0;
  bool Listed = false;
};

Standing standingOf(const PartitionMembership::Input &Given) {
  Standing Row;
  for (const NodeInfo &Node : Given.Order) {
    if (Node.Node == Given.Me) {
      Row.Listed = true;
      continue;
    }
    bool Fresh = Given.Renewals.isMember(memberHash(Node.Node), Given.Now);
    Row.Members += Fresh ? 1 : 0;
    if (!Row.Listed)
      ++(Fresh ? Row.MembersBefore : Row.OthersBefore);
  }
  return Row;
}

} // namespace

void MembershipRenewals::record(MemberHash Node, TimePoint At) {
  TimePoint &Last = this->Rows[Node];
  Last = std::max(Last, At);
}

bool MembershipRenewals::isMember(MemberHash Node, TimePoint Now) const {
  auto At = this->Rows.find(Node);
  return At != this->Rows.end() && Now - At->second < FreshTime;
}

std::vector<std::pair<MemberHash, Millis>>
MembershipRenewals::currentAges(TimePoint Now) const {
  std::vector<std::pair<MemberHash, Millis>> Ages;
  for (const auto &[Node, At] : this->Rows)
    if (Now - At < FreshTime)
      Ages.emplace_back(Node, std::chrono::ceil<Millis>(Now - At));
  return Ages;
}

std::size_t requiredMembers(std::uint64_t Parts, std::size_t Centres) {
  std::size_t Each = std::max<std::size_t>(Centres, 1);
  return (Parts + Each - 1) / Each + SpareMembers;
}

bool PartitionMembership::decide(const Input &Given) {
  if (this->Member ? this->isSurplus(Given) : this->isDue(Given)) {
    this->Member = !this->Member;
    this->ShortSince.reset();
    this->EnoughSince.reset();
  }
  return this->Member;
}

bool PartitionMembership::isDue(const Input &Given) {
  Standing Row = standingOf(Given);
  if (Row.Listed && Row.Members >= Given.Wanted) {
    this->ShortSince.reset();
    return false;
  }
  Millis Short = std::chrono::duration_cast<Millis>(
      Given.Now - this->ShortSince.value_or(Given.Now));
  this->ShortSince = this->ShortSince.value_or(Given.Now);
  if (!Row.Listed)
    return Short >= UnlistedWait;
  std::size_t Lacking = Given.Wanted - Row.Members;
  if (Row.OthersBefore < Lacking)
    return true;
  auto Place = static_cast<int>(Row.OthersBefore - Lacking);
  return Short >= DeputyWait + PlaceWait * Place;
}

bool PartitionMembership::isSurplus(const Input &Given) {
  if (Given.HoldsPartitions || standingOf(Given).MembersBefore < Given.Wanted) {
    this->EnoughSince.reset();
    return false;
  }
  this->EnoughSince = this->EnoughSince.value_or(Given.Now);
  return Given.Now - *this->EnoughSince >= SurplusWait;
}

} // namespace waycove
