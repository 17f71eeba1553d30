// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"

namespace waycove {

/// Outcome of one attempt at a target.
enum class AttemptOutcome {
  /// The complete response was received.
  Done,
  /// Nothing was written to the target: the connection was refused or timed out
  /// while opening.
  NotSent,
  /// The target stated that it did not accept the request.
  Refused,
  /// Written, then the connection broke or the response was malformed.
  Broken,
  /// Written, then nothing was received in time.
  Stalled,
  /// Written, then nothing was received for longer than usual, and another
  /// attempt can be made. This one goes on meanwhile.
  Silent,
  /// An earlier attempt, which had been silent, goes on.
  Overtaken,
  /// The caller disconnected.
  CallerGone,
  Count
};

/// Limits retries to a fraction of the traffic, so that failing targets cannot
/// multiply the load. Each first attempt earns part of a retry, and so does
/// time, for daemons with little traffic.
class RetryBudget {
public:
  void onFirstAttempt(TimePoint Now);
  /// Takes one retry and returns true, or false if the budget is exhausted.
  bool take();
  double balance() const { return this->Balance; }

private:
  double Balance = 10;
  TimePoint Last;
};

enum class RetryChoice { Finish, Retry, Fail };

/// Whether to retry a request. Only requests that certainly did not run, or
/// that may be repeated, are retried.
struct RetryDecision {
  RetryChoice Choice{};
  /// The error to return to the caller if the choice is Fail.
  ErrorKind Kind{};
};

/// What decideRetry needs to know about the latest attempt.
struct AttemptFacts {
  AttemptOutcome End{};
  bool Repeatable = false;
  unsigned Attempts = 0;
  bool DeadlinePassed = false;
  /// An earlier attempt, or part of this response, may have run.
  bool MayHaveRun = false;
};

RetryDecision decideRetry(const AttemptFacts &Facts, RetryBudget &Budget);

} // namespace waycove
