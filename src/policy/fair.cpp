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
  std::uint64_t Total = this->WaitingCost;
  std::uint64_t Weights = this->WaitingWeight + Weight;
  std::uint64_t Own = Cost.Value;
  if (auto At = this->Lanes.find(Workspace); At != this->Lanes.end()) {
    Own += At->second.Backlog;
    if (!At->second.Items.empty())
      Weights -= At->second.Weight;
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
  if (Row.Items.empty()) {
    Row.Tag = std::max(Row.Tag, this->Virtual);
    Row.Weight = std::max<std::uint64_t>(Offer.Weight, 1);
    this->WaitingWeight += Row.Weight;
    this->Turns.insert({Row.Tag, Offer.Workspace});
  }
  Row.Backlog += Offer.Cost.Value;
  this->WaitingCost += Offer.Cost.Value;
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

/// Takes one waiting request out and keeps the sums over all lanes right.
void FairQueue::remove(const WorkspaceId &Workspace, Lane &Row,
                       std::vector<Item>::iterator At) {
  Row.Backlog -= At->Cost.Value;
  this->WaitingCost -= At->Cost.Value;
  Row.Items.erase(At);
  --this->Waiting;
  if (!Row.Items.empty())
    return;
  this->WaitingWeight -= Row.Weight;
  this->Turns.erase({Row.Tag, Workspace});
}

std::optional<TicketId> FairQueue::take(TimePoint Now) {
  if (this->Running.size() >= this->Limits.Slots || this->Waiting == 0)
    return std::nullopt;
  // 1. The lane with the lowest start tag goes first.
  WorkspaceId Name = this->Turns.begin()->Workspace;
  Lane &Row = this->Lanes[Name];
  Item Next = Row.Items.front();
  // A large request waits for room rather than being passed by small ones.
  if (!this->fits(Next.Cost))
    return std::nullopt;
  // 2. Its next turn comes the later, the more it asks for.
  this->RunningCost += Next.Cost.Value;
  this->Virtual = std::max(this->Virtual, Row.Tag);
  this->remove(Name, Row, Row.Items.begin());
  this->retag(Name, Row,
              static_cast<double>(Next.Cost.Value) /
                  static_cast<double>(Row.Weight));
  if (this->Running.empty())
    this->WindowStart = Now;
  this->Running.push_back({Next.Ticket, Name, Next.Cost});
  return Next.Ticket;
}

void FairQueue::retag(const WorkspaceId &Workspace, Lane &Row, double Change) {
  if (!Row.Items.empty())
    this->Turns.erase({Row.Tag, Workspace});
  Row.Tag += Change;
  if (!Row.Items.empty())
    this->Turns.insert({Row.Tag, Workspace});
}

std::vector<TicketId> FairQueue::expire(TimePoint Now) {
  std::vector<TicketId> Gone;
  for (auto &[Name, Row] : this->Lanes)
    for (std::size_t I = 0; I < Row.Items.size();) {
      auto At = Row.Items.begin() + static_cast<std::ptrdiff_t>(I);
      if (At->Deadline > Now) {
        ++I;
        continue;
      }
      Gone.push_back(At->Ticket);
      this->remove(Name, Row, At);
    }
  return Gone;
}

bool FairQueue::withdraw(TicketId Ticket) {
  for (auto &[Name, Row] : this->Lanes)
    for (auto At = Row.Items.begin(); At != Row.Items.end(); ++At)
      if (At->Ticket == Ticket) {
        this->remove(Name, Row, At);
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
    this->retag(At->Workspace, Owner->second,
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
  auto Took = std::chrono::duration<double>(Now - this->WindowStart).count();
  if (Now - this->WindowStart < RateWindow)
    return;
  double Fresh = static_cast<double>(this->WindowTokens) / Took;
  this->Rate =
      this->Rate > 0 ? RateGain * Fresh + (1 - RateGain) * this->Rate : Fresh;
  this->WindowTokens = 0;
  this->WindowStart = Now;
}

/// A lane with nothing waiting whose tag is in the past carries no memory. All
/// lanes are looked at only once in as many requests as there are lanes.
void FairQueue::dropIdleLanes() {
  if (++this->SinceSweep < this->Lanes.size())
    return;
  this->SinceSweep = 0;
  std::erase_if(this->Lanes, [&](const auto &Row) {
    return Row.second.Items.empty() && Row.second.Tag <= this->Virtual;
  });
}

} // namespace waycove
