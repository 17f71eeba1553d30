// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/route.h"

#include <Poco/Net/StreamSocket.h>
#include <optional>
#include <string>
#include <string_view>

namespace waycove {

/// How a wait or a transfer on a connection ended.
enum class IoStatus {
  Ok,
  Timeout,
  /// The other end closed in good order.
  Closed,
  /// Reset, or another error of the socket.
  Broken,
};

/// A TCP connection with a buffer of what came and was not taken yet. All
/// waits have an end on the boot clock. Used by one thread at a time.
class Channel {
public:
  explicit Channel(const Poco::Net::StreamSocket &Socket);

  /// Connects to \p To. Errors: Timeout, and Broken where it was refused.
  static IoStatus connect(const VmAddress &To, TimePoint Until,
                          std::optional<Channel> &Into);

  /// Breaks the connection where bytes sent are not acknowledged for \p Time:
  /// a host without power says nothing else.
  void setAckTimeout(Millis Time);
  /// Waits until there is something to read, an end too, and takes nothing.
  IoStatus waitReadable(TimePoint Until) const;
  /// Whether something can be read now.
  bool isReadable() const;
  /// Ends both directions; whoever waits on it wakes.
  void shutdown();
  /// Waits for bytes and appends them to the buffer.
  IoStatus fill(TimePoint Until);
  /// Appends what is there without waiting; Timeout where nothing is.
  IoStatus fillNow();
  /// Sends all of \p Bytes, as fast as the other end reads.
  IoStatus send(std::string_view Bytes, TimePoint Until);
  /// Whether the other end has closed or reset. Does not wait, takes nothing.
  bool isClosedByPeer();
  /// Closes so that the other end sees a reset, not an end in good order.
  void abort();

  std::string &buffer() { return this->Buffer; }
  int descriptor() const { return this->Socket.impl()->sockfd(); }

private:
  Poco::Net::StreamSocket Socket;
  std::string Buffer;
};

/// Which of two connections has news.
enum class Side { Target, Caller, Neither };

/// Waits until \p Target can be read, or \p Caller can (null: not asked).
Side waitEither(const Channel &Target, const Channel *Caller, TimePoint Until);

} // namespace waycove
