// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "wire/frame.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <catch2/catch.hpp>
#include <future>
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

/// Two ends of a connection, and the sockets below them.
struct FrameSockets {
  Metrics Counters;
  Poco::Net::ServerSocket Listener{Poco::Net::SocketAddress("127.0.0.1", 0)};
  Poco::Net::StreamSocket Near{Listener.address()};
  Poco::Net::StreamSocket Far = Listener.acceptConnection();
  FrameSocket From{Near, Counters};
  FrameSocket To{Far, Counters};
};

// Guards against a node that loses its links to all others, and the requests
// that it has from them or through them, when it has no descriptor left.
TEST_CASE_METHOD(
    FrameSockets,
    "frame socket: the process has no descriptor left: frames are sent "
    "and received as before",
    "[unit]") {
  wire::ForwardDataT Data;
  Data.data = {1, 2, 3};
  NoDescriptors None;
  TimePoint Until = BootClock::now() + Millis(1000);
  CHECK(this->From.send(makeFrame(1, Data), Until));
  absl::StatusOr<wire::FrameT> Frame = this->To.receiveBy(Until);
  REQUIRE(Frame.ok());
  CHECK(Frame->message.AsForwardData()->data == Data.data);
}

// Guards against data that are damaged where a frame does not fit in the
// buffers of its connection and is sent in parts.
TEST_CASE_METHOD(
    FrameSockets,
    "frame socket: data larger than the buffers are sent without a copy: "
    "they arrive as those of an ordinary frame",
    "[unit]") {
  std::string Bytes(16 << 20, '\0');
  for (std::size_t I = 0; I < Bytes.size(); ++I)
    Bytes[I] = static_cast<char>((I * 31) >> 8);
  wire::ForwardDataT Data;
  Data.data.assign(Bytes.begin(), Bytes.end());
  TimePoint Until = BootClock::now() + Millis(10000);
  auto Sent = std::async(std::launch::async, [&] {
    return this->From.sendData(7, Bytes, Until) &&
           this->From.send(makeFrame(8, Data)) &&
           this->From.sendData(9, "", Until);
  });
  for (std::uint64_t Clock : {7, 8, 9}) {
    absl::StatusOr<wire::FrameT> Frame = this->To.receiveBy(Until);
    REQUIRE(Frame.ok());
    CHECK(Frame->clock == Clock);
    const auto *Found = Frame->message.AsForwardData();
    REQUIRE(Found);
    CHECK((Clock == 9 ? Found->data.empty() : Found->data == Data.data));
  }
  CHECK(Sent.get());
}

// Guards against nodes of an earlier landing that cannot read forwarded bytes
// in a rolling update.
TEST_CASE_METHOD(
    FrameSockets,
    "frame socket: forwarded bytes: the same on the wire as an ordinary "
    "frame",
    "[unit]") {
  wire::ForwardDataT Data;
  Data.data = {'a', 'b', 'c'};
  const std::string Ordinary = packFrame(makeFrame(7, Data));
  REQUIRE(this->From.sendData(7, "abc"));
  this->From.shutdown();
  std::string Received(4 + Ordinary.size() + 1, '\0');
  std::size_t Size = 0;
  for (int Read = 1; Read > 0; Size += static_cast<std::size_t>(Read))
    Read = this->Far.receiveBytes(Received.data() + Size,
                                  static_cast<int>(Received.size() - Size));
  Received.resize(Size);
  CHECK(Received ==
        std::string{static_cast<char>(Ordinary.size()), 0, 0, 0} + Ordinary);
}

} // namespace waycove::test
