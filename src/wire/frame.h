// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/metrics.h"
#include "wire/wire_generated.h"

#include <Poco/Net/StreamSocket.h>
#include <absl/status/statusor.h>
#include <array>
#include <mutex>
#include <optional>
#include <string_view>
#include <sys/uio.h>

namespace waycove {

/// Maximum size of a frame.
constexpr std::size_t MaxFrameBytes = 64 << 20;
/// For the rest of a frame of which some bytes have arrived: the largest ones,
/// on the slowest links.
constexpr Millis MaxFrameTime(30000);

/// Serialises a frame without its length prefix.
std::string packFrame(const wire::FrameT &Frame);
/// Parses a frame. Errors: BadRequest if the bytes are not a valid frame.
absl::StatusOr<wire::FrameT> unpackFrame(const std::string &Bytes);

/// A TCP connection between daemons that carries frames, each with a four-byte
/// little-endian length prefix. Sending is thread-safe; only one thread at a
/// time may receive.
class FrameSocket {
public:
  FrameSocket(const Poco::Net::StreamSocket &Socket, Metrics &Counters);

  /// Opens a connection. Errors: NoCapacity.
  static absl::StatusOr<Poco::Net::StreamSocket>
  dial(const std::string &Host, std::uint16_t Port, Millis Timeout);

  /// Sends \p Frame. Gives up at \p Until, or if the peer reads nothing for 3
  /// s. Returns false if the connection is broken then; the frame may still
  /// have arrived.
  bool send(const wire::FrameT &Frame,
            std::optional<TimePoint> Until = std::nullopt);
  /// Sends \p Bytes of a forwarded request or response, without a copy of its
  /// own, in a frame of the time \p Clock; else as send().
  bool sendData(std::uint64_t Clock, std::string_view Bytes,
                std::optional<TimePoint> Until = std::nullopt);
  /// Receives the next frame. Errors: OutcomeUnknown if the connection ended or
  /// nothing arrived within \p Timeout, or not the rest of a frame within
  /// \p FrameTime; BadRequest for a damaged frame.
  absl::StatusOr<wire::FrameT> receive(Millis Timeout,
                                       Millis FrameTime = MaxFrameTime);
  /// The same, but the whole frame has to arrive by \p Until.
  absl::StatusOr<wire::FrameT> receiveBy(TimePoint Until);
  /// Whether bytes of the next frame have already been received.
  bool hasInput() const { return !this->Buffer.empty(); }
  /// Breaks the connection if sent bytes are not acknowledged for \p Timeout,
  /// which detects a host that lost power.
  void setAckTimeout(Millis Timeout);
  /// Closes with a reset.
  void abort();
  int descriptor() const { return this->Socket.impl()->sockfd(); }
  /// Shuts the connection down, which unblocks receive() in another thread.
  void shutdown();

private:
  absl::StatusOr<wire::FrameT> receiveFrame();
  /// Reads until the buffer holds \p Count bytes; false if the peer closed.
  /// Throws Poco::TimeoutException.
  bool fill(std::size_t Count);
  /// Sends a serialised frame after its length.
  bool sendBuilt(flatbuffers::FlatBufferBuilder &Built,
                 std::optional<TimePoint> Until);
  /// Sends what fits in the connection's buffer, after a wait until then at the
  /// latest. Returns how many bytes. Throws Poco::Exception if nothing could be
  /// sent.
  std::size_t sendSome(std::array<iovec, 2> &Parts, TimePoint Until);

  Poco::Net::StreamSocket Socket;
  /// Bytes received after the last frame.
  std::string Buffer;
  /// Timeout that the socket has.
  Millis ReceiveTimeout{-1};
  /// When the frame that is being received has to be complete, if it has to.
  std::optional<TimePoint> ReceiveUntil;
  Metrics &Counters;
  std::mutex SendMutex;
};

/// Wraps a message in a frame.
template <typename T> wire::FrameT makeFrame(std::uint64_t Clock, T Message) {
  wire::FrameT Frame;
  Frame.clock = Clock;
  Frame.message.Set(std::move(Message));
  return Frame;
}

} // namespace waycove
