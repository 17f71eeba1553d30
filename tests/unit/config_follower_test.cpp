// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Which configuration is in force, and whether its keys are proven, after the
// store was restored from a copy with an older one.
#include "control/cached_feed.h"
#include "control/config_follower.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

/// Keys may be used for \p RevokeBound less a margin after the last proof.
Settings entrySettings(Millis RevokeBound) {
  Settings Config;
  Config.Node = NodeId("n1");
  Config.Entry.emplace();
  Config.Entry->ConfigBound = Millis(2000);
  Config.Entry->RevokeBound = RevokeBound;
  return Config;
}

constexpr Millis ShortBound(300);
/// Longer than the time that operators have to write again.
constexpr Millis LongBound = FeedCache::RecoveryTimeout + Millis(500);

/// Parses a value that is a version number, and finds no memory as often as it
/// is told.
struct VersionDecoder {
  int *Failures = nullptr;
  static constexpr const char *Key = "config";
  static std::optional<DataCentreId> evacuatedCentre(const std::string &) {
    return std::nullopt;
  }
  absl::StatusOr<RoutingConfig> operator()(const std::string &Value) const {
    if (*this->Failures > 0 && (*this->Failures)-- > 0)
      throw std::bad_alloc();
    RoutingConfig Config;
    Config.Version = std::stoull(Value);
    return Config;
  }
};

} // namespace

struct ConfigFollowerFixture {
  explicit ConfigFollowerFixture(Millis RevokeBound = ShortBound)
      : Board(entrySettings(RevokeBound), IncarnationId("i")) {}

  /// The store's feed ends at \p Next in its era \p Era and shows \p Version.
  static KeyedPage pageOf(std::uint64_t Version, std::uint64_t Next,
                          std::uint64_t Era) {
    KeyedPage Page;
    Page.IsSnapshot = true;
    Page.Next = atOffset(Next, Era);
    Page.Records = {{"config", std::to_string(Version)}};
    Page.Versions.Current = ValueVersion(Version);
    Page.ProvenAt = SystemClock{}.now();
    return Page;
  }
  void show(std::uint64_t Version, std::uint64_t Next, std::uint64_t Era) {
    this->cache().merge(pageOf(Version, Next, Era), SystemClock{}.now());
    this->Follower.step();
  }
  void receive(const EraMarks &Marks) {
    this->cache().mergeMarks(Marks, SystemClock{}.now());
  }
  FeedCache &cache() { return this->Board.feed(FeedKind::Config); }
  /// Version in force; zero if there is none.
  std::uint64_t inForce() {
    return this->Board.Routing.read(
        [](const RoutingConfigRef &Row) { return Row ? Row->Version : 0; });
  }
  bool keysProven() {
    return this->Board.ConfigLease.holds(SystemClock{}.now());
  }
  void waitForExpiry() { std::this_thread::sleep_for(ShortBound); }

  EntryBoard Board;
  CachedFeed Feed{Board.feed(FeedKind::Config)};
  int Failures = 0;
  ConfigFollower<CachedFeed, VersionDecoder> Follower{
      Board, Feed, {&this->Failures}};
};

// Guards against a configuration that is never applied, since memory was short
// when it came.
TEST_CASE_METHOD(ConfigFollowerFixture,
                 "config: memory is short when a version comes: it is applied "
                 "in a later step",
                 "[unit]") {
  this->show(1, 1, 0);
  this->Failures = 2;
  CHECK_THROWS_AS(this->show(2, 2, 0), std::bad_alloc);
  CHECK_THROWS_AS(this->Follower.step(), std::bad_alloc);
  CHECK(this->inForce() == 1);
  this->Follower.step();
  CHECK(this->inForce() == 2);
}

TEST_CASE_METHOD(ConfigFollowerFixture,
                 "config: the store came back with an older version: the newer "
                 "one stays, and its keys are not proven",
                 "[unit]") {
  this->show(19, 7, 0);
  REQUIRE(this->keysProven());
  this->waitForExpiry();
  this->show(6, 3, 1);
  CHECK(this->inForce() == 19);
  CHECK_FALSE(this->keysProven());
  // Operators have written only a part of the versions again.
  this->show(15, 4, 1);
  CHECK(this->inForce() == 19);
  CHECK_FALSE(this->keysProven());
  this->show(22, 5, 1);
  CHECK(this->inForce() == 22);
  CHECK(this->keysProven());
}

// Guards against keys whose revocation the restore lost.
TEST_CASE_METHOD(ConfigFollowerFixture,
                 "config: the store came back with the version in force: its "
                 "keys are proven when operators could have written again",
                 "[unit]") {
  this->show(19, 7, 0);
  this->waitForExpiry();
  this->show(19, 6, 1);
  CHECK_FALSE(this->keysProven());
  std::this_thread::sleep_for(FeedCache::RecoveryTimeout);
  this->show(19, 6, 1);
  CHECK(this->keysProven());
  // The same version is written again after another restore that lost it.
  this->waitForExpiry();
  this->show(15, 5, 2);
  CHECK_FALSE(this->keysProven());
  this->show(19, 6, 2);
  CHECK(this->keysProven());
}

TEST_CASE_METHOD(ConfigFollowerFixture,
                 "config: the store came back with the version in force, and a "
                 "newer one is written: its keys are proven at once",
                 "[unit]") {
  this->show(19, 7, 0);
  this->waitForExpiry();
  this->show(19, 6, 1);
  this->show(22, 7, 1);
  CHECK(this->keysProven());
}

