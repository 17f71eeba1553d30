// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Detection of requests that crash the targets that run them.
#include "policy/crash_blame.h"
#include "support/times.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <random>

namespace waycove::test {

namespace {

using Verdict = CrashBlame::Verdict;

constexpr ContentHash Poison(1);
constexpr ContentHash Popular(2);
/// Contents from this number on are innocent and sent once.
constexpr std::uint64_t Once = 1000;

VmIncarnation target(int Number) {
  return {VmId("t-" + std::to_string(Number)), WallMs(1)};
}

TimePoint neverSince(const VmIncarnation &) { return {}; }

CrashSuspect suspect(ContentHash Content) {
  return {SuspectKind::Request, Content};
}
/// The suspects of a request without shared parts.
CrashSuspects only(ContentHash Content) { return {suspect(Content)}; }

} // namespace

/// The crash evidence of one node.
struct BlameFixture {
  /// Target \p Number crashes while it runs the contents.
  void crash(int Number, const std::vector<ContentHash> &Running, int Ms) {
    for (ContentHash Content : Running)
      this->Blame.recordLost(only(Content), target(Number), at(Ms), at(Ms));
    this->Blame.resolveLosses(neverSince, at(Ms + 300));
  }
  Verdict judge(ContentHash Content, int Ms) const {
    return this->Blame.judge(only(Content), at(Ms)).Found;
  }
  CrashBlame Blame;
};

// Guards against a content that is blamed because this node lost its links to
// all targets, and against evidence that is forgotten when it had not.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: connections lost in doubt: they count only if "
                 "this node reaches targets",
                 "[unit]") {
  this->Blame.recordLost(only(Poison), target(1), at(0), at(0));
  for (int Number : {2, 3, 4})
    this->Blame.holdLost(only(Poison), target(Number), at(10 * Number),
                         at(10 * Number));
  CHECK(this->judge(Poison, 100) == Verdict::Allow);
  this->Blame.dropLosses();
  this->Blame.resolveLosses(neverSince, at(500));
  CHECK(this->judge(Poison, 500) == Verdict::Allow);
  for (int Number : {2, 3, 4})
    this->Blame.holdLost(only(Poison), target(Number), at(600), at(600));
  this->Blame.releaseHeldLosses();
  CHECK(this->judge(Poison, 610) == Verdict::Refuse);
}

// A request was still sent after three targets had crashed under it.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: three targets ended under it: refused",
                 "[unit]") {
  this->crash(1, {Poison}, 0);
  this->crash(2, {Poison}, 1000);
  CHECK(this->judge(Poison, 1500) == Verdict::Allow);
  this->crash(3, {Poison}, 2000);
  CHECK(this->judge(Poison, 2400) == Verdict::Refuse);
}

// A retry was sent before the latest loss was resolved.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: the third end is not settled: refused at once",
                 "[unit]") {
  for (int I = 1; I <= 3; ++I)
    this->Blame.recordLost(only(Poison), target(I), at(I), at(I));
  CHECK(this->judge(Poison, 4) == Verdict::Refuse);
}

// Broken connections to a live target counted as crashes.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: the targets answer others afterwards: served",
                 "[unit]") {
  for (int I = 1; I <= 5; ++I)
    this->Blame.recordLost(only(Poison), target(I), at(I), at(I));
  this->Blame.resolveLosses([](const VmIncarnation &) { return at(200); },
                            at(400));
  CHECK(this->judge(Poison, 400) == Verdict::Allow);
  CHECK(this->Blame.allRows().empty());
}

// Requests that ran beside the crashing one were refused as well.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: others ran beside three of four ends: the one "
                 "beside all is blamed alone",
                 "[unit]") {
  const ContentHash Beside(3);
  this->crash(1, {Poison}, 0);
  for (int I = 2; I <= 4; ++I)
    this->crash(I, {Poison, Beside, ContentHash(Once + I)}, 1000 * I);
  CHECK(this->judge(Poison, 4400) == Verdict::Refuse);
  CHECK(this->judge(Beside, 4400) == Verdict::Allow);
}

