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
constexpr double MostBalance = 100;
constexpr unsigned MaxAttempts = 4;

/// What an attempt's end says about the target having run the request.
struct EndRow {
  AttemptOutcome End;
  bool Sent;
  ErrorKind Kind;
};

constexpr std::array<EndRow, static_cast<std::size_t>(AttemptOutcome::Count)>
    Ends{{{AttemptOutcome::Done, true, ErrorKind::Internal},
          {AttemptOutcome::NotSent, false, ErrorKind::NoCapacity},
          {AttemptOutcome::Refused, false, ErrorKind::TargetBusy},
          {AttemptOutcome::Broken, true, ErrorKind::OutcomeUnknown},
          {AttemptOutcome::Stalled, true, ErrorKind::OutcomeUnknown},
          {AttemptOutcome::CallerGone, true, ErrorKind::OutcomeUnknown}}};

} // namespace

void RetryBudget::onFirstAttempt(TimePoint Now) {
  double Seconds = std::chrono::duration<double>(Now - this->Last).count();
  double Earned = EarnedPerAttempt;
  if (this->Last != TimePoint())
    Earned += Seconds * EarnedPerSecond;
  this->Last = Now;
  this->Balance = std::min(this->Balance + Earned, MostBalance);
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
  const EndRow &Row = Ends[static_cast<std::size_t>(Facts.End)];
  bool MayHaveRun = Facts.MayHaveRun || Row.Sent;
  // 1. The honest answer, should this be the end.
  ErrorKind Kind = MayHaveRun ? ErrorKind::OutcomeUnknown : Row.Kind;
  if (Facts.DeadlinePassed)
    Kind = MayHaveRun ? (Facts.Repeatable ? ErrorKind::DeadlineAfterRun
                                          : ErrorKind::OutcomeUnknown)
                      : ErrorKind::DeadlineBeforeRun;
  if (Facts.End == AttemptOutcome::CallerGone || Facts.DeadlinePassed)
    return {RetryChoice::Fail, Kind};
  // 2. May it be sent again at all?
  if (MayHaveRun && !Facts.Repeatable)
    return {RetryChoice::Fail, Kind};
  // 3. Is it worth it?
  if (Facts.Attempts >= MaxAttempts || !Budget.take())
    return {RetryChoice::Fail, MayHaveRun ? ErrorKind::TargetFailed : Kind};
  return {RetryChoice::Retry, Kind};
}

} // namespace waycove
