// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/place_request.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace waycove {

/// Identifies a request in a RequestQueue.
using QueueTicket = Number<struct QueueTicketTag>;

/// What a queue predicts for a request.
struct WaitForecast {
  Millis Wait{0};
  /// Waiting requests that go before it.
  std::size_t Ahead = 0;
  /// Whether it is late by the time it is sent.
  bool IsLate = false;
};

/// Requests of one node that wait for a place of a pool, and the order in which
/// they get one. Answers an overload: requests that can still meet their
/// objective are sent before those that cannot, operators' priorities first.
/// Not thread-safe; all times are passed in.
class RequestQueue {
public:
  /// Sets how many requests may hold a place at the same time.
  void setLimit(std::size_t Places) { this->Limit = Places; }
  std::size_t limit() const { return this->Limit; }

  /// Predicts the wait of a request that is not in the queue yet.
  WaitForecast forecast(const PlaceRequest &Request, TimePoint Now) const;
  /// Whether a request would get a place at once.
  bool hasPlaceFor(const PlaceRequest &Request, TimePoint Now) const;
  /// Adds a request, which then waits or is taken next.
  QueueTicket add(const PlaceRequest &Request, TimePoint Now);
  /// Takes the next request if a place is free. It holds the place until
  /// release().
  std::optional<QueueTicket> take(TimePoint Now);
  /// Removes and returns the waiting requests that have become useless.
  std::vector<QueueTicket> expire(TimePoint Now);
  /// Removes a request that still waits; returns false if it does not.
  bool withdraw(QueueTicket Ticket);
  /// Frees the place of a request that held it for \p Held.
  void release(QueueTicket Ticket, Millis Held, TimePoint Now);

  /// Usual time that a request holds its place; 0 if none was released yet.
  Millis usualHold() const;

  std::size_t waiting() const { return this->Waiting.size(); }
  std::size_t inFlight() const { return this->Holding.size(); }

private:
  std::size_t Limit = 1;
  std::map<QueueTicket, PlaceRequest> Waiting;
  std::map<QueueTicket, PlaceRequest> Holding;
};

} // namespace waycove
