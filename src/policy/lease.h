// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <atomic>

namespace waycove {

/// The latest of the times that it was given, on this machine's boot clock.
/// Thread-safe.
class LatestTime {
public:
  void raise(TimePoint To) {
    std::int64_t Count = To.time_since_epoch().count();
    std::int64_t Old = this->At.load();
    while (Old < Count && !this->At.compare_exchange_weak(Old, Count))
      ;
  }
  void reset() { this->At.store(0); }
  TimePoint get() const {
    return TimePoint(TimePoint::duration(this->At.load()));
  }

private:
  std::atomic<std::int64_t> At{0};
};

/// A time until which something holds, on this machine's boot clock. It is
/// counted from when the question was sent, never from when its answer came:
/// whoever answered may have answered long ago. Thread-safe.
class Lease {
public:
  /// Prolongs to \p SentAt + \p Time; never shortens.
  void renew(TimePoint SentAt, Millis Time) {
    this->Until.raise(SentAt + Time);
  }
  void drop() { this->Until.reset(); }
  bool holds(TimePoint Now) const { return Now < this->Until.get(); }

private:
  LatestTime Until;
};

} // namespace waycove
