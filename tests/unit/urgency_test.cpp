// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Which request goes first at a target, and what the platform's headers say.
#include "platform/callers.h"
#include "policy/urgency.h"
#include "policy/urgent_share.h"

#include <catch2/catch.hpp>

namespace waycove::test {

/// A route with an objective that a request can miss.
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
                 "urgency: a caller comes back: it has waited before",
                 "[unit]") {
  CHECK(waitedBefore(this->Route, Millis(6000)) == Millis(0));
  CHECK(waitedBefore(this->Route, Millis(4500)) == Millis(1500));
  CHECK(waitedBefore(this->Route, Millis(9000)) == Millis(0));
  CHECK(waitedBefore(this->Route, std::nullopt) == Millis(0));
}

TEST_CASE_METHOD(
    UrgencyFixture,
    "urgency: one is deferred: behind those that are to be in time", "[unit]") {
  CHECK(urgencyOf(this->Route, nullptr, Millis(0), true) ==
        urgencyOf(this->Route, nullptr, Millis(900)));
}

TEST_CASE("urgent share: too few groups: it shrinks until those first are in "
          "time",
          "[unit]") {
  // Targets that keep the objective of six requests in ten.
  UrgentShare Share;
  std::uint64_t Random = 1;
  int First = 0;
  int Missed = 0;
  for (int I = 0; I < 4000; ++I) {
    Random = mixHash(Random, 7);
    if (!Share.takes(Random))
      continue;
    bool InTime = Share.part() <= 0.6;
    Share.note(InTime);
    First += I >= 1000 ? 1 : 0;
    Missed += I >= 1000 && !InTime ? 1 : 0;
  }
  CHECK(First > 1400);
  CHECK(First < 2100);
  CHECK(Missed < First / 7);
}

TEST_CASE("urgent share: capacity is back: all go first again", "[unit]") {
  UrgentShare Share;
  for (int I = 0; I < 50; ++I)
    Share.note(false);
  CHECK(Share.part() < 0.3);
  for (int I = 0; I < 100; ++I)
    Share.note(true);
  CHECK(Share.takes(12345));
  CHECK(Share.part() == 1);
}

TEST_CASE("platform headers: a request: both token counts are read", "[unit]") {
  Poco::Net::HTTPRequest Asked;
  Asked.set("X-Token-Count", "1460,80");
  CallerFacts Facts = platform::Callers::readCaller(Asked);
  CHECK(Facts.PromptTokens == 1460);
  CHECK(Facts.AnswerTokens == 80);
  Asked.set("X-Token-Count", "12");
  CHECK(platform::Callers::readCaller(Asked).AnswerTokens == 0);
}

TEST_CASE("platform headers: a send: its urgency is this node's to say",
          "[unit]") {
  Poco::Net::HTTPRequest Asked("POST", "/x/");
  Asked.set("X-Request-Priority", "0");
  SendFacts Facts;
  Facts.Urgency = 3;
  CHECK(platform::Callers::makeSend(Asked, Facts).get("X-Request-Priority") ==
        "3");
}

} // namespace waycove::test
