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

/// A caller's request after validation.
struct CallerRequest {
  RequestId Id;
  WorkspaceId Workspace;
  /// A deployment for model requests, else a service.
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
  /// Received from another daemon, so not forwarded to a further data centre.
  bool Forwarded = false;
  /// Forwarded to this daemon as the dispatcher of the request's key.
  bool Bound = false;

  /// Whether the dispatcher of its key, if it has one, forwarded it to this
  /// daemon to be run.
  bool isDispatched() const { return this->Forwarded && !this->Bound; }
};

/// Length of the response body in bytes; nullopt for a stream.
using ResponseLength = std::optional<std::uint64_t>;

/// Receives a response. setRan() says for an error whether the request ran and
/// precedes head(), which starts the response. head(), data() and end() return
/// false where the receiver has disconnected. end() completes the response;
/// cut() ends it so that the receiver detects that it is incomplete.
template <typename T>
concept ResponseSink = requires(T &S, int Status, const std::string &Type,
                                Millis Retry, std::string_view Bytes,
                                Ran Outcome, ResponseLength Length) {
  S.setRan(Outcome);
  { S.head(Status, Type, Retry, Length) } -> std::same_as<bool>;
  { S.data(Bytes) } -> std::same_as<bool>;
  { S.end() } -> std::same_as<bool>;
  S.cut();
};

/// Sends a complete response.
template <ResponseSink SinkT>
bool sendWhole(SinkT &Sink, int Status, const std::string &Type,
               const std::string &Body, Millis RetryAfter = Millis(0)) {
  return Sink.head(Status, Type, RetryAfter, Body.size()) && Sink.data(Body) &&
         Sink.end();
}

/// Sends the error response for \p Status.
template <ResponseSink SinkT>
bool sendError(SinkT &Sink, const absl::Status &Status) {
  Sink.setRan(ranOf(Status));
  return sendWhole(Sink, responseFor(kindOf(Status)).HttpStatus,
                   "application/json", errorJson(Status), retryAfterOf(Status));
}

/// Sends the error response for \p Status and returns \p Status.
template <ResponseSink SinkT>
absl::Status refuse(SinkT &Sink, const absl::Status &Status) {
  sendError(Sink, Status);
  return Status;
}

/// Buffers a response of bounded size in memory.
class MemorySink {
public:
  bool head(int Status, const std::string &Type, Millis Retry,
            ResponseLength Length);
  bool data(std::string_view Bytes);
  bool end();
  void cut() { this->WasCut = true; }
  void setRan(Ran Outcome) { this->Error = Outcome; }
  /// Whether the request ran; unknown where the response is incomplete.
  Ran ran() const;

  StoredResponse Answer;
  Millis RetryAfter{0};
  bool Whole = false;
  bool WasCut = false;
  std::optional<Ran> Error;
};

wire::ForwardT toForward(const CallerRequest &Request, TimePoint Now);
/// Errors: BadRequest where the frame is not a valid request.
absl::StatusOr<CallerRequest> fromForward(const wire::ForwardT &Frame,
                                          TimePoint Now);
/// A hash of the request's target, method, path and body. Detects reuse of an
/// idempotency key for a different request.
std::uint64_t fingerprintOf(const CallerRequest &Request);

static_assert(ResponseSink<MemorySink>);

} // namespace waycove
