// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/place_limit.h"
#include "policy/request_queue.h"
#include "policy/smoothed_rate.h"

#include <variant>

namespace waycove {

/// Why this node does not send a request. Either its predicted wait ends after
/// PlaceRequest::UsefulUntil when it arrives, or it still waits at that time.
struct AdmissionRefusal {
  WaitForecast Forecast;
  /// Places of this node, and its requests that hold one or wait.
  std::size_t Limit = 0;
  std::size_t InFlight = 0;
  std::size_t Waiting = 0;
  /// Age of the other nodes' reports; unset if there are none.
  std::optional<Millis> ReportAge;
  /// When the caller should come back.
  Millis RetryAfter{0};
};

/// Identifies a request in the queue of a pool.
struct PoolTicket {
  PoolKey Pool;
  QueueTicket Ticket;
  // Defaulted by the compiler. NOLINTNEXTLINE
  auto operator<=>(const PoolTicket &) const = default;
};

/// The queues of one node, by pool, and their limits, which follow from the
/// load of the pools: foldPoolLoads(), placeShare(), placeLimit(). Decides
/// which requests are sent, wait or are refused. Not thread-safe; times are
/// passed in.
class PoolAdmission {
public:
  /// Queues a request, or refuses it if sending it is no longer useful by the
  /// time at which its turn is predicted. \p Random spreads the times at which
  /// refused callers come back.
  std::variant<PoolTicket, AdmissionRefusal> offer(const PoolKey &Pool,
                                                   const PlaceRequest &Request,
                                                   std::uint64_t Random,
                                                   TimePoint Now);
  /// Queues a request again whose target has rejected it. It is no new arrival.
  PoolTicket requeue(const PoolKey &Pool, const PlaceRequest &Request);
  /// Predicts the wait of a request; zero in a pool without requests.
  WaitForecast forecast(const PoolKey &Pool, const PlaceRequest &Request,
                        TimePoint Now) const;
  /// Grounds on which a request that still waits is given up.
  AdmissionRefusal refusalOf(const PoolKey &Pool, const PlaceRequest &Request,
                             std::uint64_t Random, TimePoint Now) const;
  /// Takes all waiting requests that may be sent now.
  std::vector<PoolTicket> takeReady(TimePoint Now);
  /// Removes a request that still waits; returns false if it does not.
  bool withdraw(const PoolTicket &Ticket);
  /// Frees the place of a request that held it for \p Held.
  void release(const PoolTicket &Ticket, Millis Held);

  /// What this node reports to others.
  PoolReports reports(TimePoint Now) const;
  /// Sets the limits. Pools that are not in \p Loads, or whose number of places
  /// is unknown, are not limited. Returns the pools that became overloaded or
  /// were relieved.
  std::vector<OverloadMonitor::Change> update(PoolLoads Loads);
  /// Returns whether the pool is overloaded, over all nodes.
  bool isOverloaded(const PoolKey &Pool) const {
    return this->Overloads.isOverloaded(Pool);
  }
  /// This node's part of the places at each target; nothing if unlimited.
  std::optional<PlaceShare> shareOf(const PoolKey &Pool) const;
  /// Time to the first byte of the fastest target, in milliseconds; 0 if
  /// unknown.
  double firstByteMs(const PoolKey &Pool) const;
  /// Usual time that a request of the pool holds its place; 0 if unknown.
  Millis usualHold(const PoolKey &Pool) const;
  /// Requests that wait, over all pools.
  std::size_t waiting() const;
  /// Requests that may hold a place, over all pools with requests and a limit.
  std::size_t places() const;

private:
  struct PoolState {
    RequestQueue Queue;
    SmoothedRate Arrivals;
    /// Arrivals that were not late yet. Only these need places before late
    /// requests: callers that come back are late, and many of them would
    /// otherwise keep places free that nobody uses.
    SmoothedRate InTimeArrivals;
  };
  Millis retryAfter(const WaitForecast &Forecast, const PlaceRequest &Request,
                    std::uint64_t Random, TimePoint Now) const;

  std::map<PoolKey, PoolState> Pools;
  PoolLoads Loads;
  OverloadMonitor Overloads;
};

} // namespace waycove
