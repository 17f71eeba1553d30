// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/standstill.h"

#include <algorithm>

namespace waycove {

namespace {

/// A node that noted nothing for longer has stood still.
constexpr Millis MaxDelay = 3 * RunningInterval;
/// Events of a busy engine may be 180 ms apart, and processes that stood still
/// together may go on a little later than this one.
constexpr Millis MinPatience{320};

} // namespace

std::optional<Standstill> findStandstill(TimePoint LastNoted, TimePoint Now) {
  if (LastNoted == TimePoint() || Now - LastNoted <= MaxDelay)
    return std::nullopt;
  return Standstill{LastNoted + RunningInterval, Now};
}

Millis patienceAfter(Millis StoodStill, Millis Patience) {
  return std::max(Patience - StoodStill, std::min(Patience, MinPatience));
}

void StandstillHistory::add(const Standstill &Found) {
  this->Kept[this->Oldest] = Found;
  this->Oldest = (this->Oldest + 1) % MaxKept;
}

TimePoint::duration StandstillHistory::runningTime(TimePoint From,
                                                   TimePoint Until) const {
  TimePoint::duration Running =
      std::max(Until - From, TimePoint::duration::zero());
  for (const Standstill &Row : this->Kept) {
    TimePoint::duration Overlap =
        std::min(Until, Row.End) - std::max(From, Row.Begin);
    Running -= std::max(Overlap, TimePoint::duration::zero());
  }
  return std::max(Running, TimePoint::duration::zero());
}

} // namespace waycove
