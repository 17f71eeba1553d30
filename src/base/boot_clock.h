// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <algorithm>
#include <chrono>
#include <mutex>

namespace waycove {

/// Time since the machine started, with the time that it was suspended. The
/// steady clock stands still meanwhile: by that clock a lease, a deadline or a
/// proof would outlive its time by as long as the machine was suspended.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The language names what a clock has. NOLINTNEXTLINE
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

/// Waits until \p IsMet or the time comes; whether it is met. The system's own
/// waits do not count the time that the machine is suspended, so the clock is
/// looked at again within a fifth of a second.
template <typename Variable, typename Condition>
bool waitUntil(Variable &Changed, std::unique_lock<std::mutex> &Lock,
               BootClock::time_point Until, const Condition &IsMet) {
  constexpr std::chrono::milliseconds Slice(200);
  while (!IsMet()) {
    BootClock::time_point Now = BootClock::now();
    if (Now >= Until)
      return false;
    Changed.wait_for(Lock, std::min<BootClock::duration>(Until - Now, Slice));
  }
  return true;
}

} // namespace waycove
