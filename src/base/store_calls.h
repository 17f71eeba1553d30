// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/events.h"

#include <array>
#include <atomic>

namespace waycove {

/// What a call to the platform's store is for.
enum class StoreUse {
  Config,
  Registry,
  Directory,
  /// This node's own entry in the directory.
  Announcement,
  /// Joining the shared work and staying in it.
  Shares,
  Count
};

/// Why a node makes a call itself.
enum class CallCause {
  /// It knows nothing yet.
  Start,
  /// Other nodes read through this one, or it holds what it renews.
  Duty,
  /// No other node reads for it, and none reads through it.
  Alone,
  /// What other nodes told is older than the bound allows.
  Aged,
  /// Another node left out what is large.
  Large,
  /// The store dropped the history behind what is known.
  HistoryGone,
  /// The call before failed.
  Retry,
  Count
};

/// Counts a node's calls to the platform's store, each of which has a price
/// and counts towards what the store bears from all nodes together. Whatever
/// grows with the nodes shows here, by use and by cause. Thread-safe.
class StoreCalls {
public:
  void add(StoreUse Use, CallCause Cause, std::uint64_t Calls = 1) {
    this->cell(Use, Cause).fetch_add(Calls, std::memory_order_relaxed);
  }
  std::uint64_t get(StoreUse Use, CallCause Cause) const {
    return this->Cells[placeOf(Use, Cause)].load(std::memory_order_relaxed);
  }
  std::uint64_t total() const;
  /// Each count above 0, as use_cause.
  LogFields fields() const;
  /// All counts in Prometheus' text format.
  std::string text() const;

private:
  static constexpr auto Causes = static_cast<std::size_t>(CallCause::Count);
  static constexpr auto Uses = static_cast<std::size_t>(StoreUse::Count);

  static std::size_t placeOf(StoreUse Use, CallCause Cause) {
    return static_cast<std::size_t>(Use) * Causes +
           static_cast<std::size_t>(Cause);
  }
  std::atomic<std::uint64_t> &cell(StoreUse Use, CallCause Cause) {
    return this->Cells[placeOf(Use, Cause)];
  }

  std::array<std::atomic<std::uint64_t>, Uses * Causes> Cells{};
};

} // namespace waycove
