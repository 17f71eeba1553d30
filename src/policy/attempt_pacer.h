// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <optional>

namespace waycove {

/// Spaces the further attempts of one request. The first failure is followed at
/// once. The load that the pauses answer: targets that end together, links that
/// break for a second, or full targets would use up the attempts of each
/// request, and the retries of all, within milliseconds. Not thread-safe.
class AttemptPacer {
public:
  /// Returns how long a response that has started pauses after an attempt that
  /// was sent has failed.
  Millis pauseAfterFailure(TimePoint Now);
  /// An attempt beside a silent one has failed.
  void onSuccessorFailed(TimePoint Now);
  /// A silent attempt goes on.
  void onSilentWentOn() { this->SuccessorFailures = 0; }
  /// Whether a response that has started, and is blamed for crashes of targets,
  /// waits until it is cleared. Targets that end together leave the same
  /// crashes to all that ran there; those that run elsewhere clear the innocent
  /// ones when they are whole.
  bool mayAwaitClearing(TimePoint Now);
  /// The response is not blamed, or no longer.
  void onCleared() { this->BlamedAt.reset(); }
  /// Whether an attempt may be made beside a silent one.
  bool maySucceed(TimePoint Now) const {
    return Now >= this->NoSuccessorBefore;
  }

private:
  TimePoint FailedAt;
  /// Failures that came shortly after another one.
  unsigned FailuresInRow = 0;
  unsigned SuccessorFailures = 0;
  TimePoint NoSuccessorBefore;
  std::optional<TimePoint> BlamedAt;
};

} // namespace waycove
