// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// An entry as a real process: responses to callers while targets fail, keys are
// revoked and the store is unavailable.
#include "net/http.h"
#include "support/entry_fixture.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <set>
#include <sstream>
#include <thread>

namespace waycove::test {

TEST_CASE_METHOD(
    EntryFixture,
    "http caller: a kept connection: each call has its own timeout",
    "[failure]") {
  Metrics Unused;
  HttpClient Caller({"127.0.0.1", this->Run.platformPort()}, Millis(500),
                    Unused,
                    {Counter::PlatformBytesIn, Counter::PlatformBytesOut});
  REQUIRE(Caller.call({"GET", "/stats", "", "", {}}, Millis(200)).ok());
  CHECK(Caller
            .call({"GET",
                   "/api/log-read?topic=quiet&part=0&from=0&wait_ms=700",
                   "",
                   "",
                   {}},
                  Millis(2000))
            .ok());
}

TEST_CASE_METHOD(EntryFixture,
                 "entry: sound targets: streams and calls pass unchanged",
                 "[failure]") {
  Reply Stream = this->call("/chat/x", "r1");
  CHECK(Stream.Status == 200);
  CHECK(Stream.Body == wholeStream());
  CHECK_FALSE(Stream.Cut);
  CHECK(this->call("/once/x", "r2").Body == "ran r2 for w1 body");
  CHECK(this->call("/nowhere/", "r3").Status == 404);
  CHECK(this->call("/safe/x", "r4", "no-key").Status == 401);
}

TEST_CASE_METHOD(EntryFixture,
                 "entry: a head dies within a stream: goes on elsewhere whole",
                 "[failure]") {
  // Each head closes the connection after five events.
  this->Run.vmFault("e-1", R"({"call":"die_after"})");
  this->Run.vmFault("e-2", R"({"call":"die_after"})");
  for (int I = 0; I < 6; ++I) {
    Reply Stream = this->call("/chat/x", "r" + std::to_string(I));
    CHECK(Stream.Status == 200);
    CHECK(Stream.Body == wholeStream());
  }
}

TEST_CASE_METHOD(EntryFixture,
                 "entry: an event out of order behind good ones: none is lost",
                 "[failure]") {
  this->Run.vmFault("e-1", R"({"call":"disorder"})");
  this->Run.vmFault("e-2", R"({"call":"disorder"})");
  for (int I = 0; I < 6; ++I)
    CHECK(this->call("/chat/x", "r" + std::to_string(I)).Body == wholeStream());
}

TEST_CASE_METHOD(
    EntryFixture,
    "entry: a head stands still within a stream: goes on elsewhere",
    "[failure]") {
  this->Run.vmFault("e-1", R"({"call":"still"})");
  this->Run.vmFault("e-2", R"({"call":"still"})");
  for (int I = 0; I < 3; ++I)
    CHECK(this->call("/chat/x", "r" + std::to_string(I)).Body == wholeStream());
}

TEST_CASE_METHOD(EntryFixture,
                 "entry: a killed member: its group is formed anew",
                 "[failure]") {
  this->Run.killVm("e-2");
  this->Run.killVm("e-1");
  CHECK(eventually([&] {
    Reply Stream = this->call("/chat/x", "again");
    return Stream.Status == 200 && Stream.Body == wholeStream();
  }));
}

TEST_CASE_METHOD(EntryFixture,
                 "entry: a once-only call breaks after it ran: 502, run once",
                 "[failure]") {
  this->faultAll("p", 2, "run_reset");
  Reply Response = this->call("/once/x", "r1");
  CHECK(Response.Status == 502);
  CHECK(Response.RetryAfter.empty());
  CHECK(this->plainRuns() == 1);
}

TEST_CASE_METHOD(EntryFixture,
                 "entry: a repeatable call fails once: answered by another",
                 "[failure]") {
  this->Run.vmFault("p-1", R"({"call":"run_reset"})");
  for (int I = 0; I < 4; ++I)
    CHECK(this->call("/safe/x", "r" + std::to_string(I)).Status == 200);
  this->faultAll("p", 2, "failed");
  CHECK(this->call("/safe/x", "r9").Status == 500);
}

TEST_CASE_METHOD(
    EntryFixture,
    "entry: all targets refuse: 503 at once with when to come back",
    "[failure]") {
  this->faultAll("p", 2, "busy");
  auto Before = std::chrono::steady_clock::now();
  Reply Response = this->call("/once/x", "r1");
  CHECK(Response.Status == 503);
  CHECK_FALSE(Response.RetryAfter.empty());
  CHECK(std::chrono::steady_clock::now() - Before < std::chrono::seconds(1));
  CHECK(this->plainRuns() == 0);
}

TEST_CASE_METHOD(EntryFixture,
                 "entry: another's answer comes first: the right one is given",
                 "[failure]") {
  this->faultAll("p", 2, "extra");
  CHECK(this->call("/once/x", "r1").Body == "ran r1 for w1 body");
}

TEST_CASE_METHOD(EntryFixture, "entry: an unsigned success: never given as one",
                 "[failure]") {
  this->faultAll("p", 2, "unsigned");
  CHECK(this->call("/once/x", "r1").Status == 502);
}

TEST_CASE_METHOD(EntryFixture,
                 "entry: a key is taken away: refused, and the new one taken",
                 "[failure]") {
  this->publish(2, "key-2");
  CHECK(eventually(
      [&] { return this->call("/safe/x", "r1", "key-2").Status == 200; }));
  CHECK(this->call("/safe/x", "r2").Status == 401);
  // An older version never takes effect.
  this->publish(1, "key-1");
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  CHECK(this->call("/safe/x", "r3").Status == 401);
}

TEST_CASE_METHOD(EntryFixture,
                 "entry: a malformed configuration: the good one stays",
                 "[failure]") {
  for (const char *Bad : {"{", "[]", "{\"version\":9}"})
    this->Run.atPlatform(
        {"POST", "/store/put?topic=keyed.op&key=config", Bad, {}});
  this->Run.atPlatform({"POST",
                        "/store/put?topic=keyed.servers&key=odd",
                        "{\"address\":5}",
                        {}});
  CHECK(eventually([&] {
    return this->Run.logOf("n1").find("config_refused") != std::string::npos &&
           this->Run.logOf("n1").find("registry_refused") != std::string::npos;
  }));
  CHECK(this->call("/safe/x", "r1").Status == 200);
}

TEST_CASE_METHOD(
    EntryFixture,
    "entry: the store is away: keys are refused in time, not ready",
    "[failure]") {
  for (const char *How : {"refuse", "silent"}) {
    this->Run.atPlatform(
        {"POST", std::string("/store/down?how=") + How, "", {}});
    // Only the refusal because of the keys counts, not that of a busy target.
    CHECK(eventually(
        [&] {
          Reply Response = this->call("/safe/x", "r1");
          return Response.Status == 503 &&
                 Response.Body.find("keys are current") != std::string::npos;
        },
        std::chrono::milliseconds(4500)));
    CHECK_FALSE(this->isReady());
    CHECK(this->call("/safe/x", "r1").Status == 503);
    this->Run.atPlatform({"POST", "/store/down?how=no", "", {}});
    CHECK(
        eventually([&] { return this->call("/safe/x", "r2").Status == 200; }));
  }
}

/// The same, but keys that are not proven current may be used.
struct OpenEntryFixture : EntryFixture {
  OpenEntryFixture() : EntryFixture(", revoke_fail_closed: false") {}
};

TEST_CASE_METHOD(
    OpenEntryFixture,
    "entry: the store is away, unproven keys allowed: serves on, and ready",
    "[failure]") {
  this->Run.atPlatform({"POST", "/store/down?how=silent", "", {}});
  REQUIRE(eventually(
      [&] {
        return this->Run.logOf("n1").find("config_unproven") !=
               std::string::npos;
      },
      std::chrono::milliseconds(4500)));
  CHECK(this->isReady());
  CHECK(this->call("/safe/x", "r1").Status == 200);
  CHECK(this->call("/safe/x", "r2", "key-2").Status == 401);
}

TEST_CASE_METHOD(EntryFixture,
                 "entry: killed and restarted within its lease: it keeps its "
                 "domains, and nothing is dealt anew",
                 "[failure]") {
  auto Generation = [&] {
    std::string Log = this->Run.logOf("n1");
    std::size_t At = Log.rfind("\"name\":\"domains_owned\"");
    std::size_t Field = Log.find("\"generation\":", At);
    return At == std::string::npos || Field == std::string::npos
               ? std::string()
               : Log.substr(Field, Log.find_first_of(",}", Field) - Field);
  };
  std::string Before = Generation();
  REQUIRE_FALSE(Before.empty());
  this->Run.killNode("n1");
  this->Run.startNode("n1");
  REQUIRE(eventually([&] { return this->isReady(); }));
  CHECK(eventually([&] { return Generation() == Before; }));
  // Its groups still serve, and it forms a new one when needed.
  CHECK(this->call("/chat/x", "r1").Status == 200);
  this->Run.killVm("e-1");
  CHECK(eventually([&] { return this->call("/chat/x", "r2").Status == 200; }));
}

// Guards against fences and epochs that are given a second time, and against a
// restart after which no group is formed any more.
TEST_CASE_METHOD(EntryFixture,
                 "entry: killed and restarted within its lease after the first "
                 "start: its share is assigned anew, and it repairs groups",
                 "[failure]") {
  auto Generations = [&] {
    std::set<std::string> Seen;
    std::istringstream Lines(this->Run.logOf("n1"));
    const std::string Field = "\"generation\":";
    for (std::string Line; std::getline(Lines, Line);)
      if (std::size_t At = Line.find(Field); At != std::string::npos)
        Seen.insert(Line.substr(At, Line.find_first_of(",}", At) - At));
    return Seen;
  };
  REQUIRE(Generations().size() == 1);
  this->Run.killNode("n1");
  const std::string First = ", first_start: true";
  this->Run.ExtraSettings.erase(this->Run.ExtraSettings.find(First),
                                First.size());
  this->Run.startNode("n1");
  REQUIRE(eventually([&] { return this->isReady(); }));
  CHECK(eventually([&] { return Generations().size() == 2; }));
  CHECK(this->call("/chat/x", "r1").Status == 200);
  this->Run.killVm("e-1");
  CHECK(eventually([&] { return this->call("/chat/x", "r2").Status == 200; }));
}

TEST_CASE_METHOD(EntryFixture,
                 "entry: the caller leaves: the target's stream is dropped",
                 "[failure]") {
  const std::string Bytes =
      "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nX-Model: model\r\n"
      "Authorization: Bearer key-1\r\nX-Request-Id: gone\r\n"
      "Content-Length: 0\r\n\r\n";
  {
    Poco::Net::StreamSocket Socket(
        Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort("n1")));
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    std::array<char, 64> Chunk{};
    REQUIRE(Socket.receiveBytes(Chunk.data(), Chunk.size()) > 0);
  }
  CHECK(eventually(
      [&] {
        std::uint64_t Disconnects = 0;
        for (const char *Vm : {"e-1", "e-2", "e-3", "e-4"})
          Disconnects += this->Run.atVm(Vm, {.Path = "/runs"}).number("left");
        return Disconnects == 1;
      },
      std::chrono::milliseconds(500)));
}

