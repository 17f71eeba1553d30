// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Simulates in virtual time which upstream nodes are requested for updates, and
// how many calls to the store remain. Guards against every node trying a
// failing store by itself, and against nodes reading the store when one
// upstream node fails.
#include "control/keyed_feed.h"
#include "policy/upstream_selector.h"
#include "support/times.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>

namespace waycove::test {

namespace {

constexpr Millis RoundInterval{250};
constexpr Millis SearchTimeout{900};
constexpr Millis ReadInterval{1200};
/// As maxAge() for a bound of 4 s.
constexpr Millis MaxAge{3400};
/// Half of the bound, as in canServeFeed().
constexpr Millis OwnAge{2000};
constexpr int StepMs = 50;

} // namespace

/// Nodes of several data centres that follow one feed, as NewsExchange and
/// StoreReader do: rounds of requests in the order of UpstreamSelector, and
/// reads of the store if no node serves this one or its state is too old.
class NewsFixture {
public:
  void build(int Count, int Centres) {
    for (int I = 0; I < Count; ++I) {
      NodeInfo Row;
      Row.Node = NodeId("n" + std::to_string(I));
      Row.DataCentre = DataCentreId("c" + std::to_string(I % Centres));
      this->Nodes[Row.Node] = Row;
      this->Rows[Row.Node].ProvenAt = at(0);
      this->Rows[Row.Node].HeardAt = at(0);
    }
    this->Known = NodeRanking(this->Nodes);
    for (auto &[Id, Row] : this->Rows) {
      const std::vector<NodeInfo> &Order =
          this->Known.readers(this->Nodes[Id].DataCentre);
      Row.Pace = probeBackoff(this->Nodes.size(), Order.front().Node == Id);
      Row.RoundMs = static_cast<int>(hashText(Id.Text) % 250) / StepMs * StepMs;
    }
    this->run(3000);
    this->Calls = 0;
  }

  void run(int Ms) {
    for (int End = this->NowMs + Ms; this->NowMs < End; this->NowMs += StepMs)
      for (auto &[Id, Row] : this->Rows)
        if (!Row.Dead)
          this->step(Id, Row);
  }
  /// The first node in the order of all.
  NodeId first() const {
    return this->Known.readers(this->Known.centres().front()).front().Node;
  }
  Millis oldest() const {
    Millis Age{0};
    for (const auto &[Id, Row] : this->Rows)
      if (!Row.Dead)
        Age = std::max(Age, std::chrono::duration_cast<Millis>(at(this->NowMs) -
                                                               Row.ProvenAt));
    return Age;
  }
  bool isThird(const NodeId &Id) const { return hashText(Id.Text) % 3 == 0; }
  double callsPerSecond(int Ms) const {
    return this->Calls * 1000.0 / static_cast<double>(Ms);
  }

  struct Row {
    UpstreamSelector Route;
    Backoff Waits;
    ProbeBackoff Pace{};
    TimePoint ProvenAt;
    TimePoint OwnProvenAt;
    TimePoint HeardAt;
    TimePoint ReadDue;
    int RoundMs = 0;
    bool Relayed = true;
    bool Failed = false;
    bool Dead = false;
  };
  NodeTable Nodes;
  NodeRanking Known;
  std::map<NodeId, Row> Rows;
  /// Which nodes the store responds to, and which reach each other.
  std::function<bool(const NodeId &)> StoreAnswers = [](const NodeId &) {
    return true;
  };
  std::function<bool(const NodeId &, const NodeId &)> Reaches =
      [](const NodeId &, const NodeId &) { return true; };
  int Calls = 0;
  int NowMs = 0;

private:
  bool isCurrent(const NodeId &Of) {
    const Row &Peer = this->Rows[Of];
    TimePoint Now = at(this->NowMs);
    return (Peer.Relayed || Now - Peer.OwnProvenAt < OwnAge) &&
           Now - Peer.ProvenAt <= MaxAge;
  }

  void step(const NodeId &Id, Row &Me) {
    TimePoint Now = at(this->NowMs);
    if (this->NowMs % 250 == Me.RoundMs)
      this->round(Id, Me, Now);
    bool Old = Now - Me.ProvenAt >= MaxAge;
    if ((Me.Relayed && !Old) || Now < Me.ReadDue)
      return;
    ++this->Calls;
    Me.Failed = !this->StoreAnswers(Id);
    if (Me.Failed) {
      Me.ReadDue = Now + Me.Waits.next(Me.Pace.Min, Me.Pace.Max);
      return;
    }
    Me.Waits.reset();
    Me.ProvenAt = Me.OwnProvenAt = Now;
    Me.ReadDue = Now + ReadInterval;
  }

