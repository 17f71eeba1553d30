// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Heads that other readers of the same bytes would read differently. Responses
// with such a head reach no caller, and requests with one reach no target.
#include "support/broken_target_fixture.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// From an odd response until the entry has ended its connection.
constexpr std::uint64_t MaxOpenMs = 1000;
constexpr milliseconds MaxAnswerTime(1000);

/// Lines of a head that are no fields, or fields with bytes that they may not
/// have.
const std::vector<std::string> OddLines{
    "X\nOdd: 1",   "X\r\nOdd: 1", "X-A: 1\nOdd: 1",    "X-A: 1\rOdd: 1",
    "X-A: 1\r\r",  " Odd: 1",     "\tOdd: 1",          "X-A: 1\r\n odd",
    "\x01\x02",    "Odd one: 1",  "Odd\x01: 1",        "Odd : 1",
    ": 1",         "\rX-A: 1",    "\nX-A: 1",          "\n",
    "X-A: a\x01z", "X-A: \x7f",   "X-A: 1\r\nnothing", "X(A): 1",
    "X-A: \x0bz"};

} // namespace

struct OddTargetFixture : BrokenTargetFixture {
  /// Checks requests with a target that responds so, on connections that it
  /// keeps and on those that it ends.
  void checkKind(const std::string &Kind,
                 const std::vector<std::string> &Parts) {
    std::vector<std::string> Faults;
    for (const std::string &Part : Parts)
      for (const char *Prefix : {"odd ", "odd closing "})
        Faults.push_back(
            std::string(Prefix).append(Kind).append(":").append(Part));
    this->checkEach(Faults);
    for (const char *Vm : {"p-1", "p-2"})
      CHECK(this->broken(Vm, "broken_ms") < MaxOpenMs);
  }
};

// Guards against statuses that are none and are passed on.
TEST_CASE_METHOD(OddTargetFixture,
                 "odd answers: one of two targets sends a status that is none: "
                 "each request is served by the other",
                 "[failure]") {
  this->checkKind("start", {"HTTP/1.1 000 x", "HTTP/1.1 00 x", "HTTP/1.1 0 x",
                            "HTTP/1.1 099 x", "HTTP/1.1 0200 x",
                            "HTTP/1.1 600 x", "HTTP/1.1 999 x", "HTTP/1.1 OK",
                            "HTTP/1.1 +20 x", "HTTP/1.1 -20 x", "HTTP/1.1"});
}

// Guards against a reason that is passed on with control bytes, and a line that
// other readers split elsewhere.
TEST_CASE_METHOD(OddTargetFixture,
                 "odd answers: one of two targets sends an odd status line: "
                 "each request is served by the other",
                 "[failure]") {
  this->checkKind("start", {"HTTP/1.1  200", "HTTP/1.1 200 O\x01K",
                            "HTTP/1.1 200 O\nK", "HTTP/1.1 200 O\rK",
                            "HTTP/1.12 200 OK", "\r\nHTTP/1.1 200 OK"});
}

// Guards against lines that are passed on as fields, or that hide the fields
// behind them.
TEST_CASE_METHOD(OddTargetFixture,
                 "odd answers: one of two targets sends a line that is no "
                 "field: each request is served by the other",
                 "[failure]") {
  this->checkKind("lines", OddLines);
}

// Guards against interim responses, chunks and trailers that are read by other
// rules than the head.
TEST_CASE_METHOD(OddTargetFixture,
                 "odd answers: one of two targets sends an odd line around its "
                 "response: each request is served by the other",
                 "[failure]") {
  this->checkKind("interim", {"X\nOdd: 1", "Odd one: 1", "X-A: 1\r\n odd"});
  this->checkKind("chunk", {"a\nb", "a\rb", "a\x01"});
  this->checkKind("ends", {"\n", "\r"});
  this->checkKind("trailer", {"X\nOdd: 1", "Odd one: 1", "X-A: a\x01z"});
}

// Guards against streams that begin with such a head.
TEST_CASE_METHOD(OddTargetFixture,
                 "odd answers: a group sends an odd line: each stream is "
                 "served by another",
                 "[failure]") {
  for (const char *Fault :
       {"odd lines:X\nOdd: 1", "odd lines:\x01", "odd start:HTTP/1.1 000 x"}) {
    INFO(Fault);
    for (const char *Vm : {"e-1", "e-2"})
      this->setFault(Vm, Fault);
    this->callUntilMet({"e-1", "e-2"}, "/chat/x", wholeStream());
    for (const char *Vm : {"e-1", "e-2"})
      this->setFault(Vm, "");
  }
}

// Guards against a caller that waits until its deadline, and against a second
// run of a request that may not be repeated.
TEST_CASE_METHOD(OddTargetFixture,
                 "odd answers: to a once-only call: 502 at once, run once",
                 "[failure]") {
  for (const char *Fault :
       {"odd lines:X\nOdd: 1", "odd lines:\rX-A: 1", "odd start:HTTP/1.1 000 x",
        "odd closing lines:\nX-A: 1"}) {
    INFO(Fault);
    for (const char *Vm : {"p-1", "p-2"})
      this->setFault(Vm, Fault);
    std::uint64_t RunsBefore = this->plainRuns();
    auto Begin = std::chrono::steady_clock::now();
    Reply Answer = this->call("/once/x", "o" + std::to_string(++this->Calls));
    CHECK(std::chrono::steady_clock::now() - Begin < MaxAnswerTime);
    CHECK(Answer.Status == 502);
    CHECK(this->plainRuns() == RunsBefore + 1);
    // The targets are avoided for a while.
    std::this_thread::sleep_for(milliseconds(4200));
  }
}

