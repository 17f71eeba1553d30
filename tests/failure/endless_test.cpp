// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Targets that send bytes without end which are no answer, until the entry
// closes the connection: requests go on at another target, and the entry's
// memory stays flat.
#include "support/broken_target_fixture.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// What an answer may have, and what the buffers of a connection hold.
constexpr std::uint64_t MaxTakenBytes = 48 << 20;
constexpr std::uint64_t MaxGrowthBytes = 48 << 20;
constexpr std::uint64_t MaxOrderMs = 1500;
/// Entries know the arrival of a request to a tick of the kernel's clock.
constexpr milliseconds ArrivalTolerance(12);

} // namespace

struct EndlessTargetFixture : BrokenTargetFixture {
  EndlessTargetFixture() {
    this->PeakBefore = this->Run.node("n1").peakBytes();
  }
  void checkFlat(const std::vector<std::string> &Vms) {
    for (const std::string &Vm : Vms)
      CHECK(this->broken(Vm, "broken_bytes") < MaxTakenBytes);
    CHECK(this->Run.node("n1").peakBytes() - this->PeakBefore < MaxGrowthBytes);
  }
  void checkPlain(const std::vector<std::string> &Kinds) {
    this->checkEach(Kinds);
    this->checkFlat({"p-1", "p-2"});
  }

  std::uint64_t PeakBefore = 0;
};

// Guards against requests that end with 504 though another target is free, and
// against gigabytes that are read for them.
TEST_CASE_METHOD(EndlessTargetFixture,
                 "endless answers: one of two targets sends them fast: each "
                 "request is served by the other",
                 "[failure]") {
  this->checkPlain({"endless:trailer", "endless:interim", "endless:head",
                    "endless:extension", "endless:chunks", "endless:unframed",
                    "endless:line", "endless:stray", "endless:declined"});
}

// Guards against bytes that come slowly enough for every bound on bytes.
TEST_CASE_METHOD(EndlessTargetFixture,
                 "endless answers: one of two targets trickles them: each "
                 "request is served by the other",
                 "[failure]") {
  this->checkPlain({"trickle:trailer", "trickle:interim", "trickle:head",
                    "trickle:line", "trickle:stray", "trickle:declined"});
}

// Guards against streams that wait for an event which never ends.
TEST_CASE_METHOD(EndlessTargetFixture,
                 "endless answers: a group sends no event: each stream is "
                 "served by another",
                 "[failure]") {
  for (const char *Kind : {"endless:chunks", "endless:trailer",
                           "endless:unframed", "trickle:chunks"}) {
    INFO(Kind);
    for (const char *Vm : {"e-1", "e-2"})
      this->Run.vmFault(Vm, R"({"call":")" + std::string(Kind) + "\"}");
    this->callUntilMet({"e-1", "e-2"}, "/chat/x", wholeStream());
    for (const char *Vm : {"e-1", "e-2"})
      this->Run.vmFault(Vm, R"({"call":""})");
  }
  this->checkFlat({"e-1", "e-2"});
}

// Guards against an owner that waits for the reply to one order, or fills its
// memory with it, and against groups that form for none of its orders.
TEST_CASE_METHOD(EndlessTargetFixture,
                 "endless answers: to orders and reports: the others form "
                 "groups and serve, memory stays flat",
                 "[failure]") {
  for (const char *Kind : {"endless:chunks", "trickle:trailer"}) {
    INFO(Kind);
    this->checkOrders(Kind);
    this->Run.vmFault("e-1", R"({"order":"","report":""})");
  }
  CHECK(this->broken("e-1", "broken_ms") < MaxOrderMs);
  this->checkFlat({"e-1"});
}

/// A caller's connection to the entry, over which a request comes in pieces.
struct EndlessCallerFixture : EndlessTargetFixture {
  /// Sends \p Begin, and then \p Piece again and again until the entry answers
  /// or closes. Returns the status line, and in \p Took how long that took.
  std::string sendUntilAnswered(const std::string &Begin,
                                const std::string &Piece, milliseconds Pause,
                                milliseconds &Took) {
    Poco::Net::StreamSocket Socket(
        Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort("n1")));
    auto Start = std::chrono::steady_clock::now();
    std::string Answer(4096, '\0');
    int Read = 0;
    try {
      Socket.sendBytes(Begin.data(), static_cast<int>(Begin.size()));
      while (!Socket.poll(Poco::Timespan(Pause.count() * 1000),
                          Poco::Net::Socket::SELECT_READ))
        Socket.sendBytes(Piece.data(), static_cast<int>(Piece.size()));
      Read =
          Socket.receiveBytes(Answer.data(), static_cast<int>(Answer.size()));
    } catch (const Poco::Exception &) {
      // The entry has closed the connection.
    }
    Took = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - Start);
    Answer.resize(static_cast<std::size_t>(Read));
    return Answer.substr(0, Answer.find('\r'));
  }
  static std::string head(const std::string &Framing) {
    return "POST /safe/x HTTP/1.1\r\nHost: a.example\r\n"
           "Authorization: Bearer key-1\r\nX-Request-Id: slow\r\n" +
           Framing + "\r\n\r\n";
  }
};

// Guards against a caller whose request is read past its route's timeout.
TEST_CASE_METHOD(EndlessCallerFixture,
                 "endless request: its body trickles in: it is refused at its "
                 "route's timeout",
                 "[failure]") {
  milliseconds Took(0);
  CHECK(this->sendUntilAnswered(head("Content-Length: 100000"), "a",
                                milliseconds(50), Took)
            .starts_with("HTTP/1.1 408"));
  CHECK(Took >= milliseconds(TimeoutMs) - ArrivalTolerance);
  CHECK(Took < milliseconds(TimeoutMs + 500));
}

// Guards against a caller whose trailer lines are read without end.
TEST_CASE_METHOD(EndlessCallerFixture,
                 "endless request: trailer lines without end: it is refused",
                 "[failure]") {
  milliseconds Took(0);
  std::string Fields;
  while (Fields.size() < 16384)
    Fields += "X-More: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n";
  CHECK(this->sendUntilAnswered(head("Transfer-Encoding: chunked") +
                                    "1\r\na\r\n0\r\n",
                                Fields, milliseconds(20), Took)
            .starts_with("HTTP/1.1 400"));
  CHECK(Took < MaxWait);
}

} // namespace waycove::test
