// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/reach_monitor.h"
#include "control/standstill_monitor.h"
#include "entry/attempt_recorder.h"

namespace waycove {

/// Waits for a target's response, watches whether the caller leaves, and
/// distinguishes an unresponsive target from a busy one. Thread-safe.
class ResponseWait {
public:
  ResponseWait(EntryBoard &Board, RetryPolicy &Retries,
               const CrashGuard &Crashes, RelayLog &Log,
               AttemptRecorder &Attempts, BufferBudget &Buffers)
      : Board(Board), Retries(Retries), Crashes(Crashes), Log(Log),
        Attempts(Attempts), Buffers(Buffers), Monitor(Board),
        Standstills(Board) {}

  /// Waits for bytes from the target. Returns how the attempt ends, or nothing
  /// if bytes were received. Silent if its next attempt is prepared, and
  /// Overtaken if the last of the earlier attempts goes on.
  std::optional<AttemptOutcome> waitForBytes(RelayExchange &Ex,
                                             RelayAttempt &Attempt);
  /// The same within a body, which the end of the connection may complete.
  std::optional<AttemptOutcome>
  waitForBody(RelayExchange &Ex, RelayAttempt &Attempt, BodyDecoder &Body);
  /// Reads a whole body. Returns Done if it is complete.
  AttemptOutcome readBody(RelayExchange &Ex, RelayAttempt &Attempt,
                          BodyDecoder &Body, BufferedBody &Payload);
  /// The same for the body of a response to another request, of which nothing
  /// is kept.
  AttemptOutcome skipBody(RelayExchange &Ex, RelayAttempt &Attempt,
                          BodyDecoder &Body);
  /// Reads the body of a response that declines the request, as far as it comes
  /// at once. Returns whether it is complete.
  bool skipDeclinedBody(const RelayExchange &Ex, RelayAttempt &Attempt,
                        BodyDecoder &Body);
  /// Reports a target whose bytes are no answer, or more than one may have.
  /// Returns how its attempt ends.
  AttemptOutcome endOverBounds(const RelayExchange &Ex, RelayAttempt &Attempt,
                               const std::string &Reason);

private:
  /// What the unread bytes of an attempt are to its answer.
  enum class UnreadBytes { MoveOn, Incomplete, Invalid };
  static UnreadBytes judgeUnread(RelayAttempt &Attempt);
  /// Receives what the target of an earlier attempt has sent. Returns whether
  /// that one goes on; it is the last one then. Ends it if its connection has
  /// ended, or if what it sends is no answer.
  bool goesOn(const RelayExchange &Ex, std::size_t Earlier, TimePoint Now);
  /// Prepares the next attempt of one without progress, if that is possible.
  bool prepareNext(RelayExchange &Ex, RelayAttempt &Attempt, TimePoint Now);
  bool hasLostWay(RelayAttempt &Attempt, TimePoint Now);
  void doubtIfAllSilent(TimePoint Now);
  bool isUnresponsive(const RelayExchange &Ex, RelayAttempt &Attempt,
                      TimePoint Now);

  EntryBoard &Board;
  RetryPolicy &Retries;
  const CrashGuard &Crashes;
  RelayLog &Log;
  AttemptRecorder &Attempts;
  BufferBudget &Buffers;
  ReachMonitor Monitor;
  StandstillMonitor Standstills;
};

} // namespace waycove
