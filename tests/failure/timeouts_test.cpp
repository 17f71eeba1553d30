// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Requests whose route's timeout passes long before their callers leave: each
// has to be ended within half a second of the timeout, whatever stands behind
// the entry.
#include "support/entry_fixture.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <csignal>
#include <future>
#include <poll.h>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds RouteTimeout(800);
constexpr milliseconds CallerTimeout(5000);
/// A request has to be ended by then after its route's timeout.
constexpr milliseconds EndBound(500);

/// How a call ended for its caller, and when.
struct Ended {
  Reply Response;
  milliseconds Took{0};
};

} // namespace

struct TimeoutsFixture : EntryFixture {
  TimeoutsFixture() {
    this->setTimeout(2, RouteTimeout);
    REQUIRE(
        eventually([&] { return this->call("/safe/x", "0").Status == 200; }));
  }
  /// Publishes a version of the configuration, and waits until it is in force.
  void setTimeout(int Version, milliseconds Timeout) {
    this->Run.atPlatform(
        {"POST",
         "/store/put?topic=keyed.op&key=config",
         entryConfig(Version, "key-1", static_cast<int>(Timeout.count())),
         {}});
    REQUIRE(eventually([&] {
      return this->Run.logOf("n1").find("\"config_applied\",\"node\":\"n1\","
                                        "\"subject\":\"" +
                                        std::to_string(Version)) !=
             std::string::npos;
    }));
  }
  HttpRequest requestOf(const std::string &Path, const std::string &Id) const {
    return {"POST",
            Path,
            "body",
            {{"Host", "a.example"},
             {"Authorization", "Bearer key-1"},
             {"X-Request-Id", Id},
             {"X-Model", "model"},
             {"X-Token-Count", "100,50"},
             {"X-Deadline-Ms", std::to_string(CallerTimeout.count())}},
            CallerTimeout};
  }
  Ended callPatiently(const std::string &Path) {
    auto Begin = std::chrono::steady_clock::now();
    std::string Id = "t" + std::to_string(++this->RequestCount);
    Reply Response = this->Run.ask("n1", this->requestOf(Path, Id));
    return {Response, std::chrono::duration_cast<milliseconds>(
                          std::chrono::steady_clock::now() - Begin)};
  }
  /// Sends several requests on each route at once, and checks when they end.
  void checkAllEndInTime() {
    std::vector<std::future<Ended>> Calls;
    for (int I = 0; I < 4; ++I)
      for (const char *Path : {"/safe/x", "/once/x", "/chat/x"})
        Calls.push_back(std::async(std::launch::async, [this, Path] {
          return this->callPatiently(Path);
        }));
    for (auto &Call : Calls) {
      Ended End = Call.get();
      CAPTURE(End.Response.Status, End.Response.Body.size());
      CHECK(End.Took <= RouteTimeout + EndBound);
    }
  }
  /// Opens a connection and sends a request on it.
  Poco::Net::StreamSocket send(const std::string &Path, const std::string &Id) {
    Poco::Net::StreamSocket Socket(
        Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort("n1")));
    std::string Text = "POST " + Path + " HTTP/1.1\r\nContent-Length: 4\r\n";
    for (const auto &[Name, Value] : this->requestOf(Path, Id).Headers)
      Text.append(Name).append(": ").append(Value).append("\r\n");
    Text += "\r\nbody";
    Socket.sendBytes(Text.data(), static_cast<int>(Text.size()));
    return Socket;
  }

  std::atomic<int> RequestCount{0};
};

// Guards against requests that end when their caller leaves, rather than at
// their route's timeout.
TEST_CASE_METHOD(TimeoutsFixture,
                 "timeouts: targets are silent, or fail and hang: each request "
                 "ends within half a second",
                 "[failure]") {
  for (const char *Fault : {"hang", "still", "slow", "run_reset"}) {
    INFO(Fault);
    this->faultAll("e", 4, Fault);
    this->faultAll("p", 2, Fault);
    this->checkAllEndInTime();
  }
}

// Guards against a stream that goes on after its timeout as long as its target
// never pauses.
TEST_CASE_METHOD(TimeoutsFixture,
                 "timeouts: a target sends without a pause: the stream ends "
                 "within half a second",
                 "[failure]") {
  this->faultAll("e", 4, "flood");
  for (int I = 0; I < 3; ++I) {
    auto Begin = std::chrono::steady_clock::now();
    Poco::Net::StreamSocket Caller = this->send("/chat/x", std::to_string(I));
    std::vector<char> Chunk(1 << 16);
    while (Caller.receiveBytes(Chunk.data(), static_cast<int>(Chunk.size())) >
           0)
      ;
    auto Took = std::chrono::steady_clock::now() - Begin;
    CHECK(Took >= RouteTimeout - milliseconds(50));
    CHECK(Took <= RouteTimeout + EndBound);
  }
}

// Guards against a response that the node has given up and the kernel goes on
// sending, for as long as its caller takes to read it.
TEST_CASE_METHOD(TimeoutsFixture,
                 "timeouts: a caller reads a large response slowly: its "
                 "connection ends within half a second",
                 "[failure]") {
  this->faultAll("p", 2, "large");
  Poco::Net::StreamSocket Caller = this->send("/safe/x", "slow-reader");
  auto Until = std::chrono::steady_clock::now() + RouteTimeout + EndBound;
  std::array<char, 4096> Chunk{};
  while (std::chrono::steady_clock::now() < Until) {
    REQUIRE(Caller.receiveBytes(Chunk.data(), Chunk.size()) > 0);
    std::this_thread::sleep_for(milliseconds(100));
  }
  pollfd Ends{Caller.impl()->sockfd(), POLLRDHUP, 0};
  CHECK(poll(&Ends, 1, 0) == 1);
}

// Guards against a timeout that begins when a thread reads the request, however
// long that was unread.
TEST_CASE_METHOD(TimeoutsFixture,
                 "timeouts: a request is unread for a while: it ends within "
                 "half a second of its timeout",
                 "[failure]") {
  constexpr milliseconds Unread(700);
  this->faultAll("p", 2, "hang");
  auto Begin = std::chrono::steady_clock::now();
  this->Run.node("n1").signal(SIGSTOP);
  Poco::Net::StreamSocket Caller = this->send("/once/x", "unread");
  std::this_thread::sleep_for(Unread);
  this->Run.node("n1").signal(SIGCONT);
  Caller.setReceiveTimeout(Poco::Timespan(CallerTimeout.count() * 1000));
  char Byte = 0;
  CHECK(Caller.receiveBytes(&Byte, 1) == 1);
  CHECK(std::chrono::steady_clock::now() - Begin <= RouteTimeout + EndBound);
}

// Guards against requests that are held for the timeout of another version.
TEST_CASE_METHOD(TimeoutsFixture,
                 "timeouts: they are shortened while requests run: those that "
                 "come later end by the new ones",
                 "[failure]") {
  this->faultAll("p", 2, "hang");
  this->setTimeout(3, milliseconds(2000));
  auto Early = std::async(std::launch::async,
                          [this] { return this->callPatiently("/once/x"); });
  std::this_thread::sleep_for(milliseconds(100));
  this->setTimeout(4, milliseconds(400));
  Ended Late = this->callPatiently("/once/x");
  CHECK(Late.Took <= milliseconds(400) + EndBound);
  CHECK(Early.get().Took <= milliseconds(2000) + EndBound);
}

} // namespace waycove::test
