// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/relay_choice.h"
#include "entry/relay_notes.h"

namespace waycove {

/// Waits for a target's answer while the caller waits too, and tells a target
/// that stands still from one that is busy. Thread-safe.
class AnswerWait {
public:
  AnswerWait(EntryBoard &Board, RelayChoice &Choice, RelayNotes &Notes)
      : Board(Board), Choice(Choice), Notes(Notes) {}

  /// Waits for more from the target. Nothing where bytes came; else how the
  /// attempt ends.
  std::optional<AttemptOutcome> forBytes(RelayExchange &Ex, RelayAttempt &Try);
  /// The same within a body, which may end where the connection does.
  std::optional<AttemptOutcome> forBody(RelayExchange &Ex, RelayAttempt &Try,
                                        BodyDecoder &Body);
  /// Reads a whole body; Done where it came.
  AttemptOutcome readBody(RelayExchange &Ex, RelayAttempt &Try,
                          BodyDecoder &Body, std::string &Into);

private:
  bool isSilentTooLong(const RelayExchange &Ex, RelayAttempt &Try,
                       TimePoint Now);

  EntryBoard &Board;
  RelayChoice &Choice;
  RelayNotes &Notes;
};

} // namespace waycove
