// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"

namespace waycove {

/// How one attempt at a target ended.
enum class AttemptOutcome {
  /// The whole answer came.
  Done,
  /// Nothing was written to the target: the connection was refused or timed
  /// out while opening.
  NotSent,
  /// The target itself said that it did not take the request.
  Refused,
  /// Written, and then the connection broke or the answer was damaged.
  Broken,
  /// Written, and then nothing came in time.
  Stalled,
  /// The caller left.
  CallerGone,
  Count
};

/// A share of traffic that may be spent on retries, so that failing targets
/// cannot multiply the load. Each first attempt earns a part of a retry, and
/// so does time, for daemons with little traffic.
class RetryBudget {
public:
  void onFirstAttempt(TimePoint Now);
  /// Takes one retry; false where the budget is spent.
  bool take();
  double balance() const { return this->Balance; }

private:
  double Balance = 10;
  TimePoint Last;
};

enum class RetryChoice { Finish, Retry, Fail };

/// Whether to send a request again. Only what provably did not run, or may be
/// repeated, is.
struct RetryDecision {
  RetryChoice Choice{};
  /// The kind to answer with where the choice is to give up.
  ErrorKind Kind{};
};

struct AttemptFacts {
  AttemptOutcome End{};
  bool Repeatable = false;
  unsigned Attempts = 0;
  bool DeadlinePassed = false;
  /// An earlier attempt, or a part of this answer, may have run.
  bool MayHaveRun = false;
};

RetryDecision decideRetry(const AttemptFacts &Facts, RetryBudget &Budget);

} // namespace waycove
