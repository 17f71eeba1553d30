// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Reading a feed from the store or leaving that to an upstream node: when the
// node reads itself, what a hanging call delays, and what a response proves.
#include "control/cached_feed.h"
#include "control/config_follower.h"
#include "control/store_reader.h"
#include "support/times.h"

#include <catch2/catch.hpp>
#include <thread>

namespace waycove::test {

namespace {

/// A store with one record that counts its reads. The first of two connections
/// is that of the regular reads.
struct FakeStore {
  static inline int Opened = 0;
  static inline int Newest = 0;
  static inline int Follows = 0;
  static inline bool HistoryGone = false;
  static inline std::uint64_t End = 7;
  /// How often it was restored from an older copy.
  static inline std::uint64_t Era = 0;
  /// If set, the first connection is dead and calls there end after this time.
  static inline Millis HangTime{0};
  /// Delay of each response.
  static inline Millis ResponseDelay{0};
  /// Duration of the last wait that was requested.
  static inline Millis LastWait{0};

  bool IsMain = false;

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
  absl::StatusOr<KeyedPage> follow(StorePosition Position, Millis Wait) {
    ++Follows;
    LastWait = Wait;
    if (this->hangs())
      return makeError(ErrorKind::OutcomeUnknown, "Timeout");
    if (HistoryGone)
      return makeError(ErrorKind::NotFound, "the history is gone");
    KeyedPage Page;
    // Like the platform's: a request names the offset alone.
    StorePosition From(StoreEra(Era), Position.At);
    Page.Next = std::min(From, atOffset(End, Era));
    if (From < atOffset(End, Era)) {
      Page.Next = atOffset(End, Era);
      Page.Records.push_back({"a", "newest"});
    } else {
      std::this_thread::sleep_for(Wait);
    }
    std::this_thread::sleep_for(ResponseDelay);
    return Page;
  }
  bool hangs() const {
    if (!this->IsMain || HangTime.count() == 0)
      return false;
    std::this_thread::sleep_for(HangTime);
    return true;
  }
  static FakeStore open(EntryBoard &) {
    FakeStore Store;
    Store.IsMain = Opened++ == 0;
    return Store;
  }
  static void reset() {
    Opened = Newest = Follows = 0;
    HistoryGone = false;
    End = 7;
    Era = 0;
    HangTime = ResponseDelay = LastWait = Millis(0);
  }
};

/// Polls the regular reads once and reads if that is due.
Millis stepMain(StoreReader<FakeStore> &Reader) {
  std::optional<Millis> Pause = Reader.pollMain();
  return Pause ? *Pause : Reader.readMain();
}

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

/// A node that has just received everything up to offset 7 from its upstream
/// node.
struct StoreReaderFixture {
  StoreReaderFixture() : Board(entrySettings(), IncarnationId("i")) {
    FakeStore::reset();
    this->Reader.emplace(this->Board, FeedKind::Registry, &FakeStore::open);
    this->receive(7);
    this->Board.HasUpstream = true;
  }
  void receive(std::uint64_t Next) {
    KeyedPage Page;
    Page.IsSnapshot = true;
    Page.Next = atOffset(Next);
    Page.ProvenAt = SystemClock{}.now();
    this->cache().merge(Page, Page.ProvenAt);
  }
  FeedCache &cache() { return this->Board.feed(FeedKind::Registry); }
  Millis step() { return stepMain(*this->Reader); }
  Millis watch() {
    std::optional<Millis> Pause = this->Reader->pollBackup();
    return Pause ? *Pause : this->Reader->readBackup();
  }
  /// Runs step() and watch() in their own threads for \p Time.
  void run(Millis Time) {
    TimePoint End = SystemClock{}.now() + Time;
    auto Loop = [&](auto Step) {
      return std::thread([=] {
        while (SystemClock{}.now() < End)
          std::this_thread::sleep_for(std::min(Step(), Millis(20)));
      });
    };
    std::thread MainThread = Loop([this] { return this->step(); });
    std::thread WatchThread = Loop([this] { return this->watch(); });
    MainThread.join();
    WatchThread.join();
  }

