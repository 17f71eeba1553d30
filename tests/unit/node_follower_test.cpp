// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// How a node follows the directory of nodes and stays listed there.
#include "control/node_follower.h"
#include "support/cluster.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

/// A directory whose next page is set by the test; counts announcements.
struct FakeDirectory {
  absl::StatusOr<KeyedPage> newest() { return this->Page; }
  absl::StatusOr<KeyedPage> follow(StorePosition, Millis) { return this->Page; }
  absl::Status put(const std::string &, const std::string &Value) {
    ++(Value.empty() ? this->Removals : this->Announcements);
    return absl::OkStatus();
  }
  absl::StatusOr<std::vector<KeyedRecord>> oldest(std::size_t) {
    return this->Page.Records;
  }
  absl::Status putAll(const JoinTable::Announcements &Rows) {
    this->Joined.push_back(Rows.size());
    return this->PutStatus;
  }
  KeyedPage Page;
  /// Sizes of the batches of announcements.
  std::vector<std::size_t> Joined;
  absl::Status PutStatus;
  int Announcements = 0;
  int Removals = 0;
};

Settings settingsOf(const std::string &Node) {
  Settings Config;
  Config.Node = NodeId(Node);
  Config.DataCentre = DataCentreId("a");
  Config.Entry.emplace();
  return Config;
}

KeyedRecord announcementOf(const std::string &Node, std::uint64_t Settled = 0) {
  NodeInfo Info;
  Info.Node = NodeId(Node);
  Info.Incarnation = IncarnationId("i");
  Info.Settled = StoreEra(Settled);
  return {Node, packAnnouncement({Info, {}})};
}

} // namespace

/// A node that read the directory, found another node there, and announced
/// itself because the entry of its earlier incarnation names another address.
struct DirectoryFixture {
  DirectoryFixture() : Board(settingsOf("me"), IncarnationId("i")) {
    this->Directory.Page.Records = {announcementOf("me"),
                                    announcementOf("other")};
    this->Directory.Page.IsSnapshot = true;
    this->Follower.step();
    this->Directory.Page.Records.clear();
    this->Directory.Page.IsSnapshot = false;
    this->Follower.step();
  }
  std::size_t known() { return this->Board.nodes()->nodes().size(); }
  EntryBoard Board;
  FakeDirectory Directory;
  NodeFollower<FakeDirectory, FakeDirectory> Follower{
      this->Board, this->Directory, this->Directory};
};

TEST_CASE_METHOD(DirectoryFixture,
                 "directory: a whole page lacks a node: it is forgotten",
                 "[unit]") {
  REQUIRE(this->known() == 2);
  this->Directory.Page.Records = {announcementOf("me")};
  this->Directory.Page.IsSnapshot = true;
  this->Follower.step();
  CHECK(this->known() == 1);
}

TEST_CASE_METHOD(DirectoryFixture,
                 "directory: an earlier life's drop comes late: announced anew",
                 "[unit]") {
  CHECK(this->Directory.Announcements == 1);
  this->Follower.step();
  CHECK(this->Directory.Announcements == 1);
  this->Directory.Page.Records = {{"me", std::nullopt}};
  this->Follower.step();
  this->Directory.Page.Records.clear();
  this->Follower.step();
  CHECK(this->Directory.Announcements == 2);
}

TEST_CASE_METHOD(DirectoryFixture,
                 "directory: the store came back without this node's "
                 "announcement: announced anew",
                 "[unit]") {
  // The announcement was not read back before the restore.
  REQUIRE(this->Directory.Announcements == 1);
  this->Directory.Page.Records = {announcementOf("other")};
  this->Directory.Page.IsSnapshot = true;
  this->Directory.Page.Next = atOffset(1, 1);
  this->Follower.step();
  this->Directory.Page.Records = {};
  this->Directory.Page.IsSnapshot = false;
  this->Follower.step();
  CHECK(this->Directory.Announcements == 2);
}

/// A node that follows the configuration as well.
struct SettledFixture : DirectoryFixture {
  void showConfig(std::uint64_t Version, std::uint64_t Next,
                  std::uint64_t Era) {
    KeyedPage Page;
    Page.IsSnapshot = true;
    Page.Next = atOffset(Next, Era);
    Page.Versions.Current = ValueVersion(Version);
    Page.ProvenAt = SystemClock{}.now();
    this->Board.feed(FeedKind::Config).merge(Page, Page.ProvenAt);
  }
};

TEST_CASE_METHOD(SettledFixture,
                 "directory: the configuration was written again after a "
                 "restore: noted there once",
                 "[unit]") {
  this->showConfig(19, 7, 0);
  this->Follower.step();
  CHECK(this->Directory.Announcements == 1);
  this->showConfig(6, 3, 1);
  this->Follower.step();
  CHECK(this->Directory.Announcements == 1);
  this->showConfig(22, 4, 1);
  this->Follower.step();
  this->Follower.step();
  CHECK(this->Directory.Announcements == 2);
}

