// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// What nodes exchange: feeds with their proofs and observations of targets, and
// how upstream nodes are selected.
#include "control/shared_observations.h"
#include "policy/choice.h"
#include "policy/connections.h"
#include "policy/node_rank.h"
#include "support/times.h"
#include "wire/news_frames.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

KeyedPage page(std::uint64_t Next, std::vector<KeyedRecord> Records,
               bool IsSnapshot = false) {
  KeyedPage Page;
  Page.Next = atOffset(Next);
  Page.Records = std::move(Records);
  Page.IsSnapshot = IsSnapshot;
  Page.ProvenAt = at(static_cast<int>(Next));
  return Page;
}

std::vector<std::string> keysOf(const KeyedPage &Page) {
  std::vector<std::string> Keys;
  for (const KeyedRecord &Row : Page.Records)
    Keys.push_back(Row.Key + (Row.Value ? "=" + *Row.Value : "-"));
  return Keys;
}

using Keys = std::vector<std::string>;

/// Bytes that do not shrink when deflated.
std::string noise(std::size_t Size) {
  std::string Bytes;
  for (std::uint64_t I = 0; Bytes.size() < Size; ++I) {
    std::uint64_t Bits = mixHash(I, Size);
    for (unsigned Byte = 0; Byte < sizeof(Bits); ++Byte)
      Bytes.push_back(static_cast<char>(Bits >> (8 * Byte)));
  }
  return Bytes;
}

} // namespace

/// A cache that applied a whole page, then changes and a deletion.
struct FeedFixture {
  FeedFixture() {
    this->Cache.merge(page(10, {{"a", "1"}, {"b", "1"}}, true), at(0));
    this->Cache.merge(page(12, {{"b", "2"}, {"c", "1"}}), at(0));
    this->Cache.merge(page(13, {{"a", std::nullopt}}), at(0));
  }
  FeedCache Cache;
};

TEST_CASE_METHOD(FeedFixture, "feed cache: asked from an offset: what is newer",
                 "[unit]") {
  CHECK(keysOf(this->Cache.since(atOffset(10))) == Keys{"a-", "b=2", "c=1"});
  CHECK(keysOf(this->Cache.since(atOffset(12))) == Keys{"a-"});
  CHECK(keysOf(this->Cache.since(atOffset(13))).empty());
  CHECK(keysOf(this->Cache.snapshot()) == Keys{"b=2", "c=1"});
}

/// The cache after the store was restored from an older copy.
struct RestoredFeedFixture : FeedFixture {
  static KeyedPage pageOfEra(std::uint64_t Next,
                             std::vector<KeyedRecord> Records,
                             bool IsSnapshot) {
    KeyedPage Page = page(Next, std::move(Records), IsSnapshot);
    Page.Next = atOffset(Next, 1);
    return Page;
  }
  RestoredFeedFixture() {
    this->Cache.merge(
        pageOfEra(11, {{"b", "1", atOffset(9, 1)}, {"d", "1", atOffset(11, 1)}},
                  true),
        at(20));
  }
};

TEST_CASE_METHOD(RestoredFeedFixture,
                 "feed cache: the store came back with smaller offsets: what "
                 "it holds is taken",
                 "[unit]") {
  CHECK(this->Cache.next() == atOffset(11, 1));
  CHECK(keysOf(this->Cache.snapshot()) == Keys{"b=1", "d=1"});
  this->Cache.merge(pageOfEra(12, {{"b", "3"}}, false), at(30));
  CHECK(keysOf(this->Cache.since(atOffset(11, 1))) == Keys{"b=3"});
}

TEST_CASE_METHOD(RestoredFeedFixture,
                 "feed cache: asked from before the store came back: all of it",
                 "[unit]") {
  // The same offset denotes other records in the new era.
  for (std::uint64_t From : {5, 11, 13, 90}) {
    KeyedPage Page = this->Cache.since(atOffset(From));
    CHECK(Page.IsSnapshot);
    CHECK(keysOf(Page) == Keys{"b=1", "d=1"});
  }
  // A node that has read the copy gets what changed since, even if this node
  // knew the value before.
  this->Cache.merge(pageOfEra(12, {{"b", "2", atOffset(12, 1)}}, false),
                    at(30));
  CHECK(keysOf(this->Cache.since(atOffset(11, 1))) == Keys{"b=2"});
}

