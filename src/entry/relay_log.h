// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/relay_attempt.h"

namespace waycove {

/// The response in which a target states something about itself.
struct StatementSource {
  VmIncarnation Target;
  /// When the request to which it responds was sent.
  TimePoint SentAt;
  RequestId Request;
};

/// Writes the outcomes of requests and attempts to the log and the counters,
/// with the same fields on every line. Thread-safe.
class RelayLog {
public:
  explicit RelayLog(EntryBoard &Board) : Board(Board) {}

  /// Marks the target as suspected for \p Duration and logs it if it was not
  /// suspected before. \p Cause is the request that showed the fault.
  void suspectTarget(const VmIncarnation &Target, Millis Duration,
                     const std::string &Reason, const RequestId &Cause);
  /// Applies what a target states in a response, and logs what has changed by
  /// it.
  void recordStatement(const StatementSource &From,
                       const TargetStatement &Statement);
  /// An attempt ended without a whole response.
  void attemptEnded(const RelayExchange &Ex, const RelayAttempt &Attempt,
                    AttemptOutcome End);
  /// The request ended with the response of \p To, or because the caller left.
  void requestDone(const RelayExchange &Ex, const ServingTarget &To,
                   AttemptOutcome End);
  /// The request ended with an error response of a target.
  void requestFailed(const RelayExchange &Ex, const std::string &Reason);
  /// The response was ended before it was whole.
  void requestCut(const RelayExchange &Ex, CutCause Cause,
                  const std::string &Reason);
  /// The response was started and waits, since \p Missing.
  void requestWaits(const RelayExchange &Ex, const std::string &Missing);
  /// The request has ended, in whatever way. Records what it waited for, and
  /// whether it ended too late.
  void requestEnded(const RelayExchange &Ex);
  /// The request was answered with \p Error of this node.
  void requestRefused(const RelayExchange &Ex, const absl::Status &Error);

private:
  void emitCut(const RelayExchange &Ex, CutCause Cause,
               const std::string &Reason);
  void recordLimit(const StatementSource &From,
                   const TargetStatement &Statement);
  void recordPause(const StatementSource &From,
                   const TargetStatement &Statement);
  void recordUnreadable(const StatementSource &From,
                        const TargetStatement &Statement);
  /// Half of the time after its timeout within which a request has to be ended.
  static constexpr Millis OverdueTime{250};

  EntryBoard &Board;
  EventPacer UnreadableLines{Millis(10000)};
};

} // namespace waycove
