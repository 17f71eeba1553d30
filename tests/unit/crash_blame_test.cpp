// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Which requests end the targets that begin to run them: a guess, from which
// ones were under way as targets ended, at all nodes.
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
/// From when on innocent contents are numbered that come once.
constexpr std::uint64_t Once = 1000;

VmIncarnation target(int Number) {
  return {VmId("t-" + std::to_string(Number)), WallMs(1)};
}

TimePoint neverSince(const VmIncarnation &) { return {}; }

} // namespace

/// One node's book.
struct BlameFixture {
  /// Target \p Number ends while it runs the contents.
  void end(int Number, const std::vector<ContentHash> &Running, int Ms) {
    for (ContentHash Content : Running)
      this->Book.recordLost(Content, target(Number), at(Ms));
    this->Book.resolveLosses(neverSince, at(Ms + 300));
  }
  Verdict judge(ContentHash Content, int Ms) const {
    return this->Book.judge(Content, at(Ms));
  }
  CrashBlame Book;
};

// A request was sent on to targets after three had ended under it.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: three targets ended under it: refused",
                 "[unit]") {
  this->end(1, {Poison}, 0);
  this->end(2, {Poison}, 1000);
  CHECK(this->judge(Poison, 1500) == Verdict::Allow);
  this->end(3, {Poison}, 2000);
  CHECK(this->judge(Poison, 2400) == Verdict::Refuse);
}

// A second send went out before the first loss was certain.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: the third end is not settled: refused at once",
                 "[unit]") {
  for (int I = 1; I <= 3; ++I)
    this->Book.recordLost(Poison, target(I), at(I));
  CHECK(this->judge(Poison, 4) == Verdict::Refuse);
}

// Connections that break say nothing of a target that goes on answering.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: the targets answer others afterwards: served",
                 "[unit]") {
  for (int I = 1; I <= 5; ++I)
    this->Book.recordLost(Poison, target(I), at(I));
  this->Book.resolveLosses([](const VmIncarnation &) { return at(200); },
                           at(400));
  CHECK(this->judge(Poison, 400) == Verdict::Allow);
  CHECK(this->Book.allRows().empty());
}

// What ran beside the culprit at its ends was refused as well.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: others ran beside three of four ends: the one "
                 "beside all is blamed alone",
                 "[unit]") {
  const ContentHash Beside(3);
  this->end(1, {Poison}, 0);
  for (int I = 2; I <= 4; ++I)
    this->end(I, {Poison, Beside, ContentHash(Once + I)}, 1000 * I);
  CHECK(this->judge(Poison, 4400) == Verdict::Refuse);
  CHECK(this->judge(Beside, 4400) == Verdict::Allow);
}

// Nothing tells two contents apart that were at the same three ends.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: two contents at the same ends: both are blamed, "
                 "until one is answered",
                 "[unit]") {
  for (int I = 1; I <= 3; ++I)
    this->end(I, {Poison, Popular}, 1000 * I);
  CHECK(this->judge(Popular, 3400) == Verdict::Refuse);
  this->Book.recordServed(Popular, at(3500));
  CHECK(this->judge(Popular, 3500) == Verdict::Allow);
  CHECK(this->judge(Poison, 3500) == Verdict::Refuse);
}

// A content that is answered in between ends nothing.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: answered between the ends: served on",
                 "[unit]") {
  for (int I = 1; I <= 9; ++I) {
    this->end(I, {Popular}, 1000 * I);
    this->Book.recordServed(Popular, at(1000 * I + 500));
  }
  CHECK(this->judge(Popular, 10000) == Verdict::Allow);
}

// Where all targets end within a second, all that is asked for often is lost
// at each of them.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: answered before, and at the same ends as the "
                 "culprit: served on",
                 "[unit]") {
  this->Book.recordServed(Popular, at(0));
  for (int I = 1; I <= 6; ++I)
    this->end(I, {Poison, Popular}, 1000 * I);
  CHECK(this->judge(Popular, 6400) == Verdict::Allow);
  CHECK(this->judge(Poison, 6400) == Verdict::Refuse);
  SECTION("another node, where it was not answered, hears of it") {
    CrashBlame Other;
    Other.merge(this->Book.allRows(), at(7000));
    CHECK(Other.judge(Popular, at(7000)) == Verdict::Allow);
    CHECK(Other.judge(Poison, at(7000)) == Verdict::Refuse);
  }
}

// Targets that run a new version may end under what they answered before.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: answered before, twelve targets ended under it "
                 "since: refused",
                 "[unit]") {
  this->Book.recordServed(Poison, at(0));
  for (int I = 1; I <= 12; ++I)
    this->end(I, {Poison}, 1000 * I);
  CHECK(this->judge(Poison, 13000) == Verdict::Refuse);
}

