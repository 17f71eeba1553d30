// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/place_request.h"
#include "policy/workspace_use.h"

#include <concepts>
#include <limits>

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

/// The order of requests that are alike in priority, class and workspace use:
/// the one with the lowest rank goes first.
template <typename T>
concept QueueOrder = requires(const PlaceRequest &Request) {
  { T::rankOf(Request) } -> std::same_as<TimePoint::duration>;
};

/// In the order of arrival.
struct FirstCome {
  static TimePoint::duration rankOf(const PlaceRequest &Request) {
    return Request.ArrivedAt.time_since_epoch();
  }
};

/// The one first that is late the soonest.
struct EarliestObjective {
  static TimePoint::duration rankOf(const PlaceRequest &Request) {
    return Request.InTimeUntil.value_or(Request.UsefulUntil).time_since_epoch();
  }
};

/// The latest arrival first: the requests that lose their objective in a short
/// overload are then few, and wait long, rather than all.
struct NewestFirst {
  static TimePoint::duration rankOf(const PlaceRequest &Request) {
    return -Request.ArrivedAt.time_since_epoch();
  }
};

/// Requests of one node that need a place of a pool, and the order in which
/// they get one. Answers an overload: a target serves its queue in the order of
/// arrival, so that with more requests than it can run all of them become late.
/// Here those that can still meet their objective go before those that cannot.
///
/// Order: operators' priority; in time before late; callers that were refused
/// before; the workspace that has used the least lately; then \p Order. Late
/// requests go in the order of arrival. Not thread-safe; times are passed in.
template <QueueOrder Order> class BasicRequestQueue {
public:
  /// Sets how many requests may hold a place at the same time.
  void setLimit(std::size_t Places) { this->Limit = Places; }
  /// As set; the largest number if never set.
  std::size_t limit() const { return this->Limit; }

  /// Predicts the wait of a request that is not in the queue yet, while \p
  /// InTimeRate requests per second arrive that can be in time.
  WaitForecast forecast(const PlaceRequest &Request, double InTimeRate,
                        TimePoint Now) const;
  /// Adds a request, which waits until it is taken or withdrawn.
  QueueTicket add(const PlaceRequest &Request);
  /// Takes the next request if a place is free. It holds the place until
  /// release(). While \p InTimeRate requests per second need most places, late
  /// requests leave some of them free.
  std::optional<QueueTicket> take(double InTimeRate, TimePoint Now);
  /// Removes a request that still waits; returns false if it does not.
  bool withdraw(QueueTicket Ticket);
  /// Frees the place of a request that held it for \p Held.
  void release(QueueTicket Ticket, Millis Held);

  /// Average time that a request holds its place; 0 if none was released yet.
  Millis usualHold() const { return Millis(std::llround(this->HoldMs)); }
  /// Number of requests that wait.
  std::size_t waiting() const { return this->Waiting.size(); }
  /// Number of requests that hold a place.
  std::size_t inFlight() const { return this->Holding.size(); }

private:
  /// Sort key of a request; the lowest goes first.
  struct Turn {
    unsigned Priority = 0;
    bool IsLate = false;
    bool IsNew = false;
    double WorkspaceUse = 0;
    TimePoint::duration Rank{0};
    // Defaulted by the compiler. NOLINTNEXTLINE
    auto operator<=>(const Turn &) const = default;
  };
  Turn turnOf(const PlaceRequest &Request, bool IsLate, TimePoint Now) const;
  std::size_t countBefore(const Turn &Own, TimePoint Now) const;
  /// Wait of a request with \p Ahead requests before it, if places become free
  /// at \p RateFraction of the usual rate.
  Millis waitBehind(std::size_t Ahead, double RateFraction) const;
  double freedPerSecond() const;
  /// Places that late requests leave free for new ones.
  std::size_t reserve(double InTimeRate) const;

  std::size_t Limit = std::numeric_limits<std::size_t>::max();
  std::map<QueueTicket, PlaceRequest> Waiting;
  std::set<QueueTicket> Holding;
  WorkspaceUse Use;
  QueueTicket Last;
  double HoldMs = 0;
};

/// The queue that nodes use.
using RequestQueue = BasicRequestQueue<NewestFirst>;

} // namespace waycove
