// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Until when a request is in time and useful, also with invalid input.
#include "policy/place_request.h"
#include "policy/urgency.h"
#include "support/times.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <limits>

namespace waycove::test {

struct PlaceRequestFixture {
  PlaceRequestFixture() {
    this->Route.Goal = Millis(400);
    this->Route.Timeout = Millis(6000);
  }
  PlaceRequest make(int Deadline = 6000) const {
    return makePlaceRequest({this->Route,
                             nullptr,
                             {},
                             this->TokenCount,
                             this->TokenCount,
                             at(0),
                             at(Deadline),
                             {},
                             this->FirstByteMs,
                             this->Hold});
  }
  HttpRoute Route;
  std::uint64_t TokenCount = 0;
  double FirstByteMs = 50;
  Millis Hold{1000};
};

TEST_CASE_METHOD(PlaceRequestFixture, "place request: bad input: has a default",
                 "[unit]") {
  CHECK(this->make().InTimeUntil == at(350));
  this->Route.Goal = Millis(90000);
  CHECK(this->make().InTimeUntil == at(5950));
  this->Route.Goal = Millis(0);
  CHECK_FALSE(this->make().InTimeUntil);
  this->Route.Goal = Millis(400);
  for (double Bad : {0.0, -5.0, std::nan(""), HUGE_VAL}) {
    this->FirstByteMs = Bad;
    CHECK(this->make().InTimeUntil == at(300));
  }
  // A slow target must not make all requests late at once.
  this->FirstByteMs = 1e300;
  CHECK(this->make().InTimeUntil == at(40));
  this->Route.Priority = 4000000000;
  CHECK(this->make().Priority == LeastUrgent);
}

// Guards against an overflow by which the largest request counts as the least.
TEST_CASE_METHOD(PlaceRequestFixture, "place request: absurd tokens: bounded",
                 "[unit]") {
  CHECK(this->make().Work.Value == 1);
  this->TokenCount = 1000;
  CHECK(this->make().Work.Value == 11000);
  this->TokenCount = std::numeric_limits<std::uint64_t>::max();
  CHECK(this->make().Work.Value == 100000000);
}

// Guards against requests held until nothing can answer them any more, and
// against hold times raised by stalls that make all requests useless.
TEST_CASE_METHOD(PlaceRequestFixture,
                 "place request: deadline: never useful until then", "[unit]") {
  CHECK(this->make().UsefulUntil == at(5000));
  this->Hold = Millis(60000);
  CHECK(this->make().UsefulUntil == at(3000));
  this->Hold = GENERATE(Millis(0), Millis(1), Millis(1000), Millis(60000));
  TimePoint Until = this->make().UsefulUntil;
  CHECK((Until < at(6000) && Until >= at(3000)));
  CHECK(this->make(-1000).UsefulUntil <= at(-1000));
  CHECK(this->make(2000000000).UsefulUntil < at(10000));
}

} // namespace waycove::test
