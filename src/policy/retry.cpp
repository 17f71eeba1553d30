// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/retry.h"

#include <algorithm>
#include <array>

namespace waycove {

namespace {

constexpr double EarnedPerAttempt = 0.1;
constexpr double EarnedPerSecond = 2;
constexpr double MaxBalance = 100;
constexpr unsigned MaxAttempts = 4;

/// What the outcome of an attempt tells about execution at the target.
struct OutcomeInfo {
  AttemptOutcome Outcome;
  bool Sent;
  ErrorKind Kind;
};

constexpr std::array<OutcomeInfo,
                     static_cast<std::size_t>(AttemptOutcome::Count)>
    Outcomes{{{AttemptOutcome::Done, true, ErrorKind::Internal},
              {AttemptOutcome::NotSent, false, ErrorKind::NoCapacity},
              {AttemptOutcome::Refused, false, ErrorKind::TargetBusy},
              {AttemptOutcome::Broken, true, ErrorKind::OutcomeUnknown},
              {AttemptOutcome::Stalled, true, ErrorKind::OutcomeUnknown},
              {AttemptOutcome::Silent, true, ErrorKind::OutcomeUnknown},
              {AttemptOutcome::Overtaken, true, ErrorKind::OutcomeUnknown},
              {AttemptOutcome::CallerGone, true, ErrorKind::OutcomeUnknown}}};

} // namespace

void RetryBudget::onFirstAttempt(TimePoint Now) {
  double Seconds = std::chrono::duration<double>(Now - this->Last).count();
  double Earned = EarnedPerAttempt;
  if (this->Last != TimePoint())
    Earned += Seconds * EarnedPerSecond;
  this->Last = Now;
  this->Balance = std::min(this->Balance + Earned, MaxBalance);
}

bool RetryBudget::take() {
  if (this->Balance < 1)
    return false;
  this->Balance -= 1;
  return true;
}

RetryDecision decideRetry(const AttemptFacts &Facts, RetryBudget &Budget) {
  if (Facts.End == AttemptOutcome::Done)
    return {RetryChoice::Finish, ErrorKind::Internal};
  const OutcomeInfo &Info = Outcomes[static_cast<std::size_t>(Facts.End)];
  bool MayHaveRun = Facts.MayHaveRun || Info.Sent;
  // 1. The error to return if there is no retry.
  ErrorKind Kind = MayHaveRun ? ErrorKind::OutcomeUnknown : Info.Kind;
  if (Facts.DeadlinePassed)
    Kind = MayHaveRun ? (Facts.Repeatable ? ErrorKind::DeadlineAfterRun
                                          : ErrorKind::OutcomeUnknown)
                      : ErrorKind::DeadlineBeforeRun;
  if (Facts.End == AttemptOutcome::CallerGone || Facts.DeadlinePassed)
    return {RetryChoice::Fail, Kind};
  // 2. Is a retry safe?
  if (MayHaveRun && !Facts.Repeatable)
    return {RetryChoice::Fail, Kind};
  // 3. Do the attempts and the budget allow one?
  if (Facts.Attempts >= MaxAttempts || !Budget.take())
    return {RetryChoice::Fail, MayHaveRun ? ErrorKind::TargetFailed : Kind};
  return {RetryChoice::Retry, Kind};
}

} // namespace waycove
