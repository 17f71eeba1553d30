// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Guards against sending on requests with a prompt part that crashes every
// target that begins to run them, and against refusing the requests that share
// their caller and other parts.
#include "support/prompt_load.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// Runs allowed later than PromptLoad::ContactTime after the fifth crash.
constexpr int MaxLateRuns = 3;
constexpr milliseconds CrashingInterval(300);
constexpr milliseconds SoundInterval(50);
/// From the first crashing request until sound ones have to be served: the
/// first crashes, and twice the time in which nodes learn of them.
constexpr milliseconds LearnTime(8000);
constexpr milliseconds CountedTime(4000);

} // namespace

struct PartCrashFixture : PromptLoad {
  /// Plays requests with \p Crashing parts beside sound ones.
  void play(const std::vector<SharedParts> &Crashing,
            const std::vector<SharedParts> &Sound) {
    this->begin(Crashing, Sound);
    std::this_thread::sleep_for(LearnTime);
    this->beginCount();
    std::this_thread::sleep_for(CountedTime);
    this->stop();
  }
  void begin(const std::vector<SharedParts> &Crashing,
             const std::vector<SharedParts> &Sound) {
    this->restartTargets();
    for (const SharedParts &Parts : Sound)
      this->send(Parts, SoundInterval, true);
    for (const SharedParts &Parts : Crashing)
      this->send(Parts, CrashingInterval);
  }
  void checkSoundServed() {
    CAPTURE(this->SoundSent, this->SoundServed);
    REQUIRE(this->SoundSent >= 20);
    CHECK(10 * this->SoundServed >= 9 * this->SoundSent);
  }
  void checkFewLateRuns(const std::string &Part) {
    CAPTURE(Part, this->crashTimes(Part).size());
    REQUIRE(!this->crashTimes(Part).empty());
    CHECK(this->lateRuns(Part) <= MaxLateRuns);
  }
};

// Guards against recognizing only whole requests that come again.
TEST_CASE_METHOD(PartCrashFixture,
                 "crashing part: the second of three, no two requests alike: "
                 "few are sent on, sound ones are served",
                 "[failure]") {
  this->play({{"a1", "dead01"}}, {{"a1", "b1"}, {"a1"}});
  this->checkFewLateRuns("dead01");
  this->checkSoundServed();
}

// Guards against looking at later parts only.
TEST_CASE_METHOD(PartCrashFixture,
                 "crashing part: the first of three: few are sent on, sound "
                 "ones with the second are served",
                 "[failure]") {
  this->play({{"dead02", "b1"}}, {{"a1", "b1"}, {"b1"}});
  this->checkFewLateRuns("dead02");
  this->checkSoundServed();
}

// Guards against blaming one part and sending the other on.
TEST_CASE_METHOD(PartCrashFixture,
                 "crashing part: two parts in requests of their own: few of "
                 "each are sent on",
                 "[failure]") {
  this->play({{"a1", "dead03"}, {"a1", "dead04"}}, {{"a1", "b1"}});
  this->checkFewLateRuns("dead03");
  this->checkFewLateRuns("dead04");
  this->checkSoundServed();
}

// Guards against blaming the parts before the one that crashes targets.
TEST_CASE_METHOD(PartCrashFixture,
                 "crashing part: the third of four, sound requests share both "
                 "before it: these are served",
                 "[failure]") {
  this->play({{"a1", "b1", "dead05"}}, {{"a1", "b1"}, {"a1", "b1", "c1"}});
  this->checkFewLateRuns("dead05");
  this->checkSoundServed();
}

// Guards against an entry that forgets what is blamed when it starts again.
TEST_CASE_METHOD(PartCrashFixture,
                 "crashing part: one entry starts again every 3 s: few are "
                 "sent on",
                 "[failure]") {
  this->begin({{"a1", "dead06"}}, {{"a1", "b1"}});
  for (int I = 0; I < 4; ++I) {
    std::this_thread::sleep_for(milliseconds(3000));
    this->restart(Entries.back());
  }
  this->stop();
  this->checkFewLateRuns("dead06");
}

// Guards against blaming a part that all requests share when targets die by
// themselves.
TEST_CASE_METHOD(PartCrashFixture,
                 "crashing part: ten targets are killed in turn, all requests "
                 "share a part: they are served",
                 "[failure]") {
  this->begin({}, {{"a1", "b1"}});
  std::this_thread::sleep_for(milliseconds(500));
  this->beginCount();
  this->killTargets(10, milliseconds(300));
  std::this_thread::sleep_for(milliseconds(1000));
  this->stop();
  this->checkSoundServed();
}

} // namespace waycove::test
