// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "wire/frame.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <catch2/catch.hpp>
#include <sys/resource.h>

namespace waycove::test {

/// While it lives, this process gets no further descriptor.
class NoDescriptors {
public:
  NoDescriptors() {
    getrlimit(RLIMIT_NOFILE, &this->Before);
    rlimit None{3, this->Before.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &None) == 0);
  }
  ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &this->Before); }
  NoDescriptors(const NoDescriptors &) = delete;
  NoDescriptors &operator=(const NoDescriptors &) = delete;

private:
  rlimit Before{};
};

// Guards against a node that loses its links to all others, and the requests
// that it has from them or through them, when it has no descriptor left.
TEST_CASE("frame socket: the process has no descriptor left: frames are sent "
          "and received as before",
          "[unit]") {
  Metrics Counters;
  Poco::Net::ServerSocket Listener(Poco::Net::SocketAddress("127.0.0.1", 0));
  Poco::Net::StreamSocket Near(Listener.address());
  FrameSocket From(Near, Counters);
  FrameSocket To(Listener.acceptConnection(), Counters);
  wire::ForwardDataT Data;
  Data.data = {1, 2, 3};
  NoDescriptors None;
  TimePoint Until = BootClock::now() + Millis(1000);
  CHECK(From.send(makeFrame(1, Data), Until));
  absl::StatusOr<wire::FrameT> Frame = To.receiveBy(Until);
  REQUIRE(Frame.ok());
  CHECK(Frame->message.AsForwardData()->data == Data.data);
}

} // namespace waycove::test
