// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/reach_monitor.h"
#include "control/standstill_monitor.h"
#include "entry/relay_log.h"
#include "entry/retry_policy.h"

namespace waycove {

/// Waits for a target's response, watches whether the caller leaves, and
/// distinguishes an unresponsive target from a busy one. Thread-safe.
class ResponseWait {
public:
  ResponseWait(EntryBoard &Board, RetryPolicy &Retries, RelayLog &Log,
               BufferBudget &Buffers)
      : Board(Board), Retries(Retries), Log(Log), Buffers(Buffers),
        Monitor(Board), Standstills(Board) {}

  /// Waits for bytes from the target. Returns how the attempt ends, or nothing
  /// if bytes were received.
  std::optional<AttemptOutcome> waitForBytes(RelayExchange &Ex,
                                             RelayAttempt &Attempt);
  /// The same within a body, which the end of the connection may complete.
  std::optional<AttemptOutcome>
  waitForBody(RelayExchange &Ex, RelayAttempt &Attempt, BodyDecoder &Body);
  /// Reads a whole body. Returns Done if it is complete.
  AttemptOutcome readBody(RelayExchange &Ex, RelayAttempt &Attempt,
                          BodyDecoder &Body, BufferedBody &Payload);

private:
  bool hasLostWay(RelayAttempt &Attempt, TimePoint Now);
  void doubtIfAllSilent(TimePoint Now);
  bool isUnresponsive(const RelayExchange &Ex, RelayAttempt &Attempt,
                      TimePoint Now);

  EntryBoard &Board;
  RetryPolicy &Retries;
  RelayLog &Log;
  BufferBudget &Buffers;
  ReachMonitor Monitor;
  StandstillMonitor Standstills;
};

} // namespace waycove