TEST_CASE_METHOD(RestoredFeedFixture,
                 "feed cache: a value is as it was before the store came back: "
                 "news to who knows the copy's",
                 "[unit]") {
  FeedCache Late;
  Late.merge(page(13, {{"b", "2"}}, true), at(0));
  // It reads the store after the value was written again.
  Late.merge(pageOfEra(12, {{"b", "2", atOffset(12, 1)}}, true), at(30));
  CHECK(keysOf(Late.since(atOffset(11, 1))) == Keys{"b=2"});
}

TEST_CASE_METHOD(RestoredFeedFixture,
                 "feed cache: news of an earlier era, or of a part of a later "
                 "one: not taken",
                 "[unit]") {
  KeyedPage Earlier = page(99, {{"z", "1"}}, true);
  Earlier.ProvenAt = at(500);
  CHECK_FALSE(this->Cache.merge(Earlier, at(510)));
  KeyedPage Part = page(99, {{"z", "1"}});
  Part.Next = atOffset(2, 2);
  CHECK_FALSE(this->Cache.merge(Part, at(510)));
  CHECK(this->Cache.next() == atOffset(11, 1));
  CHECK(keysOf(this->Cache.snapshot()) == Keys{"b=1", "d=1"});
}

TEST_CASE_METHOD(RestoredFeedFixture,
                 "feed news: the store's era goes with the offsets to other "
                 "nodes and back",
                 "[unit]") {
  FeedPacker Packer;
  FeedCache Other;
  for (std::size_t Size : {10U, 10000U}) {
    this->Cache.merge(pageOfEra(12 + Size,
                                {{"c", noise(Size), atOffset(12 + Size, 1)}},
                                false),
                      at(100));
    StorePosition From = Other.next().value_or(atOffset(0));
    auto News = Packer.pack(this->Cache.since(From), From, at(200));
    Other.merge(*unpackFeed(*News, at(150), at(250)), at(250));
    CHECK(Other.next() == this->Cache.next());
    CHECK(keysOf(Other.snapshot()) == keysOf(this->Cache.snapshot()));
  }
  // A later request gets the same response from either node.
  CHECK(keysOf(Other.since(atOffset(22, 1))) ==
        keysOf(this->Cache.since(atOffset(22, 1))));
  CHECK(Other.since(atOffset(22)).IsSnapshot);
}

TEST_CASE_METHOD(FeedFixture, "feed cache: a page from behind: never goes back",
                 "[unit]") {
  KeyedPage Behind = page(11, {{"b", "old"}});
  Behind.ProvenAt = at(50);
  this->Cache.merge(Behind, at(60));
  CHECK(this->Cache.next() == atOffset(13));
  CHECK(keysOf(this->Cache.snapshot()) == Keys{"b=2", "c=1"});
}

TEST_CASE_METHOD(FeedFixture,
                 "feed cache: a whole page: what it lacks is dropped",
                 "[unit]") {
  this->Cache.merge(page(20, {{"c", "3"}}, true), at(0));
  CHECK(keysOf(this->Cache.since(atOffset(13))) == Keys{"b-", "c=3"});
}

TEST_CASE_METHOD(
    FeedFixture,
    "feed cache: a whole page repeats what is known: that is no news",
    "[unit]") {
  this->Cache.merge(page(20, {{"b", "2"}, {"c", "1"}, {"d", "1"}}, true),
                    at(0));
  CHECK(keysOf(this->Cache.since(atOffset(13))) == Keys{"d=1"});
  CHECK(keysOf(this->Cache.since(atOffset(10))) ==
        Keys{"a-", "b=2", "c=1", "d=1"});
  // A value that changed and changed back unseen counts as unchanged.
  this->Cache.merge(page(22, {{"c", "9"}}), at(0));
  this->Cache.merge(page(30, {{"b", "2"}, {"c", "1"}, {"d", "1"}}, true),
                    at(0));
  CHECK(keysOf(this->Cache.since(atOffset(20))) == Keys{"c=1"});
}

