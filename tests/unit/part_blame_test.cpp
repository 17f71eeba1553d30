// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Detection of prompt parts that crash the targets that run them, while no two
// requests are alike and sound ones share the other parts.
#include "support/part_day.h"

#include <catch2/catch.hpp>
#include <iomanip>
#include <iostream>

namespace waycove::test {

namespace {

using Verdict = CrashBlame::Verdict;

const PoolKey Llm{ServiceId("llm"), "model"};

VmIncarnation target(int Number) {
  return {VmId("t-" + std::to_string(Number)), WallMs(1)};
}

TimePoint neverSince(const VmIncarnation &) { return {}; }

constexpr int Seeds = 5;

} // namespace

/// The crash evidence of one node, and requests that are all different.
struct PartBlameFixture {
  CrashSuspects request(const std::vector<std::string> &Parts,
                        const PoolKey &Pool = Llm) {
    return suspectsOf(ContentHash(++this->Next), Pool, Parts);
  }
  /// Target \p Number crashes while it runs requests with these parts, which
  /// were sent 100 ms before.
  void crash(int Number, const std::vector<std::vector<std::string>> &Prompts,
             int Ms) {
    for (const auto &Parts : Prompts)
      this->Blame.recordLost(this->request(Parts), target(Number), at(Ms - 100),
                             at(Ms));
    this->Blame.resolveLosses(neverSince, at(Ms + 300));
  }
  void serve(const std::vector<std::string> &Parts, int Ms) {
    this->Blame.recordServed(this->request(Parts), at(Ms));
  }
  Verdict judge(const std::vector<std::string> &Parts, int Ms,
                const PoolKey &Pool = Llm) {
    return this->Blame.judge(this->request(Parts, Pool), at(Ms)).Found;
  }
  CrashBlame Blame;
  std::uint64_t Next = 0;
};

// Guards against recognizing only whole requests that come again.
TEST_CASE_METHOD(PartBlameFixture,
                 "part blame: three targets ended under a part: requests with "
                 "it are refused, others not",
                 "[unit]") {
  this->serve({"system", "tenant"}, 0);
  for (int I = 1; I <= 3; ++I)
    this->crash(I, {{"system", "bad"}, {"system", "tenant"}}, 1000 * I);
  CHECK(this->judge({"system", "bad"}, 3400) == Verdict::Refuse);
  CHECK(this->judge({"bad"}, 3400) == Verdict::Refuse);
  CHECK(this->judge({"system", "tenant"}, 3400) == Verdict::Allow);
  CHECK(this->judge({"system"}, 3400) == Verdict::Allow);
}

// Guards against refusing a whole route for the parts beside the culprit, of
// which nothing is known yet.
TEST_CASE_METHOD(PartBlameFixture,
                 "part blame: two parts ran at the same ends: only requests "
                 "with both are refused, until one is served",
                 "[unit]") {
  for (int I = 1; I <= 3; ++I)
    this->crash(I, {{"system", "bad"}}, 1000 * I);
  CHECK(this->judge({"system", "bad"}, 3400) == Verdict::Refuse);
  CHECK(this->judge({"system"}, 3400) == Verdict::Allow);
  CHECK(this->judge({"other", "bad"}, 3400) == Verdict::Allow);
  this->serve({"system"}, 3500);
  CHECK(this->judge({"other", "bad"}, 3600) == Verdict::Refuse);
  CHECK(this->judge({"system"}, 3600) == Verdict::Allow);
}

// Guards against blaming a system prompt alone since a target ended by itself
// under it.
TEST_CASE_METHOD(PartBlameFixture,
                 "part blame: one more target ended under the part beside it: "
                 "requests with that part alone are sent on",
                 "[unit]") {
  this->crash(1, {{"system", "tenant"}}, 500);
  for (int I = 2; I <= 4; ++I)
    this->crash(I, {{"system", "bad"}}, 1000 * I);
  CHECK(this->judge({"system", "bad"}, 4400) == Verdict::Refuse);
  CHECK(this->judge({"system"}, 4400) == Verdict::Allow);
}

// Guards against a part that stays allowed since it was served before.
TEST_CASE_METHOD(PartBlameFixture,
                 "part blame: served a thousand times, then four targets ended "
                 "under it: refused",
                 "[unit]") {
  for (int I = 0; I < 1000; ++I)
    this->serve({"system", "bad"}, I);
  for (int I = 1; I <= 4; ++I) {
    this->crash(I, {{"system", "bad"}}, 2000 * I);
    this->serve({"system", "tenant"}, 2000 * I + 500);
  }
  CHECK(this->judge({"system", "bad"}, 9400) == Verdict::Refuse);
  CHECK(this->judge({"system", "tenant"}, 9400) == Verdict::Allow);
}

// Guards against blaming a frequent part when a domain is lost.
TEST_CASE_METHOD(PartBlameFixture,
                 "part blame: ten targets end at the same moment under a part "
                 "that was served before: allowed",
                 "[unit]") {
  this->serve({"system", "tenant"}, 0);
  for (int I = 1; I <= 10; ++I)
    this->Blame.recordLost(this->request({"system", "tenant"}), target(I),
                           at(900), at(1000 + I));
  this->Blame.resolveLosses(neverSince, at(1300));
  CHECK(this->judge({"system", "tenant"}, 1400) == Verdict::Allow);
}

// Guards against blaming a part at models that serve it.
TEST_CASE_METHOD(PartBlameFixture,
                 "part blame: it crashes the targets of one model: allowed at "
                 "another one",
                 "[unit]") {
  for (int I = 1; I <= 3; ++I)
    this->crash(I, {{"bad"}}, 1000 * I);
  CHECK(this->judge({"bad"}, 3400) == Verdict::Refuse);
  CHECK(this->judge({"bad"}, 3400, {ServiceId("llm"), "other"}) ==
        Verdict::Allow);
}

// Guards against refusing an innocent part for good.
TEST_CASE_METHOD(PartBlameFixture,
                 "part blame: blamed, whatever the evidence: tried once",
                 "[unit]") {
  for (int I = 1; I <= 8; ++I)
    this->crash(I, {{"system"}}, 1000 * I);
  REQUIRE(this->judge({"system"}, 8400) == Verdict::Refuse);
  REQUIRE(this->judge({"system"}, 10000) == Verdict::Trial);
  this->Blame.recordTrial(this->request({"system"}), at(10000));
  CHECK(this->judge({"system"}, 10100) == Verdict::Refuse);
  SECTION("it is served: allowed") {
    this->serve({"system"}, 10500);
    CHECK(this->judge({"system"}, 10500) == Verdict::Allow);
  }
  SECTION("its target ends: refused for good") {
    this->crash(9, {{"system"}}, 10500);
    CHECK(this->judge({"system"}, 60000) == Verdict::Refuse);
  }
  SECTION("its caller leaves: tried again") {
    CHECK(this->judge({"system"}, 21000) == Verdict::Trial);
    this->Blame.recordTrial(this->request({"system"}), at(21000));
    CHECK(this->judge({"system"}, 40000) == Verdict::Refuse);
    CHECK(this->judge({"system"}, 62000) == Verdict::Trial);
  }
}

// Guards against a target that ends a response without length by its crash, and
// so clears the part that crashed it.
TEST_CASE_METHOD(PartBlameFixture,
                 "part blame: a response ended with its connection: it clears "
                 "a part only if the target lives on",
                 "[unit]") {
  for (int I = 1; I <= 3; ++I)
    this->crash(I, {{"bad"}}, 1000 * I);
  this->Blame.recordEnded(this->request({"bad"}), target(4), at(4000));
  CHECK(this->judge({"bad"}, 4100) == Verdict::Refuse);
  SECTION("another request was lost at the same target") {
    this->crash(4, {{"tenant"}}, 4010);
    this->Blame.resolveLosses(neverSince, at(5600));
    CHECK(this->judge({"bad"}, 5600) != Verdict::Allow);
  }
  SECTION("none was") {
    this->Blame.resolveLosses(neverSince, at(5600));
    CHECK(this->judge({"bad"}, 5600) == Verdict::Allow);
  }
}

// Guards against a part that is blamed because this node lost its own links,
// and against one that is forgotten when it had not.
TEST_CASE_METHOD(PartBlameFixture,
                 "part blame: connections lost in doubt: they count only if "
                 "this node reaches targets",
                 "[unit]") {
  this->crash(1, {{"bad"}}, 1000);
  for (int I = 2; I <= 4; ++I)
    this->Blame.holdLost(this->request({"bad"}), target(I), at(1900), at(2000));
  SECTION("it was cut off") {
    this->Blame.dropLosses();
    this->Blame.resolveLosses(neverSince, at(2400));
    CHECK(this->judge({"bad"}, 2400) == Verdict::Allow);
  }
  SECTION("it was not") {
    this->Blame.releaseHeldLosses();
    CHECK(this->judge({"bad"}, 2010) == Verdict::Refuse);
  }
}

// Guards against a node that was suspended or starts, and does not take over
// what the others know.
TEST_CASE_METHOD(PartBlameFixture,
                 "part blame: another node hears of it later: it refuses the "
                 "same, and runs no second trial",
                 "[unit]") {
  for (int I = 1; I <= 3; ++I)
    this->crash(I, {{"system", "bad"}}, 1000 * I);
  this->serve({"system"}, 3500);
  this->Blame.recordTrial(this->request({"bad"}), at(6000));
  this->crash(4, {{"bad"}}, 6200);
  CrashBlame Other;
  Other.merge(this->Blame.allRows(), at(60000));
  auto JudgeThere = [&](const std::vector<std::string> &Parts) {
    return Other.judge(this->request(Parts), at(90000)).Found;
  };
  CHECK(JudgeThere({"system", "bad"}) == Verdict::Refuse);
  CHECK(JudgeThere({"system"}) == Verdict::Allow);
}

// Guards against evidence that parts which never come again displace.
TEST_CASE_METHOD(PartBlameFixture,
                 "part blame: a flood of parts that never come again: the one "
                 "that crashes targets is kept, few are told",
                 "[unit]") {
  constexpr int Targets = 3;
  constexpr int RequestsEach = 34;
  constexpr int PartsEach = 25;
  int Part = 0;
  for (int I = 1; I <= Targets; ++I) {
    std::vector<std::vector<std::string>> Prompts{{"system", "bad"}};
    for (int R = 0; R < RequestsEach; ++R) {
      Prompts.emplace_back();
      for (int P = 0; P < PartsEach; ++P)
        Prompts.back().push_back("once" + std::to_string(++Part));
    }
    this->crash(I, Prompts, 1000 * I);
  }
  CHECK(this->judge({"system", "bad"}, 3400) == Verdict::Refuse);
  CHECK(this->Blame.allRows().size() <= 2 * CrashBlame::MaxReported);
}

namespace {

void checkDay(const PartDay &Day, int MaxCrashes) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    PartDayResult Result = playPartDay(Day, SuspectWay::Both, Seed);
    CAPTURE(Seed, Result.Crashes, Result.SentLate, Result.SoundSent,
            Result.SoundRefused, Result.SoundAfterwards,
            Result.RefusedAfterwards, Result.MaxReported);
    CHECK(Result.SentLate <= 3 * static_cast<int>(Day.Crashing.size()));
    CHECK(Result.Crashes <= MaxCrashes);
    // Some may be refused while nothing tells the parts of a request apart.
    CHECK(Result.SoundRefused * 20 <= Result.SoundSent);
    CHECK(Result.RefusedAfterwards * 100 <= Result.SoundAfterwards);
    CHECK(Result.MaxReported <= 2 * CrashBlame::MaxReported);
  }
}

} // namespace

