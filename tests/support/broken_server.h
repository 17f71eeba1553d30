// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/settings.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <thread>

namespace waycove::test {

/// A server on the loopback interface that sends a broken response to one
/// request, of which it reads the first byte.
class BrokenServer {
public:
  /// \p Response has sendTo(StreamSocket &), which returns the bytes sent.
  template <typename ResponseT>
  explicit BrokenServer(const ResponseT &Response) {
    this->Serving = std::thread([this, Response] {
      Poco::Net::StreamSocket Peer = this->Listener.acceptConnection();
      char Byte = 0;
      if (Peer.receiveBytes(&Byte, 1) == 1)
        this->Taken = Response.sendTo(Peer);
    });
  }
  ~BrokenServer() { this->join(); }
  BrokenServer(const BrokenServer &) = delete;
  BrokenServer &operator=(const BrokenServer &) = delete;

  std::uint16_t port() const { return this->Listener.address().port(); }
  /// The bytes that the client took; waits until it has closed the connection.
  std::uint64_t taken() {
    this->join();
    return this->Taken;
  }

private:
  void join() {
    if (this->Serving.joinable())
      this->Serving.join();
  }

  Poco::Net::ServerSocket Listener{Poco::Net::SocketAddress("127.0.0.1", 0)};
  std::atomic<std::uint64_t> Taken{0};
  std::thread Serving;
};

} // namespace waycove::test