TEST_CASE_METHOD(FeedFixture,
                 "feed cache: a drop was forgotten: the whole is given",
                 "[unit]") {
  this->Cache.merge(page(14, {{"d", "1"}}), at(120000));
  KeyedPage Page = this->Cache.since(atOffset(12));
  CHECK(Page.IsSnapshot);
  CHECK(keysOf(Page) == Keys{"b=2", "c=1", "d=1"});
  CHECK_FALSE(this->Cache.since(atOffset(13)).IsSnapshot);
}

TEST_CASE_METHOD(FeedFixture,
                 "feed cache: a page from behind: it proves nothing newer",
                 "[unit]") {
  TimePoint Proven = this->Cache.provenAt();
  KeyedPage Behind = page(11, {});
  Behind.ProvenAt = at(5000);
  CHECK_FALSE(this->Cache.merge(Behind, at(5010)));
  CHECK(this->Cache.provenAt() == Proven);
}

TEST_CASE_METHOD(
    FeedFixture,
    "feed cache: told that the store was away, with a proof of its "
    "own from then: nothing is held",
    "[unit]") {
  KeyedPage Own = page(13, {});
  Own.ProvenAt = at(8800);
  this->Cache.merge(Own, at(9900));
  // Another node had lost the store until 10,000.
  KeyedPage Told = page(14, {{"b", std::nullopt}});
  Told.ProvenAt = at(10000);
  Told.RetainUntil = at(10000) + FeedCache::RecoveryTimeout;
  this->Cache.merge(Told, at(10100));
  CHECK(this->Cache.since(atOffset(13)).RetainUntil == TimePoint());
  // Without such a proof, lapsed entries may come back until then.
  FeedFixture Other;
  Other.Cache.merge(Told, at(10100));
  CHECK(Other.Cache.since(atOffset(13)).RetainUntil == Told.RetainUntil);
}

// Guards against deletions that an upstream node missed while it restarted.
TEST_CASE("feed cache: a node has just started: one that is behind it learns "
          "what went before that",
          "[unit]") {
  FeedCache Behind;
  Behind.merge(page(10, {{"a", "1"}, {"b", "1"}}, true), at(0));
  FeedCache Started;
  Started.merge(page(12, {{"b", "1"}}, true), at(0));
  Behind.merge(Started.since(atOffset(10)), at(100));
  CHECK(keysOf(Behind.snapshot()) == Keys{"b=1"});
  CHECK_FALSE(Started.since(atOffset(12)).IsSnapshot);
}

TEST_CASE("feed cache: more changed than goes into an answer: it comes in "
          "parts, and none of them proves anything of the rest",
          "[unit]") {
  FeedCache Reader;
  Reader.merge(page(1, {{"k0", "1"}}, true), at(0));
  KeyedPage Changes = page(101, {});
  for (std::uint64_t I = 1; I <= 100; ++I)
    Changes.Records.push_back(
        {"k" + std::to_string(I), std::string(100, 'v'), atOffset(I + 1)});
  Reader.merge(Changes, at(10));
  FeedCache Behind;
  Behind.merge(page(1, {{"k0", "1"}}, true), at(0));
  TimePoint Proven = Behind.provenAt();
  unsigned Parts = 0;
  for (bool More = true; More; ++Parts) {
    KeyedPage Part = Reader.since(*Behind.next(), 1000);
    More = Part.Partial;
    if (More) {
      CHECK(Part.Records.size() <= 10);
      Part.ProvenAt = TimePoint();
    }
    REQUIRE(Behind.merge(Part, at(20)));
    CHECK((Behind.provenAt() == Proven) == More);
  }
  CHECK(Parts == 12);
  CHECK(Behind.next() == Reader.next());
  CHECK(keysOf(Behind.snapshot()) == keysOf(Reader.snapshot()));
  // It passes on what it knows in parts as well.
  CHECK(Behind.since(atOffset(1), 1000).Partial);
}

