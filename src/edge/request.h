// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "net/http.h"
#include "policy/idempotency.h"
#include "policy/objects.h"
#include "wire/wire_generated.h"

#include <concepts>
#include <string_view>

namespace waycove {

/// One request of a caller, checked for form.
struct CallerRequest {
  RequestId Id;
  WorkspaceId Workspace;
  /// Deployment for a model request, or service.
  ObjectKey Target;
  std::string Method;
  std::string Path;
  std::string Body;
  std::string ContentType;
  std::string LabelsText;
  Selector Wanted;
  IdempotencyKey Key;
  std::string Session;
  bool Repeatable = true;
  bool Stream = false;
  unsigned Priority = 0;
  TimePoint Deadline;
  std::string Prompt;
  std::uint64_t MaxTokens = 0;
  /// Came from another daemon: it is not passed on again.
  bool Forwarded = false;
  /// Came because this daemon is to dispatch the request's key.
  bool Bound = false;
};

/// Bytes of the answer's body; nothing for a stream of unknown length.
using AnswerLength = std::optional<std::uint64_t>;

/// Where an answer goes. note() tells, for an error, whether the request
/// ran, and comes first; head() begins it; data() returns false where the
/// receiver is gone; end() marks it whole; cut() makes the receiver see that
/// it is not.
template <typename T>
concept AnswerSink = requires(T &S, int Status, const std::string &Type,
                              Millis Retry, std::string_view Bytes, Ran Outcome,
                              AnswerLength Length) {
  S.note(Outcome);
  { S.head(Status, Type, Retry, Length) } -> std::same_as<bool>;
  { S.data(Bytes) } -> std::same_as<bool>;
  { S.end() } -> std::same_as<bool>;
  S.cut();
};

/// Sends a whole answer with a known body.
template <AnswerSink Sink>
bool sendWhole(Sink &Into, int Status, const std::string &Type,
               const std::string &Body, Millis RetryAfter = Millis(0)) {
  return Into.head(Status, Type, RetryAfter, Body.size()) && Into.data(Body) &&
         Into.end();
}

template <AnswerSink Sink>
bool sendError(Sink &Into, const absl::Status &Status) {
  Into.note(ranOf(Status));
  return sendWhole(Into, responseFor(kindOf(Status)).HttpStatus,
                   "application/json", errorJson(Status), retryAfterOf(Status));
}

/// Sends the error, and returns it.
template <AnswerSink Sink>
absl::Status refuse(Sink &Into, const absl::Status &Status) {
  sendError(Into, Status);
  return Status;
}

/// A sink that keeps a whole answer in memory, up to a bound.
class MemorySink {
public:
  bool head(int Status, const std::string &Type, Millis Retry,
            AnswerLength Length);
  bool data(std::string_view Bytes);
  bool end();
  void cut() { this->WasCut = true; }
  void note(Ran Outcome) { this->Error = Outcome; }
  /// What may be believed of the request whose answer this is.
  Ran ran() const;

  StoredResponse Answer;
  Millis RetryAfter{0};
  bool Whole = false;
  bool WasCut = false;
  std::optional<Ran> Error;
};

wire::ForwardT toForward(const CallerRequest &Request, TimePoint Now);
/// Errors: BadRequest where the frame's fields make no request.
absl::StatusOr<CallerRequest> fromForward(const wire::ForwardT &Frame,
                                          TimePoint Now);
/// What tells two requests with the same key apart.
std::uint64_t fingerprintOf(const CallerRequest &Request);

static_assert(AnswerSink<MemorySink>);

} // namespace waycove
