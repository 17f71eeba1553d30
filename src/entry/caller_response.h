// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "net/channel.h"
#include "net/framing.h"

namespace waycove {

/// Writes one response to a caller's connection. A response that is cut off
/// never looks complete: it lacks its last chunk or part of its length.
class CallerResponse {
public:
  CallerResponse(Channel &Caller, bool KeepAlive, bool HasBody)
      : Caller(Caller), KeepAlive(KeepAlive), HasBody(HasBody) {}

  /// Sends a whole response. \p Head holds the status and end-to-end fields.
  IoStatus sendWhole(Poco::Net::HTTPResponse Head, const std::string &Body,
                     TimePoint Until);
  /// Starts a response of unknown length.
  IoStatus beginStream(Poco::Net::HTTPResponse Head, TimePoint Until);
  /// Calls \p OnHeldUp once if the caller does not read fast enough.
  IoStatus sendChunk(std::string_view Bytes, TimePoint Until,
                     const std::function<void()> &OnHeldUp);
  IoStatus endStream(TimePoint Until);
  /// Gives the response up. The connection has to be closed; what was sent
  /// still reaches the caller, who sees that the end is missing.
  void abort();

  bool hasStarted() const { return this->Started; }
  /// Whether bytes could not be sent in time.
  bool hasTimedOut() const { return this->TimedOut; }
  /// How long it took to hand the response over to the connection.
  Millis writeTime() const {
    return std::chrono::duration_cast<Millis>(this->WriteTime);
  }
  /// Whether another request may follow on the connection.
  bool mayReuseConnection() const { return this->KeepAlive && !this->Failed; }

private:
  IoStatus sendHead(Poco::Net::HTTPResponse &Head, const std::string &Body,
                    TimePoint Until);
  /// Sends bytes, and records how long that took and whether it failed. If they
  /// could not be sent in time, the connection is reset.
  IoStatus send(std::string_view Bytes, TimePoint Until,
                const std::function<void()> &OnHeldUp = {});

  Channel &Caller;
  bool KeepAlive;
  bool HasBody;
  bool Started = false;
  bool Failed = false;
  bool TimedOut = false;
  BootClock::duration WriteTime{0};
};

} // namespace waycove