TEST_CASE("feed cache: one record is larger than an answer: it comes alone",
          "[unit]") {
  FeedCache Reader;
  Reader.merge(page(1, {}, true), at(0));
  KeyedPage Changes = page(3, {});
  Changes.Records = {{"large", std::string(5000, 'v'), atOffset(2)},
                     {"small", std::string("v"), atOffset(3)}};
  Reader.merge(Changes, at(10));
  KeyedPage Part = Reader.since(atOffset(1), 1000);
  CHECK(Part.Partial);
  CHECK(Part.Next == atOffset(2));
  CHECK(keysOf(Part).size() == 1);
}

TEST_CASE("feed cache: nothing known: changes alone are not taken", "[unit]") {
  FeedCache Cache;
  CHECK_FALSE(Cache.merge(page(5, {{"a", "1"}}), at(0)));
  CHECK_FALSE(Cache.next());
}

TEST_CASE("news: a page sent on: never looks newer than it is", "[unit]") {
  KeyedPage Page = page(7, {{"a", "1"}, {"b", std::nullopt}});
  Page.ProvenAt = at(100);
  Page.RetainUntil = at(900);
  // The other process' clock is 5 s ahead; its request was sent at 5,350.
  FeedPacker Packer;
  KeyedPage Got =
      *unpackFeed(*Packer.pack(Page, atOffset(), at(400)), at(5350), at(5410));
  CHECK(Got.Next == Page.Next);
  CHECK(keysOf(Got) == Keys{"a=1", "b-"});
  CHECK(Got.ProvenAt <= at(5100));
  CHECK(Got.ProvenAt >= at(5000));
  CHECK(Got.RetainUntil >= at(5900));
}

TEST_CASE("news: an announcement: read back, damage refused", "[unit]") {
  NodeInfo Node{NodeId("n"), IncarnationId("i"), DataCentreId("a"), "10.0.0.1",
                7000};
  CrashEvidenceMap Blamed;
  for (SuspectKind Kind : {SuspectKind::Request, SuspectKind::PromptPart}) {
    CrashEvidence &Known = Blamed[{Kind, ContentHash(7)}];
    Known.CrashedTargets = {TargetHash(1), TargetHash(2), TargetHash(3)};
    Known.ServedBefore = Kind == SuspectKind::PromptPart;
    Known.Recurred = true;
  }
  std::string Bytes = packAnnouncement({Node, Blamed});
  CHECK(unpackAnnouncement(Bytes)->Node.Port == 7000);
  CHECK(unpackAnnouncement(Bytes)->Blamed == Blamed);
  CHECK_FALSE(unpackAnnouncement(Bytes.substr(0, Bytes.size() / 2)).ok());
  CHECK_FALSE(unpackAnnouncement("").ok());
}

/// Reports of other nodes on the load of one head.
struct LoadReportFixture {
  static TargetLoads rows(unsigned InFlight, unsigned Responding,
                          int SilentMs) {
    TargetLoad Load;
    Load.InFlight = InFlight;
    Load.Responding = Responding;
    Load.SilentFor = Millis(SilentMs);
    return {{Head, Load}};
  }
  static constexpr TargetHash Head{7};
  TargetLoadReports Book;
};

TEST_CASE_METHOD(LoadReportFixture,
                 "load news: several nodes report: each hears of the others",
                 "[unit]") {
  this->Book.addReport(NodeId("a"), rows(2, 1, 50), at(0));
  this->Book.addReport(NodeId("b"), rows(3, 3, 400), at(0));
  this->Book.addCentreReport(NodeId("far"), rows(10, 10, 90), at(0));
  CHECK(this->Book.sumForReader(rows(1, 0, 0), NodeId("a"), at(10))[Head]
            .InFlight == 14);
  CHECK(this->Book.sumOfOthers(at(10))[Head].InFlight == 15);
  // A data centre does not get its own report back.
  CHECK(this->Book.sumForUpstream(rows(1, 0, 0), at(10))[Head].InFlight == 6);
}

