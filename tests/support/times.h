// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

namespace waycove::test {

/// Time points for tests with a manual clock. Never the zero time, which means
/// "never".
inline TimePoint at(int Ms) {
  return TimePoint(std::chrono::seconds(1000) + Millis(Ms));
}

/// A store position, by default in the first era.
inline StorePosition atOffset(std::uint64_t Where = 0, std::uint64_t Era = 0) {
  return {StoreEra(Era), Offset(Where)};
}

} // namespace waycove::test