  EntryBoard Board;
  std::optional<StoreReader<FakeStore>> Reader;
};

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: the neighbour's news are current: the store is "
                 "not read",
                 "[unit]") {
  std::thread Upstream([&] {
    for (int Rounds = 0; Rounds < 10; ++Rounds) {
      std::this_thread::sleep_for(Millis(50));
      this->receive(7);
    }
  });
  this->run(Millis(450));
  Upstream.join();
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
  TimePoint Start = SystemClock{}.now();
  while (this->cache().next() == atOffset(7) &&
         SystemClock{}.now() - Start < Millis(2000))
    std::this_thread::sleep_for(std::min(this->step(), Millis(20)));
  CHECK(SystemClock{}.now() - Start < DrainBound);
  CHECK(FakeStore::Follows == 1);
}

TEST_CASE_METHOD(
    StoreReaderFixture,
    "store reader: the neighbour left out what is large: the newest "
    "is read once",
    "[unit]") {
  FakeStore::End = 8;
  this->Board.feedState(FeedKind::Registry).RecordsOmitted = true;
  this->step();
  CHECK(this->cache().next() == atOffset(8));
  CHECK(FakeStore::Newest == 1);
  CHECK(FakeStore::Follows == 0);
}

TEST_CASE_METHOD(
    StoreReaderFixture,
    "store reader: its call hangs: what a neighbour tells is there "
    "at once",
    "[unit]") {
  FakeStore::HangTime = Millis(1000);
  this->Board.HasUpstream = false;
  CachedFeed Follower(this->cache());
  std::thread MainThread([&] { this->step(); });
  std::this_thread::sleep_for(Millis(50));
  this->receive(8);
  TimePoint ReceivedAt = SystemClock{}.now();
  absl::StatusOr<KeyedPage> Page = Follower.follow(atOffset(7), Millis(900));
  CHECK(Page->Next == atOffset(8));
  CHECK(SystemClock{}.now() - ReceivedAt < Millis(200));
  MainThread.join();
}

TEST_CASE_METHOD(
    StoreReaderFixture,
    "store reader: its call hangs and nobody tells it anything: it "
    "asks on another connection before the bound ends",
    "[unit]") {
  FakeStore::HangTime = Millis(1500);
  FakeStore::End = 8;
  this->Board.HasUpstream = false;
  TimePoint Start = SystemClock{}.now();
  std::thread Known([&] {
    CachedFeed Follower(this->cache());
    while (this->cache().next() == atOffset(7) &&
           SystemClock{}.now() - Start < Millis(1400))
      static_cast<void>(Follower.follow(atOffset(7), Millis(20)));
    CHECK(SystemClock{}.now() - Start < DrainBound);
  });
  this->run(Millis(600));
  Known.join();
}

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: the store answers from an older state: that is "
                 "not taken and proves nothing",
                 "[unit]") {
  this->receive(9);
  TimePoint Proven = this->cache().provenAt();
  FakeStore::End = 8;
  this->Board.HasUpstream = false;
  this->step();
  CHECK(this->cache().next() == atOffset(9));
  CHECK(this->cache().provenAt() == Proven);
  // If the history after 9 is truncated, there has to be something newer.
  FakeStore::End = 9;
  FakeStore::HistoryGone = true;
  this->step();
  this->step();
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
    this->step();
    this->step();
    CHECK(FakeStore::Newest == 1);
    CHECK(this->cache().next() == atOffset(End, FakeStore::Era));
  }
  // The same if the store reports a truncated history.
  FakeStore::HistoryGone = true;
  FakeStore::End = 2;
  ++FakeStore::Era;
  this->step();
  this->step();
  CHECK(this->cache().next() == atOffset(2, FakeStore::Era));
}

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: the store came back from an older copy: keys "
                 "that it lacks may be written again for a while",
                 "[unit]") {
  this->Board.HasUpstream = false;
  ++FakeStore::Era;
  this->step();
  this->step();
  REQUIRE(this->cache().next()->Era == StoreEra(1));
  Millis Remaining = std::chrono::ceil<Millis>(
      this->cache().snapshot().RetainUntil - SystemClock{}.now());
  CHECK(Remaining > FeedCache::RecoveryTimeout - Millis(500));
  CHECK(Remaining <= FeedCache::RecoveryTimeout);
}

