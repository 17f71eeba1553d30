// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <atomic>

namespace waycove {

/// The latest of the times passed to raise(), on the boot clock of this
/// machine. Thread-safe.
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

/// A lease that holds until some time on the boot clock of this machine. It is
/// counted from when the request was sent, since the response may be delayed.
/// Thread-safe.
class Lease {
public:
  /// Extends the lease to \p SentAt + \p Duration; never shortens it.
  void renew(TimePoint SentAt, Millis Duration) {
    this->Until.raise(SentAt + Duration);
  }
  void drop() { this->Until.reset(); }
  bool holds(TimePoint Now) const { return Now < this->Until.get(); }

private:
  LatestTime Until;
};

} // namespace waycove
