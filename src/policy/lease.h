// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <atomic>

namespace waycove {

/// A time until which something holds, on this process's steady clock. It is
/// counted from when the question was sent, never from when its answer came:
/// whoever answered may have answered long ago. Thread-safe.
class Lease {
public:
  /// Prolongs to \p SentAt + \p Time; never shortens.
  void renew(TimePoint SentAt, Millis Time) {
    std::int64_t Until = (SentAt + Time).time_since_epoch().count();
    std::int64_t Old = this->Until.load();
    while (Old < Until && !this->Until.compare_exchange_weak(Old, Until))
      ;
  }
  void drop() { this->Until.store(0); }
  bool holds(TimePoint Now) const {
    return Now.time_since_epoch().count() < this->Until.load();
  }

private:
  std::atomic<std::int64_t> Until{0};
};

} // namespace waycove
