// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Reading a feed from the store, or leaving that to a neighbour: when the node
// reads itself after all, what a call that hangs may hold up, and what an
// answer proves.
#include "control/cached_feed.h"
#include "control/config_follow.h"
#include "control/store_reader.h"
#include "support/times.h"

#include <catch2/catch.hpp>
#include <thread>

namespace waycove::test {

namespace {

/// A store that counts its reads and has one record. Two connections open it:
/// the first is that of the reads in turn.
struct FakeStore {
  static inline int Opened = 0;
  static inline int Newest = 0;
  static inline int Follows = 0;
  static inline bool HistoryGone = false;
  static inline std::uint64_t End = 7;
  /// How often it came back from an older copy.
  static inline std::uint64_t Era = 0;
  /// The first connection is dead: a call there ends after this time only.
  static inline Millis Hangs{0};
  /// How late each answer is.
  static inline Millis Late{0};
  /// Ends of the waits that it was asked for.
  static inline Millis LastWait{0};

  bool InTurn = false;

  void renew() {}
  absl::StatusOr<KeyedPage> newest() {
    ++Newest;
    if (this->hangs())
      return makeError(ErrorKind::OutcomeUnknown, "Timeout");
    KeyedPage Page;
    Page.IsSnapshot = true;
    Page.Next = atOffset(End, Era);
    Page.Records.push_back({"a", "newest"});
    return Page;
  }
  absl::StatusOr<KeyedPage> follow(StorePosition Asked, Millis Wait) {
    ++Follows;
    LastWait = Wait;
    if (this->hangs())
      return makeError(ErrorKind::OutcomeUnknown, "Timeout");
    if (HistoryGone)
      return makeError(ErrorKind::NotFound, "the history is gone");
    KeyedPage Page;
    // As the platform's: the offset alone is what a question names.
    StorePosition From(StoreEra(Era), Asked.At);
    Page.Next = std::min(From, atOffset(End, Era));
    if (From < atOffset(End, Era)) {
      Page.Next = atOffset(End, Era);
      Page.Records.push_back({"a", "newest"});
    } else {
      std::this_thread::sleep_for(Wait);
    }
    std::this_thread::sleep_for(Late);
    return Page;
  }
  bool hangs() const {
    if (!this->InTurn || Hangs.count() == 0)
      return false;
    std::this_thread::sleep_for(Hangs);
    return true;
  }
  static FakeStore open(EntryBoard &) {
    FakeStore Store;
    Store.InTurn = Opened++ == 0;
    return Store;
  }
  static void reset() {
    Opened = Newest = Follows = 0;
    HistoryGone = false;
    End = 7;
    Era = 0;
    Hangs = Late = LastWait = Millis(0);
  }
};

constexpr Millis DrainBound(400);

Settings entrySettings() {
  Settings Config;
  Config.Node = NodeId("n1");
  Config.Entry.emplace();
  Config.Entry->DrainBound = DrainBound;
  Config.Entry->ConfigBound = Millis(2000);
  Config.Entry->RevokeBound = Millis(1500);
  return Config;
}

} // namespace

/// A node whose neighbour told it all up to offset 7 a moment ago.
struct StoreReaderFixture {
  StoreReaderFixture() : Board(entrySettings(), IncarnationId("i")) {
    FakeStore::reset();
    this->Reader.emplace(this->Board, FeedKind::Registry, &FakeStore::open);
    this->tell(7);
    this->Board.HasUpstream = true;
  }
  void tell(std::uint64_t Next) {
    KeyedPage Page;
    Page.IsSnapshot = true;
    Page.Next = atOffset(Next);
    Page.ProvenAt = SystemClock{}.now();
    this->cache().merge(Page, Page.ProvenAt);
  }
  FeedCache &cache() { return this->Board.feed(FeedKind::Registry); }
  /// Runs the reads in turn and the watch over them in threads of their own for
  /// \p Time.
  void run(Millis Time) {
    TimePoint End = SystemClock{}.now() + Time;
    auto Loop = [&](auto Step) {
      return std::thread([=] {
        while (SystemClock{}.now() < End)
          std::this_thread::sleep_for(std::min(Step(), Millis(20)));
      });
    };
    std::thread Turn = Loop([this] { return this->Reader->step(); });
    std::thread Watch = Loop([this] { return this->Reader->watch(); });
    Turn.join();
    Watch.join();
  }

