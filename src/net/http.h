// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"
#include "base/metrics.h"
#include "base/settings.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <mutex>
#include <sstream>

namespace waycove {

/// Where a caller's bytes are counted.
struct ByteCounters {
  Counter In;
  Counter Out;
};

struct HttpHeader {
  std::string Name;
  std::string Value;
};

struct HttpCall {
  std::string Method;
  std::string Path;
  std::string Body;
  std::string ContentType;
  std::vector<HttpHeader> Headers;
};

struct HttpReply {
  int Status = 0;
  std::string ContentType;
  std::string Body;
  /// Value of the X-Waycove-Not-Run header: the target's own word.
  bool NotRun = false;
  bool Leaving = false;
  std::string RequestId;
  /// All of the answer's header, by names without regard to case.
  Poco::Net::NameValueCollection Header;
};

/// A client session that can tell a whole chunked body from a cut one, and a
/// failure to connect from a later one; the library's own tells neither.
class WholeBodySession : public Poco::Net::HTTPClientSession {
public:
  using HTTPClientSession::HTTPClientSession;
  /// Connects, unless it is connected. Whatever fails before this returns has
  /// sent nothing; whatever fails later may have.
  void open() {
    if (!this->connected())
      this->reconnect();
  }
  /// Reads the chunks that follow a response's head. Throws where the last
  /// chunk does not come.
  std::string readChunks();

private:
  std::string readSizeLine();
};

/// A connection to one HTTP server that is kept open between calls. Calls are
/// made one at a time. Thread-safe.
class HttpClient {
public:
  HttpClient(const Endpoint &Server, Millis ConnectTimeout, Metrics &Counters,
             ByteCounters Count);

  /// Makes one call. Errors: NoCapacity where nothing was written, and
  /// OutcomeUnknown where the request may have been read.
  absl::StatusOr<HttpReply> call(const HttpCall &Call, Millis Timeout);
  /// The next call opens a new connection.
  void renew();

private:
  void drop();
  absl::StatusOr<HttpReply> exchange(const HttpCall &Call);

  std::mutex Mutex;
  WholeBodySession Session;
  Millis ConnectTimeout;
  Metrics &Counters;
  ByteCounters Count;
  bool Fresh = true;
  TimePoint LastUsed;
};

Poco::Timespan timespanOf(Millis Time);
/// Bytes of a message's head, as sent.
template <typename Message> std::size_t headBytes(const Message &Head) {
  std::ostringstream Out;
  Head.write(Out);
  return Out.str().size();
}

} // namespace waycove