// Each of these guards against sending on what crashes targets, and against
// refusing sound requests, of nodes that decide alone.
TEST_CASE("part blame: a day with a crashing part in the middle: it alone is "
          "refused",
          "[unit]") {
  checkDay({}, 15);
}

TEST_CASE("part blame: a day on which the first part crashes targets: it alone "
          "is refused",
          "[unit]") {
  checkDay({.Crashing = {{"bad", "tenant0"}}}, 15);
}

TEST_CASE("part blame: a day with two crashing parts: both are refused",
          "[unit]") {
  checkDay({.Crashing = {{"system", "bad1"}, {"system", "bad2"}}}, 30);
}

TEST_CASE("part blame: a day on which a rare tenant's requests crash targets: "
          "its sound ones are served",
          "[unit]") {
  checkDay({.Crashing = {{"system", "tenant23", "bad"}}}, 15);
}

TEST_CASE("part blame: a day on which a part becomes bad after it was served: "
          "it is refused",
          "[unit]") {
  checkDay({.SoundUntilMs = 10000}, 30);
}

TEST_CASE("part blame: a day on which domains are lost: nothing is refused",
          "[unit]") {
  checkDay({.Crashing = {}, .DomainSize = 12}, 0);
}

TEST_CASE("part blame: a day with a crashing part while domains are lost: it "
          "alone is refused",
          "[unit]") {
  checkDay({.DomainSize = 6}, 15);
}

