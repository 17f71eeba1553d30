// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/errors.h"

#include <Poco/JSON/Object.h>
#include <array>
#include <sstream>

namespace waycove {

namespace {

constexpr char KindPayload[] = "waycove/kind";
constexpr char RetryPayload[] = "waycove/retry";
constexpr char UnsurePayload[] = "waycove/unsure";
constexpr auto KindCount = static_cast<std::size_t>(ErrorKind::Count);

using enum ErrorKind;

constexpr std::array<ErrorResponse, KindCount> Responses{{
    {BadRequest, "bad_request", 400, Ran::No, "the request is malformed"},
    {Unauthenticated, "unauthenticated", 401, Ran::No,
     "no workspace or operator has this key"},
    {NotAllowed, "not_allowed", 403, Ran::No,
     "the labels allow no target for this request"},
    {NotFound, "not_found", 404, Ran::No, "there is no such object or path"},
    {TooLarge, "too_large", 413, Ran::No, "a bound on size was passed"},
    {KeyInvalid, "key_invalid", 400, Ran::No,
     "the idempotency key is missing or malformed"},
    {KeyReused, "key_reused", 422, Ran::No,
     "the idempotency key was used for another request"},
    {KeyExpired, "key_expired", 409, Ran::Unknown,
     "the key is outside its validity window; this attempt did not run, an "
     "earlier one may have"},
    {OutcomeUnknown, "outcome_unknown", 502, Ran::Unknown,
     "the request may have run; it will not be run again"},
    {Overloaded, "overloaded", 429, Ran::No,
     "no room before the deadline; come back later"},
    {DeadlineBeforeRun, "deadline_before_run", 504, Ran::No,
     "the deadline passed before the request was sent to a target"},
    {DeadlineAfterRun, "deadline_after_run", 504, Ran::Yes,
     "the deadline passed while the request ran"},
    {NoCapacity, "no_capacity", 503, Ran::No, "no target is serving"},
    {NotReady, "not_ready", 503, Ran::No,
     "this node has not the current configuration yet"},
    {LogUnavailable, "log_unavailable", 503, Ran::No,
     "the platform's log is needed and does not answer"},
    {Stopping, "stopping", 503, Ran::No, "this node is stopping"},
    {TargetBusy, "target_busy", 503, Ran::No,
     "the target said that it did not take the request"},
    {TargetFailed, "target_failed", 502, Ran::Yes,
     "the target failed after it had the request"},
    {CrashesTargets, "crashes_targets", 503, Ran::No,
     "several targets ended while they ran this request"},
    {Conflict, "conflict", 409, Ran::No,
     "the object changed since the revision named"},
    {InvalidObject, "invalid_object", 422, Ran::No,
     "the object does not validate"},
    {Internal, "internal", 500, Ran::Unknown, "a fault of this node"},
}};

} // namespace

const ErrorResponse &responseFor(ErrorKind Kind) {
  auto Index = static_cast<std::size_t>(Kind);
  return Responses[Index < KindCount ? Index : KindCount - 1];
}

std::string_view ranText(Ran Value) {
  switch (Value) {
  case Ran::No:
    return "no";
  case Ran::Yes:
    return "yes";
  case Ran::Unknown:
    break;
  }
  return "unknown";
}

absl::Status makeError(ErrorKind Kind, const std::string &Message,
                       Millis RetryAfter) {
  absl::Status Status(absl::StatusCode::kUnknown, Message);
  Status.SetPayload(KindPayload,
                    absl::Cord(std::to_string(static_cast<int>(Kind))));
  if (RetryAfter.count() > 0)
    Status.SetPayload(RetryPayload,
                      absl::Cord(std::to_string(RetryAfter.count())));
  return Status;
}

ErrorKind kindOf(const absl::Status &Status) {
  auto Payload = Status.GetPayload(KindPayload);
  if (!Payload)
    return ErrorKind::Internal;
  return static_cast<ErrorKind>(std::stoi(std::string(*Payload)));
}

Ran ranOf(const absl::Status &Status) {
  return Status.GetPayload(UnsurePayload)
             ? Ran::Unknown
             : responseFor(kindOf(Status)).RequestRan;
}

absl::Status markOutcomeUnknown(absl::Status Status) {
  Status.SetPayload(UnsurePayload, absl::Cord("1"));
  return Status;
}

Millis retryAfterOf(const absl::Status &Status) {
  auto Payload = Status.GetPayload(RetryPayload);
  return Millis(Payload ? std::stoll(std::string(*Payload)) : 0);
}

std::string messageOf(const absl::Status &Status) {
  return {Status.message().data(), Status.message().size()};
}

std::string errorJson(const absl::Status &Status) {
  const ErrorResponse &Response = responseFor(kindOf(Status));
  Poco::JSON::Object Error;
  Error.set("kind", std::string(Response.Name));
  Error.set("message", messageOf(Status));
  Error.set("ran", std::string(ranText(ranOf(Status))));
  Error.set("retry_after_ms", retryAfterOf(Status).count());
  Poco::JSON::Object Body;
  Body.set("error", Error);
  std::ostringstream Out;
  Body.stringify(Out);
  return Out.str();
}

} // namespace waycove
