// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "edge/gate.h"

#include <algorithm>

namespace waycove {

namespace {

constexpr Millis LimitsUpdateInterval(200);

} // namespace

absl::StatusOr<TicketId> AdmissionGate::enter(const FairOffer &Offer) {
  std::unique_lock Lock(this->Mutex);
  absl::StatusOr<TicketId> Ticket =
      this->Queue.offer(Offer, SystemClock{}.now());
  if (!Ticket.ok())
    return Ticket;
  this->grant(SystemClock{}.now());
  auto IsGranted = [&] {
    return std::find(this->Granted.begin(), this->Granted.end(), *Ticket) !=
           this->Granted.end();
  };
  bool Entered = waitUntil(this->Changed, Lock, Offer.Deadline, IsGranted);
  if (!Entered) {
    this->Queue.withdraw(*Ticket);
    return makeError(
        ErrorKind::DeadlineBeforeRun, "the deadline passed in the queue",
        this->Queue.predictWait(Offer.Workspace, Offer.Weight, Offer.Cost));
  }
  std::erase(this->Granted, *Ticket);
  return Ticket;
}

void AdmissionGate::leave(TicketId Ticket, Tokens Spent) {
  std::lock_guard Lock(this->Mutex);
  this->Queue.finish(Ticket, Spent, SystemClock{}.now());
  this->grant(SystemClock{}.now());
}

void AdmissionGate::setLimits(std::size_t Slots, std::uint64_t RunningTokens) {
  std::lock_guard Lock(this->Mutex);
  this->Queue.setLimits(Slots, RunningTokens);
  this->grant(SystemClock{}.now());
}

bool AdmissionGate::limitsUpdateDue(TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  if (Now - this->LimitsUpdatedAt < LimitsUpdateInterval)
    return false;
  this->LimitsUpdatedAt = Now;
  return true;
}

std::size_t AdmissionGate::waiting() const {
  std::lock_guard Lock(this->Mutex);
  return this->Queue.waiting();
}

void AdmissionGate::grant(TimePoint Now) {
  bool AnyGranted = false;
  while (auto Ticket = this->Queue.take(Now)) {
    this->Granted.push_back(*Ticket);
    AnyGranted = true;
  }
  if (AnyGranted)
    this->Changed.notify_all();
}

std::shared_ptr<AdmissionGate> AdmissionGates::find(const ObjectKey &Key) {
  std::lock_guard Lock(this->Mutex);
  auto &Gate = this->ByKey[Key];
  if (!Gate) {
    FairLimits Limits;
    Limits.Slots = 1;
    Limits.QueuePerWorkspace = this->Config.QueuePerWorkspace;
    Limits.QueueTotal = 16 * this->Config.QueuePerWorkspace;
    Gate = std::make_shared<AdmissionGate>(Limits);
  }
  return Gate;
}

} // namespace waycove
