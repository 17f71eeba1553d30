// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"
#include "base/refusal_counts.h"
#include "base/store_calls.h"
#include "base/vm_seconds.h"

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <limits>
#include <mutex>
#include <string>

namespace waycove {

/// Counters exported by a daemon; metrics.cpp has their names.
enum class Counter {
  RequestsDone,
  RequestsRefused,
  RequestsCut,
  Attempts,
  Retries,
  Resumes,
  TokensOut,
  Forwards,
  ClaimsBound,
  AppendsSent,
  RecordsFolded,
  RecordsRefused,
  PeerBytesIn,
  PeerBytesOut,
  PlatformBytesIn,
  PlatformBytesOut,
  HealthBytesIn,
  HealthBytesOut,
  TargetBytesIn,
  TargetBytesOut,
  GroupsFormed,
  AffinityHits,
  AffinityMisses,
  ConfigsApplied,
  OrdersSent,
  OrdersFailed,
  TargetsSuspected,
  RequestsQueued,
  /// Requests sent to a target for the first time, and those of them that the
  /// target rejected. Their ratio shows requests that go to full targets.
  FirstAttempts,
  FirstAttemptsRejected,
  /// Requests that were not ended in time after their timeout.
  RequestsOverdue,
  /// Times at which this node found that it had stood still.
  Standstills,
  /// Answers of targets that passed their bounds on bytes or time.
  AnswersOverBounds,
  Count
};

/// Current values exported by a daemon. One that was never set is not exported.
enum class Gauge {
  /// Requests that wait at this node for a place, over all pools.
  RequestsWaiting,
  /// Requests of this node that may hold a place, over all limited pools.
  Places,
  /// Milliseconds since the newest report of another node about the targets'
  /// loads.
  ReportAgeMs,
  /// Requests and parts of prompts that are refused because targets crash under
  /// them.
  CrashCulprits,
  Count
};

/// Duration histograms exported by a daemon.
enum class Timer {
  FirstToken,
  BetweenTokens,
  WholeResponse,
  /// The wait of all requests that asked for a place.
  QueueWait,
  /// The wait predicted for those that did not get a place at once.
  PredictedWait,
  Route,
  RegistryAge,
  /// From the first bytes of a request until a thread reads them.
  RequestUnread,
  /// How long it took to hand a response over to its connection.
  ResponseWrite,
  Count
};

/// Counters, gauges and duration histograms of a daemon. Thread-safe; counters
/// and gauges are lock-free.
class Metrics {
public:
  Metrics();
  /// Calls to the platform's store by use and cause.
  StoreCalls Calls;
  /// Refused requests by kind of error and workspace.
  RefusalCounts Refusals;
  /// What the VMs of services with groups spent their time on.
  VmSeconds VmTimes;
  void add(Counter Which, std::uint64_t Amount = 1) {
    this->Counters[static_cast<std::size_t>(Which)].fetch_add(
        Amount, std::memory_order_relaxed);
  }
  std::uint64_t get(Counter Which) const {
    return this->Counters[static_cast<std::size_t>(Which)].load();
  }
  void set(Gauge Which, std::int64_t Value) {
    this->Gauges[static_cast<std::size_t>(Which)].store(
        Value, std::memory_order_relaxed);
  }
  void observe(Timer Which, std::chrono::nanoseconds Took);
  /// Returns all metrics in the Prometheus text format.
  std::string text() const;

private:
  /// Value of a gauge that was never set.
  static constexpr std::int64_t UnsetGauge =
      std::numeric_limits<std::int64_t>::min();
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));
  struct Series {
    Histogram Buckets;
    double Sum = 0;
    std::uint64_t Samples = 0;
  };

  std::array<std::atomic<std::uint64_t>,
             static_cast<std::size_t>(Counter::Count)>
      Counters{};
  std::array<std::atomic<std::int64_t>, static_cast<std::size_t>(Gauge::Count)>
      Gauges;
  mutable std::mutex Mutex;
  std::vector<Series> Timers;
};

} // namespace waycove
