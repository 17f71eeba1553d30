// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// The start of all nodes of a system at once, in virtual time: what it costs
// the store, and when the last node knows the feeds.
#include "control/seed_service.h"
#include "policy/upstream_selector.h"
#include "support/entry_settings.h"
#include "support/times.h"
#include "wire/news_frames.h"

#include <catch2/catch.hpp>
#include <random>

namespace waycove::test {

namespace {

constexpr Millis Tick{10};
constexpr std::size_t Seeds = 3;
/// Announcements that a node reads which looks for others.
constexpr std::size_t MaxRead = 32;
constexpr double AnnouncementBytes = 180;
constexpr double RegistryBytes = 2e6;
/// Rates of the store: one partition takes its appends in turn, and all reads
/// share one rate.
constexpr Millis AppendTime{2};
constexpr Millis AnswerTime{4};
constexpr double ReadBytesPerMs = 80e3;
/// A node gives up a call after this time; the store carries it out all the
/// same.
constexpr Millis CallTimeout{900};
constexpr Millis SeedRetry{1500};

} // namespace

/// Nodes that all start at time 0, each driven by the answers of its seed or by
/// its turn at the store.
struct StartFixture {
  struct Node {
    NodeInfo Info;
    /// When it knows all feeds.
    TimePoint ReadyAt = TimePoint::max();
    TimePoint DueAt;
    TimePoint NextSource;
    std::vector<NodeInfo> Upstream;
    bool Reads = false;
    std::optional<std::size_t> StoreSeed;
  };

  void build(std::size_t Count, std::size_t Centres) {
    std::mt19937_64 Random(11);
    for (std::size_t I = 0; I < Count; ++I) {
      Node Row;
      std::size_t Centre = I % Centres;
      Row.Info.Node = NodeId("n" + std::to_string(I));
      Row.Info.DataCentre = DataCentreId("c" + std::to_string(Centre));
      Row.Info.LinkMbps = I / Centres < 10 ? 1000 : 20;
      Row.DueAt = at(0) + Millis(static_cast<std::int64_t>(Random() % 400));
      this->Rows.push_back(Row);
    }
  }

  /// When a read of \p Bytes that starts now is answered. Reads share a rate.
  TimePoint read(double Bytes) {
    ++this->Calls;
    this->ReadBytes += Bytes;
    auto Duration = std::chrono::microseconds(
        static_cast<std::int64_t>(Bytes / ReadBytesPerMs * 1000));
    this->ReadsFree = std::max(this->ReadsFree, this->Now) + Duration;
    return this->ReadsFree + AnswerTime;
  }
  TimePoint append() {
    ++this->Calls;
    this->AppendsFree = std::max(this->AppendsFree, this->Now) + AppendTime;
    return this->AppendsFree;
  }

  void askSeed(Node &Row, std::size_t Seed) {
    bool Complete = this->Now >= at(500);
    JoinTable &Joins = this->Joined[Seed];
    Joins.add(Row.Info, std::string(AnnouncementBytes, 'x'), this->Now);
    NodeRanking Known(Joins.withJoined(this->Directory));
    JoinAnswer Answer = answerJoin(Known, Row.Info, {}, Complete, this->Now);
    ++this->SeedRequests[Seed];
    Row.Upstream = Answer.Upstream;
    Row.Reads = Answer.ReadsStore;
    Row.DueAt = this->Now + Answer.RetryAfter;
    if (Row.Reads)
      Row.ReadyAt = this->read(RegistryBytes);
  }

  /// Seeds write what joined once in 200 ms.
  void writeJoined() {
    if (this->Now < at(500) || this->Now.time_since_epoch() % Millis(200) !=
                                   TimePoint::duration::zero())
      return;
    for (auto &[Seed, Joins] : this->Joined) {
      JoinTable::Announcements Rows =
          Joins.takeUnwritten(this->Directory, this->Now);
      if (Rows.empty())
        continue;
      TimePoint Done = this->append();
      this->LastAnnounced = std::max(this->LastAnnounced, Done);
      for (const auto &[Id, Bytes] : Rows)
        this->Directory[Id] = Joins.withJoined({})[Id];
    }
  }