// Two contents with the same three crashes cannot be distinguished.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: two contents at the same ends: both are blamed, "
                 "until one is answered",
                 "[unit]") {
  for (int I = 1; I <= 3; ++I)
    this->crash(I, {Poison, Popular}, 1000 * I);
  CHECK(this->judge(Popular, 3400) == Verdict::Refuse);
  this->Blame.recordServed(only(Popular), at(3500));
  CHECK(this->judge(Popular, 3500) == Verdict::Allow);
  CHECK(this->judge(Poison, 3500) == Verdict::Refuse);
}

// A content that is answered between the crashes is innocent.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: answered between the ends: served on",
                 "[unit]") {
  for (int I = 1; I <= 9; ++I) {
    this->crash(I, {Popular}, 1000 * I);
    this->Blame.recordServed(only(Popular), at(1000 * I + 500));
  }
  CHECK(this->judge(Popular, 10000) == Verdict::Allow);
}

// When all targets crash within a second, frequent contents are lost at each of
// them.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: answered before, and at the same ends as the "
                 "culprit: served on",
                 "[unit]") {
  this->Blame.recordServed(only(Popular), at(0));
  for (int I = 1; I <= 6; ++I)
    this->crash(I, {Poison, Popular}, 1000 * I);
  CHECK(this->judge(Popular, 6400) == Verdict::Allow);
  CHECK(this->judge(Poison, 6400) == Verdict::Refuse);
  SECTION("another node, where it was not answered, hears of it") {
    CrashBlame Other;
    Other.merge(this->Blame.allRows(), at(7000));
    CHECK(Other.judge(only(Popular), at(7000)).Found == Verdict::Allow);
    CHECK(Other.judge(only(Poison), at(7000)).Found == Verdict::Refuse);
  }
}

// Targets with a new version may crash under a content that they answered
// before.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: answered before, twelve targets ended under it "
                 "since: refused",
                 "[unit]") {
  this->Blame.recordServed(only(Poison), at(0));
  for (int I = 1; I <= 12; ++I)
    this->crash(I, {Poison}, 1000 * I);
  CHECK(this->judge(Poison, 13000) == Verdict::Refuse);
}

// Two contents with the same crashes were both refused forever.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: nothing tells two contents apart: each is tried "
                 "once, whatever the ends",
                 "[unit]") {
  for (int I = 1; I <= 5; ++I)
    this->crash(I, {Poison, Popular}, 1000 * I);
  CHECK(this->judge(Popular, 8000) == Verdict::Trial);
  this->Blame.recordServed(only(Popular), at(8100));
  CHECK(this->judge(Popular, 8100) == Verdict::Allow);
  CHECK(this->judge(Poison, 8100) == Verdict::Refuse);
}

// An innocent content would be refused forever, since it is never sent.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: blamed by the least evidence: tried once",
                 "[unit]") {
  for (int I = 1; I <= 3; ++I)
    this->crash(I, {Poison}, 1000 * I);
  REQUIRE(this->judge(Poison, 5000) == Verdict::Trial);
  this->Blame.recordTrial(only(Poison), at(5000));
  CHECK(this->judge(Poison, 9000) == Verdict::Refuse);
  SECTION("it is answered: served from here on") {
    this->Blame.recordServed(only(Poison), at(9000));
    CHECK(this->judge(Poison, 9000) == Verdict::Allow);
  }
  SECTION("its target ends: refused for good") {
    this->crash(4, {Poison}, 9000);
    CHECK(this->judge(Poison, 60000) == Verdict::Refuse);
  }
}

// Unbounded evidence would exhaust the memory and the links of a node.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: thousands of contents: few are kept and told, "
                 "the blamed one among them",
                 "[unit]") {
  for (int I = 1; I <= 3; ++I)
    this->crash(I, {Poison}, I);
  for (int I = 1; I <= 5000; ++I)
    this->crash(10 + I, {ContentHash(Once + I)}, 1000 + I);
  CHECK(this->Blame.allRows().size() <= CrashBlame::MaxReported);
  CHECK(this->Blame.recentRows(at(6300)).size() <= CrashBlame::MaxReported);
  CHECK(this->Blame.allRows().contains(suspect(Poison)));
  CHECK(this->judge(Poison, 7000) != Verdict::Allow);
}

