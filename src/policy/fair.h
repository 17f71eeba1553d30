// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace waycove {

/// Bounds of an admission queue.
struct FairLimits {
  /// Maximum requests of this daemon that run at once.
  std::size_t Slots = 8;
  /// Maximum waiting requests of one workspace.
  std::size_t QueuePerWorkspace = 64;
  /// Maximum waiting requests of all workspaces.
  std::size_t QueueTotal = 512;
  /// Maximum expected tokens of all running requests together; zero for no
  /// limit. One request may always run, however large.
  std::uint64_t RunningTokens = 0;
};

/// Identifies one request in the queue.
using TicketId = Number<struct TicketTag>;

/// A request offered to the queue.
struct FairOffer {
  WorkspaceId Workspace;
  std::uint64_t Weight = 1;
  /// Expected work, in tokens.
  Tokens Cost;
  TimePoint Deadline;
  /// Higher is served first, within the workspace only. Not the scale of
  /// HttpRoute::Priority; the two are never converted.
  unsigned Priority = 0;
};

/// Weighted fair queue over workspaces (start-time fair queueing). A daemon has
/// one queue for each deployment and service. Work is
/// counted in tokens, so that a workspace with long responses gets no more than
/// one with many short ones. A request whose predicted wait exceeds its
/// deadline is refused immediately, as not run, with a retry time. Not
/// thread-safe.
class FairQueue {
public:
  explicit FairQueue(FairLimits Limits) : Limits(Limits) {}

  /// Queues a request. Errors: Overloaded, with the time to retry after.
  absl::StatusOr<TicketId> offer(const FairOffer &Offer, TimePoint Now);
  /// Returns the next request to run, if there is one and a slot is free.
  std::optional<TicketId> take(TimePoint Now);
  /// Removes and returns waiting requests whose deadline passed.
  std::vector<TicketId> expire(TimePoint Now);
  /// Removes a request that still waits; returns false if it does not.
  bool withdraw(TicketId Ticket);
  /// Ends a running request that used \p Spent tokens.
  void finish(TicketId Ticket, Tokens Spent, TimePoint Now);
  void setLimits(std::size_t Slots, std::uint64_t RunningTokens) {
    this->Limits.Slots = Slots;
    this->Limits.RunningTokens = RunningTokens;
  }

  std::size_t waiting() const { return this->Waiting; }
  std::size_t running() const { return this->Running.size(); }
  /// Returns the time that a request of \p Workspace would wait now.
  Millis predictWait(const WorkspaceId &Workspace, std::uint64_t Weight,
                     Tokens Cost) const;
  double tokensPerSecond() const { return this->Rate; }

private:
  struct Item {
    TicketId Ticket;
    Tokens Cost;
    TimePoint Deadline;
    unsigned Priority = 0;
  };
  /// Waiting requests of one workspace, and its service so far.
  struct Lane {
    std::uint64_t Weight = 1;
    /// Virtual start time of the next request of the workspace.
    double Tag = 0;
    std::uint64_t Backlog = 0;
    std::vector<Item> Items;
  };
  /// Order of service of the lanes with waiting requests.
  struct Turn {
    double Tag = 0;
    WorkspaceId Workspace;
    // Defaulted by the compiler. NOLINTNEXTLINE
    auto operator<=>(const Turn &) const = default;
  };
  struct Active {
    TicketId Ticket;
    WorkspaceId Workspace;
    Tokens Cost;
  };

  bool fits(Tokens Cost) const;
  void updateRate(Tokens Spent, TimePoint Now);
  void remove(const WorkspaceId &Workspace, Lane &Own,
              std::vector<Item>::iterator At);
  void advanceTag(const WorkspaceId &Workspace, Lane &Own, double Change);
  void dropIdleLanes();

  FairLimits Limits;
  std::map<WorkspaceId, Lane> Lanes;
  std::vector<Active> Running;
  std::set<Turn> Turns;
  std::size_t Waiting = 0;
  std::uint64_t WaitingCost = 0;
  std::uint64_t WaitingWeight = 0;
  std::size_t FinishedSinceSweep = 0;
  std::uint64_t RunningCost = 0;
  TicketId Last;
  double Virtual = 0;
  double Rate = 0;
  std::uint64_t WindowTokens = 0;
  TimePoint WindowStart;
};

} // namespace waycove
