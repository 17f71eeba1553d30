// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace waycove {

/// All kinds of errors that a daemon reports to callers. The table in
/// errors.cpp maps each to its response.
enum class ErrorKind {
  BadRequest,
  Unauthenticated,
  NotAllowed,
  NotFound,
  TooLarge,
  KeyInvalid,
  KeyReused,
  KeyExpired,
  OutcomeUnknown,
  Overloaded,
  DeadlineBeforeRun,
  DeadlineAfterRun,
  NoCapacity,
  NotReady,
  LogUnavailable,
  Stopping,
  TargetBusy,
  TargetFailed,
  CrashesTargets,
  Conflict,
  InvalidObject,
  Internal,
  Count
};

/// Whether a request that ended with an error was executed.
enum class Ran { No, Yes, Unknown };

/// The HTTP response for one kind of error.
struct ErrorResponse {
  ErrorKind Kind;
  std::string_view Name;
  int HttpStatus;
  Ran RequestRan;
  std::string_view Meaning;
};

/// Returns the response for \p Kind.
const ErrorResponse &responseFor(ErrorKind Kind);
std::string_view ranText(Ran Value);

/// Creates a status of kind \p Kind; a nonzero \p RetryAfter tells the caller
/// when to retry.
absl::Status makeError(ErrorKind Kind, const std::string &Message,
                       Millis RetryAfter = Millis(0));
/// Returns the kind set by makeError(); Internal for any other status.
ErrorKind kindOf(const absl::Status &Status);
/// Returns whether the request that failed with \p Status was executed: the
/// value of its kind, or Unknown after markOutcomeUnknown().
Ran ranOf(const absl::Status &Status);
/// Returns \p Status with an unknown outcome, for a request with an idempotency
/// key of which an earlier attempt may have been executed.
absl::Status markOutcomeUnknown(absl::Status Status);
Millis retryAfterOf(const absl::Status &Status);
std::string messageOf(const absl::Status &Status);
/// Returns the JSON response body for \p Status.
std::string errorJson(const absl::Status &Status);

} // namespace waycove