TEST_CASE("part blame: a day with a crashing part and many parts that never "
          "come again: it alone is refused",
          "[unit]") {
  checkDay({.FloodParts = 20}, 20);
}

TEST_CASE("part blame: a day with a crashing part while nodes start again: it "
          "alone is refused",
          "[unit]") {
  checkDay({.RestartMs = 1000}, 15);
}

TEST_CASE(
    "part blame: a day on which all of few targets crash and take long to "
    "return: the part alone is refused",
    "[unit]") {
  checkDay(
      {.Targets = 8, .BackAfterMs = 9000, .CrashingMs = 150, .SoundMs = 20},
      20);
}

TEST_CASE("part blame: a day with a crashing part at 86 nodes: it alone is "
          "refused",
          "[unit]") {
  checkDay({.Nodes = 86, .Targets = 171}, 20);
}

// Prints the comparison for docs/design; run by name.
TEST_CASE("part blame: ways compared", "[.compare]") {
  const std::vector<std::pair<const char *, PartDay>> Days = {
      {"in the middle", {}},
      {"the first part", {.Crashing = {{"bad", "tenant0"}}}},
      {"two parts", {.Crashing = {{"system", "bad1"}, {"system", "bad2"}}}},
      {"a rare tenant's", {.Crashing = {{"system", "tenant23", "bad"}}}},
      {"served before", {.SoundUntilMs = 10000}},
      {"domains lost, none bad", {.Crashing = {}, .DomainSize = 12}},
      {"many parts once", {.FloodParts = 20}},
      {"few targets",
       {.Targets = 8, .BackAfterMs = 9000, .CrashingMs = 150, .SoundMs = 20}},
      {"86 nodes", {.Nodes = 86, .Targets = 171}},
      {"984 nodes", {.Nodes = 984, .Targets = 600}}};
  for (const auto &[Name, Day] : Days)
    for (SuspectWay Way :
         {SuspectWay::Content, SuspectWay::Parts, SuspectWay::Both}) {
      PartDayResult Sum;
      for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
        PartDayResult One = playPartDay(Day, Way, Seed);
        Sum.Crashes += One.Crashes;
        Sum.SentLate += One.SentLate;
        Sum.SoundSent += One.SoundSent;
        Sum.SoundRefused += One.SoundRefused;
        Sum.MaxReported = std::max(Sum.MaxReported, One.MaxReported);
      }
      const char *const Names[] = {"content", "parts", "both"};
      std::cout << std::left << std::setw(24) << Name << std::setw(9)
                << Names[static_cast<std::size_t>(Way)] << " crashes "
                << Sum.Crashes << ", late " << Sum.SentLate << ", refused "
                << Sum.SoundRefused << " of " << Sum.SoundSent << ", rows "
                << Sum.MaxReported << "\n";
    }
}

} // namespace waycove::test