  EntryBoard Board;
  std::optional<StoreReader<FakeStore>> Reader;
};

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: the neighbour's news are current: the store is "
                 "not read",
                 "[unit]") {
  std::thread Neighbour([&] {
    for (int Rounds = 0; Rounds < 10; ++Rounds) {
      std::this_thread::sleep_for(Millis(50));
      this->tell(7);
    }
  });
  this->run(Millis(450));
  Neighbour.join();
  CHECK(FakeStore::Follows + FakeStore::Newest == 0);
}

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: the neighbour is silent, the store's history "
                 "gone: the newest is read",
                 "[unit]") {
  FakeStore::HistoryGone = true;
  FakeStore::End = 9;
  this->run(Millis(300));
  CHECK(FakeStore::Newest == 1);
  CHECK(FakeStore::Follows <= 2);
  CHECK(this->cache().next() == atOffset(9));
}

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: the neighbour falls silent: the store is read "
                 "before the bound ends",
                 "[unit]") {
  FakeStore::End = 8;
  TimePoint Began = SystemClock{}.now();
  while (this->cache().next() == atOffset(7) &&
         SystemClock{}.now() - Began < Millis(2000))
    this->Reader->step();
  CHECK(SystemClock{}.now() - Began < DrainBound);
  CHECK(FakeStore::Follows == 1);
}

TEST_CASE_METHOD(
    StoreReaderFixture,
    "store reader: the neighbour left out what is large: the newest "
    "is read once",
    "[unit]") {
  FakeStore::End = 8;
  this->Board.feedState(FeedKind::Registry).RecordsOmitted = true;
  this->Reader->step();
  CHECK(this->cache().next() == atOffset(8));
  CHECK(FakeStore::Newest == 1);
  CHECK(FakeStore::Follows == 0);
}

TEST_CASE_METHOD(
    StoreReaderFixture,
    "store reader: its call hangs: what a neighbour tells is there "
    "at once",
    "[unit]") {
  FakeStore::Hangs = Millis(1000);
  this->Board.HasUpstream = false;
  CachedFeed Follower(this->cache());
  std::thread Turn([&] { this->Reader->step(); });
  std::this_thread::sleep_for(Millis(50));
  this->tell(8);
  TimePoint Told = SystemClock{}.now();
  absl::StatusOr<KeyedPage> Page = Follower.follow(atOffset(7), Millis(900));
  CHECK(Page->Next == atOffset(8));
  CHECK(SystemClock{}.now() - Told < Millis(200));
  Turn.join();
}

TEST_CASE_METHOD(
    StoreReaderFixture,
    "store reader: its call hangs and nobody tells it anything: it "
    "asks on another connection before the bound ends",
    "[unit]") {
  FakeStore::Hangs = Millis(1500);
  FakeStore::End = 8;
  this->Board.HasUpstream = false;
  TimePoint Began = SystemClock{}.now();
  std::thread Known([&] {
    CachedFeed Follower(this->cache());
    while (this->cache().next() == atOffset(7) &&
           SystemClock{}.now() - Began < Millis(1400))
      static_cast<void>(Follower.follow(atOffset(7), Millis(20)));
    CHECK(SystemClock{}.now() - Began < DrainBound);
  });
  this->run(Millis(600));
  Known.join();
}

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: the store answers from an older state: that is "
                 "not taken and proves nothing",
                 "[unit]") {
  this->tell(9);
  TimePoint Proven = this->cache().provenAt();
  FakeStore::End = 8;
  this->Board.HasUpstream = false;
  this->Reader->step();
  CHECK(this->cache().next() == atOffset(9));
  CHECK(this->cache().provenAt() == Proven);
  // Where the history behind 9 is gone, there is something newer than 9.
  FakeStore::End = 9;
  FakeStore::HistoryGone = true;
  this->Reader->step();
  this->Reader->step();
  CHECK(FakeStore::Newest == 1);
  CHECK(this->cache().next() == atOffset(9));
  CHECK(this->cache().provenAt() == Proven);
}

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: the store came back from an older copy: all of "
                 "it is read, however far it goes",
                 "[unit]") {
  this->Board.HasUpstream = false;
  for (std::uint64_t End : {3, 7, 9}) {
    FakeStore::End = End;
    ++FakeStore::Era;
    FakeStore::Newest = 0;
    this->Reader->step();
    this->Reader->step();
    CHECK(FakeStore::Newest == 1);
    CHECK(this->cache().next() == atOffset(End, FakeStore::Era));
  }
  // What it says of an offset that it has not any more is as good.
  FakeStore::HistoryGone = true;
  FakeStore::End = 2;
  ++FakeStore::Era;
  this->Reader->step();
  this->Reader->step();
  CHECK(this->cache().next() == atOffset(2, FakeStore::Era));
}

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: the store came back from an older copy: keys "
                 "that it lacks may be written again for a while",
                 "[unit]") {
  this->Board.HasUpstream = false;
  ++FakeStore::Era;
  this->Reader->step();
  this->Reader->step();
  REQUIRE(this->cache().next()->Era == StoreEra(1));
  Millis Left = std::chrono::ceil<Millis>(this->cache().snapshot().RetainUntil -
                                          SystemClock{}.now());
  CHECK(Left > FeedCache::RecoveryTimeout - Millis(500));
  CHECK(Left <= FeedCache::RecoveryTimeout);
}

