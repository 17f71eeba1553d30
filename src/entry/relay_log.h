// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/relay_attempt.h"

namespace waycove {

/// Tells the log and the counters what becomes of callers' requests and of
/// their sends, with the same fields on every line. Thread-safe.
class RelayLog {
public:
  explicit RelayLog(EntryBoard &Board) : Board(Board) {}

  /// Takes the target out of choice for \p Time, and tells of it where it is
  /// not out already.
  void suspectTarget(const VmIncarnation &Target, Millis Time,
                     const std::string &Reason, const RequestId &Because);
  /// A send ended without a whole answer.
  void attemptEnded(const RelayExchange &Ex, const RelayAttempt &Attempt);
  /// The request ended with the answer of \p To, or because the caller left.
  void requestDone(const RelayExchange &Ex, const ServingTarget &To,
                   AttemptOutcome End);
  /// The request ended with a target's own failure.
  void requestFailed(const RelayExchange &Ex, const std::string &Reason);
  /// The request's answer had begun and was given up.
  void requestCut(const RelayExchange &Ex, const std::string &Reason);
  void requestRefused(const RelayExchange &Ex, const absl::Status &Why);

private:
  EntryBoard &Board;
};

} // namespace waycove
