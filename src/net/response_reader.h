// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "net/channel.h"
#include "net/framing.h"
#include "net/head.h"

namespace waycove {

/// How a read of a response ends.
enum class ReadResult {
  /// There is more to read.
  More,
  /// What was to be read is whole.
  Done,
  /// No byte has arrived.
  TimedOut,
  /// Bytes have arrived, but not the whole in time.
  Overlong,
  /// The bytes are no response, or more than the bounds allow.
  NoResponse,
  /// The connection ended before the response did.
  Broken,
};

/// Returns a text for logs.
const char *nameOf(ReadResult Result);
/// Whether the peer sends what is no response or takes no end.
inline bool isOverBounds(ReadResult Result) {
  return Result == ReadResult::Overlong || Result == ReadResult::NoResponse;
}

/// Bounds on one response, however it is framed.
struct ResponseBounds {
  /// When it has to be whole.
  TimePoint Until;
  /// How long no byte may arrive.
  Millis Silence;
  std::size_t BodyBytes;
};

/// Reads one response from a connection. To be used by one thread at a time.
class ResponseReader {
public:
  /// \p Method is the method of the request.
  ResponseReader(Channel &From, std::string Method,
                 const ResponseBounds &Bounds)
      : From(From), Method(std::move(Method)), Bounds(Bounds) {}

  /// Reads the head. Done if it is there.
  ReadResult readHead();
  /// Reads the next bytes of the body, after the head, and appends their
  /// payload to \p Payload. Done if the body is whole.
  ReadResult readSome(std::string &Payload);
  /// Reads the body, after the head. Done if it is whole.
  ReadResult readBody(std::string &Payload);

  const Poco::Net::HTTPResponse &head() const { return *this->Head; }
  /// Whether a body that the end of the connection cut off looks whole.
  bool endsWithConnection() const {
    return this->Body->kind() == Framing::UntilClose;
  }
  std::uint64_t receivedBytes() const { return this->ReceivedBytes; }
  void setUntil(TimePoint Until) { this->Bounds.Until = Until; }

private:
  /// Waits for bytes. More if some have arrived.
  ReadResult fill();

  Channel &From;
  const std::string Method;
  ResponseBounds Bounds;
  ResponseHeadReader Heads;
  std::optional<Poco::Net::HTTPResponse> Head;
  std::optional<BodyDecoder> Body;
  std::uint64_t ReceivedBytes = 0;
  /// The peer has ended the connection regularly.
  bool IsClosed = false;
};

} // namespace waycove
