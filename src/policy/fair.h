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
  /// Requests that may run at once.
  std::size_t Slots = 8;
  /// Requests of one workspace that may wait.
  std::size_t QueuePerWorkspace = 64;
  /// Requests of all workspaces that may wait.
  std::size_t QueueTotal = 512;
  /// Expected tokens of all running requests together; zero for no bound. One
  /// request may always run, however large.
  std::uint64_t RunningTokens = 0;
};

/// Ticket of one request in the queue.
using TicketId = Number<struct TicketTag>;

struct FairOffer {
  WorkspaceId Workspace;
  std::uint64_t Weight = 1;
  /// Expected work, in tokens.
  Tokens Cost;
  TimePoint Deadline;
  /// Higher goes first within the workspace only.
  unsigned Priority = 0;
};

/// Weighted fair queue over workspaces. Work is counted in tokens, so that a
/// workspace with long answers gets no more than one with many short ones. A
/// request whose predicted wait passes its deadline is refused at once, as not
/// run, with the time after which its workspace's turn is likely. Pure: the
/// time is an argument. Not thread-safe.
class FairQueue {
public:
  explicit FairQueue(FairLimits Limits) : Limits(Limits) {}

  /// Queues a request. Errors: Overloaded, with when to come back.
  absl::StatusOr<TicketId> offer(const FairOffer &Offer, TimePoint Now);
  /// The next request that may run, if a slot is free.
  std::optional<TicketId> take(TimePoint Now);
  /// Removes waiting requests whose deadline passed; returns them.
  std::vector<TicketId> expire(TimePoint Now);
  /// Takes back a request that still waits; false if it does not.
  bool withdraw(TicketId Ticket);
  /// A running request ended, after \p Spent tokens.
  void finish(TicketId Ticket, Tokens Spent, TimePoint Now);
  void setLimits(std::size_t Slots, std::uint64_t RunningTokens) {
    this->Limits.Slots = Slots;
    this->Limits.RunningTokens = RunningTokens;
  }

  std::size_t waiting() const { return this->Waiting; }
  std::size_t running() const { return this->Running.size(); }
  /// Time that a request of \p Workspace would wait now.
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
  struct Lane {
    std::uint64_t Weight = 1;
    /// Virtual time at which the workspace's next request starts.
    double Tag = 0;
    std::uint64_t Backlog = 0;
    std::vector<Item> Items;
  };
  /// Order in which lanes with waiting requests get their turn.
  struct Turn {
    double Tag = 0;
    WorkspaceId Workspace;
    // The comparison that the compiler makes is no text of ours. NOLINTNEXTLINE
    auto operator<=>(const Turn &) const = default;
  };
  struct Active {
    TicketId Ticket;
    WorkspaceId Workspace;
    Tokens Cost;
  };

  bool fits(Tokens Cost) const;
  void updateRate(Tokens Spent, TimePoint Now);
  void remove(const WorkspaceId &Workspace, Lane &Row,
              std::vector<Item>::iterator At);
  void retag(const WorkspaceId &Workspace, Lane &Row, double Change);
  void dropIdleLanes();

  FairLimits Limits;
  std::map<WorkspaceId, Lane> Lanes;
  std::vector<Active> Running;
  std::set<Turn> Turns;
  std::size_t Waiting = 0;
  std::uint64_t WaitingCost = 0;
  std::uint64_t WaitingWeight = 0;
  std::size_t SinceSweep = 0;
  std::uint64_t RunningCost = 0;
  TicketId Last;
  double Virtual = 0;
  double Rate = 0;
  std::uint64_t WindowTokens = 0;
  TimePoint WindowStart;
};

} // namespace waycove