TEST_CASE_METHOD(EntryFixture,
                 "entry: a planned stop: answers in flight are completed",
                 "[failure]") {
  Reply Stream;
  std::thread Caller([&] { Stream = this->call("/chat/x", "r1"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  this->Run.node("n1").signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  CHECK_FALSE(this->isReady());
  CHECK(this->call("/safe/x", "r2").Status == 200);
  Caller.join();
  CHECK(Stream.Body == wholeStream());
  CHECK(this->Run.node("n1").wait(std::chrono::milliseconds(5000)) == 0);
  CHECK(this->Run.logOf("n1").find("daemon_stopped") != std::string::npos);
}

// Guards against a signal that ends the process because another thread gets it.
TEST_CASE_METHOD(EntryFixture,
                 "entry: signals come during a planned stop: answers in flight "
                 "are completed",
                 "[failure]") {
  Reply Stream;
  std::thread Caller([&] { Stream = this->call("/chat/x", "r1"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  for (int Signal : {SIGHUP, SIGHUP, SIGTERM, SIGTERM, SIGHUP, SIGTERM}) {
    this->Run.node("n1").signal(Signal);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  Caller.join();
  CHECK(Stream.Body == wholeStream());
  CHECK(this->Run.node("n1").wait(std::chrono::milliseconds(5000)) == 0);
}

TEST_CASE_METHOD(EntryFixture,
                 "entry: late in a planned stop: idle connections are closed",
                 "[failure]") {
  this->faultAll("e", 4, "still");
  std::thread Caller([&] { this->call("/chat/x", "r1"); });
  Poco::Net::StreamSocket Idle(
      Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort("n1")));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  this->Run.node("n1").signal(SIGTERM);
  Idle.setReceiveTimeout(Poco::Timespan(3, 300000));
  std::array<char, 1> Byte{};
  CHECK(Idle.receiveBytes(Byte.data(), Byte.size()) == 0);
  CHECK(this->Run.node("n1").wait(std::chrono::milliseconds(1)) == -1);
  Caller.join();
}

TEST_CASE_METHOD(EntryFixture,
                 "entry: late in a planned stop: new requests are refused",
                 "[failure]") {
  // Stalled streams keep the process alive until its grace period ends.
  this->faultAll("e", 4, "still");
  std::thread Caller([&] { this->call("/chat/x", "r1"); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  this->Run.node("n1").signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(3000));
  Poco::Net::StreamSocket Idle(
      Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort("n1")));
  const std::string Bytes =
      "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: late\r\n"
      "Authorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n";
  Idle.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
  std::array<char, 12> Head{};
  REQUIRE(Idle.receiveBytes(Head.data(), Head.size()) == 12);
  CHECK(std::string(Head.data(), Head.size()) == "HTTP/1.1 503");
  CHECK(this->plainRuns() == 0);
  Caller.join();
}

TEST_CASE_METHOD(EntryFixture,
                 "entry: bytes that may hide a request: refused and closed",
                 "[failure]") {
  for (const char *Fields :
       {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n",
        "Transfer-Encoding: identity\r\n"}) {
    std::string Bytes = "POST /safe/x HTTP/1.1\r\nHost: a.example\r\n" +
                        std::string(Fields) +
                        "\r\n0\r\n\r\nGET /safe/y HTTP/1.1\r\n\r\n";
    Poco::Net::StreamSocket Socket(
        Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort("n1")));
    Socket.setReceiveTimeout(Poco::Timespan(2, 0));
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    std::string Response;
    std::array<char, 512> Chunk{};
    try {
      while (int Received = Socket.receiveBytes(Chunk.data(), Chunk.size()))
        Response.append(Chunk.data(), static_cast<std::size_t>(Received));
    } catch (const Poco::Exception &) {
      // A reset after the response, since bytes were left unread.
    }
    CHECK(Response.rfind("HTTP/1.1 400", 0) == 0);
    CHECK(Response.find("HTTP/1.1", 8) == std::string::npos);
  }
  CHECK(this->plainRuns() == 0);
}

struct SmallBufferFixture : EntryFixture {
  SmallBufferFixture() : EntryFixture(", max_buffer_mb: 1") {}
};

// Guards against callers that send slowly and use up the memory of the node.
TEST_CASE_METHOD(SmallBufferFixture,
                 "entry: the buffers are full of an unfinished body: another "
                 "request is refused as not run, and served when there is room",
                 "[failure]") {
  const std::string Large(300 << 10, 'x');
  std::string Head = "POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
                     "Authorization: Bearer key-1\r\nX-Request-Id: slow\r\n"
                     "Content-Length: " +
                     std::to_string(2 * Large.size()) + "\r\n\r\n";
  auto SendUnfinished = [&] {
    Poco::Net::StreamSocket Slow(
        Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort("n1")));
    Slow.sendBytes(Head.data(), static_cast<int>(Head.size()));
    Slow.sendBytes(Large.data(), static_cast<int>(Large.size()));
    return Slow;
  };
  auto Post = [&](const std::string &Id) {
    return this->Run
        .ask("n1", {"POST",
                    "/once/x",
                    Large,
                    {{"Host", "a.example"},
                     {"Authorization", "Bearer key-1"},
                     {"X-Request-Id", Id}}})
        .Status;
  };
  int Attempt = 0;
  // If the other request is read first, the unfinished one has no room.
  Poco::Net::StreamSocket Slow = SendUnfinished();
  CHECK(eventually([&] {
    if (Attempt > 0)
      Slow = SendUnfinished();
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    return Post("r" + std::to_string(++Attempt)) == 503;
  }));
  std::uint64_t Runs = this->plainRuns();
  CHECK(Post("refused") == 503);
  CHECK(this->plainRuns() == Runs);
  // Requests with small bodies still find room.
  CHECK(this->call("/once/x", "small").Status == 200);
  Slow.close();
  CHECK(
      eventually([&] { return Post("s" + std::to_string(++Attempt)) == 200; }));
}

} // namespace waycove::test
