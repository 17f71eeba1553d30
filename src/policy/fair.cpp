// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/fair.h"

#include <algorithm>

namespace waycove {

namespace {

/// The drain rate is measured over windows of this length.
constexpr Millis RateWindow(500);
/// Share of the newest window in the measured rate.
constexpr double RateGain = 0.5;
constexpr Millis LeastRetryAfter(50);
constexpr Millis MostRetryAfter(30000);
/// Assumed before anything was measured.
constexpr double FirstRate = 1000;

} // namespace

Millis FairQueue::predictWait(const WorkspaceId &Workspace,
                              std::uint64_t Weight, Tokens Cost) const {
  if (this->Running.size() < this->Limits.Slots && this->Waiting == 0)
    return Millis(0);
  std::uint64_t Total = 0;
  std::uint64_t Weights = Weight;
  std::uint64_t Own = Cost.Value;
  for (const auto &[Name, Row] : this->Lanes) {
    Total += Row.Backlog;
    if (Name == Workspace)
      Own += Row.Backlog;
    else if (!Row.Items.empty())
      Weights += Row.Weight;
  }
  // Its turn comes after its own backlog at its share of the drain rate, and
  // never later than after everybody's backlog.
  double Share = static_cast<double>(Own) * static_cast<double>(Weights) /
                 static_cast<double>(std::max<std::uint64_t>(Weight, 1));
  double Ahead = std::min(Share, static_cast<double>(Total + Cost.Value));
  double Drain = this->Rate > 0 ? this->Rate : FirstRate;
  return Millis(static_cast<std::int64_t>(Ahead * 1000 / Drain));
}

absl::StatusOr<TicketId> FairQueue::offer(const FairOffer &Offer,
                                          TimePoint Now) {
  // 1. Would it be in time?
  Millis Wait = this->predictWait(Offer.Workspace, Offer.Weight, Offer.Cost);
  Millis RetryAfter = std::clamp(Wait, LeastRetryAfter, MostRetryAfter);
  if (Now + Wait >= Offer.Deadline)
    return makeError(ErrorKind::Overloaded,
                     "the predicted wait passes the deadline", RetryAfter);
  // 2. Is there room to wait?
  auto At = this->Lanes.find(Offer.Workspace);
  std::size_t Own = At == this->Lanes.end() ? 0 : At->second.Items.size();
  if (Own >= this->Limits.QueuePerWorkspace)
    return makeError(ErrorKind::Overloaded, "the workspace's queue is full",
                     RetryAfter);
  if (this->Waiting >= this->Limits.QueueTotal)
    return makeError(ErrorKind::Overloaded, "the queue is full", RetryAfter);
  // 3. Join the workspace's lane, behind its own requests of this priority.
  Lane &Row = this->Lanes[Offer.Workspace];
  if (Row.Items.empty())
    Row.Tag = std::max(Row.Tag, this->Virtual);
  Row.Weight = std::max<std::uint64_t>(Offer.Weight, 1);
  Row.Backlog += Offer.Cost.Value;
  this->Last = this->Last.next();
  auto Place =
      std::find_if(Row.Items.begin(), Row.Items.end(), [&](const Item &Other) {
        return Other.Priority < Offer.Priority;
      });
  Row.Items.insert(Place,
                   {this->Last, Offer.Cost, Offer.Deadline, Offer.Priority});
  ++this->Waiting;
  return this->Last;
}

std::optional<TicketId> FairQueue::take(TimePoint Now) {
  if (this->Running.size() >= this->Limits.Slots || this->Waiting == 0)
    return std::nullopt;
  // The lane with the lowest start tag goes first.
  auto Best = this->Lanes.end();
  for (auto At = this->Lanes.begin(); At != this->Lanes.end(); ++At)
    if (!At->second.Items.empty() &&
        (Best == this->Lanes.end() || At->second.Tag < Best->second.Tag))
      Best = At;
  auto &[Name, Row] = *Best;
  Item Next = Row.Items.front();
  Row.Items.erase(Row.Items.begin());
  Row.Backlog -= Next.Cost.Value;
  --this->Waiting;
  this->Virtual = std::max(this->Virtual, Row.Tag);
  Row.Tag +=
      static_cast<double>(Next.Cost.Value) / static_cast<double>(Row.Weight);
  if (this->Running.empty())
    this->WindowStart = Now;
  this->Running.push_back({Next.Ticket, Name, Next.Cost});
  return Next.Ticket;
}

std::vector<TicketId> FairQueue::expire(TimePoint Now) {
  std::vector<TicketId> Gone;
  for (auto &[Name, Row] : this->Lanes)
    std::erase_if(Row.Items, [&](const Item &Waits) {
      if (Waits.Deadline > Now)
        return false;
      Gone.push_back(Waits.Ticket);
      Row.Backlog -= Waits.Cost.Value;
      return true;
    });
  this->Waiting -= Gone.size();
  this->dropIdleLanes();
  return Gone;
}

bool FairQueue::withdraw(TicketId Ticket) {
  for (auto &[Name, Row] : this->Lanes)
    for (auto At = Row.Items.begin(); At != Row.Items.end(); ++At)
      if (At->Ticket == Ticket) {
        Row.Backlog -= At->Cost.Value;
        Row.Items.erase(At);
        --this->Waiting;
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
  // What was charged beyond the work done goes back to the workspace, and the
  // other way round.
  if (auto Owner = this->Lanes.find(At->Workspace);
      Owner != this->Lanes.end()) {
    double Extra =
        static_cast<double>(Spent.Value) - static_cast<double>(At->Cost.Value);
    Owner->second.Tag += Extra / static_cast<double>(Owner->second.Weight);
  }
  this->Running.erase(At);
  this->noteRate(Spent, Now);
  this->dropIdleLanes();
}

void FairQueue::noteRate(Tokens Spent, TimePoint Now) {
  this->WindowTokens += Spent.Value;
  auto Took = std::chrono::duration<double>(Now - this->WindowStart).count();
  if (Now - this->WindowStart < RateWindow)
    return;
  double Fresh = static_cast<double>(this->WindowTokens) / Took;
  this->Rate =
      this->Rate > 0 ? RateGain * Fresh + (1 - RateGain) * this->Rate : Fresh;
  this->WindowTokens = 0;
  this->WindowStart = Now;
}

/// A lane with nothing waiting whose tag is in the past carries no memory.
void FairQueue::dropIdleLanes() {
  std::erase_if(this->Lanes, [&](const auto &Row) {
    return Row.second.Items.empty() && Row.second.Tag <= this->Virtual;
  });
}

} // namespace waycove