  void round(const NodeId &Id, Row &Me, TimePoint Now) {
    std::vector<NodeInfo> Before =
        Me.Route.nextCandidates(this->Known, this->Nodes[Id], Now);
    for (const NodeInfo &Peer : Before) {
      if (this->Rows[Peer.Node].Dead || !this->Reaches(Id, Peer.Node)) {
        Me.Route.onFailure(Peer.Node, Now);
      } else if (!this->isCurrent(Peer.Node)) {
        Me.Route.onStale(Peer.Node, Now);
      } else {
        Me.Route.onSuccess(Peer.Node);
        Me.ProvenAt = std::max(Me.ProvenAt, this->Rows[Peer.Node].ProvenAt);
        Me.HeardAt = Now;
        Me.Relayed = true;
        return;
      }
    }
    bool Old = Now - Me.ProvenAt >= MaxAge;
    if (Now - Me.HeardAt >= SearchTimeout || Old || Before.empty())
      Me.Relayed = false;
    if (!Me.Failed)
      return;
    int Asked = 0;
    for (const NodeInfo &Peer :
         Me.Route.fallbackCandidates(this->Known, this->Nodes[Id], Now))
      if (++Asked <= 2 && this->Reaches(Id, Peer.Node) &&
          !this->Rows[Peer.Node].Dead && this->isCurrent(Peer.Node))
        Me.ProvenAt = std::max(Me.ProvenAt, this->Rows[Peer.Node].ProvenAt);
  }
};

TEST_CASE_METHOD(NewsFixture,
                 "news route: all are calm: one node reads, whatever the size",
                 "[unit]") {
  int Size = GENERATE(9, 60, 295, 910);
  this->build(Size, Size > 100 ? 5 : 3);
  this->run(10000);
  CHECK(this->callsPerSecond(10000) <= 2);
  CHECK(this->oldest() < MaxAge);
}

TEST_CASE_METHOD(
    NewsFixture,
    "news route: the store turns a third of the nodes away: as few "
    "read it, and all know in time",
    "[unit]") {
  this->build(295, 5);
  NodeId First = this->first();
  this->StoreAnswers = [=, this](const NodeId &Id) {
    return Id != First && !this->isThird(Id);
  };
  this->run(9000);
  // Rejected calls add to these.
  CHECK(this->callsPerSecond(9000) <= 25);
  CHECK(this->oldest() < MaxAge + 2 * RoundInterval);
}

TEST_CASE_METHOD(NewsFixture,
                 "news route: the store is gone for all: tries stay few at any "
                 "size, and all know soon after it is back",
                 "[unit]") {
  int Size = GENERATE(9, 60, 295, 910);
  this->build(Size, Size > 100 ? 5 : 3);
  this->StoreAnswers = [](const NodeId &) { return false; };
  this->run(8000);
  // One per node when its state is too old, and some 50 a second together.
  CHECK(this->Calls <= Size + 8 * 80);
  this->StoreAnswers = [](const NodeId &) { return true; };
  this->run(1500);
  CHECK(this->oldest() < MaxAge);
}

TEST_CASE_METHOD(NewsFixture,
                 "news route: the node that reads for all is killed: another "
                 "one reads, not many",
                 "[unit]") {
  this->build(295, 5);
  this->Rows[this->first()].Dead = true;
  this->run(8000);
  CHECK(this->callsPerSecond(8000) <= 4);
  CHECK(this->oldest() < MaxAge);
}

TEST_CASE_METHOD(NewsFixture,
                 "news route: a third of the nodes are killed: few others read "
                 "the store",
                 "[unit]") {
  this->build(295, 5);
  for (auto &[Id, Row] : this->Rows)
    Row.Dead = this->isThird(Id);
  this->run(8000);
  CHECK(this->callsPerSecond(8000) <= 8);
  CHECK(this->oldest() < MaxAge);
}

TEST_CASE_METHOD(NewsFixture,
                 "news route: a data centre is cut off with the store beyond: "
                 "its nodes try rarely",
                 "[unit]") {
  this->build(295, 5);
  auto Cut = [this](const NodeId &Id) {
    return this->Nodes[Id].DataCentre == DataCentreId("c1");
  };
  this->StoreAnswers = [=](const NodeId &Id) { return !Cut(Id); };
  this->Reaches = [=](const NodeId &Id, const NodeId &Other) {
    return Cut(Id) == Cut(Other);
  };
  this->run(6000);
  CHECK(this->Calls <= 59 + 6 * 20);
}

TEST_CASE_METHOD(NewsFixture,
                 "news route: a large data centre: each is asked by a few, "
                 "nobody by all",
                 "[unit]") {
  this->build(100, 1);
  const std::vector<NodeInfo> &Order = this->Known.readers(DataCentreId("c0"));
  UpstreamSelector Route;
  CHECK(Route.nextCandidates(this->Known, Order[0], at(0)).empty());
  // A node that the directory does not list yet asks the nodes that it will ask
  // once it is listed.
  NodeInfo Unlisted = Order[1];
  Unlisted.Node = NodeId("unlisted");
  std::vector<NodeInfo> Before =
      Route.nextCandidates(this->Known, Unlisted, at(0));
  NodeTable WithIt = this->Nodes;
  WithIt[Unlisted.Node] = Unlisted;
  std::vector<NodeInfo> Listed =
      Route.nextCandidates(NodeRanking(WithIt), Unlisted, at(0));
  REQUIRE_FALSE(Before.empty());
  CHECK(std::equal(Before.begin(), Before.end(), Listed.begin(), Listed.end(),
                   [](const NodeInfo &Left, const NodeInfo &Right) {
                     return Left.Node == Right.Node;
                   }));
  std::map<NodeId, int> Askers;
  for (std::size_t I = 1; I < Order.size(); ++I) {
    std::vector<NodeInfo> Asked =
        Route.nextCandidates(this->Known, Order[I], at(0));
    REQUIRE_FALSE(Asked.empty());
    ++Askers[Asked.front().Node];
    // The first node is requested if the assigned one fails.
    CHECK((Asked.front().Node == Order[0].Node ||
           Asked[1].Node == Order[0].Node));
  }
  for (const auto &[Node, Count] : Askers)
    CHECK(Count <= 12);
}

TEST_CASE_METHOD(NewsFixture,
                 "news route: one does not answer: left alone, and the next "
                 "before this node is asked",
                 "[unit]") {
  this->build(100, 1);
  const std::vector<NodeInfo> &Order = this->Known.readers(DataCentreId("c0"));
  UpstreamSelector Route;
  NodeId Given =
      Route.nextCandidates(this->Known, Order[30], at(0)).front().Node;
  Route.onFailure(Given, at(0));
  CHECK(Route.nextCandidates(this->Known, Order[30], at(100)).front().Node ==
        Order[0].Node);
  Route.onStale(Order[0].Node, at(100));
  CHECK(Route.nextCandidates(this->Known, Order[30], at(200)).front().Node ==
        Order[1].Node);
  // A node with stale updates is retried sooner than one that is dead.
  CHECK(Route.nextCandidates(this->Known, Order[30], at(600)).front().Node ==
        Order[0].Node);
  Route.onSuccess(Given);
  CHECK(Route.nextCandidates(this->Known, Order[30], at(600)).front().Node ==
        Given);
}

/// The nodes of one data centre restart together, and each needs the state from
/// its upstream node, over the link of that node.
class RestartFixture {
public:
  static constexpr double FillMb = 0.1;
  static constexpr double BytesPerBit = 1.0 / 8;

