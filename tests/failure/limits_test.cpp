// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// A process at its limits: bytes from outside that are damaged, and memory,
// descriptors or threads that are short, end neither the process nor answers
// that have started. Where a process ends, it says so in its log.
#include "support/entry_fixture.h"
#include "wire/frame.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <csignal>
#include <future>
#include <sys/resource.h>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// A stream takes 4 s.
constexpr int SlowTokenMs = 100;
constexpr int Streams = 12;
constexpr int ManyRoutes = 450;

/// The bytes of a frame that names the type of its message and lacks it.
std::string frameWithoutMessage(wire::Message Type) {
  flatbuffers::FlatBufferBuilder Builder;
  wire::FrameBuilder Frame(Builder);
  Frame.add_message_type(Type);
  Builder.Finish(Frame.Finish());
  std::string Bytes(reinterpret_cast<const char *>(Builder.GetBufferPointer()),
                    Builder.GetSize());
  auto Size = static_cast<std::uint32_t>(Bytes.size());
  std::string Length(sizeof(Size), '\0');
  for (std::size_t I = 0; I < Length.size(); ++I)
    Length[I] = static_cast<char>((Size >> (8 * I)) & 0xFF);
  return Length + Bytes;
}

/// Sends \p Bytes on a new connection and waits until the peer has ended it.
void sendTo(std::uint16_t Port, const std::string &Bytes) {
  Poco::Net::StreamSocket Socket(Poco::Net::SocketAddress("127.0.0.1", Port));
  Socket.setReceiveTimeout(Poco::Timespan(5, 0));
  try {
    Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
    std::array<char, 4096> Block{};
    while (Socket.receiveBytes(Block.data(), Block.size()) > 0)
      ;
  } catch (const Poco::Exception &) {
    // The peer has reset the connection.
  }
}

/// The usual configuration with further routes, whose names take \p NameBytes.
std::string manyRoutes(int Version, int Count, std::size_t NameBytes = 8) {
  std::string Routes;
  for (int I = 0; I < Count; ++I) {
    std::string Name = "r" + std::to_string(I);
    Routes.append(R"({"name":")").append(Name).append(NameBytes, 'x');
    Routes.append(R"(","host":"b.example","path_prefix":"/)").append(Name);
    Routes += R"(/","type":"idempotent","service":"plain","timeout_ms":2000,)"
              R"("goal_ms":300,"priority":1,"max_attempts":2},)";
  }
  std::string Text = entryConfig(Version, "key-1");
  const std::string Begin = R"("routes":[)";
  return Text.insert(Text.find(Begin) + Begin.size(), Routes);
}

} // namespace

struct LimitsFixture : EntryFixture {
  LimitsFixture() : EntryFixture("", false, SlowTokenMs) {}

  Process &node() { return this->Run.node("n1"); }
  void publishRoutes(int Version, int Count, std::size_t NameBytes = 8) {
    this->Run.atPlatform({"POST",
                          "/store/put?topic=keyed.op&key=config",
                          manyRoutes(Version, Count, NameBytes),
                          {}});
  }
  bool logHas(const std::string &Text) {
    return this->Run.logOf("n1").find(Text) != std::string::npos;
  }
  bool isApplied(int Version) {
    return this->logHas("\"config_applied\",\"node\":\"n1\",\"subject\":\"" +
                        std::to_string(Version) + "\"");
  }
  /// Starts streams, and waits until all of them run.
  std::vector<std::future<Reply>> startStreams() {
    std::vector<std::future<Reply>> Calls;
    Calls.reserve(Streams);
    for (int I = 0; I < Streams; ++I)
      Calls.push_back(std::async(std::launch::async, [this, I] {
        return this->call("/chat/x", "s" + std::to_string(I));
      }));
    REQUIRE(eventually([&] {
      std::uint64_t Running = 0;
      for (const char *Vm : {"e-1", "e-2", "e-3", "e-4"})
        Running += this->runs(Vm);
      return Running >= Streams;
    }));
    std::this_thread::sleep_for(milliseconds(300));
    return Calls;
  }
  /// Number of streams that ended whole.
  static int countWhole(std::vector<std::future<Reply>> &Calls) {
    int Whole = 0;
    for (auto &Call : Calls) {
      Reply Response = Call.get();
      Whole += Response.Status == 200 && !Response.Cut &&
                       Response.Body == wholeStream()
                   ? 1
                   : 0;
    }
    return Whole;
  }
  std::string lastLine() {
    std::string Log = this->Run.logOf("n1");
    while (!Log.empty() && Log.back() == '\n')
      Log.pop_back();
    return Log.substr(Log.rfind('\n') + 1);
  }
};