// Two contents that were at the same ends were both refused for good.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: nothing tells two contents apart: each is tried "
                 "once, whatever the ends",
                 "[unit]") {
  for (int I = 1; I <= 5; ++I)
    this->end(I, {Poison, Popular}, 1000 * I);
  CHECK(this->judge(Popular, 8000) == Verdict::Trial);
  this->Book.recordServed(Popular, at(8100));
  CHECK(this->judge(Popular, 8100) == Verdict::Allow);
  CHECK(this->judge(Poison, 8100) == Verdict::Refuse);
}

// An innocent content would stay refused for good, since it is never sent.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: blamed by the least evidence: tried once",
                 "[unit]") {
  for (int I = 1; I <= 3; ++I)
    this->end(I, {Poison}, 1000 * I);
  REQUIRE(this->judge(Poison, 5000) == Verdict::Trial);
  this->Book.recordTrial(Poison, at(5000));
  CHECK(this->judge(Poison, 9000) == Verdict::Refuse);
  SECTION("it is answered: served from here on") {
    this->Book.recordServed(Poison, at(9000));
    CHECK(this->judge(Poison, 9000) == Verdict::Allow);
  }
  SECTION("its target ends: refused for good") {
    this->end(4, {Poison}, 9000);
    CHECK(this->judge(Poison, 60000) == Verdict::Refuse);
  }
}

// Rows without a bound would fill a node's memory and its links.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: thousands of contents: few are kept and told, "
                 "the blamed one among them",
                 "[unit]") {
  for (int I = 1; I <= 3; ++I)
    this->end(I, {Poison}, I);
  for (int I = 1; I <= 5000; ++I)
    this->end(10 + I, {ContentHash(Once + I)}, 1000 + I);
  CHECK(this->Book.allRows().size() <= CrashBlame::MaxReported);
  CHECK(this->Book.recentRows(at(6300)).size() <= CrashBlame::MaxReported);
  CHECK(this->Book.allRows().contains(Poison));
  CHECK(this->judge(Poison, 7000) != Verdict::Allow);
}

// Where more rows change than a frame holds, those with the smallest hashes
// were told for as long as it went on, and the others never.
TEST_CASE_METHOD(BlameFixture,
                 "crash blame: more changes than a frame holds: the newest and "
                 "what has the most ends are told",
                 "[unit]") {
  const ContentHash Twice(~std::uint64_t(0));
  const ContentHash Newest(~std::uint64_t(1));
  this->end(1, {Twice}, 0);
  this->end(2, {Twice}, 10);
  for (std::uint64_t I = 0; I < 2 * CrashBlame::MaxReported; ++I)
    this->end(3, {ContentHash(Once + I)}, 20);
  this->end(4, {Newest}, 30);
  CHECK(this->Book.recentRows(at(400)).contains(Twice));
  CHECK(this->Book.recentRows(at(400)).contains(Newest));
}

// Nodes that heard the same in another order would disagree.
TEST_CASE("crash blame: rows are told in any order: all nodes know the same",
          "[unit]") {
  std::mt19937_64 Random(7);
  for (int Round = 0; Round < 200; ++Round) {
    std::vector<CrashEvidence> Told(4);
    for (CrashEvidence &Row : Told) {
      Row.TimesServed = static_cast<std::uint32_t>(Random() % 2);
      Row.TrialDone = Random() % 2 == 0;
      for (std::uint64_t Ends = Random() % 30; Ends > 0; --Ends)
        Row.CrashedTargets.insert(TargetHash(Random() % 60));
    }
    CrashEvidence Forward;
    CrashEvidence Backward;
    for (const CrashEvidence &Row : Told)
      Forward.merge(Row);
    std::reverse(Told.begin(), Told.end());
    for (const CrashEvidence &Row : Told)
      Backward.merge(Row);
    Backward.merge(Forward);
    CHECK(Forward == Backward);
  }
}

namespace {

/// The load that this answers: nine nodes before 48 targets of 26 places; one
/// request ends the targets that begin to run it and comes five times a second
/// at any node; one innocent content comes 20 times a second; 200 others a
/// second come once, and once more where their target ended. Nodes tell each
/// other what is new four times a second.
class CrashDay {
public:
  explicit CrashDay(std::uint64_t Seed) : Random(Seed), Nodes(NodeCount) {
    for (TimePoint &Back : this->BackAt)
      Back = at(0);
  }

  void play() {
    for (this->Ms = 0; this->Ms < DayMs; this->Ms += TickMs) {
      if (this->Ms % 200 == 0)
        this->send(Poison);
      if (this->Ms % 50 == 0)
        this->send(Popular);
      for (int I = 0; I < 2; ++I)
        this->send(ContentHash(Once + this->Next++));
      this->finish();
      if (this->Ms % 5000 == 0)
        this->endOne(this->pick(Targets));
      if (this->Ms % 250 == 0)
        this->tellOn();
    }
  }

