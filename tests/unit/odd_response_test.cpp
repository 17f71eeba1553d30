// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Each reader of responses, with responses that other readers would read
// differently: none takes one for a response, and none waits for its end.
#include "edge/target.h"
#include "platform/control.h"
#include "standins/odd_response.h"
#include "support/broken_server.h"
#include "support/entry_settings.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

/// Shorter than all timeouts of these calls, on a busy machine.
constexpr Millis MaxReadTime(900);
constexpr Millis CallTime(2000);
const std::vector<std::string> Faults{"odd start:HTTP/1.1 000 x",
                                      "odd start:HTTP/1.1 0200 x",
                                      "odd start:HTTP/1.1  200",
                                      "odd lines:X\nOdd: 1",
                                      "odd lines:X-A: 1\rOdd: 1",
                                      "odd lines: Odd: 1",
                                      "odd lines:X-A: 1\r\n odd",
                                      "odd lines:\x01",
                                      "odd lines:Odd one: 1",
                                      "odd lines:\rX-A: 1",
                                      "odd lines:\nX-A: 1",
                                      "odd lines:X-A: a\x01z",
                                      "odd interim:X\nOdd: 1",
                                      "odd chunk:a\nb",
                                      "odd trailer:X\nOdd: 1",
                                      "odd ends:\n",
                                      "odd ends:\r",
                                      "odd closing lines:\nX-A: 1",
                                      "odd closing lines:Odd one: 1"};

} // namespace

struct OddResponseFixture {
  /// Calls \p Read with the port of a server for each of Faults.
  template <typename F> void checkEach(F &&Read) {
    for (const std::string &Fault : Faults) {
      INFO(Fault);
      BrokenServer Server(standin::OddResponse(Fault, "X-Request-Id: r\r\n"));
      TimePoint Begin = BootClock::now();
      Read(Server.port());
      CHECK(BootClock::now() - Begin < MaxReadTime);
    }
  }
  TargetRef target(std::uint16_t Port) {
    auto Row = std::make_shared<TargetInfo>();
    Row->Id = VmId("a");
    Row->Address = {"127.0.0.1", Port};
    return Row;
  }

  EntryBoard Board{entrySettings(), IncarnationId("i")};
  platform::TargetControl Targets{Board};
  Settings Config;
};

// Guards against an owner that takes such a reply for the outcome of its order.
TEST_CASE_METHOD(OddResponseFixture,
                 "odd reply: to an order: its outcome is unknown", "[unit]") {
  this->checkEach([&](std::uint16_t Port) {
    GroupOrder Order;
    Order.To = this->target(Port);
    CHECK(this->Targets.order(Order, 1) == OrderOutcome::Unknown);
  });
}

// Guards against a target that is taken for well, as it answers.
TEST_CASE_METHOD(OddResponseFixture, "odd reply: to a report: unresponsive",
                 "[unit]") {
  this->checkEach([&](std::uint16_t Port) {
    CHECK(this->Targets.probe(*this->target(Port)) ==
          Reachability::Unresponsive);
  });
}

// Guards against records and statuses that the platform's store, or the daemon
// that an operator asks, did not send.
TEST_CASE_METHOD(OddResponseFixture,
                 "odd reply: to a client of one server: no reply", "[unit]") {
  this->checkEach([&](std::uint16_t Port) {
    HttpClient Client({"127.0.0.1", Port}, Millis(500), this->Board.Counters,
                      {Counter::PlatformBytesIn, Counter::PlatformBytesOut});
    absl::StatusOr<HttpReply> Reply =
        Client.call({"GET", "/", "", "", {}}, CallTime);
    CHECK(kindOf(Reply.status()) == ErrorKind::OutcomeUnknown);
    CHECK(isOverBounds(Reply.status()));
  });
}

// Guards against tokens that an engine did not send.
TEST_CASE_METHOD(OddResponseFixture,
                 "odd reply: an engine of the own interface: the attempt "
                 "breaks without a token",
                 "[unit]") {
  this->checkEach([&](std::uint16_t Port) {
    EngineCall Call;
    Call.Address = {"127.0.0.1", Port};
    Call.Request = RequestId("r");
    Call.Stall = CallTime;
    Call.Deadline = BootClock::now() + Millis(10000);
    EngineDone Done;
    bool HasToken = false;
    AttemptOutcome End = HttpEngine(this->Config)
                             .generate(
                                 Call,
                                 [&](const EngineToken &) {
                                   HasToken = true;
                                   return TokenVerdict::Accept;
                                 },
                                 Done);
    CHECK(End == AttemptOutcome::Broken);
    CHECK_FALSE(HasToken);
  });
}

// Guards against a plain service's response that it did not send.
TEST_CASE_METHOD(OddResponseFixture,
                 "odd reply: a plain service of the own interface: the attempt "
                 "breaks",
                 "[unit]") {
  this->checkEach([&](std::uint16_t Port) {
    PlainCall Call;
    Call.Address = {"127.0.0.1", Port};
    Call.Request = RequestId("r");
    Call.Http = {"GET", "/", "", "", {}};
    Call.Timeout = CallTime;
    HttpReply Reply;
    CHECK(HttpPlainService(this->Config, this->Board.Counters)
              .call(Call, Reply) == AttemptOutcome::Broken);
  });
}

} // namespace waycove::test