// Guards against an owner of groups that takes such a reply for one.
TEST_CASE_METHOD(OddTargetFixture,
                 "odd answers: to orders and reports: the others form groups "
                 "and serve",
                 "[failure]") {
  this->checkOrders("odd lines:X\nOdd: 1");
  CHECK(this->broken("e-1", "broken_ms") < MaxOpenMs);
}

/// A caller that sends bytes of its own to the entry.
struct OddCallerFixture : EntryFixture {
  /// What exchange() adds to the answers on a connection that did not end.
  static constexpr const char *StillOpen = "(still open)";

  /// Sends \p Bytes. Returns all that comes back until the entry ends the
  /// connection, or sends nothing for MaxAnswerTime.
  std::string exchange(const std::string &Bytes) {
    std::string Answers;
    try {
      Poco::Net::StreamSocket Socket(
          Poco::Net::SocketAddress("127.0.0.1", this->Run.httpPort("n1")));
      Socket.setReceiveTimeout(Poco::Timespan(MaxAnswerTime.count() * 1000));
      Socket.sendBytes(Bytes.data(), static_cast<int>(Bytes.size()));
      std::array<char, 4096> Part{};
      while (int Got = Socket.receiveBytes(Part.data(), Part.size()))
        Answers.append(Part.data(), static_cast<std::size_t>(Got));
    } catch (const Poco::TimeoutException &) {
      Answers += StillOpen;
    }
    return Answers;
  }
  /// A request with \p Lines ahead of the field that frames its body, which
  /// looks like another request.
  static std::string request(const std::string &Start,
                             const std::string &Lines) {
    const std::string Common = "Host: a.example\r\nAuthorization: Bearer "
                               "key-1\r\nX-Deadline-Ms: 3000\r\n";
    const std::string Body = "POST /once/x HTTP/1.1\r\n" + Common +
                             "X-Request-Id: body\r\nContent-Length: 0\r\n\r\n";
    return Start + "\r\n" + Common + "X-Request-Id: whole\r\n" + Lines +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }
  void checkRefused(const std::string &Bytes) {
    INFO(Bytes);
    std::string Answers = this->exchange(Bytes);
    CHECK(Answers.starts_with("HTTP/1.1 400"));
    CHECK(Answers.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(Answers.find("ran body") == std::string::npos);
    CHECK_FALSE(Answers.ends_with(StillOpen));
  }
};

// Guards against the body of a request that is run as a second request, and
// against requests that a proxy ahead of the entry reads differently.
TEST_CASE_METHOD(OddCallerFixture,
                 "odd requests: a line that is no field: 400, the connection "
                 "ends, and no target runs a request",
                 "[failure]") {
  const std::string Start = "POST /once/x HTTP/1.1";
  REQUIRE(this->call("/once/x", "sound").Status == 200);
  std::uint64_t RunsBefore = this->plainRuns();
  // The stand-ins wait for a body of other methods that has no length.
  for (const std::string &Line : OddLines)
    for (const char *Method : {"POST", "GET"})
      this->checkRefused(
          request(Method + Start.substr(Start.find(' ')), Line + "\r\n"));
  this->checkRefused(
      request(Start, "Transfer-Encoding: =?utf-8?Q?chunked?=\r\n"));
  for (const char *Odd :
       {"POST /once/x", "POST  /once/x HTTP/1.1", "POST /once/x  HTTP/1.1",
        "POST /once/\x01 HTTP/1.1", "POST\t/once/x HTTP/1.1",
        "PO(ST /once/x HTTP/1.1", "POST /once/x HTTP/1.1 ",
        "POST /once/x HTTP/1.12", "POST /once/x HTTP/1.",
        " POST /once/x HTTP/1.1", "\r\nPOST /once/x HTTP/1.1",
        "\nPOST /once/x HTTP/1.1", "POST /once/x HTTP/1.1\nX-A: 1",
        "POST /once/x HTTP/1.1\rX-A: 1"})
    this->checkRefused(request(Odd, ""));
  this->checkRefused("POST /once/x HTTP/1.1\nHost: a.example\n\n");
  this->checkRefused(request(Start, "Host: a.example\r\n"));
  this->checkRefused(request(Start, "Host: b.example\r\n"));
  CHECK(this->plainRuns() == RunsBefore);
}

// Guards against chunks and trailers of requests that others read differently.
TEST_CASE_METHOD(OddCallerFixture,
                 "odd requests: a chunk's line or a trailer is odd: 400, the "
                 "connection ends, and no target runs the request",
                 "[failure]") {
  std::uint64_t RunsBefore = this->plainRuns();
  const std::string Head = "POST /once/x HTTP/1.1\r\nHost: a.example\r\n"
                           "Authorization: Bearer key-1\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  for (const char *Chunks :
       {"4;a\nb\r\nbody\r\n0\r\n\r\n", "4;a\rb\r\nbody\r\n0\r\n\r\n",
        "4\nbody\n0\n\n", "4\r\nbody\r\n0\r\nX\nOdd: 1\r\n\r\n",
        "4\r\nbody\r\n0\r\nOdd one: 1\r\n\r\n",
        "4\r\nbody\r\n0\r\nno field\r\n\r\n"})
    this->checkRefused(Head + Chunks);
  CHECK(this->plainRuns() == RunsBefore);
}

} // namespace waycove::test
