// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// The thread that all connections at rest wait on must not end.
#include "base/socket_poller.h"
#include "support/cluster.h"

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <new>

namespace waycove::test {

// Guards against a process that ends where a callback finds no memory.
TEST_CASE("socket poller: callbacks throw: the reasons are told and others are "
          "called",
          "[unit]") {
  static std::atomic<int> Told{0};
  static std::atomic<int> Called{0};
  // Lives until the process ends.
  auto &Poller = *std::make_unique<SocketPoller>(
                      SocketPoller::DelayHandler(),
                      [](std::string_view Name, std::string_view Reason) {
                        Told += Name == "throws" && !Reason.empty() ? 1 : 0;
                        throw std::bad_alloc();
                      })
                      .release();
  Poco::Net::DatagramSocket Readable(Poco::Net::SocketAddress("127.0.0.1", 0));
  Readable.sendTo("a", 1, Readable.address());
  auto Throws = [] { throw std::bad_alloc(); };
  Poller.await(Readable, TimePoint::max(),
               {.OnReadable = Throws, .OnExpired = {}, .Name = "throws"});
  Poller.callLater(TimePoint(), Throws, "throws");
  Poller.callLater(
      TimePoint(), [] { ++Called; }, "goes on");
  Poller.start();
  CHECK(eventually([&] { return Told == 2 && Called == 1; }));
}

} // namespace waycove::test