  int PoisonEnds = 0;
  int PoisonSentLate = 0;
  int PopularSent = 0;
  int PopularRefused = 0;
  int OthersRefused = 0;
  /// Contents other than the culprit that a plain count of ends would refuse.
  int OthersOfThreeEnds = 0;

private:
  static constexpr int NodeCount = 9;
  static constexpr int Targets = 48;
  static constexpr int DayMs = 90000;
  static constexpr int TickMs = 10;
  static constexpr int RunMs = 600;
  /// From the third end on, the operators count after this time.
  static constexpr int LearnMs = 3000;

  struct Run {
    ContentHash Content;
    int Node;
    int Target;
    int EndsAt;
    bool Again;
  };

  int pick(int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(this->Random);
  }
  static VmIncarnation incarnation(int Target, int Life) {
    return {VmId(std::to_string(Target)),
            WallMs(static_cast<std::uint64_t>(Life) + 1)};
  }

  void send(ContentHash Content, bool Again = false) {
    int Node = this->pick(NodeCount);
    CrashBlame &Book = this->Nodes[static_cast<std::size_t>(Node)];
    Verdict Found = Book.judge(Content, at(this->Ms));
    // The same node alone may try it, whichever one the request came to.
    bool Tries = Found == Verdict::Trial && Node == 0;
    if (Tries)
      Book.recordTrial(Content, at(this->Ms));
    bool Sent = Found == Verdict::Allow || Tries;
    this->count(Content, Sent);
    if (!Sent)
      return;
    int Target = this->pick(Targets);
    for (int I = 0; I < Targets && at(this->Ms) < this->BackAt[Target]; ++I)
      Target = (Target + 1) % Targets;
    int Takes = Content == Poison ? 60 : RunMs;
    this->Running.push_back({Content, Node, Target, this->Ms + Takes, Again});
  }

  void count(ContentHash Content, bool Sent) {
    if (Content == Popular) {
      ++this->PopularSent;
      this->PopularRefused += Sent ? 0 : 1;
    } else if (Content == Poison) {
      bool Late = this->PoisonEnds >= 3 && this->Ms > this->ThirdAt + LearnMs;
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
            Poison, incarnation(Row.Target, this->Lives[Row.Target]),
            at(this->Ms));
        if (++this->PoisonEnds == 3)
          this->ThirdAt = this->Ms;
        this->endOne(Row.Target);
        I = static_cast<std::size_t>(-1);
      } else {
        this->Nodes[static_cast<std::size_t>(Row.Node)].recordServed(
            Row.Content, at(this->Ms));
      }
    }
  }

  void endOne(int Target) {
    std::vector<Run> Lost;
    std::erase_if(this->Running, [&](const Run &Row) {
      if (Row.Target == Target)
        Lost.push_back(Row);
      return Row.Target == Target;
    });
    for (const Run &Row : Lost)
      this->Nodes[static_cast<std::size_t>(Row.Node)].recordLost(
          Row.Content, incarnation(Target, this->Lives[Target]), at(this->Ms));
    ++this->Lives[Target];
    this->BackAt[Target] = at(this->Ms + 3000);
    for (const Run &Row : Lost)
      if (!Row.Again && Row.Content != Poison)
        this->send(Row.Content, true);
  }

  void tellOn() {
    std::vector<CrashEvidenceMap> Told;
    for (CrashBlame &Book : this->Nodes) {
      Book.resolveLosses(neverSince, at(this->Ms));
      Told.push_back(Book.recentRows(at(this->Ms)));
    }
    for (std::size_t I = 0; I < this->Nodes.size(); ++I)
      this->Nodes[I].merge(Told[(I + 1) % Told.size()], at(this->Ms));
    int Plain = 0;
    for (const auto &[Content, Row] : this->Nodes[0].allRows())
      Plain += Content != Poison && Row.CrashedTargets.size() >= 3 ? 1 : 0;
    this->OthersOfThreeEnds = std::max(this->OthersOfThreeEnds, Plain);
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

// One request came again and again and ended 30 targets; all that ran beside it
// was lost with them, and must not be refused for it.
TEST_CASE("crash blame: one request ends targets beside thousands of others: "
          "it alone is refused",
          "[unit]") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    CrashDay Day(Seed);
    Day.play();
    CAPTURE(Seed, Day.PoisonEnds, Day.PopularRefused, Day.OthersRefused,
            Day.OthersOfThreeEnds);
    CHECK(Day.PoisonSentLate <= 3);
    CHECK(Day.PoisonEnds <= 12);
    CHECK(Day.PopularRefused * 100 <= Day.PopularSent);
    CHECK(Day.OthersRefused <= 10);
  }
}

} // namespace waycove::test
