// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/events.h"

#include <array>
#include <atomic>

namespace waycove {

/// Purpose of a call to the platform's store.
enum class StoreUse {
  Config,
  Registry,
  Directory,
  /// Writing this node's own entry in the directory.
  Announcement,
  /// Joining the partition assignment and renewing the membership.
  Shares,
  Count
};

/// Why a node calls the store itself instead of reading through another node.
enum class CallCause {
  /// The node has no data yet.
  Start,
  /// Other nodes read through this one, or it renews a lease that it holds.
  Duty,
  /// The node has neither an upstream node nor downstream nodes.
  Alone,
  /// Data received from other nodes is older than its freshness bound.
  Aged,
  /// The upstream node omitted large records.
  Large,
  /// The store no longer has the history after the known position.
  HistoryGone,
  /// The previous call failed.
  Retry,
  Count
};

/// Counts a node's calls to the platform's store by use and cause, to show any
/// load on the store that grows with the number of nodes. Thread-safe.
class StoreCalls {
public:
  void add(StoreUse Use, CallCause Cause, std::uint64_t Calls = 1) {
    this->counter(Use, Cause).fetch_add(Calls, std::memory_order_relaxed);
  }
  std::uint64_t get(StoreUse Use, CallCause Cause) const {
    return this->Counters[indexOf(Use, Cause)].load(std::memory_order_relaxed);
  }
  std::uint64_t total() const;
  /// Returns the nonzero counts as log fields named use_cause.
  LogFields fields() const;
  /// Returns all counts in the Prometheus text format.
  std::string text() const;

private:
  static constexpr auto Causes = static_cast<std::size_t>(CallCause::Count);
  static constexpr auto Uses = static_cast<std::size_t>(StoreUse::Count);

  static std::size_t indexOf(StoreUse Use, CallCause Cause) {
    return static_cast<std::size_t>(Use) * Causes +
           static_cast<std::size_t>(Cause);
  }
  std::atomic<std::uint64_t> &counter(StoreUse Use, CallCause Cause) {
    return this->Counters[indexOf(Use, Cause)];
  }

  std::array<std::atomic<std::uint64_t>, Uses * Causes> Counters{};
};

} // namespace waycove
