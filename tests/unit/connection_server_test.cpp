// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Servers that accept connections: one that is silent or fails must not end or
// delay the others.
#include "base/connection_server.h"
#include "entry/ready_server.h"
#include "support/cluster.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>

namespace waycove::test {

namespace {

/// A port that was free a moment ago.
std::uint16_t freePort() {
  Poco::Net::ServerSocket Socket(Poco::Net::SocketAddress("127.0.0.1", 0));
  return Socket.address().port();
}

/// Makes a server that runs until the process ends.
template <typename Server, typename... Args> Server &keep(Args &&...Arguments) {
  return *std::make_unique<Server>(std::forward<Args>(Arguments)...).release();
}

Poco::Net::StreamSocket connectTo(std::uint16_t Port) {
  return Poco::Net::StreamSocket(Poco::Net::SocketAddress("127.0.0.1", Port));
}

} // namespace

// Guards against a connection whose exception ends the process.
TEST_CASE(
    "connection server: a handler throws: the reason is told and the next "
    "connection served",
    "[unit]") {
  static std::atomic<int> Served{0};
  static std::atomic<int> Failed{0};
  static ConnectionServer &Server = keep<ConnectionServer>(
      "test", 2,
      [](const Poco::Net::StreamSocket &) {
        if (Served++ == 0)
          throw Poco::IOException("broken");
      },
      [](const std::string &) { ++Failed; });
  std::uint16_t Port = freePort();
  Server.start({"127.0.0.1", Port});
  for (int Wanted = 1; Wanted <= 2; ++Wanted) {
    Poco::Net::StreamSocket Socket = connectTo(Port);
    REQUIRE(eventually([&] { return Served == Wanted; }));
  }
  CHECK(Failed == 1);
}

// Guards against a load balancer that takes the node for dead because something
// else is connected and says nothing.
TEST_CASE("ready server: a silent connection is open: checks are answered soon",
          "[unit]") {
  static Metrics Counters;
  static std::atomic<bool> IsReady{true};
  static ReadyServer &Server = keep<ReadyServer>(
      "/ready", [] { return IsReady.load(); }, Counters);
  std::uint16_t Port = freePort();
  Server.start({"127.0.0.1", Port});
  Poco::Net::StreamSocket Silent = connectTo(Port);
  CHECK(http(Port, {.Path = "/ready"}).Status == 200);
  IsReady = false;
  CHECK(http(Port, {.Path = "/ready"}).Status == 503);
  CHECK(http(Port, {.Path = "/metrics"}).Status == 200);
  CHECK(http(Port, {.Path = "/other"}).Status == 404);
}

} // namespace waycove::test
