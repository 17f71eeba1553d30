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

/// The closed list of error kinds. Every failure that leaves a daemon is one
/// of these; the table in errors.cpp gives the answer for each.
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

/// What a caller may believe about the request that an error answers.
enum class Ran { No, Yes, Unknown };

/// One row of the table from kind to answer.
struct ErrorResponse {
  ErrorKind Kind;
  std::string_view Name;
  int HttpStatus;
  Ran RequestRan;
  std::string_view Meaning;
};

/// The answer for \p Kind. Never fails: the list is closed.
const ErrorResponse &responseFor(ErrorKind Kind);
std::string_view ranText(Ran Value);

/// A status that carries its kind and, if not zero, when to come back.
absl::Status makeError(ErrorKind Kind, const std::string &Message,
                       Millis RetryAfter = Millis(0));
/// The kind that makeError put in; Internal for a status from elsewhere.
ErrorKind kindOf(const absl::Status &Status);
/// What may be believed of the request that \p Status answers: what the table
/// says of its kind, unless markOutcomeUnknown() took it back.
Ran ranOf(const absl::Status &Status);
/// The same error for a request with a key that may have run before: that this
/// attempt did not run says nothing about an earlier one.
absl::Status markOutcomeUnknown(absl::Status Status);
Millis retryAfterOf(const absl::Status &Status);
std::string messageOf(const absl::Status &Status);
/// The JSON body that callers get for \p Status.
std::string errorJson(const absl::Status &Status);

} // namespace waycove
