// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/metrics.h"
#include "wire/wire_generated.h"

#include <Poco/Net/StreamSocket.h>
#include <absl/status/statusor.h>
#include <mutex>

namespace waycove {

/// Largest frame that a daemon sends or takes.
constexpr std::size_t MaxFrameBytes = 64 << 20;

/// Serialises a frame, without its length.
std::string packFrame(const wire::FrameT &Frame);
/// Reads a frame; BadRequest where the bytes are no valid one.
absl::StatusOr<wire::FrameT> unpackFrame(const std::string &Bytes);

/// One TCP connection between daemons, carrying frames that are each preceded
/// by their length in four bytes, little end first. Sending is thread-safe;
/// one thread at a time may receive.
class FrameSocket {
public:
  FrameSocket(const Poco::Net::StreamSocket &Socket, Metrics &Counters);

  /// Opens a connection; the message says what went wrong.
  static absl::StatusOr<Poco::Net::StreamSocket>
  dial(const std::string &Host, std::uint16_t Port, Millis Timeout);

  /// False where the connection is broken; the frame may or may not arrive.
  bool send(const wire::FrameT &Frame);
  /// The next frame. Errors: OutcomeUnknown where the connection ended or
  /// nothing came within \p Timeout; BadRequest for damage.
  absl::StatusOr<wire::FrameT> receive(Millis Timeout);
  /// Makes a receive in another thread return.
  void shutdown();

private:
  bool readAll(char *Into, std::size_t Count);

  Poco::Net::StreamSocket Socket;
  Metrics &Counters;
  std::mutex SendMutex;
};

/// Builds a frame around one message.
template <typename T> wire::FrameT makeFrame(std::uint64_t Clock, T Message) {
  wire::FrameT Frame;
  Frame.clock = Clock;
  Frame.message.Set(std::move(Message));
  return Frame;
}

} // namespace waycove
