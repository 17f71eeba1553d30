// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <compare>
#include <string>

namespace waycove {

/// Identifies targets that serve the same requests.
struct PoolKey {
  ServiceId Service;
  /// Empty for plain services.
  std::string Model;
  // Defaulted by the compiler. NOLINTNEXTLINE
  auto operator<=>(const PoolKey &) const = default;
};

} // namespace waycove
