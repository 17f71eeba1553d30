// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// When a node believes that it has lost its links to all targets.
#include "policy/target_reach.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

using State = TargetReach::State;
using View = TargetReach::OthersView;

struct TargetReachFixture {
  static VmIncarnation target(const char *Id) { return {VmId(Id), {}}; }
  /// Two targets fail in a row.
  void raiseDoubt(TimePoint Now) {
    this->Reach.onNoConnection(target("a"), Now);
    this->Reach.onNoConnection(target("b"), Now);
  }

  TargetReach Reach;
};

// Guards against a node that believes itself cut off although a single target
// is down, or some are down while others respond.
TEST_CASE_METHOD(TargetReachFixture,
                 "target reach: one target fails, or others succeed in "
                 "between: no doubt",
                 "[unit]") {
  for (int I = 0; I < 10; ++I)
    this->Reach.onNoConnection(target("a"), at(10 * I));
  CHECK(this->Reach.state() == State::Sound);
  this->Reach.onConnected();
  this->Reach.onNoConnection(target("b"), at(200));
  CHECK(this->Reach.state() == State::Sound);
  this->Reach.onConnected();
  this->Reach.onNoBytes(target("a"), at(210));
  this->Reach.onBytes();
  this->Reach.onNoBytes(target("b"), at(220));
  CHECK(this->Reach.state() == State::Sound);
  // Failures that are long past count no more.
  this->Reach.onNoBytes(target("c"), at(5000));
  CHECK(this->Reach.state() == State::Sound);
}

// Guards against a cut that is never noticed, or whose end is not.
TEST_CASE_METHOD(TargetReachFixture,
                 "target reach: two targets and a probe fail: cut off until a "
                 "probe is answered",
                 "[unit]") {
  this->raiseDoubt(at(0));
  CHECK(this->Reach.state() == State::InDoubt);
  this->Reach.onProbeFailed(target("a"), View::Reachable, at(300));
  CHECK(this->Reach.state() == State::CutOff);
  CHECK(this->Reach.isConfirmed());
  CHECK(this->Reach.cutOffSince() == at(300));
  // Open connections may live on while new ones fail.
  this->Reach.onBytes();
  CHECK(this->Reach.state() == State::CutOff);
  this->Reach.onProbeAnswered(at(9000));
  CHECK(this->Reach.state() == State::Sound);
  CHECK_FALSE(this->Reach.hasFailures());
}

// Guards against a node that believes itself cut off because a request has
// ended several targets, and forgets which request that was.
TEST_CASE_METHOD(TargetReachFixture,
                 "target reach: other nodes do not reach the failed targets "
                 "either: they are down, and this node is not cut off",
                 "[unit]") {
  this->raiseDoubt(at(0));
  this->Reach.onProbeFailed(target("a"), View::Down, at(100));
  CHECK(this->Reach.state() == State::Sound);
  CHECK(this->Reach.failedTarget() == target("b"));
  this->raiseDoubt(at(200));
  CHECK(this->Reach.state() == State::InDoubt);
  this->Reach.onProbeAnswered(at(210));
  // In overload many are slow at a time: no probe for each of them.
  this->raiseDoubt(at(400));
  CHECK(this->Reach.state() == State::Sound);
  this->raiseDoubt(at(1300));
  CHECK(this->Reach.state() == State::InDoubt);
}

// Guards against requests that are refused in a second's silence of all
// targets, and against requests that are held while nothing can be connected.
TEST_CASE_METHOD(TargetReachFixture,
                 "target reach: no other node knows more: silent targets may "
                 "still respond for a while, unconnected ones may not",
                 "[unit]") {
  this->Reach.onNoBytes(target("a"), at(0));
  this->Reach.onNoBytes(target("b"), at(0));
  this->Reach.onProbeFailed(target("a"), View::Unknown, at(300));
  CHECK(this->Reach.state() == State::CutOff);
  CHECK_FALSE(this->Reach.isConfirmed());
  CHECK(this->Reach.mayStillRespond(at(1300)));
  CHECK_FALSE(this->Reach.mayStillRespond(at(2400)));
  this->Reach.onWay();
  CHECK(this->Reach.isConfirmed());
  CHECK_FALSE(this->Reach.mayStillRespond(at(400)));

  this->Reach.onProbeAnswered(at(3000));
  this->raiseDoubt(at(5000));
  CHECK(this->Reach.mayStillRespond(at(5000)));
  this->Reach.onProbeFailed(target("a"), View::Unknown, at(5300));
  CHECK_FALSE(this->Reach.mayStillRespond(at(5300)));
}

} // namespace waycove::test