// Guards against a process that ends by signal 11 on a frame of a peer that
// names a message and lacks it.
TEST_CASE_METHOD(EntryFixture,
                 "limits: frames without their message come: they are refused "
                 "and callers served",
                 "[failure]") {
  for (auto Type : wire::EnumValuesMessage()) {
    INFO(wire::EnumNameMessage(Type));
    sendTo(this->Run.peerPort("n1"), frameWithoutMessage(Type));
    REQUIRE(this->Run.node("n1").wait(milliseconds(100)) == -1);
  }
  CHECK(this->call("/safe/x", "after").Status == 200);
}

// Guards against a node that ends by a signal without a line in its log.
TEST_CASE_METHOD(LimitsFixture,
                 "limits: a fatal signal comes while streams run: the last "
                 "line gives it and how many requests were in flight",
                 "[failure]") {
  this->Run.ExpectsCrash = true;
  for (int Signal : {SIGSEGV, SIGABRT}) {
    INFO(Signal);
    auto Calls = this->startStreams();
    this->node().signal(Signal);
    CHECK(this->node().wait(milliseconds(5000)) == 128 + Signal);
    std::string Line = this->lastLine();
    INFO(Line);
    CHECK(Line.find("\"name\":\"daemon_crashed\"") != std::string::npos);
    CHECK(Line.find("\"reason\":\"signal " + std::to_string(Signal) + "\"") !=
          std::string::npos);
    CHECK(Line.find("\"in_flight\":" + std::to_string(Streams) + "}") !=
          std::string::npos);
    CHECK(parseJson(Line).ok());
    countWhole(Calls);
    this->Run.startNode("n1");
    REQUIRE(eventually([&] { return this->isReady(); }));
  }
}

// Guards against a node whose grace ends while streams run and whose log does
// not say so.
TEST_CASE_METHOD(LimitsFixture,
                 "limits: the grace ends while streams run: the last line says "
                 "so and how many requests were in flight",
                 "[failure]") {
  auto Calls = this->startStreams();
  // Longer than the grace.
  this->faultAll("e", 4, "hang");
  this->node().signal(SIGTERM);
  CHECK(this->node().wait(milliseconds(6000)) != -1);
  std::string Line = this->lastLine();
  INFO(Line);
  CHECK(Line.find("\"name\":\"daemon_stopped\"") != std::string::npos);
  CHECK(Line.find("\"in_flight\":") != std::string::npos);
  CHECK(Line.find("\"reason\":") != std::string::npos);
  countWhole(Calls);
}

// Guards against streams that are cut, or a node that ends or serves nobody
// afterwards, where no descriptor is free.
TEST_CASE_METHOD(LimitsFixture,
                 "limits: descriptors are short while configurations come: "
                 "streams end whole and new connections wait",
                 "[failure]") {
  auto Calls = this->startStreams();
  this->node().limit(RLIMIT_NOFILE, this->node().descriptors() + 4);
  constexpr int Connections = 60;
  std::vector<Poco::Net::StreamSocket> Waiting;
  Waiting.reserve(Connections);
  for (int I = 0; I < Connections; ++I)
    Waiting.emplace_back(
        Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort("n1")));
  for (int Version = 2; Version < 22; ++Version) {
    this->publishRoutes(Version, ManyRoutes);
    std::this_thread::sleep_for(milliseconds(100));
  }
  CHECK(countWhole(Calls) == Streams);
  REQUIRE(this->node().wait(milliseconds(0)) == -1);
  CHECK(this->logHas("\"connection_refused\""));
  Waiting.clear();
  CHECK(
      eventually([&] { return this->call("/safe/x", "after").Status == 200; }));
  CHECK(eventually([&] { return this->isApplied(21); }));
  CHECK_FALSE(this->logHas("\"request_cut\""));
}

// Guards against a node that takes its own shortage for a fault of its targets,
// and so refuses requests, or gives up streams, that sound targets run.
TEST_CASE_METHOD(LimitsFixture,
                 "limits: descriptors are short while requests come: streams "
                 "end whole and no target is suspected",
                 "[failure]") {
  constexpr int Callers = 40;
  auto Calls = this->startStreams();
  this->node().limit(RLIMIT_NOFILE, this->node().descriptors() + 8);
  std::vector<std::future<int>> Others;
  Others.reserve(Callers);
  for (int I = 0; I < Callers; ++I)
    Others.push_back(std::async(std::launch::async, [this, I] {
      int Served = 0;
      for (int Round = 0; Round < 5; ++Round)
        Served += this->call(I % 2 == 0 ? "/safe/x" : "/once/x",
                             std::to_string(I) + "-" + std::to_string(Round))
                              .Status == 200
                      ? 1
                      : 0;
      return Served;
    }));
  int Served = 0;
  for (auto &Other : Others)
    Served += Other.get();
  CHECK(countWhole(Calls) == Streams);
  CHECK(Served == 5 * Callers);
  REQUIRE(this->node().wait(milliseconds(0)) == -1);
  CHECK_FALSE(this->logHas("\"target_suspected\""));
  CHECK_FALSE(this->logHas("\"targets_unreachable\""));
}

