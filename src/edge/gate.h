// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/board.h"
#include "policy/fair.h"

#include <condition_variable>

namespace waycove {

/// Admission to one deployment or service: a fair queue in which request
/// threads wait for a slot. Thread-safe.
class AdmissionGate {
public:
  explicit AdmissionGate(FairLimits Limits) : Queue(Limits) {}

  /// Waits for a slot. Errors: Overloaded at once where the predicted wait
  /// exceeds the deadline; DeadlineBeforeRun where the deadline passes in the
  /// queue.
  absl::StatusOr<TicketId> enter(const FairOffer &Offer);
  /// Releases the slot of \p Ticket; \p Spent is its actual cost.
  void leave(TicketId Ticket, Tokens Spent);
  void setLimits(std::size_t Slots, std::uint64_t RunningTokens);
  std::size_t waiting() const;
  /// Whether the limits are due for an update. Returns true to one thread per
  /// interval.
  bool limitsUpdateDue(TimePoint Now);

private:
  /// Grants free slots to waiting requests and wakes them.
  void grant(TimePoint Now);

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  FairQueue Queue;
  TimePoint LimitsUpdatedAt;
  std::vector<TicketId> Granted;
};

/// The gates of all deployments and services, created on first use.
class AdmissionGates {
public:
  explicit AdmissionGates(const Settings &Config) : Config(Config) {}
  std::shared_ptr<AdmissionGate> find(const ObjectKey &Key);

private:
  const Settings &Config;
  std::mutex Mutex;
  std::map<ObjectKey, std::shared_ptr<AdmissionGate>> ByKey;
};

/// Releases a slot of a gate on destruction.
class AdmissionPermit {
public:
  AdmissionPermit(std::shared_ptr<AdmissionGate> Gate, TicketId Ticket)
      : Gate(std::move(Gate)), Ticket(Ticket) {}
  ~AdmissionPermit() { this->Gate->leave(this->Ticket, this->Spent); }
  AdmissionPermit(const AdmissionPermit &) = delete;
  AdmissionPermit &operator=(const AdmissionPermit &) = delete;
  /// Actual cost of the request, in tokens.
  Tokens Spent{1};

private:
  std::shared_ptr<AdmissionGate> Gate;
  TicketId Ticket;
};

} // namespace waycove
