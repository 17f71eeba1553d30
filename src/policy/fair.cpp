// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/fair.h"

#include <algorithm>

namespace waycove {

namespace {

/// The drain rate is measured over windows of this length.
constexpr Millis RateWindow(500);
/// Weight of the newest window in the smoothed rate.
constexpr double RateGain = 0.5;
constexpr Millis MinRetryAfter(50);
constexpr Millis MaxRetryAfter(30000);
/// Tokens per second assumed before the first measurement.
constexpr double DefaultRate = 1000;

} // namespace

Millis FairQueue::predictWait(const WorkspaceId &Workspace,
                              std::uint64_t Weight, Tokens Cost) const {
  if (this->Running.size() < this->Limits.Slots && this->Waiting == 0)
    return Millis(0);
  std::uint64_t Total = this->WaitingCost;
  std::uint64_t Weights = this->WaitingWeight + Weight;
  std::uint64_t OwnBacklog = Cost.Value;
  if (auto At = this->Lanes.find(Workspace); At != this->Lanes.end()) {
    OwnBacklog += At->second.Backlog;
    if (!At->second.Items.empty())
      Weights -= At->second.Weight;
  }
  // The request waits for the backlog of its workspace at its share of the
  // drain rate, and at most for the whole backlog.
  double Share = static_cast<double>(OwnBacklog) *
                 static_cast<double>(Weights) /
                 static_cast<double>(std::max<std::uint64_t>(Weight, 1));
  double Ahead = std::min(Share, static_cast<double>(Total + Cost.Value));
  double Drain = this->Rate > 0 ? this->Rate : DefaultRate;
  return Millis(static_cast<std::int64_t>(Ahead * 1000 / Drain));
}

absl::StatusOr<TicketId> FairQueue::offer(const FairOffer &Offer,
                                          TimePoint Now) {
  // 1. Check the deadline.
  Millis Wait = this->predictWait(Offer.Workspace, Offer.Weight, Offer.Cost);
  Millis RetryAfter = std::clamp(Wait, MinRetryAfter, MaxRetryAfter);
  if (Now + Wait >= Offer.Deadline)
    return makeError(ErrorKind::Overloaded,
                     "the predicted wait passes the deadline", RetryAfter);
  // 2. Check the queue limits.
  auto At = this->Lanes.find(Offer.Workspace);
  std::size_t Queued = At == this->Lanes.end() ? 0 : At->second.Items.size();
  if (Queued >= this->Limits.QueuePerWorkspace)
    return makeError(ErrorKind::Overloaded, "the workspace's queue is full",
                     RetryAfter);
  if (this->Waiting >= this->Limits.QueueTotal)
    return makeError(ErrorKind::Overloaded, "the queue is full", RetryAfter);
  // 3. Append it to the lane of the workspace, after requests of its priority.
  Lane &Own = this->Lanes[Offer.Workspace];
  if (Own.Items.empty()) {
    Own.Tag = std::max(Own.Tag, this->Virtual);
    Own.Weight = std::max<std::uint64_t>(Offer.Weight, 1);
    this->WaitingWeight += Own.Weight;
    this->Turns.insert({Own.Tag, Offer.Workspace});
  }
  Own.Backlog += Offer.Cost.Value;
  this->WaitingCost += Offer.Cost.Value;
  this->Last = this->Last.next();
  auto Place =
      std::find_if(Own.Items.begin(), Own.Items.end(), [&](const Item &Other) {
        return Other.Priority < Offer.Priority;
      });
  Own.Items.insert(Place,
                   {this->Last, Offer.Cost, Offer.Deadline, Offer.Priority});
  ++this->Waiting;
  return this->Last;
}

/// Removes one waiting request and updates the sums over all lanes.
void FairQueue::remove(const WorkspaceId &Workspace, Lane &Own,
                       std::vector<Item>::iterator At) {
  Own.Backlog -= At->Cost.Value;
  this->WaitingCost -= At->Cost.Value;
  Own.Items.erase(At);
  --this->Waiting;
  if (!Own.Items.empty())
    return;
  this->WaitingWeight -= Own.Weight;
  this->Turns.erase({Own.Tag, Workspace});
}

std::optional<TicketId> FairQueue::take(TimePoint Now) {
  if (this->Running.size() >= this->Limits.Slots || this->Waiting == 0)
    return std::nullopt;
  // 1. The lane with the lowest start tag is served first.
  WorkspaceId Name = this->Turns.begin()->Workspace;
  Lane &Own = this->Lanes[Name];
  Item Next = Own.Items.front();
  // A large request waits for capacity; smaller ones do not overtake it.
  if (!this->fits(Next.Cost))
    return std::nullopt;
  // 2. Advance the tag of the lane by the cost of the request.
  this->RunningCost += Next.Cost.Value;
  this->Virtual = std::max(this->Virtual, Own.Tag);
  this->remove(Name, Own, Own.Items.begin());
  this->advanceTag(Name, Own,
                   static_cast<double>(Next.Cost.Value) /
                       static_cast<double>(Own.Weight));
  if (this->Running.empty())
    this->WindowStart = Now;
  this->Running.push_back({Next.Ticket, Name, Next.Cost});
  return Next.Ticket;
}

void FairQueue::advanceTag(const WorkspaceId &Workspace, Lane &Own,
                           double Change) {
  if (!Own.Items.empty())
    this->Turns.erase({Own.Tag, Workspace});
  Own.Tag += Change;
  if (!Own.Items.empty())
    this->Turns.insert({Own.Tag, Workspace});
}

std::vector<TicketId> FairQueue::expire(TimePoint Now) {
  std::vector<TicketId> Expired;
  for (auto &[Name, Own] : this->Lanes)
    for (std::size_t I = 0; I < Own.Items.size();) {
      auto At = Own.Items.begin() + static_cast<std::ptrdiff_t>(I);
      if (At->Deadline > Now) {
        ++I;
        continue;
      }
      Expired.push_back(At->Ticket);
      this->remove(Name, Own, At);
    }
  return Expired;
}

bool FairQueue::withdraw(TicketId Ticket) {
  for (auto &[Name, Own] : this->Lanes)
    for (auto At = Own.Items.begin(); At != Own.Items.end(); ++At)
      if (At->Ticket == Ticket) {
        this->remove(Name, Own, At);
        return true;
      }
  return false;
}

void FairQueue::finish(TicketId Ticket, Tokens Spent, TimePoint Now) {
  auto At =
      std::find_if(this->Running.begin(), this->Running.end(),
                   [&](const Active &Row) { return Row.Ticket == Ticket; });
  if (At == this->Running.end())
    return;
  // Correct the charge of the workspace by the tokens actually used.
  if (auto Owner = this->Lanes.find(At->Workspace);
      Owner != this->Lanes.end()) {
    double Extra =
        static_cast<double>(Spent.Value) - static_cast<double>(At->Cost.Value);
    this->advanceTag(At->Workspace, Owner->second,
                     Extra / static_cast<double>(Owner->second.Weight));
  }
  this->RunningCost -= At->Cost.Value;
  this->Running.erase(At);
  this->updateRate(Spent, Now);
  this->dropIdleLanes();
}

bool FairQueue::fits(Tokens Cost) const {
  return this->Limits.RunningTokens == 0 || this->Running.empty() ||
         this->RunningCost + Cost.Value <= this->Limits.RunningTokens;
}

void FairQueue::updateRate(Tokens Spent, TimePoint Now) {
  this->WindowTokens += Spent.Value;
  auto Seconds = std::chrono::duration<double>(Now - this->WindowStart).count();
  if (Now - this->WindowStart < RateWindow)
    return;
  double Measured = static_cast<double>(this->WindowTokens) / Seconds;
  this->Rate = this->Rate > 0
                   ? RateGain * Measured + (1 - RateGain) * this->Rate
                   : Measured;
  this->WindowTokens = 0;
  this->WindowStart = Now;
}

/// Drops empty lanes whose tag has passed. Sweeps once per as many finished
/// requests as there are lanes, for constant amortized cost.
void FairQueue::dropIdleLanes() {
  if (++this->FinishedSinceSweep < this->Lanes.size())
    return;
  this->FinishedSinceSweep = 0;
  std::erase_if(this->Lanes, [&](const auto &Row) {
    return Row.second.Items.empty() && Row.second.Tag <= this->Virtual;
  });
}

} // namespace waycove
