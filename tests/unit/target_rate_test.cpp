// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// How nodes share the rate of a target that is cold or states a limit, in
// virtual time.
#include "policy/target_rate.h"
#include "support/nodes.h"
#include "support/times.h"
#include "wire/news_frames.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <limits>
#include <random>

namespace waycove::test {

namespace {

constexpr double TrafficPerSecond = 2000;
const VmIncarnation Target{VmId("t"), {}};

/// How nodes share the rate.
enum class Way {
  /// A few nodes send most of it (rateShare, senderShare).
  FewSenders,
  /// Each node sends its part of the rate, at once at first.
  EqualParts
};

struct Scenario {
  std::size_t Nodes = 9;
  /// Nodes without requests, e.g. because no caller reaches them.
  std::size_t Idle = 0;
  /// Groups of nodes that each know only their own members.
  std::size_t Parts = 1;
  /// Whether the first part is in touch with the store; others never are.
  bool FirstIsInTouch = true;
  RateBounds Bounds;
  Millis Duration{60000};
  Millis Window{4000};
  Way Sharing = Way::FewSenders;
  double Traffic = TrafficPerSecond;
};

struct Load {
  /// Most requests at the target within one window, and all of them.
  std::size_t Peak = 0;
  std::size_t Sum = 0;
};

/// What the members of each part know of the nodes.
std::vector<NodeRankingRef> partsOf(const Scenario &Day) {
  std::vector<NodeTable> Known(Day.Parts);
  for (std::size_t I = 0; I < Day.Nodes; ++I) {
    NodeInfo Info;
    Info.Node = NodeId("n" + std::to_string(I));
    Known[I % Day.Parts][Info.Node] = Info;
  }
  std::vector<NodeRankingRef> Parts;
  Parts.reserve(Known.size());
  for (const NodeTable &Nodes : Known)
    Parts.push_back(std::make_shared<NodeRanking>(Nodes));
  return Parts;
}

/// All nodes learn of the bounds at once. They get requests together, each of
/// which goes to the target if its node may send it there.
Load play(const Scenario &Day) {
  std::vector<NodeRankingRef> Parts = partsOf(Day);
  std::vector<TargetRateLimiter> Limiters(Day.Nodes);
  std::vector<std::optional<TimePoint>> SentAt(Day.Nodes);
  std::mt19937_64 Random(7);
  std::deque<TimePoint> Recent;
  Load Found;
  double Rate = Day.Bounds.Stated ? Day.Bounds.Stated->Rate.PerSecond
                                  : Day.Bounds.Cold->PerSecond;
  auto Equal = Millis(
      static_cast<std::int64_t>(1000 * static_cast<double>(Day.Nodes) / Rate));
  auto Gap = Millis(1000) / Day.Traffic;
  for (auto Time = Millis(0) / 1.0; Time < Day.Duration; Time += Gap) {
    TimePoint Now = at(0) + std::chrono::duration_cast<Millis>(Time);
    std::size_t Node = Random() % (Day.Nodes - Day.Idle);
    bool Taken = false;
    if (Day.Sharing == Way::FewSenders) {
      Taken = Limiters[Node].take({Target, Day.Bounds, Parts[Node % Day.Parts],
                                   NodeId("n" + std::to_string(Node)),
                                   Day.FirstIsInTouch && Node % Day.Parts == 0},
                                  Now);
    } else {
      Taken = !SentAt[Node] || Now - *SentAt[Node] >= Equal;
      if (Taken)
        SentAt[Node] = Now;
    }
    if (!Taken)
      continue;
    ++Found.Sum;
    Recent.push_back(Now);
    while (Now - Recent.front() >= Day.Window)
      Recent.pop_front();
    Found.Peak = std::max(Found.Peak, Recent.size());
  }
  return Found;
}

RateBounds stated(double PerSecond) {
  RateBounds Bounds;
  Bounds.Stated = StatedLimit{RequestRate{PerSecond}, at(0)};
  return Bounds;
}

TargetStatement limitOf(double PerSecond) {
  TargetStatement Statement;
  Statement.Limit = RequestRate{PerSecond};
  return Statement;
}

/// In a window, half as much again as the rate allows and five requests more.
double allowedIn(Millis Window, double PerSecond) {
  return 1.5 * PerSecond * std::chrono::duration<double>(Window).count() + 5;
}

} // namespace

// Guards against a fleet whose nodes each send one request to a target that has
// just turned cold, which overloads it.
TEST_CASE("cold target: 9, 86 and 984 nodes with traffic: the sum of their "
          "requests stays within its rate",
          "[unit]") {
  constexpr double ColdRate = 26;
  // What the operators' bound adds to the rate is not used on purpose.
  constexpr std::size_t MostPerSecond = 26 + 9;
  Scenario Day;
  Day.Bounds.Cold = RequestRate{ColdRate};
  Day.Duration = Millis(10000);
  Day.Window = Millis(1000);
  for (std::size_t Nodes : {9, 86, 984}) {
    Day.Nodes = Nodes;
    Load Found = play(Day);
    CHECK(Found.Peak <= MostPerSecond);
    // Little of the target's rate stays unused.
    CHECK(static_cast<double>(Found.Sum) >= 10 * ColdRate * 0.6);
  }
  Day.Sharing = Way::EqualParts;
  CHECK(play(Day).Peak > MostPerSecond);
}

TEST_CASE("cold target: half of the nodes are cut off and know only each "
          "other: the permitted ones keep their interval",
          "[unit]") {
  NodeTable Nodes = nodesOf(86);
  std::size_t Permitted = 0;
  for (const auto &[Id, Info] : Nodes)
    Permitted += senderShare(Nodes, Id, Target, {26}) ? 1 : 0;
  CHECK(Permitted == 26);
  // A node that the directory does not list may send nothing.
  CHECK_FALSE(senderShare(Nodes, NodeId("other"), Target, {26}));
}

// Guards against nodes that each use the whole limit, that all send as soon as
// they learn of it, or that leave most of it unused.
TEST_CASE("stated limit: 1, 9, 86 and 984 nodes with traffic: together they "
          "keep to it and use it",
          "[unit]") {
  for (double PerSecond : {0.5, 1.7, 5.0, 40.0})
    for (std::size_t Nodes : {1, 9, 86, 984}) {
      CAPTURE(PerSecond, Nodes);
      Scenario Day;
      Day.Nodes = Nodes;
      Day.Bounds = stated(PerSecond);
      Load Found = play(Day);
      CHECK(static_cast<double>(Found.Peak) <=
            allowedIn(Day.Window, PerSecond));
      CHECK(static_cast<double>(Found.Sum) >= 60 * PerSecond * 0.75);
      CHECK(static_cast<double>(Found.Sum) <= 60 * PerSecond + 1);
    }
  Scenario Fleet;
  Fleet.Nodes = 984;
  Fleet.Bounds = stated(0.5);
  Fleet.Sharing = Way::EqualParts;
  CHECK(static_cast<double>(play(Fleet).Peak) > allowedIn(Fleet.Window, 0.5));
}

// Guards against a limit that is broken, or unused, while some nodes get no
// requests or cannot hear of each other.
TEST_CASE("stated limit: half of the nodes are cut off: the others keep to "
          "it, and still use some of it",
          "[unit]") {
  for (std::size_t Nodes : {9, 86, 984}) {
    CAPTURE(Nodes);
    Scenario Day;
    Day.Nodes = Nodes;
    Day.Idle = Nodes / 2;
    Day.Bounds = stated(1.7);
    Load Found = play(Day);
    CHECK(static_cast<double>(Found.Peak) <= allowedIn(Day.Window, 1.7));
    CHECK(Found.Sum >= 10);
  }
}

// Guards against parts of the fleet that each use the whole limit because none
// of them knows that the others exist.
TEST_CASE("stated limit: the nodes of two and three parts know only their own "
          "part: together they keep to it",
          "[unit]") {
  for (double PerSecond : {1.7, 6.0, 20.0, 40.0})
    for (std::size_t Parts : {2, 3})
      for (std::size_t Nodes : {9, 86, 984}) {
        CAPTURE(PerSecond, Parts, Nodes);
        Scenario Day;
        Day.Nodes = Nodes;
        Day.Parts = Parts;
        Day.Bounds = stated(PerSecond);
        for (bool FirstIsInTouch : {true, false}) {
          Day.FirstIsInTouch = FirstIsInTouch;
          Load Found = play(Day);
          CHECK(static_cast<double>(Found.Peak) <=
                allowedIn(Day.Window, PerSecond));
          // A part that is alone still sends some.
          CHECK(Found.Sum >= 4);
        }
      }
}

// Guards against requests that are all turned away, after which nobody learns
// that the limit has ended.
TEST_CASE("stated limit: it is zero, or all senders are idle: a few requests "
          "are sent",
          "[unit]") {
  Scenario Day;
  Day.Bounds = stated(0);
  Load Found = play(Day);
  CHECK(Found.Peak <= 2);
  CHECK(Found.Sum >= 2);

  NodeTable Nodes = nodesOf(9);
  int Others = 0;
  for (const auto &[Id, Info] : Nodes) {
    if (senderShare(Nodes, Id, Target, {2}))
      continue;
    ++Others;
    std::optional<RateShare> Share = rateShare(Nodes, Id, Target, {2});
    REQUIRE(Share);
    CHECK(Share->Interval == Millis(50000));
  }
  CHECK(Others == 5);
  CHECK_FALSE(rateShare(Nodes, NodeId("other"), Target, {2}));
}

// Guards against a cold target that gets more than its own limit, and the other
// way round.
TEST_CASE("stated limit: the target is cold as well: the smaller rate holds",
          "[unit]") {
  Scenario Day;
  Day.Bounds = stated(10);
  Day.Bounds.Cold = RequestRate{1};
  CHECK(play(Day).Sum <= 61);
  Day.Bounds = stated(1);
  Day.Bounds.Cold = RequestRate{10};
  CHECK(play(Day).Sum <= 61);
}

// Guards against a limit that is forgotten, or that never ends.
TEST_CASE("stated limit: responses with and without it: it begins, changes "
          "and ends",
          "[unit]") {
  using Change = StatedLimits::Change;
  StatedLimits Known;
  TargetHash Hash = hashOf(Target);
  CHECK(Known.onResponse(Target, {}, at(0), at(10)) == Change::None);
  CHECK_FALSE(Known.any());
  CHECK(Known.onResponse(Target, limitOf(1.5), at(20), at(100)) ==
        Change::Begun);
  CHECK(Known.onResponse(Target, limitOf(1.5), at(30), at(110)) ==
        Change::None);
  CHECK(Known.onResponse(Target, limitOf(2), at(30), at(120)) ==
        Change::Adjusted);
  CHECK(Known.of(Hash) == StatedLimit{RequestRate{2}, at(100)});
  // Sent before the limit was known: the response may be the older one.
  CHECK(Known.onResponse(Target, {}, at(115), at(130)) == Change::None);
  TargetStatement Unreadable;
  Unreadable.HasUnreadableLimit = true;
  CHECK(Known.onResponse(Target, Unreadable, at(140), at(150)) == Change::None);
  CHECK(Known.any());
  CHECK(Known.onResponse(Target, {}, at(140), at(160)) == Change::Ended);
  CHECK_FALSE(Known.any());
  CHECK_FALSE(Known.of(Hash));
  // Another process under the same id states its own limit.
  CHECK(Known.onResponse(Target, limitOf(1), at(200), at(210)) ==
        Change::Begun);
  CHECK_FALSE(Known.of(hashOf({Target.Id, WallMs(1)})));
}

// Guards against a node that learns neither the begin nor the end of a limit
// from others, or that takes an old report for the newest state.
TEST_CASE("stated limit: reports of other nodes: the newest holds, in any "
          "order",
          "[unit]") {
  TargetHash Hash = hashOf(Target);
  StatedLimits Here;
  StatedLimits There;
  There.onResponse(Target, limitOf(3), at(0), at(100));
  LimitReports Begun = There.reports(false, at(200));
  CHECK(Here.merge(Begun, at(200)) == std::vector{Hash});
  CHECK(Here.of(Hash) == StatedLimit{RequestRate{3}, at(200)});
  CHECK(Here.merge(Begun, at(300)).empty());
  There.onResponse(Target, {}, at(400), at(500));
  CHECK(Here.merge(There.reports(false, at(500)), at(500)) ==
        std::vector{Hash});
  CHECK_FALSE(Here.any());
  CHECK(Here.merge(Begun, at(600)).empty());
  CHECK_FALSE(Here.any());
  // Only changes are told, but all to a node that starts.
  TimePoint Later = at(500) + StatedLimits::ReportDuration;
  CHECK(There.reports(false, Later).empty());
  CHECK(There.reports(true, Later).size() == 1);
}

// Guards against a table or a report that grows without bound, and against
// limits of targets that are gone.
TEST_CASE("stated limit: very many targets: table and reports stay bounded",
          "[unit]") {
  StatedLimits Known;
  for (std::size_t I = 0; I < StatedLimits::MaxTargets + 10; ++I)
    Known.onResponse({VmId("t" + std::to_string(I)), {}}, limitOf(1), at(0),
                     at(1));
  CHECK(Known.reports(true, at(2)).size() == StatedLimits::MaxReported);
  Known.forget([](TargetHash) { return false; }, at(100));
  CHECK(Known.any());
  Known.forget([](TargetHash) { return false; }, at(100000));
  CHECK_FALSE(Known.any());
}

// Guards against damage by rates from another node that are no rates.
TEST_CASE("stated limit: rows of other nodes: they arrive unchanged, and "
          "absurd ones are refused alone",
          "[unit]") {
  LimitReports Sent;
  Sent[TargetHash(1)] = {RequestRate{0.5}, at(900)};
  Sent[TargetHash(2)] = {std::nullopt, at(950)};
  std::vector<wire::LimitRow> Rows = packLimits(Sent, at(1000));
  LimitReports Received;
  REQUIRE(unpackLimits(Rows, at(1000), Received).ok());
  REQUIRE(Received.size() == 2);
  CHECK(Received[TargetHash(1)].Rate == RequestRate{0.5});
  CHECK(Received[TargetHash(1)].At == at(900));
  CHECK_FALSE(Received[TargetHash(2)].Rate);
  for (double Rate : {-1.0, std::numeric_limits<double>::quiet_NaN(),
                      std::numeric_limits<double>::infinity()}) {
    Rows.emplace_back(3, Rate, 0, true);
    LimitReports Out;
    CHECK_FALSE(unpackLimits(Rows, at(1000), Out).ok());
    CHECK(Out.size() == 2);
  }
}

} // namespace waycove::test
