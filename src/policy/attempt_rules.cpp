// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/attempt_rules.h"

#include <array>

namespace waycove {

namespace {

/// Attempts for one request, including those that targets declined.
constexpr std::size_t AttemptLimit = 5;

constexpr std::array<const char *, static_cast<std::size_t>(CutCause::Count)>
    CutCauseNames{"timeout",       "caller_left",   "caller_slow",
                  "not_resumable", "attempts_used", "crashes_targets",
                  "stopping",      "fault"};

} // namespace

const char *nameOf(CutCause Cause) {
  return CutCauseNames.at(static_cast<std::size_t>(Cause));
}

std::optional<CutCause> causeToCut(const HttpRoute &Route,
                                   const AttemptCounts &Counts) {
  if (mayRetry(Route, Counts))
    return std::nullopt;
  return Route.mayRepeat() ? CutCause::AttemptsUsed : CutCause::NotResumable;
}

bool mayRetry(const HttpRoute &Route, const AttemptCounts &Counts) {
  // What targets decline is bounded by the retry limit as well, and a started
  // response has no other way to end well.
  if (!Counts.HasStarted && Counts.Made >= AttemptLimit)
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
