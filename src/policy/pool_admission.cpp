// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/pool_admission.h"

#include <algorithm>

namespace waycove {

namespace {

/// Shortest Retry-After. Below it, a caller comes back before the load of the
/// pools was reported once more.
constexpr Millis MinRetryAfter{300};
/// Resolution of the random spread.
constexpr std::uint64_t RandomScale = 1024;
/// Salt of the random spread.
constexpr std::uint64_t RetrySalt = 0x7e77;

/// Limit of a queue whose pool's places are not known.
constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();

/// Returns a random time between half of \p Longest and \p Longest.
Millis spreadBelow(Millis Longest, std::uint64_t Random) {
  auto Draw =
      static_cast<std::int64_t>(mixHash(Random, RetrySalt) % RandomScale);
  return Longest / 2 +
         Longest / 2 * Draw / static_cast<std::int64_t>(RandomScale);
}

} // namespace

std::variant<PoolTicket, AdmissionRefusal>
PoolAdmission::offer(const PoolKey &Pool, const PlaceRequest &Request,
                     std::uint64_t Random, TimePoint Now) {
  PoolState &State = this->Pools[Pool];
  State.Arrivals.count(Now);
  if (!Request.isLate(Now))
    State.InTimeArrivals.count(Now);
  WaitForecast Forecast =
      State.Queue.forecast(Request, State.InTimeArrivals.perSecond(Now), Now);
  bool IsUseful =
      Forecast.Wait == Millis(0) || Now + Forecast.Wait <= Request.UsefulUntil;
  if (!IsUseful)
    return this->refusalOf(Pool, Request, Random, Now);
  return PoolTicket{Pool, State.Queue.add(Request)};
}

PoolTicket PoolAdmission::requeue(const PoolKey &Pool,
                                  const PlaceRequest &Request) {
  return {Pool, this->Pools[Pool].Queue.add(Request)};
}

WaitForecast PoolAdmission::forecast(const PoolKey &Pool,
                                     const PlaceRequest &Request,
                                     TimePoint Now) const {
  auto At = this->Pools.find(Pool);
  if (At == this->Pools.end())
    return {};
  const PoolState &State = At->second;
  return State.Queue.forecast(Request, State.InTimeArrivals.perSecond(Now),
                              Now);
}

AdmissionRefusal PoolAdmission::refusalOf(const PoolKey &Pool,
                                          const PlaceRequest &Request,
                                          std::uint64_t Random,
                                          TimePoint Now) const {
  AdmissionRefusal Refusal;
  auto At = this->Pools.find(Pool);
  if (At == this->Pools.end())
    return Refusal;
  const RequestQueue &Queue = At->second.Queue;
  Refusal.Forecast = this->forecast(Pool, Request, Now);
  Refusal.Limit = Queue.limit();
  Refusal.InFlight = Queue.inFlight();
  Refusal.Waiting = Queue.waiting();
  if (auto Load = this->Loads.find(Pool); Load != this->Loads.end())
    Refusal.ReportAge = Load->second.ReportAge;
  Refusal.RetryAfter = this->retryAfter(Refusal.Forecast, Request, Random, Now);
  return Refusal;
}

/// The caller comes back when the queue has shrunk so far that its request
/// would have been accepted.
Millis PoolAdmission::retryAfter(const WaitForecast &Forecast,
                                 const PlaceRequest &Request,
                                 std::uint64_t Random, TimePoint Now) const {
  auto Left = std::chrono::duration_cast<Millis>(Request.UsefulUntil - Now);
  Millis Wanted = std::max(Forecast.Wait - Left, MinRetryAfter);
  return spreadBelow(std::min(2 * Wanted, Request.MaxRetryAfter), Random);
}

std::vector<PoolTicket> PoolAdmission::takeReady(TimePoint Now) {
  std::vector<PoolTicket> Ready;
  for (auto &[Pool, State] : this->Pools)
    while (std::optional<QueueTicket> Ticket =
               State.Queue.take(State.InTimeArrivals.perSecond(Now), Now))
      Ready.push_back({Pool, *Ticket});
  return Ready;
}

bool PoolAdmission::withdraw(const PoolTicket &Ticket) {
  auto At = this->Pools.find(Ticket.Pool);
  return At != this->Pools.end() && At->second.Queue.withdraw(Ticket.Ticket);
}

void PoolAdmission::release(const PoolTicket &Ticket, Millis Held) {
  if (auto At = this->Pools.find(Ticket.Pool); At != this->Pools.end())
    At->second.Queue.release(Ticket.Ticket, Held);
}

PoolReports PoolAdmission::reports(TimePoint Now) const {
  PoolReports Reports;
  for (const auto &[Pool, Load] : this->Loads)
    Reports[Pool].Nodes = 1;
  for (const auto &[Pool, State] : this->Pools)
    Reports[Pool] = {State.Arrivals.perSecond(Now),
                     static_cast<double>(State.Queue.inFlight()),
                     static_cast<double>(State.Queue.waiting()), 1};
  return Reports;
}

std::vector<OverloadMonitor::Change> PoolAdmission::update(PoolLoads NewLoads) {
  this->Loads = std::move(NewLoads);
  std::erase_if(this->Pools, [&](const auto &Entry) {
    const RequestQueue &Queue = Entry.second.Queue;
    return !this->Loads.contains(Entry.first) && Queue.waiting() == 0 &&
           Queue.inFlight() == 0;
  });
  for (auto &[Pool, State] : this->Pools) {
    std::optional<PlaceShare> Share = this->shareOf(Pool);
    State.Queue.setLimit(Share ? placeLimit(this->Loads.at(Pool), *Share)
                               : Unlimited);
  }
  return this->Overloads.update(this->Loads);
}

std::optional<PlaceShare> PoolAdmission::shareOf(const PoolKey &Pool) const {
  auto At = this->Loads.find(Pool);
  return At == this->Loads.end() ? std::nullopt : placeShare(At->second);
}

double PoolAdmission::firstByteMs(const PoolKey &Pool) const {
  auto At = this->Loads.find(Pool);
  return At == this->Loads.end() ? 0 : At->second.FirstByteMs;
}

Millis PoolAdmission::usualHold(const PoolKey &Pool) const {
  auto At = this->Pools.find(Pool);
  return At == this->Pools.end() ? Millis(0) : At->second.Queue.usualHold();
}

std::size_t PoolAdmission::waiting() const {
  std::size_t Sum = 0;
  for (const auto &[Pool, State] : this->Pools)
    Sum += State.Queue.waiting();
  return Sum;
}

std::size_t PoolAdmission::places() const {
  std::size_t Sum = 0;
  for (const auto &[Pool, State] : this->Pools)
    if (std::size_t Limit = State.Queue.limit(); Limit != Unlimited)
      Sum += Limit;
  return Sum;
}

} // namespace waycove
