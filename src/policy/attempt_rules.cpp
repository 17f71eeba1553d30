// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/attempt_rules.h"

namespace waycove {

namespace {

/// Attempts for one request, including those that targets declined.
constexpr std::size_t AttemptLimit = 5;

} // namespace

bool mayRetry(const HttpRoute &Route, const AttemptCounts &Counts) {
  if (Counts.Made >= AttemptLimit)
    return false;
  return Counts.MayHaveRun == 0 ||
         (Route.mayRepeat() && Counts.MayHaveRun < Route.MaxAttempts);
}

ErrorKind errorKindFor(const AttemptCounts &Counts, bool DeadlinePassed) {
  if (DeadlinePassed)
    return Counts.MayHaveRun ? ErrorKind::DeadlineAfterRun
                             : ErrorKind::DeadlineBeforeRun;
  if (Counts.MayHaveRun)
    return ErrorKind::OutcomeUnknown;
  return Counts.Sent ? ErrorKind::TargetBusy : ErrorKind::NoCapacity;
}

} // namespace waycove