// Guards against all nodes reading the whole feed at once after a restore.
TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: the store came back from an older copy, and a "
                 "neighbour reads it all: this node is told, and reads nothing",
                 "[unit]") {
  this->Board.HasUpstream = false;
  this->Board.FirstInCentre = false;
  this->Board.KnownNodeCount = 3;
  FakeStore::End = 5;
  ++FakeStore::Era;
  std::thread Upstream([&] {
    std::this_thread::sleep_for(Millis(300));
    KeyedPage Page;
    Page.IsSnapshot = true;
    Page.Next = atOffset(5, FakeStore::Era);
    Page.ProvenAt = SystemClock{}.now();
    this->cache().merge(Page, Page.ProvenAt);
  });
  this->run(Millis(500));
  Upstream.join();
  CHECK(FakeStore::Newest == 0);
  CHECK(this->cache().next() == atOffset(5, FakeStore::Era));
  // It can follow later changes.
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
  TimePoint Start = SystemClock{}.now();
  this->run(Millis(1300));
  CHECK(FakeStore::Newest == 1);
  CHECK(this->cache().next() == atOffset(7, FakeStore::Era));
  CHECK(SystemClock{}.now() - Start < Millis(1500));
}

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: an answer from before the store came back: it "
                 "is not taken and proves nothing",
                 "[unit]") {
  this->Board.HasUpstream = false;
  FakeStore::Era = 2;
  FakeStore::End = 3;
  this->step();
  this->step();
  REQUIRE(this->cache().next() == atOffset(3, 2));
  TimePoint Proven = this->cache().provenAt();
  FakeStore::Era = 1;
  FakeStore::End = 90;
  this->step();
  CHECK(this->cache().next() == atOffset(3, 2));
  CHECK(this->cache().provenAt() == Proven);
}

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: an answer brings records late in its wait: the "
                 "next wait is shorter",
                 "[unit]") {
  this->Board.HasUpstream = false;
  FakeStore::ResponseDelay = Millis(60);
  FakeStore::End = 8;
  this->step();
  Millis Pause = this->step();
  // The proof is as old as its request, so the next wait is 60 ms shorter.
  Millis Interval = *this->Board.maxAge(FeedKind::Registry) - Millis(100);
  CHECK(FakeStore::LastWait <= Interval - Millis(60));
  CHECK(Pause > Millis(0));
}

TEST_CASE_METHOD(StoreReaderFixture,
                 "store reader: it takes over from a neighbour: it may tell "
                 "others at once",
                 "[unit]") {
  // What it knows came from the upstream node; nothing changes meanwhile.
  this->Board.HasUpstream = false;
  REQUIRE_FALSE(
      this->Board.canServeFeed(FeedKind::Registry, SystemClock{}.now()));
  TimePoint Start = SystemClock{}.now();
  this->step();
  CHECK(SystemClock{}.now() - Start < Millis(50));
  CHECK(this->Board.canServeFeed(FeedKind::Registry, SystemClock{}.now()));
  // From then on it waits for changes.
  this->step();
  CHECK(FakeStore::LastWait > Millis(50));
}

/// A node that reads the configuration itself.
struct ProofFixture {
  ProofFixture() : Board(entrySettings(), IncarnationId("i")) {
    FakeStore::reset();
    FakeStore::ResponseDelay = Millis(60);
    this->Reader.emplace(this->Board, FeedKind::Config, &FakeStore::open);
  }
  struct OneVersion {
    static constexpr const char *Key = "a";
    static std::optional<DataCentreId> evacuatedCentre(const std::string &) {
      return std::nullopt;
    }
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
  stepMain(*this->Reader);
  Follower.step();
  REQUIRE(this->Board.ConfigLease.holds(SystemClock{}.now()));
  for (int Reads = 0; Reads < 3; ++Reads) {
    stepMain(*this->Reader);
    CHECK(this->Board.ConfigLease.holds(SystemClock{}.now()));
    Follower.step();
  }
}

} // namespace waycove::test
