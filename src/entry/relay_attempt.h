// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/caller_response.h"
#include "entry/relay_request.h"
#include "policy/retry.h"

namespace waycove {

/// A request that is being served, with all that belongs to it.
struct RelayExchange {
  Channel &Caller;
  RelayRequest &Request;
  RelayProgress &Progress;
  CallerResponse &Response;

  /// Until when an answer may be written. A caller that is slow to read gets a
  /// little beyond the deadline.
  TimePoint writeUntil() const { return this->Request.Deadline + WriteGrace; }
  /// Gives the caller a target's whole answer; false where the caller is gone.
  bool deliver(const Poco::Net::HTTPResponse &Head, const std::string &Bytes);

  /// For writing an answer that a caller is slow to read, beyond the deadline.
  static constexpr Millis WriteGrace{250};
};

/// One send: the target, the connection, and what is known of the answer.
struct RelayAttempt {
  ServingTarget To;
  std::optional<Channel> Connection;
  TimePoint SentAt;
  TimePoint LastByte;
  bool FirstByteSeen = false;
  bool WatchCaller = true;
  /// The connection ended before its answer did: the target may have.
  bool ConnectionLost = false;
  /// The target's answer is a success.
  bool Succeeded = false;
  std::string Reason;
};

} // namespace waycove
