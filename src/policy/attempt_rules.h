// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"
#include "policy/routing.h"

#include <optional>

namespace waycove {

/// The attempts that were made for a request.
struct AttemptCounts {
  /// All of them, including those that targets declined.
  std::size_t Made = 0;
  /// Those that reached, or may have reached, a target.
  unsigned Sent = 0;
  /// Of these, those that may have started to run there.
  unsigned MayHaveRun = 0;
  /// The caller already has a part of the response, so that it cannot be told
  /// to come back.
  bool HasStarted = false;
};

/// Why a response that had started ended before it was whole. There are no
/// other reasons: while a target would still complete it, or another one can go
/// on, its request waits.
enum class CutCause {
  /// The deadline passed: the caller's own, or that of its route.
  Timeout,
  /// The caller closed or lost its connection.
  CallerLeft,
  /// The caller did not read for so long that the response could not go on.
  CallerSlow,
  /// Its target ended it, and a response of this route cannot go on at another.
  NotResumable,
  /// Its targets ended it, as often as its route allows attempts.
  AttemptsUsed,
  /// Targets crash under such requests.
  CrashesTargets,
  /// The time for a planned stop of this node passed.
  Stopping,
  /// This node failed, for example for want of memory: a fault to be mended.
  Fault,
  Count
};

/// The name of \p Cause in the log.
const char *nameOf(CutCause Cause);

/// Why a started response ends after an attempt, without a deadline or caller
/// that ends it; nothing if another attempt is allowed.
std::optional<CutCause> causeToCut(const HttpRoute &Route,
                                   const AttemptCounts &Counts);

/// Whether another attempt on \p Route is allowed after a failed one.
bool mayRetry(const HttpRoute &Route, const AttemptCounts &Counts);

/// The error for a caller whose request got no response from a target. It
/// claims no more than is certain.
ErrorKind errorKindFor(const AttemptCounts &Counts, bool DeadlinePassed);

} // namespace waycove