TEST_CASE_METHOD(SettledFixture,
                 "directory: another node noted that the era is settled: known "
                 "to a node that starts in it",
                 "[unit]") {
  FeedCache &Config = this->Board.feed(FeedKind::Config);
  this->showConfig(6, 3, 2);
  CHECK_FALSE(Config.marks().Versions.Settled);
  // The copy holds an announcement about an earlier era.
  this->Directory.Page.Records = {announcementOf("other", 1)};
  this->Follower.step();
  CHECK_FALSE(Config.marks().Versions.Settled);
  this->Directory.Page.Records = {announcementOf("other", 2)};
  this->Follower.step();
  // A proof from before the announcement does not count.
  CHECK_FALSE(Config.marks().Versions.Settled);
  this->showConfig(6, 3, 2);
  CHECK(Config.marks().Versions.Settled);
  // Nothing more has to be announced.
  CHECK(this->Directory.Announcements == 1);
}

TEST_CASE("directory: an earlier life announced the same: nothing is written",
          "[unit]") {
  EntryBoard Board(settingsOf("me"), IncarnationId("second"));
  FakeDirectory Directory;
  Directory.Page.Records = {
      {"me", packAnnouncement({{NodeId("me"), IncarnationId("first"),
                                DataCentreId("a"), "", 0},
                               {}})}};
  Directory.Page.IsSnapshot = true;
  NodeFollower<FakeDirectory, FakeDirectory> Follower{Board, Directory,
                                                      Directory};
  Follower.step();
  Follower.step();
  CHECK(Directory.Announcements == 0);
  // The removal by the earlier incarnation comes late.
  Directory.Page.Records = {{"me", std::nullopt}};
  Directory.Page.IsSnapshot = false;
  Follower.step();
  Follower.step();
  CHECK(Directory.Announcements == 1);
}

TEST_CASE("directory: the whole system starts: announced before anything is "
          "read",
          "[unit]") {
  Settings First = settingsOf("me");
  First.Entry->FirstStart = true;
  EntryBoard Board(First, IncarnationId("i"));
  FakeDirectory Directory;
  NodeFollower<FakeDirectory, FakeDirectory> Follower{Board, Directory,
                                                      Directory};
  Follower.step();
  CHECK(Directory.Announcements == 1);
}

TEST_CASE_METHOD(DirectoryFixture,
                 "directory: a planned stop: this node is dropped, once",
                 "[unit]") {
  this->Board.Stopping = true;
  this->Follower.step();
  this->Follower.step();
  CHECK(this->Directory.Removals == 1);
}

// Guards against nodes that start at once and run a blamed request again.
TEST_CASE("directory: an announcement blames a content: it is refused here",
          "[unit]") {
  const CrashSuspect Content{SuspectKind::Request, ContentHash(7)};
  EntryBoard Board(settingsOf("me"), IncarnationId("i"));
  FakeDirectory Directory;
  NodeInfo Other;
  Other.Node = NodeId("other");
  CrashEvidenceMap Blamed;
  Blamed[Content].CrashedTargets = {TargetHash(1), TargetHash(2),
                                    TargetHash(3)};
  Directory.Page.Records = {{"other", packAnnouncement({Other, Blamed})}};
  Directory.Page.IsSnapshot = true;
  NodeFollower<FakeDirectory, FakeDirectory> Follower{Board, Directory,
                                                      Directory};
  Follower.step();
  CHECK(Board.Crashes.read([&](const CrashBlame &Rows) {
    return Rows.judge({Content}, SystemClock{}.now()).Found;
  }) == CrashBlame::Verdict::Refuse);
}

// Guards against losing new blame when all nodes restart.
TEST_CASE("directory: a content is newly blamed: the first node announces it",
          "[unit]") {
  EntryBoard Board(settingsOf("me"), IncarnationId("i"));
  FakeDirectory Directory;
  Directory.Page.IsSnapshot = true;
  NodeFollower<FakeDirectory, FakeDirectory> Follower{Board, Directory,
                                                      Directory};
  Follower.step();
  Directory.Page.Records = {announcementOf("me")};
  Directory.Page.IsSnapshot = false;
  Follower.step();
  int Before = Directory.Announcements;
  CrashEvidenceMap Blamed;
  Blamed[{SuspectKind::Request, ContentHash(7)}].CrashedTargets = {
      TargetHash(1), TargetHash(2), TargetHash(3)};
  Board.Crashes.write(
      [&](CrashBlame &Rows) { Rows.merge(Blamed, SystemClock{}.now()); });
  CHECK(eventually([&] {
    Follower.step();
    return Directory.Announcements == Before + 1;
  }));
  Follower.step();
  CHECK(Directory.Announcements == Before + 1);
}

} // namespace waycove::test
