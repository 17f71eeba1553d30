// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/boot_clock.h"

#include <ctime>

namespace waycove {

BootClock::time_point BootClock::now() noexcept {
  timespec Now{};
  // Fails only for an unknown clock; available since Linux 2.6.39.
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return time_point(std::chrono::seconds(Now.tv_sec) +
                    std::chrono::nanoseconds(Now.tv_nsec));
}

} // namespace waycove