// Guards against streams that are cut, or a node that ends or keeps an old
// configuration, where memory is short.
TEST_CASE_METHOD(LimitsFixture,
                 "limits: memory is short while a large configuration comes: "
                 "streams end whole and the configuration applies later",
                 "[failure]") {
  constexpr int LargeRoutes = 6000;
  constexpr std::size_t LargeNames = 800;
  auto Calls = this->startStreams();
  this->node().limit(RLIMIT_AS, this->node().mappedBytes() + (4 << 20));
  for (int Version = 2; Version < 12; ++Version) {
    this->publishRoutes(Version, LargeRoutes, LargeNames);
    std::this_thread::sleep_for(milliseconds(100));
  }
  CHECK(countWhole(Calls) == Streams);
  REQUIRE(this->node().wait(milliseconds(0)) == -1);
  this->node().limit(RLIMIT_AS, RLIM_INFINITY);
  CHECK(eventually([&] { return this->isApplied(11); }));
  // Keys are refused until the store has confirmed them again.
  int Asked = 0;
  CHECK(eventually([&] {
    return this->call("/safe/x", "after" + std::to_string(++Asked)).Status ==
           200;
  }));
}

// Guards against streams that are cut, or a request that is lost, where no
// thread can be started.
TEST_CASE_METHOD(LimitsFixture,
                 "limits: no thread can be started for a while: streams end "
                 "whole and new requests are served later",
                 "[failure]") {
  auto Calls = this->startStreams();
  this->node().limit(RLIMIT_AS, this->node().mappedBytes());
  constexpr int Requests = 4;
  std::vector<std::future<Reply>> Late;
  Late.reserve(Requests);
  for (int I = 0; I < Requests; ++I)
    Late.push_back(std::async(std::launch::async, [this, I] {
      return this->call("/safe/x", "late" + std::to_string(I));
    }));
  this->publishRoutes(2, ManyRoutes);
  std::this_thread::sleep_for(milliseconds(300));
  this->node().limit(RLIMIT_AS, RLIM_INFINITY);
  for (auto &Call : Late) {
    Reply Response = Call.get();
    INFO(Response.Body);
    CHECK(Response.Status == 200);
  }
  CHECK(countWhole(Calls) == Streams);
  REQUIRE(this->node().wait(milliseconds(0)) == -1);
  CHECK(eventually([&] { return this->isApplied(2); }));
}

// Guards against a process that ends, streams that are cut, or requests that
// count as in flight for good, where memory is short while requests come.
TEST_CASE_METHOD(LimitsFixture,
                 "limits: memory is short while requests come: streams end "
                 "whole and a stop finds nothing in flight",
                 "[failure]") {
  constexpr int Callers = 40;
  constexpr std::size_t LargeBody = 900'000;
  auto Calls = this->startStreams();
  this->node().limit(RLIMIT_AS, this->node().mappedBytes() + (8 << 20));
  std::vector<std::future<void>> Others;
  Others.reserve(Callers);
  for (int I = 0; I < Callers; ++I)
    Others.push_back(std::async(std::launch::async, [this, I] {
      for (int Round = 0; Round < 4; ++Round)
        this->Run.ask("n1", {"POST",
                             I % 2 == 0 ? "/safe/x" : "/once/x",
                             std::string(LargeBody, 'b'),
                             {{"Host", "a.example"},
                              {"Authorization", "Bearer key-1"},
                              {"X-Request-Id",
                               std::to_string(I) + "-" + std::to_string(Round)},
                              {"X-Deadline-Ms", "3000"}}});
    }));
  for (auto &Other : Others)
    Other.get();
  CHECK(countWhole(Calls) == Streams);
  REQUIRE(this->node().wait(milliseconds(0)) == -1);
  this->node().limit(RLIMIT_AS, RLIM_INFINITY);
  CHECK(
      eventually([&] { return this->call("/safe/x", "after").Status == 200; }));
  this->node().signal(SIGTERM);
  CHECK(this->node().wait(milliseconds(6000)) == 0);
  CHECK(this->lastLine().find("\"in_flight\":0}") != std::string::npos);
}

} // namespace waycove::test
