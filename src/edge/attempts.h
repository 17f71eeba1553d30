// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "edge/placement.h"
#include "policy/retry.h"

namespace waycove {

/// One request's attempts at targets.
struct Course {
  std::vector<VmId> Avoid;
  unsigned Attempts = 0;
  bool MayHaveRun = false;
  std::string Reason;
};

/// Picks targets for attempts, remembers how attempts end, and says whether a
/// request is tried again. One for all requests of a daemon, so that retries
/// keep within one budget. Thread-safe.
class Attempts {
public:
  Attempts(Board &Tables, const Placement &Places)
      : Tables(Tables), Places(Places) {}

  void noteFirst();
  /// A target for the next attempt, or null. Counts the request as in flight
  /// there until noteEnd.
  const RouteTarget *choose(const Plan &Way, const CallerRequest &Request,
                            const Course &Run, std::uint64_t Affinity);
  /// Notes how an attempt ended, and ejects a target that keeps failing.
  void noteEnd(const RouteTarget &Target, AttemptOutcome End,
               std::size_t Known);
  /// A target that says that it leaves is believed, here and by all peers.
  void recordLeaving(const RouteTarget &Target);
  RetryDecision decide(const CallerRequest &Request, Course &Run,
                       AttemptOutcome End);
  /// Notes that the request goes on elsewhere.
  void noteAgain(const CallerRequest &Request, const RouteTarget &Target,
                 bool Resumed, Course &Run);

private:
  Board &Tables;
  const Placement &Places;
  std::mutex BudgetMutex;
  RetryBudget Budget;
};

} // namespace waycove
