// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/target_stats.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

struct StandstillFixture {
  TargetStatsTable Stats;
  const VmIncarnation Target{VmId("a"), {}};

  /// A response of the target has begun at 0 ms.
  void beginResponse() {
    this->Stats.onStart(this->Target, 1, at(0));
    this->Stats.onFirstByte(this->Target, at(0), 1, at(0));
  }
};

// Guards against a node that takes ordinary scheduling for a standstill.
TEST_CASE_METHOD(StandstillFixture,
                 "standstill: short delays between notes: none is found",
                 "[unit]") {
  CHECK_FALSE(findStandstill(TimePoint(), at(5000)));
  CHECK_FALSE(findStandstill(at(1000), at(1000) + 3 * RunningInterval));
}

// Guards against a standstill that begins later than the node's last sign.
TEST_CASE_METHOD(StandstillFixture,
                 "standstill: nothing noted for long: found from the interval "
                 "after the last note",
                 "[unit]") {
  std::optional<Standstill> Found = findStandstill(at(1000), at(2200));
  REQUIRE(Found);
  CHECK(Found->Begin == at(1000) + RunningInterval);
  CHECK(Found->End == at(2200));
}

// Guards against targets that are given up after their node stood still.
TEST_CASE_METHOD(StandstillFixture,
                 "standstill: a target is silent meanwhile: only the time in "
                 "which the node ran counts",
                 "[unit]") {
  this->beginResponse();
  CHECK(this->Stats.silence(this->Target, at(1300)) == Millis(1300));
  this->Stats.onStandstill({at(100), at(1300)});
  CHECK(this->Stats.silence(this->Target, at(1300)) == Millis(100));
  CHECK_FALSE(this->Stats.isStalled(this->Target, at(1300)));
  CHECK(this->Stats.allSilentHere(Millis(500), at(1300)).empty());
}

// Guards against a node that never gives up a target, since it stood still
// once.
TEST_CASE_METHOD(StandstillFixture,
                 "standstill: the target stays silent afterwards: it counts as "
                 "stalled",
                 "[unit]") {
  this->beginResponse();
  this->Stats.onStandstill({at(100), at(1300)});
  CHECK(this->Stats.silence(this->Target, at(2000)) == Millis(800));
  CHECK(this->Stats.isStalled(this->Target, at(2000)));
}

// Guards against a target that seems to live since bytes that it sent before it
// ended were read late, and against one that is avoided although it goes on.
TEST_CASE_METHOD(StandstillFixture,
                 "standstill: a connection to a target ends, others have bytes "
                 "afterwards: only those read much later show that it lives",
                 "[unit]") {
  this->beginResponse();
  this->Stats.onProgress(this->Target, at(1015));
  CHECK_FALSE(this->Stats.showedLifeAfter(this->Target, at(1000)));
  this->Stats.onProgress(this->Target, at(1150));
  CHECK(this->Stats.showedLifeAfter(this->Target, at(1000)));
  this->Stats.onStandstill({at(1020), at(1140)});
  CHECK_FALSE(this->Stats.showedLifeAfter(this->Target, at(1000)));
}

// Guards against streams that are cut as their attempts are used up, one of
// them by a target whose links broke, and against a target that breaks single
// streams off and is not counted.
TEST_CASE_METHOD(StandstillFixture,
                 "standstill: connections to a target end: it was cut off if "
                 "several did and nothing comes of it for a while",
                 "[unit]") {
  this->beginResponse();
  this->Stats.onLost(this->Target, at(1000));
  CHECK_FALSE(this->Stats.wasCutOff(this->Target, at(1000), at(1300)));
  this->Stats.onLost(this->Target, at(1020));
  this->Stats.onLost(this->Target, at(990));
  CHECK_FALSE(this->Stats.wasCutOff(this->Target, at(990), at(1200)));
  for (int LostAt : {990, 1000, 1020})
    CHECK(this->Stats.wasCutOff(this->Target, at(LostAt), at(1300)));
  this->Stats.onProgress(this->Target, at(1290));
  CHECK_FALSE(this->Stats.wasCutOff(this->Target, at(1000), at(1300)));
  this->Stats.onLost(this->Target, at(1310));
  CHECK_FALSE(this->Stats.wasCutOff(this->Target, at(1310), at(1700)));
}

// Guards against silence that only a part of the latest standstills explains.
TEST_CASE_METHOD(StandstillFixture,
                 "standstill: several in a row, partly before the last byte: "
                 "each counts for its part",
                 "[unit]") {
  StandstillHistory Known;
  Known.add({at(0), at(1000)});
  Known.add({at(1200), at(1500)});
  Known.add({at(1800), at(2600)});
  CHECK(Known.runningTime(at(500), at(2000)) == Millis(500));
  CHECK(Known.runningTime(at(2700), at(2600)) == Millis(0));
}

// Guards against callers that leave, since after a standstill their node waits
// as long again as if they had seen no pause yet.
TEST_CASE_METHOD(StandstillFixture,
                 "standstill: part of a silence: the rest may be shorter, but "
                 "never nothing",
                 "[unit]") {
  CHECK(patienceAfter(Millis(0), Millis(600)) == Millis(600));
  CHECK(patienceAfter(Millis(200), Millis(600)) == Millis(400));
  CHECK(patienceAfter(Millis(1000), Millis(600)) == Millis(320));
  CHECK(patienceAfter(Millis(1000), Millis(100)) == Millis(100));
}

} // namespace waycove::test
