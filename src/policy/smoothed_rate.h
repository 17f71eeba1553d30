// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <algorithm>
#include <cmath>

namespace waycove {

/// Rate of events per second, averaged over the last few seconds by exponential
/// decay. Not thread-safe.
class SmoothedRate {
public:
  /// Counts one event.
  void count(TimePoint Now) {
    this->Sum = this->decayed(Now) + 1;
    this->At = Now;
  }
  /// Returns the current rate.
  double perSecond(TimePoint Now) const {
    return this->decayed(Now) / WindowSeconds;
  }

private:
  /// Long enough that a node with a few requests per second has a usable
  /// estimate, short enough to follow a burst that lasts some seconds.
  static constexpr double WindowSeconds = 2;
  double decayed(TimePoint Now) const {
    double Age = std::chrono::duration<double>(Now - this->At).count();
    return this->Sum * std::exp(-std::max(Age, 0.0) / WindowSeconds);
  }
  double Sum = 0;
  TimePoint At;
};

} // namespace waycove
