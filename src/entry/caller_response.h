// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "net/channel.h"
#include "net/framing.h"

namespace waycove {

/// Writes one answer to a caller's connection. An answer that is cut never
/// looks whole: it lacks its last chunk or part of its length.
class CallerResponse {
public:
  CallerResponse(Channel &Caller, bool KeepAlive, bool HasBody)
      : Caller(Caller), KeepAlive(KeepAlive), HasBody(HasBody) {}

  /// Sends a whole answer. \p Head holds status and end-to-end fields.
  IoStatus sendWhole(Poco::Net::HTTPResponse Head, const std::string &Body,
                 TimePoint Until);
  /// Begins an answer whose length is not known.
  IoStatus beginStream(Poco::Net::HTTPResponse Head, TimePoint Until);
  IoStatus sendChunk(std::string_view Bytes, TimePoint Until);
  IoStatus endStream(TimePoint Until);
  /// Gives the answer up: the connection has to be closed without more. What
  /// was sent already still reaches the caller, who sees that the end lacks.
  void abort();

  bool hasStarted() const { return this->Begun; }
  /// Whether another request may follow on the connection.
  bool mayReuseConnection() const { return this->KeepAlive && !this->Failed; }

private:
  IoStatus sendHead(Poco::Net::HTTPResponse &Head, const std::string &Body,
                    TimePoint Until);
  IoStatus recordStatus(IoStatus End);

  Channel &Caller;
  bool KeepAlive;
  bool HasBody;
  bool Begun = false;
  bool Failed = false;
};

} // namespace waycove
