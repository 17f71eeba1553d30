// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/clock.h"

#include <atomic>

namespace waycove {

/// Lets a line be logged at most once per interval, however often its cause
/// comes up. Thread-safe.
class EventPacer {
public:
  explicit EventPacer(Millis Interval)
      : Interval(Interval), LoggedMs(-Interval.count()) {}

  /// Whether the line is to be logged now.
  bool isDue(TimePoint Now) {
    std::int64_t NowMs = Now.time_since_epoch() / Millis(1);
    std::int64_t Last = this->LoggedMs;
    return NowMs - Last >= this->Interval.count() &&
           this->LoggedMs.compare_exchange_strong(Last, NowMs);
  }

private:
  const Millis Interval;
  /// On the boot clock.
  std::atomic<std::int64_t> LoggedMs;
};

} // namespace waycove