TEST_CASE_METHOD(LoadReportFixture,
                 "load news: a report ages: it counts no more", "[unit]") {
  this->Book.addReport(NodeId("a"), rows(2, 1, 50), at(0));
  CHECK(this->Book.sumOfOthers(at(2000)).empty());
}

TEST_CASE_METHOD(LoadReportFixture,
                 "load news: one answer moves: the target stands not still",
                 "[unit]") {
  this->Book.addReport(NodeId("a"), rows(2, 2, 900), at(0));
  CHECK(this->Book.sumOfOthers(at(1))[Head].isStalled());
  this->Book.addReport(NodeId("b"), rows(1, 1, 40), at(0));
  CHECK_FALSE(this->Book.sumOfOthers(at(1))[Head].isStalled());
  this->Book.addReport(NodeId("b"), rows(1, 0, 40), at(0));
  CHECK(this->Book.sumOfOthers(at(1))[Head].isStalled());
}

TEST_CASE("vitals: a target stands still elsewhere: known here without a send",
          "[unit]") {
  TargetStatsTable Stats;
  VmIncarnation Head{VmId("head"), {}};
  TargetLoad Load;
  Load.InFlight = Load.Responding = 4;
  Load.SilentFor = Millis(600);
  Stats.setReports({{hashOf(Head), Load}}, at(0));
  CHECK(Stats.isStalled(Head, at(100)));
  CHECK(Stats.silence(Head, at(100)) == Millis(600));
  // Progress here shows that the other nodes are the ones cut off.
  Stats.onStart(Head, 10, at(50));
  Stats.onFirstByte(Head, at(50), 10, at(90));
  CHECK_FALSE(Stats.isStalled(Head, at(100)));
  // Old reports do not count.
  CHECK(Stats.silence({VmId("head2"), {}}, at(100)) == Millis(0));
  CHECK(Stats.reportedLoad(Head, at(3000)) == nullptr);
}

TEST_CASE("vitals: another node left a target: none goes there until answers "
          "move",
          "[unit]") {
  TargetStatsTable Stats;
  VmIncarnation Head{VmId("head"), {}};
  TargetHash Hash(hashText("head"));
  TargetLoad Load;
  // Other nodes no longer use the target, so it would look idle.
  Load.SuspectDuration = Millis(3000);
  Stats.setReports({{Hash, Load}}, at(0));
  CHECK(Stats.isSuspect(Head, at(100)));
  ChoiceQuery Query;
  Query.Now = at(100);
  std::vector<ServingTarget> Rows;
  for (const char *Id : {"head", "other"}) {
    auto Target = std::make_shared<TargetInfo>();
    Target->Id = VmId(Id);
    Rows.push_back({Target, ""});
  }
  for (int I = 0; I < 20; ++I) {
    Query.Random = mixHash(7, static_cast<std::uint64_t>(I));
    CHECK(chooseTarget(Rows, Stats, Query)->Target->Id == VmId("other"));
  }
  // Responses in progress outweigh the suspicion of a node that was cut off.
  Load.InFlight = Load.Responding = 2;
  Load.SilentFor = Millis(40);
  Stats.setReports({{Hash, Load}}, at(0));
  CHECK_FALSE(Stats.isSuspect(Head, at(100)));
}

TEST_CASE("vitals: doubts are told to others: only this node's own", "[unit]") {
  TargetStatsTable Stats;
  VmIncarnation Head{VmId("head"), {}};
  TargetLoad Load;
  Load.SuspectDuration = Millis(3000);
  Stats.setReports({{hashOf(Head), Load}}, at(0));
  CHECK(Stats.loads(at(10)).empty());
  Stats.suspect(Head, at(0), Millis(500));
  CHECK(Stats.loads(at(100)).begin()->second.SuspectDuration == Millis(400));
}

