// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/place_limit.h"
#include "policy/request_queue.h"

#include <variant>

namespace waycove {

/// A request that this node does not send, and on what grounds.
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

/// The queues of one node, by pool, and the limits that the load of the pools
/// sets them. Not thread-safe; all times are passed in.
class PoolAdmission {
public:
  explicit PoolAdmission(NodeId Me) : Me(std::move(Me)) {}

  /// Queues a request, or refuses it if it is not useful by the time it is
  /// predicted to be sent. \p Random spreads the times at which refused callers
  /// come back.
  std::variant<PoolTicket, AdmissionRefusal> offer(const PoolKey &Pool,
                                                   const PlaceRequest &Request,
                                                   std::uint64_t Random,
                                                   TimePoint Now);
  /// Queues a request again whose target rejected it. Not counted as an
  /// arrival.
  PoolTicket requeue(const PoolKey &Pool, const PlaceRequest &Request,
                     TimePoint Now);
  /// Takes all waiting requests that may be sent now.
  std::vector<PoolTicket> takeReady(TimePoint Now);
  /// Removes and returns the waiting requests that have become useless.
  std::vector<PoolTicket> expire(TimePoint Now);
  bool withdraw(const PoolTicket &Ticket);
  void release(const PoolTicket &Ticket, Millis Held, TimePoint Now);

  /// What this node reports to others.
  PoolReports reports(TimePoint Now) const;
  /// Sets the limits. Pools that are not in \p Loads, or whose places are
  /// unknown, are not limited. Returns the pools that became overloaded or were
  /// relieved.
  std::vector<OverloadMonitor::Change> update(const PoolLoads &Loads,
                                              TimePoint Now);
  bool isOverloaded(const PoolKey &Pool) const;
  /// Null if nothing is known of the pool.
  const PoolLoad *loadOf(const PoolKey &Pool) const;
  Millis usualHold(const PoolKey &Pool) const;
  std::size_t waiting() const;

private:
  NodeId Me;
};

} // namespace waycove
