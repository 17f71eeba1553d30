// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/cold_rate.h"

#include <algorithm>
#include <cmath>

namespace waycove {

namespace {

constexpr Millis Second{1000};
/// Two requests of a node may arrive closer together than they were sent.
constexpr Millis ArrivalMargin{100};

std::uint64_t rankOf(const NodeId &Node, const VmIncarnation &Target) {
  return mixHash(hashText(Node.Text), hashText(Target.Id.Text));
}

} // namespace

std::optional<Millis> coldSendInterval(const NodeTable &Nodes, const NodeId &Me,
                                       const VmIncarnation &Target,
                                       double PerSecond) {
  if (!Nodes.contains(Me) || PerSecond < 1)
    return std::nullopt;
  auto Senders = static_cast<std::size_t>(PerSecond);
  if (Nodes.size() <= Senders)
    return Millis(std::llround(static_cast<double>(Second.count()) *
                               static_cast<double>(Nodes.size()) / PerSecond)) +
           ArrivalMargin;
  std::uint64_t OwnRank = rankOf(Me, Target);
  auto Before = static_cast<std::size_t>(
      std::count_if(Nodes.begin(), Nodes.end(), [&](const auto &Node) {
        return rankOf(Node.first, Target) < OwnRank;
      }));
  if (Before >= Senders)
    return std::nullopt;
  return Second + ArrivalMargin;
}

bool ColdRateLimiter::allows(const VmIncarnation &Target,
                             const IntervalOf &Interval, TimePoint Now) {
  auto [At, IsNew] = this->Entries.try_emplace(Target);
  Entry &Limit = At->second;
  if (IsNew || Now - Limit.CheckedAt >= RecheckInterval) {
    Limit.Interval = Interval(Target);
    Limit.CheckedAt = Now;
  }
  return Limit.Interval &&
         (!Limit.SentAt || Now - *Limit.SentAt >= *Limit.Interval);
}

bool ColdRateLimiter::take(const VmIncarnation &Target,
                           const IntervalOf &Interval, TimePoint Now) {
  if (!this->allows(Target, Interval, Now))
    return false;
  this->Entries[Target].SentAt = Now;
  return true;
}

void ColdRateLimiter::forget(
    const std::function<bool(const VmIncarnation &)> &IsListed) {
  std::erase_if(this->Entries,
                [&](const auto &Entry) { return !IsListed(Entry.first); });
}

} // namespace waycove