/// Three nodes of one data centre and one of another.
struct RankFixture {
  RankFixture() {
    for (const char *Name : {"n1", "n2", "n3", "n4"})
      this->Nodes[NodeId(Name)] = {NodeId(Name), IncarnationId("i"),
                                   DataCentreId(Name[1] < '4' ? "a" : "b"), "",
                                   1};
  }
  std::vector<NodeInfo> readersOfA() const {
    return NodeRanking(this->Nodes).readers(DataCentreId("a"));
  }
  NodeTable Nodes;
};

TEST_CASE_METHOD(RankFixture,
                 "readers: a node goes: the order of the others stays",
                 "[unit]") {
  std::vector<NodeInfo> All = this->readersOfA();
  REQUIRE(All.size() == 3);
  this->Nodes.erase(All[0].Node);
  std::vector<NodeInfo> Remaining = this->readersOfA();
  REQUIRE(Remaining.size() == 2);
  CHECK(Remaining[0].Node == All[1].Node);
  CHECK(Remaining[1].Node == All[2].Node);
}

TEST_CASE_METHOD(RankFixture,
                 "readers: data centres: one order, the same for all",
                 "[unit]") {
  std::vector<DataCentreId> All = NodeRanking(this->Nodes).centres();
  REQUIRE(All.size() == 2);
  CHECK(All[0] != All[1]);
  this->Nodes.erase(NodeId("n1"));
  CHECK(NodeRanking(this->Nodes).centres() == All);
}

TEST_CASE("readers: one keeps failing: asked ever more rarely", "[unit]") {
  NodeBackoff Failures;
  NodeId Node("n");
  Failures.onFailure(Node, at(0));
  CHECK(Failures.isBackedOff(Node, at(1900)));
  CHECK_FALSE(Failures.isBackedOff(Node, at(2100)));
  Failures.onFailure(Node, at(2100));
  CHECK(Failures.isBackedOff(Node, at(5000)));
  Failures.onSuccess(Node);
  CHECK_FALSE(Failures.isBackedOff(Node, at(5000)));
}

TEST_CASE("connections: many nodes before few targets: within the bound",
          "[unit]") {
  constexpr unsigned Nodes = 79;
  constexpr unsigned MostOfAll = 110;
  for (const char *Target : {"t1", "t2", "t3", "t4"}) {
    unsigned Resting = 0;
    for (unsigned I = 0; I < Nodes; ++I)
      Resting +=
          idleConnectionLimit(MostOfAll, 1.0 / Nodes,
                              NodeId("n" + std::to_string(I)), VmId(Target));
    CHECK(Resting < MostOfAll * 6 / 10);
    CHECK(Resting > 20);
  }
  CHECK(idleConnectionLimit(474, 1.0 / 9, NodeId("n"), VmId("t")) == 8);
  CHECK(idleConnectionLimit(110, 0, NodeId("n"), VmId("t")) == 0);
}

