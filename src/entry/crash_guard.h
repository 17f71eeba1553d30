// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/relay_attempt.h"

namespace waycove {

/// Holds back requests that are blamed for crashes of targets, and records the
/// outcomes of attempts by which they are recognized. Thread-safe.
class CrashGuard {
public:
  explicit CrashGuard(EntryBoard &Board) : Board(Board) {}

  /// Whether the request is refused at this node, so that there is no use in
  /// waiting. Does not use up a trial.
  bool isBlamed(const RelayRequest &Request, TimePoint Now) const;
  /// Whether nothing that the request contains is blamed. A response that has
  /// started goes on only then: a trial is left to a request that is new.
  bool isCleared(const RelayRequest &Request, TimePoint Now) const {
    return this->judge(Request, Now).Found == CrashBlame::Verdict::Allow;
  }
  /// Whether the request may be sent, given which requests are blamed for
  /// crashes of targets. If a single trial is allowed, this call uses it up.
  bool maySend(const RelayRequest &Request, TimePoint Now);
  /// Records the outcome of an attempt, so that requests that crash targets
  /// are recognized.
  void recordOutcome(const RelayRequest &Request, const RelayAttempt &Attempt,
                     AttemptOutcome End, TimePoint Now);

private:
  CrashBlame::Judgement judge(const RelayRequest &Request, TimePoint Now) const;
  /// Whether this node may run the trial of the culprit.
  bool isTrialNode(const CrashBlame::Judgement &Judged) const;

  EntryBoard &Board;
};

} // namespace waycove
