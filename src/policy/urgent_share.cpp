// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/urgent_share.h"

#include "base/ids.h"

#include <algorithm>

namespace waycove {

void UrgentShare::note(bool InTime) {
  this->Part = InTime ? std::min(1.0, this->Part + Grow)
                      : std::max(Least, this->Part - Shrink);
}

bool UrgentShare::takes(std::uint64_t Random) const {
  // Other bits of the same number choose the target.
  constexpr std::uint64_t Salt = 0x75726765;
  constexpr std::uint64_t Steps = 1 << 20;
  auto Place = static_cast<double>(mixHash(Random, Salt) % Steps);
  return Place < this->Part * static_cast<double>(Steps);
}

} // namespace waycove
