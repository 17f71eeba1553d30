// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/centre_leave.h"

#include "base/ids.h"

namespace waycove {

namespace {

/// Salt of the random decision whether a request stays in its data centre.
constexpr std::uint64_t StaySalt = 0x57a4;
/// Resolution of that decision.
constexpr std::uint64_t StayScale = 10000;

} // namespace

bool mayLeaveCentre(double LocalFraction, std::uint64_t Random) {
  std::uint64_t Drawn = mixHash(Random, StaySalt) % StayScale;
  return static_cast<double>(Drawn) >=
         LocalFraction * static_cast<double>(StayScale);
}

} // namespace waycove