// Guards against refusing requests with keys until operators publish again.
struct LongBoundFixture : ConfigFollowerFixture {
  LongBoundFixture() : ConfigFollowerFixture(LongBound) {}
};

TEST_CASE_METHOD(LongBoundFixture,
                 "config: the store came back with an older version and "
                 "operators write nothing: the newer one's keys are proven "
                 "after the bound on revoked keys",
                 "[unit]") {
  this->show(19, 7, 0);
  std::this_thread::sleep_for(LongBound);
  this->show(6, 3, 1);
  std::this_thread::sleep_for(FeedCache::RecoveryTimeout);
  this->show(6, 3, 1);
  CHECK_FALSE(this->keysProven());
  std::this_thread::sleep_for(LongBound - FeedCache::RecoveryTimeout);
  this->show(6, 3, 1);
  CHECK(this->keysProven());
  CHECK(this->inForce() == 19);
  // A node that starts does not know the newer version and has to wait for
  // operators.
  CHECK_FALSE(this->cache().settledEra());
  CHECK_FALSE(this->cache().marks().Versions.Settled);
}

TEST_CASE_METHOD(
    ConfigFollowerFixture,
    "config: a node starts long after a restore, as others tell it: "
    "its keys are proven at once",
    "[unit]") {
  KeyedPage Page = pageOf(22, 5, 1);
  Page.Versions.Previous = ValueVersion(19);
  Page.Versions.Settled = true;
  this->cache().merge(Page, SystemClock{}.now());
  this->Follower.step();
  CHECK(this->keysProven());
}

// The other node waits for operators itself.
TEST_CASE_METHOD(
    ConfigFollowerFixture,
    "config: a node starts during a restore, and another one tells "
    "it what was in force before: that proves no keys yet",
    "[unit]") {
  this->show(19, 6, 2);
  FeedCache Other;
  Other.merge(pageOf(18, 7, 1), SystemClock{}.now());
  Other.merge(pageOf(19, 8, 1), SystemClock{}.now());
  Other.merge(pageOf(19, 6, 2), SystemClock{}.now());
  this->cache().mergeMarks(Other.marks(), SystemClock{}.now());
  this->Follower.step();
  CHECK_FALSE(this->keysProven());
}

// Guards against counting time in which the store could not be read.
TEST_CASE_METHOD(ConfigFollowerFixture,
                 "config: a node starts after a restore and loses the store "
                 "while it waits for operators: its wait proves no keys",
                 "[unit]") {
  this->show(19, 6, 1);
  std::this_thread::sleep_for(Millis(210));
  this->show(19, 6, 1);
  std::this_thread::sleep_for(Millis(100));
  this->Follower.step();
  CHECK_FALSE(this->keysProven());
  this->show(19, 6, 1);
  CHECK(this->keysProven());
}

// Guards against keys that the version seen by the other node revokes.
TEST_CASE_METHOD(ConfigFollowerFixture,
                 "config: another node has seen operators write again: a proof "
                 "of before proves no keys, a later one does",
                 "[unit]") {
  this->show(19, 7, 0);
  this->waitForExpiry();
  this->show(19, 6, 1);
  this->receive({StoreEra(1), {ValueVersion(22), ValueVersion(19), true}});
  this->Follower.step();
  CHECK_FALSE(this->keysProven());
  this->show(22, 7, 1);
  CHECK(this->keysProven());
}

TEST_CASE_METHOD(ConfigFollowerFixture,
                 "config: two restores before operators write again: what the "
                 "first one lost is still missed",
                 "[unit]") {
  this->show(19, 7, 0);
  this->show(6, 3, 1);
  this->show(6, 3, 2);
  this->waitForExpiry();
  this->show(15, 4, 2);
  CHECK(this->inForce() == 19);
  CHECK_FALSE(this->keysProven());
}

TEST_CASE_METHOD(ConfigFollowerFixture,
                 "config: a node that starts learns that a newer version was "
                 "in force: the copy's is not",
                 "[unit]") {
  this->show(6, 3, 1);
  REQUIRE(this->inForce() == 6);
  // A request of another node shows that version 19 was in force before.
  this->receive({StoreEra(1), {ValueVersion(6), ValueVersion(19)}});
  this->Follower.step();
  CHECK(this->inForce() == 0);
  CHECK_FALSE(this->keysProven());
  this->show(15, 4, 1);
  CHECK(this->inForce() == 0);
  this->show(22, 5, 1);
  CHECK(this->inForce() == 22);
  CHECK(this->keysProven());
}

TEST_CASE_METHOD(ConfigFollowerFixture,
                 "config: a node that has not seen the restore yet asks: what "
                 "it knows was in force before",
                 "[unit]") {
  this->show(6, 3, 1);
  this->receive({StoreEra(0), {ValueVersion(19), ValueVersion()}});
  this->Follower.step();
  CHECK(this->inForce() == 0);
  // Marks of a later era say nothing of this node's era.
  this->show(22, 5, 1);
  this->receive({StoreEra(2), {ValueVersion(22), ValueVersion(90)}});
  this->Follower.step();
  CHECK(this->inForce() == 22);
}

TEST_CASE_METHOD(ConfigFollowerFixture,
                 "config: another node is ahead, and the store lost nothing: "
                 "what is in force stays",
                 "[unit]") {
  this->show(19, 7, 0);
  this->receive({StoreEra(0), {ValueVersion(22), ValueVersion()}});
  this->Follower.step();
  CHECK(this->inForce() == 19);
  CHECK(this->keysProven());
}

} // namespace waycove::test
