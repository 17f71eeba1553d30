// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/caller_response.h"
#include "entry/relay_request.h"
#include "entry/target_connection.h"
#include "policy/retry.h"

namespace waycove {

/// A request that is being served, its caller's connection and its response.
struct RelayExchange {
  Channel &Caller;
  RelayRequest &Request;
  RelayProgress &Progress;
  CallerResponse &Response;

  /// Until when the response may be written. A slow reader gets a short time
  /// beyond the deadline.
  TimePoint writeUntil() const { return this->Request.Deadline + WriteGrace; }
  /// Sends a target's whole response to the caller. Returns false if the caller
  /// has left.
  bool deliver(const Poco::Net::HTTPResponse &Head, const std::string &Bytes);

  /// Time beyond the deadline for writing a response to a slow reader.
  static constexpr Millis WriteGrace{250};
};

/// One attempt: the target, the connection, and the state of the response.
struct RelayAttempt {
  ServingTarget To;
  std::optional<TargetConnection> Connection;
  /// Start of the step that opened the connection. Steps before it, at other
  /// nodes that offered no way, are not included.
  TimePoint OpenedSince;
  TimePoint SentAt;
  TimePoint LastByte;
  bool FirstByteSeen = false;
  bool WatchCaller = true;
  /// The connection ended before the response did; the target may have crashed.
  bool ConnectionLost = false;
  /// How long the caller has held up the response by not reading it. Targets
  /// end responses that stay unread.
  Millis HeldUpFor{0};
  /// The target responded with a success status.
  bool Succeeded = false;
  std::string Reason;

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
