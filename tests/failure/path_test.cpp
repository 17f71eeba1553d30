// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "support/cluster.h"

#include <Poco/Net/StreamSocket.h>
#include <array>
#include <catch2/catch.hpp>

namespace waycove::test {

/// One data centre, two daemons, groups of two VMs, and two service VMs.
struct SmallCluster {
  SmallCluster() {
    this->Run.addVms("d1", 3, "a", "d1");
    this->Run.addVms("d2", 2, "a", "d2");
    this->Run.addVms("s", 2, "a", "s", "ledger");
    this->Run.addNode("n1", "a");
    this->Run.addNode("n2", "a");
    this->Run.start();
    publishUsual(this->Run, "n1", "a: 2");
  }
  Cluster Run;
};

TEST_CASE_METHOD(SmallCluster,
                 "path: one model request: whole answer from any daemon",
                 "[process]") {
  for (const char *Node : {"n1", "n2"}) {
    REQUIRE(eventually([&] { return this->Run.serving(Node) == 2; }));
    Reply Response = this->Run.generate(Node, 10);
    CHECK(Response.Status == 200);
    CHECK(Response.text("text") == wholeText(10));
    Reply Streamed = this->Run.generate(Node, 10, true);
    INFO(Streamed.Status << " " << Streamed.Body);
    CHECK(streamedIndexes(Streamed.Body).size() == 10);
    CHECK(Streamed.Body.find("event: done") != std::string::npos);
    CHECK_FALSE(Streamed.Cut);
  }
}

TEST_CASE_METHOD(SmallCluster,
                 "path: one service call: passed through with its answer",
                 "[process]") {
  std::string Key = freshKey("sale");
  REQUIRE(eventually(
      [&] { return this->Run.callService("n1", "").Status == 200; }));
  Reply Response = this->Run.callService("n1", Key);
  CHECK(Response.Status == 200);
  CHECK(Response.text("path") == "/sale");
  CHECK(Response.text("body") == "ack");
  CHECK(this->Run.callsOf(Key) == 1);
}

TEST_CASE_METHOD(SmallCluster,
                 "path: raw bytes of answers: kept connections carry nothing "
                 "but answers, streams end once",
                 "[process]") {
  REQUIRE(eventually([&] { return this->Run.serving("n1") == 2; }));
  auto Raw = [&](const std::string &Bytes) {
    Poco::Net::StreamSocket Socket(
        Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort("n1")));
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    std::string Response;
    std::array<char, 4096> Buffer{};
    while (int Size = Socket.receiveBytes(Buffer.data(), Buffer.size()))
      Response.append(Buffer.data(), static_cast<std::size_t>(Size));
    return Response;
  };
  std::string Two = Raw("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
                        "GET /healthz HTTP/1.1\r\nHost: x\r\n"
                        "Connection: close\r\n\r\n");
  std::size_t Second = Two.find("HTTP/1.1 200", 1);
  REQUIRE(Second != std::string::npos);
  CHECK(Two.substr(Second - 3, 3) == "ok\n");
  std::string Body = R"({"prompt":"p","max_tokens":3,"stream":true})";
  std::string Stream =
      Raw("POST /v1/models/model/generate HTTP/1.1\r\nHost: x\r\n"
          "Authorization: Bearer w1-key\r\nContent-Length: " +
          std::to_string(Body.size()) + "\r\n\r\n" + Body);
  std::size_t Last = Stream.find("\r\n0\r\n\r\n");
  REQUIRE(Last != std::string::npos);
  CHECK(Last + 7 == Stream.size());
}

} // namespace waycove::test
