// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/attempt_pacer.h"

#include <algorithm>

namespace waycove {

namespace {

/// The shortest pause; doubled with each failure in a row.
constexpr Millis FirstPause{100};
constexpr unsigned MaxDoublings = 3;
/// A failure counts as in a row within this time after the last one.
constexpr Millis RecentFailure{1000};
/// For so long a blamed response waits. Callers leave after a pause of some two
/// seconds.
constexpr Millis ClearingTime{2000};

Millis doubled(unsigned Times) {
  return FirstPause * (1U << std::min(Times, MaxDoublings));
}

} // namespace

Millis AttemptPacer::pauseAfterFailure(TimePoint Now) {
  bool IsInRow = Now - this->FailedAt < RecentFailure;
  this->FailedAt = Now;
  this->FailuresInRow = IsInRow ? this->FailuresInRow + 1 : 0;
  return this->FailuresInRow == 0 ? Millis(0)
                                  : doubled(this->FailuresInRow - 1);
}

bool AttemptPacer::mayAwaitClearing(TimePoint Now) {
  if (!this->BlamedAt)
    this->BlamedAt = Now;
  return Now - *this->BlamedAt < ClearingTime;
}

void AttemptPacer::onSuccessorFailed(TimePoint Now) {
  this->NoSuccessorBefore = Now + doubled(this->SuccessorFailures);
  ++this->SuccessorFailures;
}

} // namespace waycove
