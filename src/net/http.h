// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "net/channel.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <mutex>
#include <optional>

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

/// Bounds on the replies to a client's calls.
struct ReplyBounds {
  std::size_t BodyBytes = 256 << 20;
  /// Time beyond a call's timeout for a reply of which bytes keep arriving.
  Millis TransferTime{0};
};

/// Whether the call that failed with \p Status got what is no reply, or one
/// beyond its bounds.
bool isOverBounds(const absl::Status &Status);

/// A client of one HTTP server that keeps its connection open between calls and
/// makes one call at a time. Thread-safe.
class HttpClient {
public:
  HttpClient(const Endpoint &Server, Millis ConnectTimeout, Metrics &Counters,
             ByteCounters Count, const ReplyBounds &Bounds = {});

  /// Makes one call. \p Timeout is for the whole of it after the connection is
  /// open, and for each wait for bytes where the bounds allow a longer
  /// transfer. Errors: NoCapacity if nothing was sent, OutcomeUnknown if the
  /// server may have received the request.
  absl::StatusOr<HttpReply> call(const HttpCall &Call, Millis Timeout);
  /// The next call opens a new connection.
  void renew();

private:
  /// Keeps the open connection if it can carry another call, else opens one.
  absl::Status open();
  /// Closes the connection with a reset, so that nothing of a failed call is
  /// delivered later.
  void drop();
  /// The bytes of a request.
  std::string serialize(const HttpCall &Call) const;
  absl::StatusOr<HttpReply> exchange(const HttpCall &Call, Millis Timeout);

  std::mutex Mutex;
  const Endpoint Server;
  std::optional<Channel> Connection;
  Millis ConnectTimeout;
  Metrics &Counters;
  ByteCounters Count;
  const ReplyBounds Bounds;
  TimePoint LastUsed;
};

Poco::Timespan timespanOf(Millis Time);

} // namespace waycove
