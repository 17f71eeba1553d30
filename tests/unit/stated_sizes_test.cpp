// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Sizes that a peer states ahead of its bytes: they take no memory before the
// bytes arrive.
#include "net/http.h"
#include "support/peak_memory.h"
#include "wire/frame.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>
#include <thread>

namespace waycove::test {

namespace {

constexpr long MaxGrowthKb = 32 << 10;

} // namespace

/// A server on the loopback interface that sends some bytes to its first
/// connection and closes it.
struct StatedSizeFixture {
  ~StatedSizeFixture() {
    if (this->Server.joinable())
      this->Server.join();
  }
  void serve(const std::string &Bytes) {
    this->Listener.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
    this->Listener.listen();
    this->Server = std::thread([this, Bytes] {
      Poco::Net::StreamSocket Peer = this->Listener.acceptConnection();
      Peer.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
      try {
        // So that the bytes are delivered before the end.
        Peer.shutdownSend();
        char Byte = 0;
        while (Peer.receiveBytes(&Byte, 1) > 0)
          ;
      } catch (const Poco::Exception &) {
        // A client that gives up resets the connection.
      }
    });
  }
  std::uint16_t port() const { return this->Listener.address().port(); }
  absl::StatusOr<HttpReply> call() {
    HttpClient Client({"127.0.0.1", this->port()}, Millis(500), this->Counters,
                      {Counter::PlatformBytesIn, Counter::PlatformBytesOut});
    return Client.call({"GET", "/", "", "", {}}, Millis(2000));
  }

  Metrics Counters;
  Poco::Net::ServerSocket Listener;
  std::thread Server;
};

// Guards against a peer that takes a node's memory with a few bytes.
TEST_CASE_METHOD(
    StatedSizeFixture,
    "stated sizes: a chunk of 256 MB of which three bytes come: no "
    "answer, no memory for it",
    "[unit]") {
  this->serve("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "fffffff\r\nabc");
  long Before = peakMemoryKb();
  CHECK_FALSE(this->call().ok());
  CHECK(peakMemoryKb() - Before < MaxGrowthKb);
}

TEST_CASE_METHOD(StatedSizeFixture,
                 "stated sizes: a frame of 64 MB of which three bytes come: no "
                 "frame, no memory for it",
                 "[unit]") {
  this->serve(std::string("\xff\xff\xff\x03"
                          "abc",
                          7));
  auto Socket = FrameSocket::dial("127.0.0.1", this->port(), Millis(500));
  REQUIRE(Socket.ok());
  FrameSocket Frames(*Socket, this->Counters);
  long Before = peakMemoryKb();
  CHECK_FALSE(Frames.receive(Millis(2000)).ok());
  CHECK(peakMemoryKb() - Before < MaxGrowthKb);
  Frames.shutdown();
}

TEST_CASE_METHOD(StatedSizeFixture,
                 "stated sizes: a body longer than any answer: refused before "
                 "it is read",
                 "[unit]") {
  this->serve("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\nabc");
  absl::StatusOr<HttpReply> Reply = this->call();
  REQUIRE_FALSE(Reply.ok());
  CHECK(messageOf(Reply.status()).find("too large") != std::string::npos);
}

// Guards against a bound that cuts what it need not.
TEST_CASE_METHOD(StatedSizeFixture,
                 "stated sizes: a chunk that comes in many parts: read whole",
                 "[unit]") {
  const std::string Body(1 << 20, 'x');
  this->serve("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "100000\r\n" +
              Body + "\r\n3\r\nend\r\n0\r\n\r\n");
  absl::StatusOr<HttpReply> Reply = this->call();
  REQUIRE(Reply.ok());
  CHECK(Reply->Body == Body + "end");
}

} // namespace waycove::test
