// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/board.h"
#include "policy/fair.h"

#include <condition_variable>

namespace waycove {

/// Admission to one deployment or service: a fair queue with a lock, in which
/// request threads wait for their turn.
class Gate {
public:
  explicit Gate(FairLimits Limits) : Queue(Limits) {}

  /// Waits for a slot. Errors: Overloaded, at once where the wait would pass
  /// the deadline, or DeadlineBeforeRun.
  absl::StatusOr<TicketId> enter(const FairOffer &Offer);
  void leave(TicketId Ticket, Tokens Spent);
  void setLimits(std::size_t Slots, std::uint64_t RunningTokens);
  std::size_t waiting() const;
  /// Whether the number of slots should be worked out again; says yes to one
  /// caller in a while.
  bool slotsAreDue(TimePoint Now);

private:
  void grant(TimePoint Now);

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  FairQueue Queue;
  TimePoint SlotsAt;
  std::vector<TicketId> Granted;
};

/// The gates of all deployments and services.
class Gates {
public:
  explicit Gates(const Settings &Config) : Config(Config) {}
  std::shared_ptr<Gate> find(const ObjectKey &Key);

private:
  const Settings &Config;
  std::mutex Mutex;
  std::map<ObjectKey, std::shared_ptr<Gate>> Rows;
};

/// Holds a slot of a gate while it lives.
class GatePass {
public:
  GatePass(std::shared_ptr<Gate> Owner, TicketId Ticket)
      : Owner(std::move(Owner)), Ticket(Ticket) {}
  ~GatePass() { this->Owner->leave(this->Ticket, this->Spent); }
  GatePass(const GatePass &) = delete;
  GatePass &operator=(const GatePass &) = delete;
  /// Work done, in tokens.
  Tokens Spent{1};

private:
  std::shared_ptr<Gate> Owner;
  TicketId Ticket;
};

} // namespace waycove
