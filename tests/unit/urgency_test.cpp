// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Urgency of requests at a target, and the platform's request headers.
#include "platform/callers.h"
#include "policy/caller_timeouts.h"
#include "policy/urgency.h"

#include <catch2/catch.hpp>

namespace waycove::test {

/// A route with a latency goal that a request can miss.
struct UrgencyFixture {
  UrgencyFixture() {
    this->Route.Timeout = Millis(6000);
    this->Route.Goal = Millis(300);
    this->Route.Priority = 1;
  }
  HttpRoute Route;
};

TEST_CASE_METHOD(UrgencyFixture,
                 "urgency: one is late already: behind those that can be in "
                 "time",
                 "[unit]") {
  CHECK(urgencyOf(this->Route, nullptr, Millis(50)) <
        urgencyOf(this->Route, nullptr, Millis(900)));
}

TEST_CASE_METHOD(UrgencyFixture,
                 "urgency: the workspace has a rank: before the route's, and "
                 "before lateness",
                 "[unit]") {
  KeyOwner First;
  First.Priority = 0;
  CHECK(urgencyOf(this->Route, &First, Millis(900)) <
        urgencyOf(this->Route, nullptr, Millis(0)));
  KeyOwner Plain;
  CHECK(urgencyOf(this->Route, &Plain, Millis(0)) ==
        urgencyOf(this->Route, nullptr, Millis(0)));
  KeyOwner Last;
  Last.Priority = 100;
  CHECK(urgencyOf(this->Route, &Last, Millis(0)) == LeastUrgent);
}

TEST_CASE_METHOD(UrgencyFixture,
                 "caller timeouts: all callers state the same: one that comes "
                 "back has waited before",
                 "[unit]") {
  CallerTimeouts Known;
  for (int I = 0; I < 100; ++I)
    CHECK(Known.onRequest(this->Route, Millis(6000)) == Millis(0));
  CHECK(Known.onRequest(this->Route, Millis(4500)) > Millis(1400));
  CHECK(Known.onRequest(this->Route, Millis(9000)) == Millis(0));
  CHECK(Known.onRequest(this->Route, std::nullopt) == Millis(0));
  CHECK(Known.onRequest(this->Route, Millis(-5)) == Millis(0));
}

// Guards against first requests that count as late because their callers wait
// for less than the route allows.
TEST_CASE_METHOD(UrgencyFixture,
                 "caller timeouts: callers differ: first requests are not late",
                 "[unit]") {
  CallerTimeouts Known;
  std::uint64_t Late = 0;
  for (std::uint64_t I = 0; I < 2000; ++I) {
    Millis Stated(5100 + mixHash(I, 1) % 900);
    Millis Waited = Known.onRequest(this->Route, Stated);
    Late += I >= 200 && Waited > this->Route.Goal / 2;
  }
  CHECK(Late < 20);
  CHECK(Known.onRequest(this->Route, Millis(3500)) > Millis(1400));
}

TEST_CASE("platform headers: a request: both token counts are read", "[unit]") {
  Poco::Net::HTTPRequest Request;
  Request.set("X-Token-Count", "1460,80");
  CallerRequestInfo Info = platform::Callers::readRequestInfo(Request);
  CHECK(Info.PromptTokens == 1460);
  CHECK(Info.MaxOutputTokens == 80);
  Request.set("X-Token-Count", "12");
  CHECK(platform::Callers::readRequestInfo(Request).MaxOutputTokens == 0);
}

// Guards against deadlines that overflow into the past.
TEST_CASE("platform headers: an absurd timeout: at most a year", "[unit]") {
  Poco::Net::HTTPRequest Request;
  Request.set("X-Deadline-Ms", "2500");
  CHECK(platform::Callers::readRequestInfo(Request).Timeout == Millis(2500));
  for (const char *Absurd : {"9999999999999", "18446744073709551615"}) {
    Request.set("X-Deadline-Ms", Absurd);
    CHECK(platform::Callers::readRequestInfo(Request).Timeout ==
          std::chrono::days(365));
  }
}

TEST_CASE("platform headers: a send: its urgency is this node's to say",
          "[unit]") {
  Poco::Net::HTTPRequest Request("POST", "/x/");
  Request.set("X-Request-Priority", "0");
  AttemptParams Info;
  Info.Urgency = 3;
  CHECK(platform::Callers::makeTargetRequest(Request, Info)
            .get("X-Request-Priority") == "3");
}

} // namespace waycove::test