  void build(int Count, int Fast) {
    for (int I = 0; I < Count; ++I) {
      NodeInfo Row;
      Row.Node = NodeId("n" + std::to_string(I));
      Row.DataCentre = DataCentreId("c0");
      Row.LinkMbps = I < Fast ? 200 : 20;
      this->Nodes[Row.Node] = Row;
    }
    this->Order = NodeRanking(this->Nodes).readers(DataCentreId("c0"));
  }
  /// When the last node has the state, in seconds after the first.
  double lastFilled() const {
    std::map<std::size_t, int> Askers;
    for (std::size_t I = 1; I < this->Order.size(); ++I)
      ++Askers[*upstreamPlace(this->Order, I)];
    std::vector<double> At(this->Order.size(), 0);
    for (std::size_t I = 1; I < this->Order.size(); ++I) {
      std::size_t From = *upstreamPlace(this->Order, I);
      REQUIRE(From < I);
      double MbPerSecond = this->Order[From].LinkMbps * BytesPerBit;
      At[I] = At[From] + Askers[From] * FillMb / MbPerSecond;
    }
    return *std::max_element(At.begin(), At.end());
  }
  NodeTable Nodes;
  std::vector<NodeInfo> Order;
};

TEST_CASE_METHOD(RestartFixture,
                 "news route: all restart, a few links are fast: the last node "
                 "knows all in a quarter of a second",
                 "[unit]") {
  this->build(59, 3);
  CHECK(this->lastFilled() < 0.25);
}

TEST_CASE_METHOD(
    RestartFixture,
    "news route: all restart, no link is fast: the last node knows "
    "all in a second",
    "[unit]") {
  this->build(59, 0);
  CHECK(this->lastFilled() < 1.0);
}

} // namespace waycove::test
