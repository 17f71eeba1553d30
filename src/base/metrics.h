// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"
#include "base/store_calls.h"

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
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
  Count
};

/// Duration histograms exported by a daemon.
enum class Timer {
  FirstToken,
  BetweenTokens,
  WholeResponse,
  QueueWait,
  Route,
  RegistryAge,
  Count
};

/// Counters and duration histograms of a daemon. Thread-safe; counters are
/// lock-free.
class Metrics {
public:
  Metrics();
  /// Calls to the platform's store by use and cause.
  StoreCalls Calls;
  void add(Counter Which, std::uint64_t Amount = 1) {
    this->Counters[static_cast<std::size_t>(Which)].fetch_add(
        Amount, std::memory_order_relaxed);
  }
  std::uint64_t get(Counter Which) const {
    return this->Counters[static_cast<std::size_t>(Which)].load();
  }
  void observe(Timer Which, std::chrono::nanoseconds Took);
  /// Returns all metrics in the Prometheus text format.
  std::string text() const;

private:
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
  mutable std::mutex Mutex;
  std::vector<Series> Timers;
};

} // namespace waycove