  /// Without seeds, a node reads a few announcements from the store in its
  /// turn, and asks one of those nodes as a seed. If there is none, it
  /// announces itself and reads the store.
  void takeTurn(Node &Row, std::size_t Index) {
    if (Row.StoreSeed)
      return this->askSeed(Row, *Row.StoreSeed);
    if (this->Now < at(0) + 2 * SeedRetry + storeTurn(Row.Info.Node))
      return;
    std::vector<std::size_t> Found;
    for (const auto &[Announced, Done] : this->Announced)
      if (Done <= this->Now && Found.size() < MaxRead)
        Found.push_back(Announced);
    TimePoint Done =
        this->read(AnnouncementBytes * static_cast<double>(Found.size()));
    CHECK(Done - this->Now < CallTimeout);
    if (!Found.empty()) {
      Row.StoreSeed = Found[Index % Found.size()];
      return;
    }
    this->Announced.emplace_back(Index, this->append());
    this->Directory[Row.Info.Node] = Row.Info;
    Row.ReadyAt = this->read(RegistryBytes);
  }

  void askUpstream(Node &Row) {
    if (this->Now < Row.NextSource)
      return;
    Row.NextSource = this->Now + Millis(100);
    for (const NodeInfo &Source : Row.Upstream) {
      const Node &Other = this->byId(Source.Node);
      if (Other.ReadyAt > this->Now)
        continue;
      // Deflated feeds of 200 KB over the slower link.
      Row.ReadyAt = this->Now + Millis(Source.LinkMbps >= 200 ? 20 : 100);
      return;
    }
  }

  Node &byId(const NodeId &Id) {
    return this->Rows[static_cast<std::size_t>(std::stoul(Id.Text.substr(1)))];
  }

  /// Runs until every node knows the feeds; returns how long that took.
  Millis run(bool SeedsAlive) {
    constexpr Millis Most{20000};
    for (this->Now = at(0); this->Now < at(0) + Most; this->Now += Tick) {
      std::size_t Waiting = 0;
      for (std::size_t I = 0; I < this->Rows.size(); ++I) {
        Node &Row = this->Rows[I];
        if (Row.ReadyAt <= this->Now)
          continue;
        ++Waiting;
        if (Row.ReadyAt != TimePoint::max())
          continue;
        if (SeedsAlive && this->Now >= Row.DueAt)
          this->askSeed(Row, I % Seeds);
        else if (!SeedsAlive && this->Now >= Row.DueAt)
          this->takeTurn(Row, I);
        this->askUpstream(Row);
      }
      this->writeJoined();
      if (Waiting == 0 && this->Directory.size() == this->Rows.size())
        return std::chrono::duration_cast<Millis>(this->Now - at(0));
    }
    return Most;
  }

