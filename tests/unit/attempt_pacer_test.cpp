// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/attempt_pacer.h"
#include "policy/attempt_rules.h"
#include "policy/retry_limiter.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

struct AttemptPacerFixture {
  AttemptPacer Pacer;
};

// Guards against streams that use up their attempts within milliseconds, while
// several targets end.
TEST_CASE_METHOD(AttemptPacerFixture,
                 "attempt pacer: failures in a row: the first is followed at "
                 "once, the others after doubled pauses",
                 "[unit]") {
  CHECK(this->Pacer.pauseAfterFailure(at(0)) == Millis(0));
  CHECK(this->Pacer.pauseAfterFailure(at(20)) == Millis(100));
  CHECK(this->Pacer.pauseAfterFailure(at(140)) == Millis(200));
  CHECK(this->Pacer.pauseAfterFailure(at(360)) == Millis(400));
  CHECK(this->Pacer.pauseAfterFailure(at(800)) == Millis(800));
  CHECK(this->Pacer.pauseAfterFailure(at(1700)) == Millis(800));
  CHECK(this->Pacer.pauseAfterFailure(at(2800)) == Millis(0));
}

// Guards against a silent target that is followed by one full target after the
// other, each of which costs a retry.
TEST_CASE_METHOD(AttemptPacerFixture,
                 "attempt pacer: attempts beside a silent one fail: the next "
                 "comes later each time, until the silent one goes on",
                 "[unit]") {
  CHECK(this->Pacer.maySucceed(at(0)));
  this->Pacer.onSuccessorFailed(at(0));
  CHECK_FALSE(this->Pacer.maySucceed(at(99)));
  CHECK(this->Pacer.maySucceed(at(100)));
  this->Pacer.onSuccessorFailed(at(100));
  CHECK_FALSE(this->Pacer.maySucceed(at(299)));
  this->Pacer.onSilentWentOn();
  this->Pacer.onSuccessorFailed(at(300));
  CHECK(this->Pacer.maySucceed(at(400)));
}

// Guards against an innocent response that is cut before others can clear it,
// and against a culprit whose caller waits for long.
TEST_CASE_METHOD(AttemptPacerFixture,
                 "attempt pacer: a response is blamed: it waits two seconds to "
                 "be cleared, each time",
                 "[unit]") {
  CHECK(this->Pacer.mayAwaitClearing(at(500)));
  CHECK(this->Pacer.mayAwaitClearing(at(2400)));
  CHECK_FALSE(this->Pacer.mayAwaitClearing(at(2500)));
  this->Pacer.onCleared();
  CHECK(this->Pacer.mayAwaitClearing(at(5000)));
  CHECK_FALSE(this->Pacer.mayAwaitClearing(at(7000)));
}

// Guards against retries that are lost for the window although nothing was
// sent.
TEST_CASE_METHOD(AttemptPacerFixture,
                 "retry limiter: a retry is given back: it can be taken again",
                 "[unit]") {
  RetryLimiter Limiter({0, 2, Millis(10000)});
  REQUIRE(Limiter.take(1, at(0)));
  CHECK_FALSE(Limiter.allows(1, at(0)));
  Limiter.giveBack(at(0), at(3000));
  CHECK(Limiter.allows(1, at(3000)));
  REQUIRE(Limiter.take(1, at(3000)));
  // One of an earlier window has left it.
  Limiter.giveBack(at(0), at(12000));
  CHECK_FALSE(Limiter.allows(1, at(12000)));
}

// Guards against a started answer that ends for want of attempts that targets
// declined, and against a cause that the pages do not allow.
TEST_CASE_METHOD(AttemptPacerFixture,
                 "attempt rules: a started answer is declined often: it may go "
                 "on until its route's attempts have run",
                 "[unit]") {
  HttpRoute Route;
  Route.Kind = RouteKind::Stream;
  Route.Resumable = true;
  Route.MaxAttempts = 2;
  AttemptCounts Counts{20, 20, 1, true};
  CHECK_FALSE(causeToCut(Route, Counts));
  Counts.MayHaveRun = 2;
  CHECK(causeToCut(Route, Counts) == CutCause::AttemptsUsed);
  Route.Resumable = false;
  CHECK(causeToCut(Route, Counts) == CutCause::NotResumable);
}

} // namespace waycove::test
