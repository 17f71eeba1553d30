// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <algorithm>
#include <chrono>
#include <mutex>

namespace waycove {

/// Time since boot, including the time that the machine was suspended
/// (CLOCK_BOOTTIME). The steady clock excludes it, so leases and deadlines that
/// are measured by the steady clock expire too late after a suspension.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // Name required by the standard's Clock requirements. NOLINTNEXTLINE
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

/// Waits on \p Changed until \p IsMet returns true or \p Until has passed;
/// returns whether the condition was met. The condition variable's own timeout
/// excludes suspended time, so the boot clock is checked every 200 ms.
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
