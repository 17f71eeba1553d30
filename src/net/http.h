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

/// The counters for a client's bytes.
struct ByteCounters {
  Counter In;
  Counter Out;
};

struct HttpHeader {
  std::string Name;
  std::string Value;
};

/// A request to be sent.
struct HttpCall {
  std::string Method;
  std::string Path;
  std::string Body;
  std::string ContentType;
  std::vector<HttpHeader> Headers;
};

/// A complete response.
struct HttpReply {
  int Status = 0;
  std::string ContentType;
  std::string Body;
  /// The X-Waycove-Not-Run header: the target states that it did not run the
  /// request.
  bool NotRun = false;
  bool Leaving = false;
  std::string RequestId;
  /// All header fields, with case-insensitive names.
  Poco::Net::NameValueCollection Header;
};

/// A client session that detects truncated chunked bodies and separates
/// failures to connect from later ones. POCO's own does neither.
class WholeBodySession : public Poco::Net::HTTPClientSession {
public:
  using HTTPClientSession::HTTPClientSession;
  /// Connects unless already connected. If this throws, nothing was sent.
  void open() {
    if (!this->connected())
      this->reconnect();
  }
  /// Reads the chunks that follow a response's head. Throws if the last chunk
  /// is missing.
  std::string readChunks();

private:
  std::string readSizeLine();
  /// Reads up to \p Most bytes and appends them to \p Body; returns their
  /// number. Throws if there are none.
  std::size_t readInto(std::string &Body, std::size_t Most);
};

/// A client of one HTTP server that keeps its connection open between calls and
/// makes one call at a time. Thread-safe.
class HttpClient {
public:
  HttpClient(const Endpoint &Server, Millis ConnectTimeout, Metrics &Counters,
             ByteCounters Count);

  /// Makes one call. Errors: NoCapacity if nothing was sent, OutcomeUnknown if
  /// the server may have received the request.
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
  bool IsNew = true;
  TimePoint LastUsed;
};

Poco::Timespan timespanOf(Millis Time);
/// Length of a message's head as sent.
template <typename Message> std::size_t headBytes(const Message &Head) {
  std::ostringstream Out;
  Head.write(Out);
  return Out.str().size();
}

} // namespace waycove