TEST_CASE("news: a record is large: it is left out, its age is told",
          "[unit]") {
  FeedPacker Packer;
  KeyedPage Large = page(20, {{"config", noise(400'000)}});
  auto News = Packer.pack(Large, atOffset(7), at(21));
  CHECK(News->left_out);
  CHECK(News->rows.empty());
  CHECK(News->deflated.empty());
  CHECK(News->proven_age_ms == 1);
  auto Small = Packer.pack(page(20, {{"config", "x"}}), atOffset(19), at(21));
  CHECK_FALSE(Small->left_out);
  CHECK(Small->rows.size() == 1);
}

TEST_CASE("news: large records repeat themselves: they go on deflated",
          "[unit]") {
  // A large configuration.
  std::string Value;
  for (int I = 0; I < 1130; ++I)
    Value += R"({"host":"ficu95.example","path_prefix":"/lohu)" +
             std::to_string(I) +
             R"(/","service":"figo65a","timeout_ms":8000,)"
             R"("type":"streaming","max_attempts":2,"priority":1})";
  KeyedPage Large = page(20, {{"config", Value}, {"gone", std::nullopt}});
  FeedPacker Packer;
  auto News = Packer.pack(Large, atOffset(7), at(21));
  CHECK_FALSE(News->left_out);
  CHECK(News->deflated.size() < MaxUpdateBytes);
  absl::StatusOr<KeyedPage> Got = unpackFeed(*News, at(30), at(31));
  REQUIRE(Got.ok());
  CHECK(keysOf(*Got) == keysOf(Large));
  // A newer version, requested from the same offset, is deflated again.
  KeyedPage Newer = page(21, {{"config", Value + "x"}});
  CHECK(keysOf(*unpackFeed(*Packer.pack(Newer, atOffset(7), at(22)), at(30),
                           at(31))) == keysOf(Newer));
}

TEST_CASE("news: deflated records are damaged: refused", "[unit]") {
  std::vector<std::uint8_t> Bytes =
      deflateRecords({{"a", std::string(5000, 'y')}});
  REQUIRE(inflateRecords(Bytes).ok());
  for (std::size_t I = 0; I < Bytes.size(); ++I) {
    std::vector<std::uint8_t> Damaged = Bytes;
    Damaged[I] ^= 0x5A;
    if (absl::StatusOr<std::vector<KeyedRecord>> Got = inflateRecords(Damaged);
        Got.ok())
      CHECK(Got->size() <= 1);
  }
  Bytes.resize(Bytes.size() / 2);
  CHECK_FALSE(inflateRecords(Bytes).ok());
  CHECK_FALSE(inflateRecords({}).ok());
}

/// What two nodes know of crashes, of which one asks the other.
struct CrashNewsFixture {
  static Settings settingsOf(const std::string &Node) {
    Settings Config;
    Config.Node = NodeId(Node);
    Config.DataCentre = DataCentreId("c");
    Config.Entry.emplace();
    return Config;
  }
  /// The asker sends its request at \p SentMs; the other node takes it at
  /// \p TakenMs.
  void ask(int SentMs, int TakenMs) {
    wire::NewsWantedT Request;
    Request.node = "asker";
    Request.data_centre = "c";
    this->Asker.addTo(Request, this->AskedBoard.nodeInfo(), at(SentMs));
    wire::NewsT Response;
    this->Asked.exchange(Request, Response, at(TakenMs));
    this->Asker.apply(Response, NodeId("asked"), at(SentMs), at(TakenMs));
  }
  std::size_t crashesKnownToAsker() {
    return this->AskerBoard.Crashes.read(
        [](const CrashBlame &Rows) { return Rows.allRows().size(); });
  }
  EntryBoard AskerBoard{settingsOf("asker"), IncarnationId("i")};
  EntryBoard AskedBoard{settingsOf("asked"), IncarnationId("j")};
  SharedObservations Asker{this->AskerBoard};
  SharedObservations Asked{this->AskedBoard};
};

// Guards against a crash that is told to nobody: it is too old for a report
// when a slow request arrives, and was not known when the one before did.
TEST_CASE_METHOD(CrashNewsFixture,
                 "news: a request arrives late after a pause: what changed "
                 "since the last one is told",
                 "[unit]") {
  this->ask(0, 10);
  CrashEvidenceMap Crash;
  Crash[{SuspectKind::PromptPart, ContentHash(7)}].CrashedTargets = {
      TargetHash(1)};
  this->AskedBoard.Crashes.write(
      [&](CrashBlame &Rows) { Rows.merge(Crash, at(20)); });
  SECTION("after a long pause") { this->ask(1400, 1700); }
  SECTION("over a new connection") { this->ask(700, 1580); }
  CHECK(this->crashesKnownToAsker() == 1);
}

} // namespace waycove::test