// 295 nodes lost the store and have it back at the same moment. Each would read
// all 931 targets, 0.4 MB, of which the store gives 80 MB a second in all.
TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: the store came back from an older copy, and a "
                 "neighbour reads it all: this node is told, and reads nothing",
                 "[unit]") {
  this->Board.HasUpstream = false;
  this->Board.FirstInCentre = false;
  this->Board.KnownNodeCount = 3;
  FakeStore::End = 5;
  ++FakeStore::Era;
  std::thread Neighbour([&] {
    std::this_thread::sleep_for(Millis(300));
    KeyedPage Page;
    Page.IsSnapshot = true;
    Page.Next = atOffset(5, FakeStore::Era);
    Page.ProvenAt = SystemClock{}.now();
    this->cache().merge(Page, Page.ProvenAt);
  });
  this->run(Millis(500));
  Neighbour.join();
  CHECK(FakeStore::Newest == 0);
  CHECK(this->cache().next() == atOffset(5, FakeStore::Era));
  // What comes from then on it can follow.
  FakeStore::End = 6;
  this->run(Millis(200));
  CHECK(FakeStore::Newest == 0);
  CHECK(this->cache().next() == atOffset(6, FakeStore::Era));
}

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: the store came back from an older copy, and no "
                 "neighbour tells: this node reads it all, once",
                 "[unit]") {
  this->Board.HasUpstream = false;
  this->Board.FirstInCentre = false;
  this->Board.KnownNodeCount = 3;
  ++FakeStore::Era;
  TimePoint Began = SystemClock{}.now();
  this->run(Millis(1300));
  CHECK(FakeStore::Newest == 1);
  CHECK(this->cache().next() == atOffset(7, FakeStore::Era));
  CHECK(SystemClock{}.now() - Began < Millis(1500));
}

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: an answer from before the store came back: it "
                 "is not taken and proves nothing",
                 "[unit]") {
  this->Board.HasUpstream = false;
  FakeStore::Era = 2;
  FakeStore::End = 3;
  this->Reader->step();
  this->Reader->step();
  REQUIRE(this->cache().next() == atOffset(3, 2));
  TimePoint Proven = this->cache().provenAt();
  FakeStore::Era = 1;
  FakeStore::End = 90;
  this->Reader->step();
  CHECK(this->cache().next() == atOffset(3, 2));
  CHECK(this->cache().provenAt() == Proven);
}

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: an answer brings records late in its wait: the "
                 "next wait is shorter",
                 "[unit]") {
  this->Board.HasUpstream = false;
  FakeStore::Late = Millis(60);
  FakeStore::End = 8;
  this->Reader->step();
  Millis Pause = this->Reader->step();
  // 60 ms of the time between two proofs went while the records were on their
  // way, so the next may wait so much less.
  Millis Span = *this->Board.maxAge(FeedKind::Registry) - Millis(100);
  CHECK(FakeStore::LastWait <= Span - Millis(60));
  CHECK(Pause > Millis(0));
}

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: it takes over from a neighbour: it may tell "
                 "others at once",
                 "[unit]") {
  // What it knows came from the neighbour; nothing new comes meanwhile.
  this->Board.HasUpstream = false;
  REQUIRE_FALSE(
      this->Board.canServeFeed(FeedKind::Registry, SystemClock{}.now()));
  TimePoint Began = SystemClock{}.now();
  this->Reader->step();
  CHECK(SystemClock{}.now() - Began < Millis(50));
  CHECK(this->Board.canServeFeed(FeedKind::Registry, SystemClock{}.now()));
  // From then on it waits for what is new.
  this->Reader->step();
  CHECK(FakeStore::LastWait > Millis(50));
}

/// A node that reads the configuration itself, and the proof of its keys.
struct ProofFixture {
  ProofFixture() : Board(entrySettings(), IncarnationId("i")) {
    FakeStore::reset();
    FakeStore::Late = Millis(60);
    this->Reader.emplace(this->Board, FeedKind::Config, &FakeStore::open);
  }
  struct OneVersion {
    static constexpr const char *Key = "a";
    absl::StatusOr<RoutingConfig> operator()(const std::string &) const {
      RoutingConfig Config;
      Config.Version = 1;
      return Config;
    }
  };
  EntryBoard Board;
  std::optional<StoreReader<FakeStore>> Reader;
};

TEST_CASE_METHOD(ProofFixture,
                 "store reader: answers are late and nothing is new: the proof "
                 "of the keys never ends",
                 "[unit]") {
  CachedFeed Feed(this->Board.feed(FeedKind::Config));
  ConfigFollower<CachedFeed, OneVersion> Follower(this->Board, Feed, {});
  this->Reader->step();
  Follower.step();
  REQUIRE(this->Board.ConfigLease.holds(SystemClock{}.now()));
  for (int Reads = 0; Reads < 3; ++Reads) {
    this->Reader->step();
    CHECK(this->Board.ConfigLease.holds(SystemClock{}.now()));
    Follower.step();
  }
}

} // namespace waycove::test
