// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

namespace waycove::test {

/// Moments of a test that moves its clock by hand. None is the zero time,
/// which stands for never.
inline TimePoint at(int Ms) {
  return TimePoint(std::chrono::seconds(1000) + Millis(Ms));
}

} // namespace waycove::test
