// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/target_rate.h"

#include <algorithm>
#include <cmath>

namespace waycove {

namespace {

constexpr double MillisPerSecond = 1000;
/// Part of a rate that the senders use. The rest is for requests that arrive
/// closer together than they were sent, and for the other nodes.
constexpr double SenderPart = 0.9;
/// Part of a rate that all nodes which are no senders use together.
constexpr double OthersPart = 0.05;
/// Least number of senders, since some of them may be down or without requests.
/// All of them may send at the same moment, so it is small.
constexpr double MinSenders = 4;
/// A target that takes less is still sent some requests, whose responses tell
/// when that ends.
constexpr RequestRate MinRate{0.1};

std::uint64_t rankOf(const NodeId &Node, const VmIncarnation &Target) {
  return mixHash(hashText(Node.Text), hashText(Target.Id.Text));
}

std::size_t senderCount(std::size_t Nodes, RequestRate Rate) {
  double Wanted = std::max(MinSenders, std::floor(Rate.PerSecond));
  return Wanted < static_cast<double>(Nodes) ? static_cast<std::size_t>(Wanted)
                                             : Nodes;
}

/// The share of the node at \p Place of \p Count that use \p Part of a rate,
/// one after the other.
RateShare shareInTurn(std::size_t Place, std::size_t Count, double Part,
                      RequestRate Rate) {
  double PerSecond = Part * std::max(Rate, MinRate).PerSecond;
  auto TimeOf = [&](std::size_t Requests) {
    return Millis(std::llround(MillisPerSecond * static_cast<double>(Requests) /
                               PerSecond));
  };
  return {TimeOf(Place + 1), TimeOf(Count)};
}

/// The order in which nodes send to a target.
struct SendOrder {
  /// Of one node, from 0.
  std::size_t Place = 0;
  std::size_t Senders = 0;
  std::size_t Others = 0;

  bool isSender() const { return this->Place < this->Senders; }
};

std::optional<SendOrder> sendOrder(const NodeTable &Nodes, const NodeId &Me,
                                   const VmIncarnation &Target,
                                   RequestRate Rate) {
  if (!Nodes.contains(Me))
    return std::nullopt;
  std::uint64_t OwnRank = rankOf(Me, Target);
  auto Before = static_cast<std::size_t>(
      std::count_if(Nodes.begin(), Nodes.end(), [&](const auto &Node) {
        return rankOf(Node.first, Target) < OwnRank;
      }));
  std::size_t Senders = senderCount(Nodes.size(), Rate);
  return SendOrder{Before, Senders, Nodes.size() - Senders};
}

} // namespace

std::optional<RateShare> senderShare(const NodeTable &Nodes, const NodeId &Me,
                                     const VmIncarnation &Target,
                                     RequestRate Rate) {
  auto Order = sendOrder(Nodes, Me, Target, Rate);
  if (!Order || !Order->isSender())
    return std::nullopt;
  return shareInTurn(Order->Place, Order->Senders, SenderPart, Rate);
}

std::optional<RateShare> rateShare(const NodeTable &Nodes, const NodeId &Me,
                                   const VmIncarnation &Target,
                                   RequestRate Rate) {
  auto Order = sendOrder(Nodes, Me, Target, Rate);
  if (!Order)
    return std::nullopt;
  if (Order->isSender())
    return shareInTurn(Order->Place, Order->Senders, SenderPart, Rate);
  return shareInTurn(Order->Place - Order->Senders, Order->Others, OthersPart,
                     Rate);
}

std::optional<RateShare> TargetRateLimiter::shareOf(const BoundedTarget &To) {
  const NodeTable &Nodes = To.Nodes->nodes();
  RateShare Share;
  if (To.Bounds.Cold) {
    auto Cold = senderShare(Nodes, To.Me, To.Target, *To.Bounds.Cold);
    if (!Cold)
      return std::nullopt;
    Share.Interval = Cold->Interval;
  }
  if (To.Bounds.Stated) {
    auto Stated = rateShare(Nodes, To.Me, To.Target, To.Bounds.Stated->Rate);
    if (!Stated)
      return std::nullopt;
    Share.FirstDelay = Stated->FirstDelay;
    Share.Interval = std::max(Share.Interval, Stated->Interval);
  }
  if (!To.HasCurrentNodes) {
    Share.FirstDelay *= IsolatedFactor;
    Share.Interval *= IsolatedFactor;
  }
  return Share;
}

std::optional<TimePoint> TargetRateLimiter::nextAt(const BoundedTarget &To,
                                                   TimePoint Now) {
  Entry &Limit = this->Entries[To.Target];
  if (!Limit.CheckedAt || Now - *Limit.CheckedAt >= RecheckInterval ||
      Limit.Bounds != To.Bounds ||
      Limit.HasCurrentNodes != To.HasCurrentNodes) {
    Limit.Bounds = To.Bounds;
    Limit.HasCurrentNodes = To.HasCurrentNodes;
    Limit.Share = shareOf(To);
    Limit.CheckedAt = Now;
  }
  if (!Limit.Share)
    return std::nullopt;
  TimePoint Next = nextDue(Limit);
  if (To.Bounds.Stated)
    Next = std::max(Next, To.Bounds.Stated->Since + Limit.Share->FirstDelay);
  return Next;
}

/// Without requests at the right moment, a node would leave part of its share
/// unused. So at a stated limit the next one may follow sooner, but not sooner
/// than after half the interval. A cold target's rate holds in each second.
TimePoint TargetRateLimiter::nextDue(const Entry &Limit) {
  if (!Limit.SentAt)
    return TimePoint();
  Millis Interval = Limit.Share->Interval;
  if (Limit.Bounds.Cold)
    return *Limit.SentAt + Interval;
  return std::max(Limit.DueAt + Interval, *Limit.SentAt + Interval / 2);
}

Millis TargetRateLimiter::expectedWait(const BoundedTarget &To, TimePoint Now) {
  const RateBounds &Bounds = To.Bounds;
  Millis Mean{0};
  if (Bounds.Cold)
    Mean = shareInTurn(0, 1, SenderPart, *Bounds.Cold).Interval;
  if (Bounds.Stated)
    Mean = std::max(
        Mean, shareInTurn(0, 1, SenderPart, Bounds.Stated->Rate).Interval);
  std::optional<TimePoint> Next = this->nextAt(To, Now);
  if (!Next)
    return Mean;
  Millis OwnWait = std::chrono::ceil<Millis>(std::max(*Next, Now) - Now);
  return std::min(Mean, OwnWait);
}

bool TargetRateLimiter::allows(const BoundedTarget &To, TimePoint Now) {
  std::optional<TimePoint> Next = this->nextAt(To, Now);
  return Next && Now >= *Next;
}

bool TargetRateLimiter::take(const BoundedTarget &To, TimePoint Now) {
  std::optional<TimePoint> Next = this->nextAt(To, Now);
  if (!Next || Now < *Next)
    return false;
  Entry &Limit = this->Entries[To.Target];
  Limit.DueAt =
      Limit.SentAt ? std::max(*Next, Now - Limit.Share->Interval / 2) : Now;
  Limit.SentAt = Now;
  return true;
}

void TargetRateLimiter::forget(
    const std::function<bool(const VmIncarnation &)> &IsListed) {
  std::erase_if(this->Entries,
                [&](const auto &Item) { return !IsListed(Item.first); });
}

} // namespace waycove
