// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Which configuration is in force, and whether its keys may be used, where the
// store comes back from a copy that has an older one. What was in force has to
// stay, and what operators may have published since nobody can know from the
// copy: it proves nothing of keys until they have written again.
#include "control/cached_feed.h"
#include "control/config_follow.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

/// Keys are used for \p RevokeBound less a margin after the last proof.
Settings entrySettings(Millis RevokeBound) {
  Settings Config;
  Config.Node = NodeId("n1");
  Config.Entry.emplace();
  Config.Entry->ConfigBound = Millis(2000);
  Config.Entry->RevokeBound = RevokeBound;
  return Config;
}

constexpr Millis ShortBound(300);
/// Longer than operators usually take to write again.
constexpr Millis LongBound = FeedCache::RecoveryTimeout + Millis(500);

/// A value is its version.
struct VersionDecoder {
  static constexpr const char *Key = "config";
  absl::StatusOr<RoutingConfig> operator()(const std::string &Value) const {
    RoutingConfig Config;
    Config.Version = std::stoull(Value);
    return Config;
  }
};

} // namespace

struct ConfigFollowFixture {
  explicit ConfigFollowFixture(Millis RevokeBound = ShortBound)
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
  void mergeMarks(const EraMarks &Told) {
    this->cache().mergeMarks(Told, SystemClock{}.now());
  }
  FeedCache &cache() { return this->Board.feed(FeedKind::Config); }
  /// Zero where none is.
  std::uint64_t inForce() {
    return this->Board.Routing.read(
        [](const RoutingConfigRef &Row) { return Row ? Row->Version : 0; });
  }
  bool mayUseKeys() {
    return this->Board.ConfigLease.holds(SystemClock{}.now());
  }
  void waitOutProof() { std::this_thread::sleep_for(ShortBound); }

  EntryBoard Board;
  CachedFeed Feed{Board.feed(FeedKind::Config)};
  ConfigFollower<CachedFeed, VersionDecoder> Follower{Board, Feed, {}};
};

TEST_CASE_METHOD(ConfigFollowFixture,
                 "config: the store came back with an older version: the newer "
                 "one stays, and its keys are not proven",
                 "[unit]") {
  this->show(19, 7, 0);
  REQUIRE(this->mayUseKeys());
  this->waitOutProof();
  this->show(6, 3, 1);
  CHECK(this->inForce() == 19);
  CHECK_FALSE(this->mayUseKeys());
  // Operators write some of it again, in order: not all yet.
  this->show(15, 4, 1);
  CHECK(this->inForce() == 19);
  CHECK_FALSE(this->mayUseKeys());
  this->show(22, 5, 1);
  CHECK(this->inForce() == 22);
  CHECK(this->mayUseKeys());
}

// It may have lost one that took a key away, and that this node had not seen.
TEST_CASE_METHOD(ConfigFollowFixture,
                 "config: the store came back with the version in force: its "
                 "keys are proven when operators could have written again",
                 "[unit]") {
  this->show(19, 7, 0);
  this->waitOutProof();
  this->show(19, 6, 1);
  CHECK_FALSE(this->mayUseKeys());
  std::this_thread::sleep_for(FeedCache::RecoveryTimeout);
  this->show(19, 6, 1);
  CHECK(this->mayUseKeys());
  // Written again as it was, after another restore that had lost it.
  this->waitOutProof();
  this->show(15, 5, 2);
  CHECK_FALSE(this->mayUseKeys());
  this->show(19, 6, 2);
  CHECK(this->mayUseKeys());
}

TEST_CASE_METHOD(ConfigFollowFixture,
                 "config: the store came back with the version in force, and a "
                 "newer one is written: its keys are proven at once",
                 "[unit]") {
  this->show(19, 7, 0);
  this->waitOutProof();
  this->show(19, 6, 1);
  this->show(22, 7, 1);
  CHECK(this->mayUseKeys());
}

// Operators publish when they have something to publish, which may be minutes
// after the store came back sound: nearly all requests were refused until then.
// What the copy lacks is known here, but for what operators published in the
// last moment before the store went away. For that they have the time that a
// key which was taken away may be in use anyway.
struct LongBoundFixture : ConfigFollowFixture {
  LongBoundFixture() : ConfigFollowFixture(LongBound) {}
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
  CHECK_FALSE(this->mayUseKeys());
  std::this_thread::sleep_for(LongBound - FeedCache::RecoveryTimeout);
  this->show(6, 3, 1);
  CHECK(this->mayUseKeys());
  CHECK(this->inForce() == 19);
  // A node that starts does not know the newer one: it has to wait for
  // operators to write.
  CHECK_FALSE(this->cache().settledEra());
  CHECK_FALSE(this->cache().marks().Versions.Settled);
}