  std::vector<Node> Rows;
  /// By seed.
  std::map<std::size_t, JoinTable> Joined;
  std::map<std::size_t, std::size_t> SeedRequests;
  /// Nodes that announced themselves, and when the store had that.
  std::vector<std::pair<std::size_t, TimePoint>> Announced;
  NodeTable Directory;
  TimePoint Now;
  TimePoint ReadsFree;
  TimePoint AppendsFree;
  TimePoint LastAnnounced;
  std::size_t Calls = 0;
  double ReadBytes = 0;
};

// Guards against a start whose calls to the store grow with the number of
// nodes, which the store does not answer in time.
TEST_CASE_METHOD(StartFixture,
                 "start: 9, 984 and 2,000 nodes with seeds: a few calls to the "
                 "store for all, and all know the feeds soon",
                 "[unit]") {
  std::size_t Count = GENERATE(9U, 984U, 2000U);
  this->build(Count, Count < 100 ? 3 : 5);
  Millis Took = this->run(true);
  CHECK(Took < Millis(6000));
  CHECK(this->Calls <= 40);
  // A few copies of the registry, for any number of nodes.
  CHECK(this->ReadBytes <= 6 * RegistryBytes);
  // The first request of each node, and a bounded rate after that.
  constexpr double RequestsPerSecond = 250;
  for (const auto &[Seed, Requests] : this->SeedRequests)
    CHECK(static_cast<double>(Requests) <=
          static_cast<double>(Count) / Seeds + 1 +
              RequestsPerSecond * std::chrono::duration<double>(Took).count());
}

// Guards against a start that never ends where no seed is there to ask.
TEST_CASE_METHOD(StartFixture,
                 "start: 984 and 2,000 nodes, every seed dead: turns at the "
                 "store, no call lasts longer than its timeout",
                 "[unit]") {
  std::size_t Count = GENERATE(984U, 2000U);
  this->build(Count, 5);
  Millis Took = this->run(false);
  CHECK(Took < Millis(10000));
  CHECK(this->Calls <= 3 * Count);
  CHECK(this->ReadBytes <=
        6 * RegistryBytes +
            static_cast<double>(Count * Count) * AnnouncementBytes);
}

// Guards against a seed that answers with nodes that the asking one could not
// reach.
TEST_CASE("start: an upstream node is down: the seed names others", "[unit]") {
  NodeTable Nodes;
  for (int I = 0; I < 30; ++I) {
    NodeInfo Info;
    Info.Node = NodeId("n" + std::to_string(I));
    Info.DataCentre = DataCentreId("c");
    Nodes[Info.Node] = Info;
  }
  NodeRanking Known(Nodes);
  const std::vector<NodeInfo> &Order = Known.readers(DataCentreId("c"));
  JoinAnswer First = answerJoin(Known, Order[20], {}, true, at(0));
  REQUIRE_FALSE(First.Upstream.empty());
  JoinAnswer Second =
      answerJoin(Known, Order[20], {First.Upstream[0].Node}, true, at(0));
  REQUIRE_FALSE(Second.Upstream.empty());
  CHECK(Second.Upstream[0].Node != First.Upstream[0].Node);
  CHECK_FALSE(Second.ReadsStore);
  // The first of all has nobody to ask.
  CHECK(answerJoin(Known, Order[0], {}, true, at(0)).ReadsStore);
  // A seed that has just started does not know that yet.
  CHECK_FALSE(answerJoin(Known, Order[0], {}, false, at(0)).ReadsStore);
}

/// A seed and a node's request to join.
struct SeedFixture {
  static Settings settings() {
    Settings Config = entrySettings();
    Config.Node = NodeId("seed");
    Config.DataCentre = DataCentreId("c");
    return Config;
  }
  wire::JoinAnswerT join(const NodeInfo &Who) {
    wire::JoinT Request;
    std::string Bytes = packAnnouncement({Who, {}});
    Request.announcement.assign(Bytes.begin(), Bytes.end());
    return this->Service.respond(Request);
  }
  EntryBoard Board{settings(), IncarnationId("i")};
  SeedService Service{Board};
};

// Guards against a directory with nodes that nobody can reach.
TEST_CASE_METHOD(SeedFixture,
                 "seed: a request that is damaged or names no address: nobody "
                 "joins",
                 "[unit]") {
  wire::JoinT Damaged;
  Damaged.announcement = {1, 2, 3};
  CHECK(this->Service.respond(Damaged).upstream.empty());
  NodeInfo Nameless;
  Nameless.Host = "10.0.0.1";
  this->join(Nameless);
  NodeInfo Homeless;
  Homeless.Node = NodeId("n");
  this->join(Homeless);
  CHECK(this->Board.Joins.read(
      [](const JoinTable &Joins) { return Joins.empty(); }));
  Homeless.Host = "10.0.0.1";
  this->join(Homeless);
  CHECK_FALSE(this->Board.Joins.read(
      [](const JoinTable &Joins) { return Joins.empty(); }));
}

TEST_CASE("seed: announcements: written once, again if that failed or the "
          "directory does not show them",
          "[unit]") {
  JoinTable Joins;
  NodeInfo Info;
  Info.Node = NodeId("n");
  Info.Host = "10.0.0.1";
  Joins.add(Info, "bytes", at(0));
  JoinTable::Announcements Rows = Joins.takeUnwritten({}, at(0));
  REQUIRE(Rows.size() == 1);
  CHECK(Joins.takeUnwritten({}, at(100)).empty());
  Joins.onWriteFailed(Rows);
  CHECK(Joins.takeUnwritten({}, at(200)).size() == 1);
  CHECK(Joins.takeUnwritten({}, at(6000)).size() == 1);
  // It moved to another address.
  Info.Host = "10.0.0.2";
  Joins.add(Info, "bytes", at(6100));
  CHECK(Joins.takeUnwritten({}, at(6100)).size() == 1);
  NodeTable Listed{{Info.Node, Info}};
  CHECK(Joins.takeUnwritten(Listed, at(20000)).empty());
  Joins.prune(Listed, at(20000));
  CHECK(Joins.empty());
}

} // namespace waycove::test
