// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/caller_response.h"
#include "entry/relay_request.h"
#include "entry/retry_policy.h"
#include "entry/target_connection.h"
#include "net/head.h"
#include "policy/answer_progress.h"
#include "policy/retry.h"

#include <vector>

namespace waycove {

struct RelayAttempt;

/// A request that is being served, its caller's connection and its response.
struct RelayExchange {
  Channel &Caller;
  RelayRequest &Request;
  RelayProgress &Progress;
  CallerResponse &Response;
  /// Earlier attempts whose targets are silent. Each may go on until a later
  /// one responds.
  std::vector<RelayAttempt> &Silent;

  /// Until when the response may be written. A slow reader gets a short time
  /// beyond the deadline.
  TimePoint writeUntil() const { return this->Request.Deadline + WriteGrace; }
  /// Sends a target's whole response to the caller. Returns false if the caller
  /// has left.
  bool deliver(const Poco::Net::HTTPResponse &Head, const std::string &Bytes);

  /// The attempts so far, by which it is decided whether to make another.
  AttemptCounts counts() const {
    AttemptCounts Counts = this->Progress.counts();
    Counts.HasStarted = this->Response.hasStarted();
    return Counts;
  }

  /// Time beyond the deadline for writing a response to a slow reader.
  static constexpr Millis WriteGrace{250};
};

/// What has arrived of a target's response.
struct TargetResponse {
  Poco::Net::HTTPResponse Head;
  TargetResponseInfo Info;
  BodyDecoder Body;
  /// Bytes of a stream that are no whole event yet.
  std::string Payload = {};
  /// No event of the stream has arrived.
  bool FirstEvent = true;
  /// What has arrived of a body that is forwarded whole; else null.
  std::shared_ptr<BufferedBody> Whole = {};
};

/// One attempt: the target, the connection, and the state of the response.
struct RelayAttempt {
  SelectedTarget Selected;
  TimePoint SelectedAt;
  /// The retry that the attempt uses; unset for the first one that is sent.
  std::optional<TakenRetry> Retry;
  std::optional<TargetConnection> Connection;
  /// Start of the step that opened the connection. Steps before it, at other
  /// nodes that offered no way, are not included.
  TimePoint OpenedSince;
  TimePoint SentAt;
  TimePoint LastByte;
  /// Whether what arrives is an answer.
  AnswerProgress Answer;
  ResponseHeadReader Heads;
  bool FirstByteSeen = false;
  /// The connection ended before the response did; the target may have crashed.
  bool ConnectionLost = false;
  /// How long the caller has held up the response by not reading it. Targets
  /// end responses that stay unread.
  Millis HeldUpFor{0};
  /// The target responded with a success status.
  bool Succeeded = false;
  /// Set once the head of the response has arrived.
  std::optional<TargetResponse> Received;
  /// It was sent and has not ended.
  bool IsOpen = false;
  /// It was counted as one that may have run.
  bool IsCountedAsRun = false;
  /// The attempt to make next, once this one is silent.
  std::optional<Successor> Next;
  std::string Reason;

  const ServingTarget &to() const { return this->Selected.To; }
  VmIncarnation target() const { return this->to().Target->incarnation(); }

  /// Gives up what an attempt that has ended still holds: its connection, and
  /// its retry if that was not used.
  void release() {
    this->Connection.reset();
    this->Retry.reset();
  }
  /// How long the step took that opened the connection, until the request could
  /// be sent; zero if nothing was to be sent.
  Millis openedIn() const {
    return this->SentAt == TimePoint() ? Millis(0)
                                       : std::chrono::duration_cast<Millis>(
                                             this->SentAt - this->OpenedSince);
  }
  /// The node through which the request goes; empty if it goes directly.
  NodeId carrier() const {
    bool IsCarried = this->Connection && this->Connection->through();
    return IsCarried ? this->Connection->through()->node() : NodeId();
  }
};

} // namespace waycove