TEST_CASE_METHOD(
    ConfigFollowFixture,
    "config: a node starts long after a restore, as others tell it: "
    "its keys are proven at once",
    "[unit]") {
  KeyedPage Told = pageOf(22, 5, 1);
  Told.Versions.Previous = ValueVersion(19);
  Told.Versions.Settled = true;
  this->cache().merge(Told, SystemClock{}.now());
  this->Follower.step();
  CHECK(this->mayUseKeys());
}

// It lived through the restore, and waits for operators itself.
TEST_CASE_METHOD(
    ConfigFollowFixture,
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
  CHECK_FALSE(this->mayUseKeys());
}

// What operators wrote in that time it could not see.
TEST_CASE_METHOD(ConfigFollowFixture,
                 "config: a node starts after a restore and loses the store "
                 "while it waits for operators: its wait proves no keys",
                 "[unit]") {
  this->show(19, 6, 1);
  std::this_thread::sleep_for(Millis(210));
  this->show(19, 6, 1);
  std::this_thread::sleep_for(Millis(100));
  this->Follower.step();
  CHECK_FALSE(this->mayUseKeys());
  this->show(19, 6, 1);
  CHECK(this->mayUseKeys());
}

// What the other node was shown, and this one was not, may take keys away.
TEST_CASE_METHOD(ConfigFollowFixture,
                 "config: another node has seen operators write again: a proof "
                 "of before proves no keys, a later one does",
                 "[unit]") {
  this->show(19, 7, 0);
  this->waitOutProof();
  this->show(19, 6, 1);
  this->mergeMarks({StoreEra(1), {ValueVersion(22), ValueVersion(19), true}});
  this->Follower.step();
  CHECK_FALSE(this->mayUseKeys());
  this->show(22, 7, 1);
  CHECK(this->mayUseKeys());
}

TEST_CASE_METHOD(ConfigFollowFixture,
                 "config: two restores before operators write again: what the "
                 "first one lost is still missed",
                 "[unit]") {
  this->show(19, 7, 0);
  this->show(6, 3, 1);
  this->show(6, 3, 2);
  this->waitOutProof();
  this->show(15, 4, 2);
  CHECK(this->inForce() == 19);
  CHECK_FALSE(this->mayUseKeys());
}

TEST_CASE_METHOD(ConfigFollowFixture,
                 "config: a node that starts learns that a newer version was "
                 "in force: the copy's is not",
                 "[unit]") {
  this->show(6, 3, 1);
  REQUIRE(this->inForce() == 6);
  // Another node asks, which knew version 19 before the restore.
  this->mergeMarks({StoreEra(1), {ValueVersion(6), ValueVersion(19)}});
  this->Follower.step();
  CHECK(this->inForce() == 0);
  CHECK_FALSE(this->mayUseKeys());
  this->show(15, 4, 1);
  CHECK(this->inForce() == 0);
  this->show(22, 5, 1);
  CHECK(this->inForce() == 22);
  CHECK(this->mayUseKeys());
}

TEST_CASE_METHOD(ConfigFollowFixture,
                 "config: a node that has not seen the restore yet asks: what "
                 "it knows was in force before",
                 "[unit]") {
  this->show(6, 3, 1);
  this->mergeMarks({StoreEra(0), {ValueVersion(19), ValueVersion()}});
  this->Follower.step();
  CHECK(this->inForce() == 0);
  // One that is ahead of this node says nothing of this node's era.
  this->show(22, 5, 1);
  this->mergeMarks({StoreEra(2), {ValueVersion(22), ValueVersion(90)}});
  this->Follower.step();
  CHECK(this->inForce() == 22);
}

TEST_CASE_METHOD(ConfigFollowFixture,
                 "config: another node is ahead, and the store lost nothing: "
                 "what is in force stays",
                 "[unit]") {
  this->show(19, 7, 0);
  this->mergeMarks({StoreEra(0), {ValueVersion(22), ValueVersion()}});
  this->Follower.step();
  CHECK(this->inForce() == 19);
  CHECK(this->mayUseKeys());
}

} // namespace waycove::test
