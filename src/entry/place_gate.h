// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/crash_guard.h"

#include <condition_variable>

namespace waycove {

class PlaceGate;

/// A place that a request holds in its pool; released on destruction.
class HeldPlace {
public:
  HeldPlace() = default;
  /// \p Ticket was taken from the queue now.
  HeldPlace(PlaceGate &Gate, PoolTicket Ticket);
  ~HeldPlace() { this->release(); }
  HeldPlace(HeldPlace &&Other) noexcept { *this = std::move(Other); }
  HeldPlace &operator=(HeldPlace &&Other) noexcept;
  /// Gives up the place, if any is held. Locks the gate.
  void release();

private:
  PlaceGate *Gate = nullptr;
  PoolTicket Ticket;
  TimePoint Since;
};

/// How a request's wait for a place ended.
enum class PlaceOutcome {
  /// The request may be sent.
  Granted,
  /// Sending it is no longer useful by the time at which its turn would come.
  Refused,
  /// The caller disconnected.
  CallerGone,
  /// The node refuses all requests since it stops.
  Stopping,
  /// Targets crash under such requests.
  Blamed,
};

/// The outcome, with the place or the grounds of the refusal.
struct PlaceResult {
  PlaceOutcome Outcome{};
  /// Empty unless granted.
  HeldPlace Place;
  Millis Waited{0};
  /// Set if refused or stopping.
  AdmissionRefusal Refusal;
};

/// Lets threads wait until their requests get a place in a pool of targets.
/// PoolAdmission decides the order and the refusals. Thread-safe.
class PlaceGate {
public:
  /// To be constructed before requests are served.
  PlaceGate(EntryBoard &Board, const CrashGuard &Crashes);

  /// Waits for a place for a new request.
  PlaceResult enter(const RelayExchange &Ex);
  /// Gives up \p Place and waits for another one, after a target rejected the
  /// request.
  PlaceResult reenter(const RelayExchange &Ex, HeldPlace Place);
  /// How many places requests have given up so far.
  std::uint64_t releases();
  /// Waits until a request has given up its place since releases() returned \p
  /// Before, so that targets may take another one, or until \p Until. Returns
  /// whether one has.
  bool waitForRelease(std::uint64_t Before, TimePoint Until);
  /// Whether the pool is overloaded, over all nodes.
  bool isOverloaded(const PoolKey &Pool) const;

private:
  friend class HeldPlace;
  /// How often a waiting thread looks whether its caller has left, the request
  /// is blamed or the node stops.
  static constexpr Millis CheckInterval{100};
  struct Waiter {
    std::condition_variable Granted;
    bool HasPlace = false;
  };

  PlaceRequest describe(const RelayRequest &Request) const;
  /// The caller holds Mutex by \p Lock, which is released while waiting.
  PlaceResult wait(std::unique_lock<std::mutex> &Lock, const RelayExchange &Ex,
                   const PoolTicket &Ticket, const PlaceRequest &Wanted);
  /// Why the request must not wait any longer, if so.
  std::optional<PlaceOutcome> endOfWait(const RelayExchange &Ex,
                                        const PlaceRequest &Wanted,
                                        TimePoint Now) const;
  /// Exports how many requests wait. The caller has locked the table.
  void setWaiting(const PoolAdmission &Pools);
  /// Counts a request that has to wait, and its predicted wait.
  void recordQueued(const PoolTicket &Ticket, const PlaceRequest &Wanted,
                    TimePoint Now);
  /// Grants free places to waiting requests. Requires Mutex.
  void grant(TimePoint Now);
  void release(const PoolTicket &Ticket, Millis Held);

  EntryBoard &Board;
  const CrashGuard &Crashes;
  /// Locked before any table of the board.
  std::mutex Mutex;
  std::map<PoolTicket, Waiter *> Waiters;
  /// Counts places that were given up.
  std::uint64_t Releases = 0;
  std::condition_variable Released;
};

} // namespace waycove
