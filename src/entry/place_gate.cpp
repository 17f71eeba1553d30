// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/place_gate.h"

#include "base/boot_clock.h"

#include <algorithm>
#include <utility>

namespace waycove {

HeldPlace::HeldPlace(PlaceGate &Gate, PoolTicket Ticket)
    : Gate(&Gate), Ticket(std::move(Ticket)), Since(SystemClock{}.now()) {}

HeldPlace &HeldPlace::operator=(HeldPlace &&Other) noexcept {
  if (this != &Other) {
    this->release();
    this->Gate = std::exchange(Other.Gate, nullptr);
    this->Ticket = std::move(Other.Ticket);
    this->Since = Other.Since;
  }
  return *this;
}

void HeldPlace::release() {
  if (PlaceGate *From = std::exchange(this->Gate, nullptr))
    From->release(this->Ticket, std::chrono::duration_cast<Millis>(
                                    SystemClock{}.now() - this->Since));
}

PlaceGate::PlaceGate(EntryBoard &Board, const CrashGuard &Crashes)
    : Board(Board), Crashes(Crashes) {
  Board.OnPlacesChanged = [this] {
    std::lock_guard Lock(this->Mutex);
    this->grant(SystemClock{}.now());
  };
}

PlaceResult PlaceGate::enter(const RelayExchange &Ex) {
  if (this->Crashes.isBlamed(Ex.Request, SystemClock{}.now()))
    return {PlaceOutcome::Blamed, {}, Millis(0), {}};
  PlaceRequest Wanted = this->describe(Ex.Request);
  std::unique_lock Lock(this->Mutex);
  auto Offered = this->Board.Admission.write([&](PoolAdmission &Pools) {
    return Pools.offer(poolOf(Ex.Request), Wanted, Ex.Request.Random,
                       SystemClock{}.now());
  });
  if (auto *Refusal = std::get_if<AdmissionRefusal>(&Offered))
    return {PlaceOutcome::Refused, {}, Millis(0), *Refusal};
  return this->wait(Lock, Ex, std::get<PoolTicket>(Offered), Wanted);
}

PlaceResult PlaceGate::reenter(const RelayExchange &Ex, HeldPlace Place) {
  Place.release();
  PlaceRequest Wanted = this->describe(Ex.Request);
  std::unique_lock Lock(this->Mutex);
  PoolTicket Ticket = this->Board.Admission.write([&](PoolAdmission &Pools) {
    return Pools.requeue(poolOf(Ex.Request), Wanted);
  });
  return this->wait(Lock, Ex, Ticket, Wanted);
}

std::uint64_t PlaceGate::releases() {
  std::lock_guard Lock(this->Mutex);
  return this->Releases;
}

bool PlaceGate::waitForRelease(std::uint64_t Before, TimePoint Until) {
  std::unique_lock Lock(this->Mutex);
  return waitUntil(this->Released, Lock, Until,
                   [&] { return this->Releases != Before; });
}

bool PlaceGate::isOverloaded(const PoolKey &Pool) const {
  return this->Board.Admission.read(
      [&](const PoolAdmission &Pools) { return Pools.isOverloaded(Pool); });
}

PlaceRequest PlaceGate::describe(const RelayRequest &Request) const {
  PoolKey Pool = poolOf(Request);
  auto [FirstByteMs, UsualHold] =
      this->Board.Admission.read([&](const PoolAdmission &Pools) {
        return std::pair(Pools.firstByteMs(Pool), Pools.usualHold(Pool));
      });
  return makePlaceRequest({*Request.Route, Request.Owner, Request.Workspace,
                           Request.Info.PromptTokens,
                           Request.Info.MaxOutputTokens, Request.ArrivedAt,
                           Request.Deadline, Request.PriorWait, FirstByteMs,
                           UsualHold});
}

PlaceResult PlaceGate::wait(std::unique_lock<std::mutex> &Lock,
                            const RelayExchange &Ex, const PoolTicket &Ticket,
                            const PlaceRequest &Wanted) {
  TimePoint Begin = SystemClock{}.now();
  Waiter Own;
  this->Waiters.emplace(Ticket, &Own);
  this->grant(Begin);
  bool HasWaited = !Own.HasPlace;
  if (HasWaited)
    this->recordQueued(Ticket, Wanted, Begin);
  std::optional<PlaceOutcome> End;
  for (TimePoint Now = Begin; !Own.HasPlace; Now = SystemClock{}.now()) {
    if ((End = this->endOfWait(Ex, Wanted, Now)))
      break;
    Millis Left = std::chrono::ceil<Millis>(Wanted.UsefulUntil - Now);
    Own.Granted.wait_for(Lock, std::min(CheckInterval, Left));
  }
  this->Waiters.erase(Ticket);
  TimePoint Now = SystemClock{}.now();
  this->Board.Counters.observe(Timer::QueueWait, Now - Begin);
  auto Waited = std::chrono::duration_cast<Millis>(Now - Begin);
  if (!End) {
    Lock.unlock(); // Releasing a place locks.
    HeldPlace Place(*this, Ticket);
    if (HasWaited && Ex.Caller.isClosedByPeer())
      return {PlaceOutcome::CallerGone, {}, Waited, {}};
    return {PlaceOutcome::Granted, std::move(Place), Waited, {}};
  }
  AdmissionRefusal Refusal =
      this->Board.Admission.write([&](PoolAdmission &Pools) {
        Pools.withdraw(Ticket);
        this->setWaiting(Pools);
        return Pools.refusalOf(Ticket.Pool, Wanted, Ex.Request.Random, Now);
      });
  return {*End, {}, Waited, Refusal};
}

std::optional<PlaceOutcome> PlaceGate::endOfWait(const RelayExchange &Ex,
                                                 const PlaceRequest &Wanted,
                                                 TimePoint Now) const {
  if (Ex.Caller.isClosedByPeer())
    return PlaceOutcome::CallerGone;
  if (this->Board.Refusing)
    return PlaceOutcome::Stopping;
  if (this->Crashes.isBlamed(Ex.Request, Now))
    return PlaceOutcome::Blamed;
  if (Now >= Wanted.UsefulUntil)
    return PlaceOutcome::Refused;
  return std::nullopt;
}

void PlaceGate::recordQueued(const PoolTicket &Ticket,
                             const PlaceRequest &Wanted, TimePoint Now) {
  WaitForecast Forecast =
      this->Board.Admission.read([&](const PoolAdmission &Pools) {
        return Pools.forecast(Ticket.Pool, Wanted, Now);
      });
  this->Board.Counters.add(Counter::RequestsQueued);
  this->Board.Counters.observe(Timer::PredictedWait, Forecast.Wait);
}

void PlaceGate::setWaiting(const PoolAdmission &Pools) {
  this->Board.Counters.set(Gauge::RequestsWaiting,
                           static_cast<std::int64_t>(Pools.waiting()));
}

void PlaceGate::grant(TimePoint Now) {
  auto Ready = this->Board.Admission.write([&](PoolAdmission &Pools) {
    auto Taken = Pools.takeReady(Now);
    this->setWaiting(Pools);
    return Taken;
  });
  for (const PoolTicket &Ticket : Ready) {
    Waiter &Next = *this->Waiters.at(Ticket);
    Next.HasPlace = true;
    Next.Granted.notify_one();
  }
}

void PlaceGate::release(const PoolTicket &Ticket, Millis Held) {
  std::lock_guard Lock(this->Mutex);
  this->Board.Admission.write(
      [&](PoolAdmission &Pools) { Pools.release(Ticket, Held); });
  this->grant(SystemClock{}.now());
  ++this->Releases;
  this->Released.notify_all();
}

} // namespace waycove