// If more rows changed than fit in a frame, some were never reported.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: more changes than a frame holds: the newest and "
                 "what has the most ends are told",
                 "[unit]") {
  const ContentHash Twice(~std::uint64_t(0));
  const ContentHash Newest(~std::uint64_t(1));
  this->crash(1, {Twice}, 0);
  this->crash(2, {Twice}, 10);
  for (std::uint64_t I = 0; I < 2 * CrashBlame::MaxReported; ++I)
    this->crash(3, {ContentHash(Once + I)}, 20);
  this->crash(4, {Newest}, 30);
  CHECK(this->Blame.recentRows(at(400)).contains(suspect(Twice)));
  CHECK(this->Blame.recentRows(at(400)).contains(suspect(Newest)));
}

// Nodes that merge in a different order would disagree.
TEST_CASE("crash blame: rows are told in any order: all nodes know the same",
          "[unit]") {
  std::mt19937_64 Random(7);
  for (int Round = 0; Round < 200; ++Round) {
    std::vector<CrashEvidence> Reports(4);
    for (CrashEvidence &Row : Reports) {
      Row.TimesServed = static_cast<std::uint32_t>(Random() % 2);
      Row.TrialDone = Random() % 2 == 0;
      Row.ServedBefore = Random() % 2 == 0;
      Row.Recurred = Random() % 2 == 0;
      for (std::uint64_t Ends = Random() % 30; Ends > 0; --Ends)
        Row.CrashedTargets.insert(TargetHash(Random() % 60));
    }
    CrashEvidence Forward;
    CrashEvidence Backward;
    for (const CrashEvidence &Row : Reports)
      Forward.merge(Row);
    std::reverse(Reports.begin(), Reports.end());
    for (const CrashEvidence &Row : Reports)
      Backward.merge(Row);
    Backward.merge(Forward);
    CHECK(Forward == Backward);
  }
}

namespace {

/// Simulates nine nodes and 48 targets. One content crashes the targets that
/// run it, another frequent one is innocent, and many others are sent once and
/// retried after a crash. Nodes exchange their changes four times a second.
class CrashSimulation {
public:
  explicit CrashSimulation(std::uint64_t Seed)
      : Random(Seed), Nodes(NodeCount) {
    for (TimePoint &Back : this->BackAt)
      Back = at(0);
  }

  void play() {
    for (this->Ms = 0; this->Ms < DurationMs; this->Ms += TickMs) {
      if (this->Ms % 200 == 0)
        this->send(Poison);
      if (this->Ms % 50 == 0)
        this->send(Popular);
      for (int I = 0; I < 2; ++I)
        this->send(ContentHash(Once + this->Next++));
      this->finish();
      if (this->Ms % 5000 == 0)
        this->crashOne(this->pick(Targets));
      if (this->Ms % 250 == 0)
        this->exchangeReports();
    }
  }

  int PoisonCrashes = 0;
  int PoisonSentLate = 0;
  int PopularSent = 0;
  int PopularRefused = 0;
  int OthersRefused = 0;
  /// Innocent contents that a plain count of crashes would refuse.
  int OthersOfThreeCrashes = 0;

private:
  static constexpr int NodeCount = 9;
  static constexpr int Targets = 48;
  static constexpr int DurationMs = 90000;
  static constexpr int TickMs = 10;
  static constexpr int RunMs = 600;
  /// The time after the third crash by which it must be refused.
  static constexpr int DetectionMs = 3000;

  struct Run {
    ContentHash Content;
    int Node;
    int Target;
    int SentAt;
    int EndsAt;
    bool IsRetry;
  };

  int pick(int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(this->Random);
  }
  static VmIncarnation incarnation(int Target, int Incarnation) {
    return {VmId(std::to_string(Target)),
            WallMs(static_cast<std::uint64_t>(Incarnation) + 1)};
  }

  void send(ContentHash Content, bool IsRetry = false) {
    int Node = this->pick(NodeCount);
    CrashBlame &Blame = this->Nodes[static_cast<std::size_t>(Node)];
    Verdict Found = Blame.judge(only(Content), at(this->Ms)).Found;
    // Only node 0 may run the trial, whichever node received the request.
    bool RunsTrial = Found == Verdict::Trial && Node == 0;
    if (RunsTrial)
      Blame.recordTrial(only(Content), at(this->Ms));
    bool Sent = Found == Verdict::Allow || RunsTrial;
    this->count(Content, Sent);
    if (!Sent)
      return;
    int Target = this->pick(Targets);
    for (int I = 0; I < Targets && at(this->Ms) < this->BackAt[Target]; ++I)
      Target = (Target + 1) % Targets;
    int Takes = Content == Poison ? 60 : RunMs;
    this->Running.push_back(
        {Content, Node, Target, this->Ms, this->Ms + Takes, IsRetry});
  }

