// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "edge/placement.h"
#include "policy/retry.h"

namespace waycove {

/// The attempts made so far for one request.
struct AttemptHistory {
  /// Heads of targets that failed.
  std::vector<VmId> Avoid;
  unsigned Attempts = 0;
  bool MayHaveRun = false;
  /// Why the last attempt failed.
  std::string Reason;
};

/// Selects targets for attempts, records their outcomes and decides on retries.
/// Shared by all requests of a daemon, which share one retry budget.
/// Thread-safe.
class Attempts {
public:
  Attempts(Board &Tables, const Placement &PlacementRules)
      : Tables(Tables), PlacementRules(PlacementRules) {}

  void recordFirstAttempt();
  /// Selects a target for the next attempt, or returns null. The request counts
  /// as in flight there until recordOutcome() is called.
  const RouteTarget *choose(const RoutePlan &Plan, const CallerRequest &Request,
                            const AttemptHistory &History,
                            std::uint64_t Affinity);
  /// Records the outcome of an attempt and ejects a target that keeps failing.
  /// \p TargetCount is the number of targets of the request's plan.
  void recordOutcome(const RouteTarget &Target, AttemptOutcome End,
                     std::size_t TargetCount);
  /// Marks a target that reported itself as leaving, and has gossip pass that
  /// on to the peers.
  void recordLeaving(const RouteTarget &Target);
  /// Decides whether to finish, retry or give up after an attempt that ended
  /// with \p End.
  RetryDecision decide(const CallerRequest &Request, AttemptHistory &History,
                       AttemptOutcome End);
  /// Records that the request is retried or resumed after failing on
  /// \p Target.
  void recordRetry(const CallerRequest &Request, const RouteTarget &Target,
                   bool Resumed, AttemptHistory &History);

private:
  Board &Tables;
  const Placement &PlacementRules;
  std::mutex BudgetMutex;
  RetryBudget Budget;
};

} // namespace waycove
