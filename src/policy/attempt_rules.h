// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"
#include "policy/routing.h"

namespace waycove {

/// The attempts that were made for a request.
struct AttemptCounts {
  /// All of them, including those that targets declined.
  std::size_t Made = 0;
  /// Those that reached, or may have reached, a target.
  unsigned Sent = 0;
  /// Of these, those that may have started to run there.
  unsigned MayHaveRun = 0;
};

/// Whether another attempt on \p Route is allowed after a failed one.
bool mayRetry(const HttpRoute &Route, const AttemptCounts &Counts);

/// The error for a caller whose request got no response from a target. It
/// claims no more than is certain.
ErrorKind errorKindFor(const AttemptCounts &Counts, bool DeadlinePassed);

} // namespace waycove
