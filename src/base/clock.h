// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <atomic>
#include <concepts>

namespace waycove {

/// A source of monotonic and wall time; tests substitute their own.
template <typename T>
concept Clock = requires(const T &C) {
  { C.now() } -> std::same_as<TimePoint>;
  { C.wall() } -> std::same_as<WallMs>;
};

/// The system clocks.
struct SystemClock {
  TimePoint now() const { return BootClock::now(); }
  WallMs wall() const {
    auto Since = std::chrono::system_clock::now().time_since_epoch();
    return WallMs(static_cast<std::uint64_t>(
        std::chrono::duration_cast<Millis>(Since).count()));
  }
};

/// Hybrid logical clock: wall milliseconds in the upper 48 bits and a counter
/// in the lower 16. Its timestamps order events of all processes causally, even
/// if their wall clocks disagree.
class HybridClock {
public:
  /// Returns the timestamp of a local event at wall time \p Wall.
  std::uint64_t tick(WallMs Wall) { return this->advance(Wall.Value << 16); }
  /// Advances the clock past a timestamp received from another process and
  /// returns the new timestamp.
  std::uint64_t merge(std::uint64_t Received) {
    return this->advance(Received + 1);
  }

private:
  std::uint64_t advance(std::uint64_t Candidate) {
    std::uint64_t Old = this->Last.load();
    std::uint64_t Next = 0;
    do {
      Next = Candidate > Old ? Candidate : Old + 1;
    } while (!this->Last.compare_exchange_weak(Old, Next));
    return Next;
  }

  std::atomic<std::uint64_t> Last{0};
};

} // namespace waycove
