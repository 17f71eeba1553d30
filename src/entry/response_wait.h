// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/relay_log.h"
#include "entry/relay_policy.h"

namespace waycove {

/// Waits for a target's answer while the caller waits too, and tells a target
/// that stands still from one that is busy. Thread-safe.
class ResponseWait {
public:
  ResponseWait(EntryBoard &Board, RelayPolicy &Policy, RelayLog &Log)
      : Board(Board), Policy(Policy), Log(Log) {}

  /// Waits for more from the target. Nothing where bytes came; else how the
  /// attempt ends.
  std::optional<AttemptOutcome> waitForBytes(RelayExchange &Ex,
                                             RelayAttempt &Attempt);
  /// The same within a body, which may end where the connection does.
  std::optional<AttemptOutcome>
  waitForBody(RelayExchange &Ex, RelayAttempt &Attempt, BodyDecoder &Body);
  /// Reads a whole body; Done where it came.
  AttemptOutcome readBody(RelayExchange &Ex, RelayAttempt &Attempt,
                          BodyDecoder &Body, std::string &Into);

private:
  bool isSilentTooLong(const RelayExchange &Ex, RelayAttempt &Attempt,
                       TimePoint Now);

  EntryBoard &Board;
  RelayPolicy &Policy;
  RelayLog &Log;
};

} // namespace waycove