  void count(ContentHash Content, bool Sent) {
    if (Content == Popular) {
      ++this->PopularSent;
      this->PopularRefused += Sent ? 0 : 1;
    } else if (Content == Poison) {
      bool Late =
          this->PoisonCrashes >= 3 && this->Ms > this->ThirdAt + DetectionMs;
      this->PoisonSentLate += Sent && Late ? 1 : 0;
    } else {
      this->OthersRefused += Sent ? 0 : 1;
    }
  }

  void finish() {
    for (std::size_t I = 0; I < this->Running.size(); ++I) {
      Run Row = this->Running[I];
      if (Row.EndsAt > this->Ms)
        continue;
      this->Running.erase(this->Running.begin() +
                          static_cast<std::ptrdiff_t>(I--));
      if (Row.Content == Poison) {
        this->Nodes[static_cast<std::size_t>(Row.Node)].recordLost(
            only(Poison), incarnation(Row.Target, this->Lives[Row.Target]),
            at(Row.SentAt), at(this->Ms));
        if (++this->PoisonCrashes == 3)
          this->ThirdAt = this->Ms;
        this->crashOne(Row.Target);
        I = static_cast<std::size_t>(-1);
      } else {
        this->Nodes[static_cast<std::size_t>(Row.Node)].recordServed(
            only(Row.Content), at(this->Ms));
      }
    }
  }

  void crashOne(int Target) {
    std::vector<Run> Lost;
    std::erase_if(this->Running, [&](const Run &Row) {
      if (Row.Target == Target)
        Lost.push_back(Row);
      return Row.Target == Target;
    });
    for (const Run &Row : Lost)
      this->Nodes[static_cast<std::size_t>(Row.Node)].recordLost(
          only(Row.Content), incarnation(Target, this->Lives[Target]),
          at(Row.SentAt), at(this->Ms));
    ++this->Lives[Target];
    this->BackAt[Target] = at(this->Ms + 3000);
    for (const Run &Row : Lost)
      if (!Row.IsRetry && Row.Content != Poison)
        this->send(Row.Content, true);
  }

  void exchangeReports() {
    std::vector<CrashEvidenceMap> Reports;
    for (CrashBlame &Blame : this->Nodes) {
      Blame.resolveLosses(neverSince, at(this->Ms));
      Reports.push_back(Blame.recentRows(at(this->Ms)));
    }
    for (std::size_t I = 0; I < this->Nodes.size(); ++I)
      this->Nodes[I].merge(Reports[(I + 1) % Reports.size()], at(this->Ms));
    int Plain = 0;
    for (const auto &[Found, Row] : this->Nodes[0].allRows())
      Plain +=
          Found.Content != Poison && Row.CrashedTargets.size() >= 3 ? 1 : 0;
    this->OthersOfThreeCrashes = std::max(this->OthersOfThreeCrashes, Plain);
  }

  std::mt19937_64 Random;
  std::vector<CrashBlame> Nodes;
  std::vector<Run> Running;
  std::array<TimePoint, Targets> BackAt{};
  std::array<int, Targets> Lives{};
  std::uint64_t Next = 0;
  int Ms = 0;
  int ThirdAt = 0;
};

} // namespace

// A request that crashes targets was retried forever, or the requests that ran
// beside it were refused.
TEST_CASE("crash blame: one request ends targets beside thousands of others: "
          "it alone is refused",
          "[unit]") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    CrashSimulation Simulation(Seed);
    Simulation.play();
    CAPTURE(Seed, Simulation.PoisonCrashes, Simulation.PopularRefused,
            Simulation.OthersRefused, Simulation.OthersOfThreeCrashes);
    CHECK(Simulation.PoisonSentLate <= 3);
    CHECK(Simulation.PoisonCrashes <= 12);
    CHECK(Simulation.PopularRefused * 100 <= Simulation.PopularSent);
    CHECK(Simulation.OthersRefused <= 10);
  }
}

} // namespace waycove::test
