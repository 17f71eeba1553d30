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

/// An offset of the store's first era, or of a later one.
inline StorePosition atOffset(std::uint64_t Where = 0, std::uint64_t Era = 0) {
  return {StoreEra(Era), Offset(Where)};
}

} // namespace waycove::test
