// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/route.h"

#include <Poco/Net/StreamSocket.h>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waycove {

/// Result of a wait or a transfer on a connection.
enum class IoStatus {
  Ok,
  Timeout,
  /// The peer closed the connection regularly.
  Closed,
  /// The connection was reset, or the socket failed.
  Broken,
  /// This process has no descriptor, port or memory for a connection, which
  /// says nothing about the peer.
  Exhausted,
};

/// A TCP connection with a buffer of received bytes. All waits end at a time on
/// the boot clock. To be used by one thread at a time.
class Channel {
public:
  explicit Channel(const Poco::Net::StreamSocket &Socket);

  /// Connects to \p To. Errors: Timeout, and Broken if the connection was
  /// refused.
  static IoStatus connect(const VmAddress &To, TimePoint Until,
                          std::optional<Channel> &Out);

  /// Breaks the connection if sent bytes are not acknowledged for \p Timeout,
  /// which detects a host that lost power.
  void setAckTimeout(Millis Timeout);
  /// Waits until bytes or the end of the stream can be read. Reads nothing.
  IoStatus waitReadable(TimePoint Until) const;
  /// Whether something can be read now.
  bool isReadable() const;
  /// Ends both directions and wakes a thread that waits on the connection.
  void shutdown();
  /// Waits for bytes and appends them to the buffer. Closed if the stream
  /// ended.
  IoStatus fill(TimePoint Until);
  /// The same without waiting. Timeout if there are no bytes.
  IoStatus fillNow();
  /// Sends all of \p Bytes. Calls \p OnFull once if it has to wait for the peer
  /// to read.
  IoStatus send(std::string_view Bytes, TimePoint Until,
                const std::function<void()> &OnFull = {});
  /// Whether the peer has closed or reset the connection. Does not wait and
  /// reads nothing.
  bool isClosedByPeer();
  /// Closes with a reset, which discards bytes that were not delivered.
  void abort();
  /// Time since the kernel received the latest bytes of the peer; zero if it
  /// does not tell.
  Millis sinceReceived() const;

  std::string &buffer() { return this->Buffer; }
  int descriptor() const { return this->Socket.impl()->sockfd(); }

private:
  Poco::Net::StreamSocket Socket;
  std::string Buffer;
};

/// Waits until one of \p Sockets can be read, or the peer of \p Watched has
/// closed or reset its connection, also if bytes of it are still unread.
/// Returns the index of the first such socket, that of \p Watched being the
/// number of \p Sockets.
std::optional<std::size_t> waitForAny(const std::vector<int> &Sockets,
                                      int Watched, TimePoint Until);

/// Which of two connections can be read.
enum class Side { Target, Caller, Neither };

/// Waits until the socket \p Target or, if not negative, \p Caller can be read.
Side waitEither(int Target, int Caller, TimePoint Until);

} // namespace waycove
