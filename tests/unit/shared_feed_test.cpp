// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// A feed that a neighbour reads for this node: when the node reads the store
// itself after all.
#include "control/shared_feed.h"

#include <catch2/catch.hpp>
#include <thread>

namespace waycove::test {

namespace {

/// A store that counts its reads and has one record.
struct CountedStore {
  static inline int Newest = 0;
  static inline int Follows = 0;
  static inline bool HistoryGone = false;
  absl::StatusOr<KeyedPage> newest() {
    ++Newest;
    KeyedPage Page;
    Page.Whole = true;
    Page.Next = Offset(7);
    Page.Records.push_back({"a", "newest"});
    return Page;
  }
  absl::StatusOr<KeyedPage> follow(Offset From, Millis) {
    ++Follows;
    if (HistoryGone)
      return makeError(ErrorKind::NotFound, "the history is gone");
    KeyedPage Page;
    Page.Next = From;
    return Page;
  }
  static CountedStore open(EntryBoard &) {
    Newest = 0;
    Follows = 0;
    HistoryGone = false;
    return {};
  }
};

Settings entrySettings() {
  Settings Config;
  Config.Node = NodeId("n1");
  Config.Entry.emplace();
  Config.Entry->DrainBound = Millis(400);
  return Config;
}

} // namespace

/// A node whose neighbour told it all there was a moment ago.
struct SharedFeedFixture {
  SharedFeedFixture()
      : Board(entrySettings(), IncarnationId("i")),
        Feed(this->Board, FeedKind::Registry, &CountedStore::open) {
    this->tell(5);
    this->Board.Relayed = true;
  }
  void tell(std::uint64_t Next) {
    KeyedPage Page;
    Page.Whole = Next == 5;
    Page.Next = Offset(Next);
    Page.ProvenAt = SystemClock{}.now();
    Page.AnsweredAt = Page.ProvenAt;
    this->Board.feed(FeedKind::Registry).take(Page, Page.ProvenAt);
  }
  EntryBoard Board;
  SharedFeed<CountedStore> Feed;
};

TEST_CASE_METHOD(SharedFeedFixture,
                 "shared feed: the neighbour's news are current: the store is "
                 "not read",
                 "[unit]") {
  CHECK(this->Feed.follow(Offset(5), Millis(50))->Relayed);
  CHECK(CountedStore::Follows + CountedStore::Newest == 0);
}

TEST_CASE_METHOD(SharedFeedFixture,
                 "shared feed: the neighbour is silent, the store's history "
                 "gone: the newest is read, once",
                 "[unit]") {
  CountedStore::HistoryGone = true;
  FeedCursor<SharedFeed<CountedStore>> Cursor(this->Feed);
  std::this_thread::sleep_for(Millis(400));
  for (int Reads = 0; Reads < 4; ++Reads)
    static_cast<void>(Cursor.read(Millis(10)));
  CHECK(CountedStore::Newest == 1);
  CHECK(CountedStore::Follows == 0);
}

TEST_CASE_METHOD(SharedFeedFixture,
                 "shared feed: the neighbour falls silent: the store is read "
                 "before the bound ends",
                 "[unit]") {
  TimePoint Began = SystemClock{}.now();
  while (CountedStore::Follows == 0 &&
         SystemClock{}.now() - Began < Millis(2000))
    CHECK(this->Feed.follow(Offset(5), Millis(2000)).ok());
  CHECK(SystemClock{}.now() - Began < Millis(400));
  CHECK(CountedStore::Follows == 1);
}

TEST_CASE_METHOD(
    SharedFeedFixture,
    "shared feed: the neighbour left out what is large: the newest "
    "is read once",
    "[unit]") {
  this->Board.leftOut(FeedKind::Registry) = true;
  absl::StatusOr<KeyedPage> Page = this->Feed.follow(Offset(5), Millis(50));
  REQUIRE(Page.ok());
  CHECK(Page->Next == Offset(7));
  CHECK(this->Feed.follow(Offset(7), Millis(50))->Relayed);
  CHECK(CountedStore::Newest == 1);
  CHECK(CountedStore::Follows == 0);
}

} // namespace waycove::test
