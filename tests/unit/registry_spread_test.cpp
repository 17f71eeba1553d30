// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// How changes of a registry with thousands of targets reach all nodes when
// every target joins a group at once. Simulated in virtual time with the real
// caches and packers, with one node per level of the upstream tree.
#include "board/feed_cache.h"
#include "policy/node_rank.h"
#include "support/times.h"
#include "wire/news_frames.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

/// The tightest bound on how late nodes may know of a change.
constexpr int BoundMs = 3000;
constexpr int RoundMs = 250;
constexpr int PartIntervalMs = 20;
/// Interval of the first node's reads of the store.
constexpr int ReadIntervalMs = 220;
/// All targets join, get ready and open within this time.
constexpr int ChangeWindowMs = 3000;
constexpr int ChangesEach = 3;
/// The slowest links; half of their rate is for requests of callers.
constexpr double SlowBytesPerMs = 20e6 / 8 / 1000 / 2;
constexpr double FastBytesPerMs = 10 * SlowBytesPerMs;

std::string entry(std::uint64_t Target, int Change) {
  std::string Id = std::to_string(mixHash(Target, 1) % 10000000000);
  return R"({"service":"cuba17a","address":"10.3.)" +
         std::to_string(Target % 250) + "." + std::to_string(Target / 250) +
         R"(:8389","zone":"richmond-c","version":"v1","slots":48,)"
         R"("state":"ready","sequence":)" +
         std::to_string(Change) +
         R"(,"cold_left_ms":0,"phase":"unified","models":[{"name":)"
         R"("xazi9633dd","version":1,"adapters":[]}],"born":17745)" +
         Id + R"(,"domain":"richmond-c-d)" + std::to_string(Target / 27) +
         R"(","staged":["xazi9633dd"],"group":{"name":"xazi9633dd,)"
         R"(richmond-c-d)" +
         std::to_string(Target / 27) + ",2936" +
         std::to_string(Target / 6 + 1000) + R"(","epoch":2936)" +
         std::to_string(Target / 6 + 1000) + R"(,"rank":)" +
         std::to_string(Target % 6) + R"(,"state":"ready"}})";
}

/// One node of a level and how many nodes query it.
struct Level {
  FeedCache Cache;
  FeedPacker Packer;
  int NextQueryAt = 0;
  double Downstream = 12;
  double BytesPerMs = SlowBytesPerMs;
};

} // namespace

/// The node that reads the store and the levels downstream of it.
struct SpreadFixture {
  /// Creates as many levels as \p Nodes of one data centre need.
  SpreadFixture(std::size_t Nodes, std::uint64_t Targets) : Targets(Targets) {
    std::vector<NodeInfo> Order(Nodes);
    std::size_t Depth = 1;
    for (std::size_t Place = Nodes - 1; Place > 0; ++Depth)
      Place = *upstreamPlace(Order, Place);
    this->Levels = std::vector<Level>(Depth);
    this->Levels[0].BytesPerMs = FastBytesPerMs;
    KeyedPage All;
    All.IsSnapshot = true;
    for (std::uint64_t T = 0; T < Targets; ++T)
      All.Records.push_back({"i-" + std::to_string(T), entry(T, 0)});
    All.Next = atOffset(this->End);
    All.ProvenAt = at(0);
    for (Level &Row : this->Levels)
      Row.Cache.merge(All, at(0));
  }

  /// The first node reads the changes until \p Ms.
  void readStore(int Ms) {
    std::uint64_t Due = std::min<std::uint64_t>(
        this->Targets * ChangesEach, this->Targets * ChangesEach *
                                         static_cast<std::uint64_t>(Ms) /
                                         ChangeWindowMs);
    KeyedPage Page;
    for (; this->Written < Due; ++this->Written) {
      StorePosition Below = atOffset(++this->End);
      std::uint64_t Target = this->Written % this->Targets;
      Page.Records.push_back({"i-" + std::to_string(Target),
                              entry(Target, 1 + static_cast<int>(this->End)),
                              Below});
    }
    Page.Next = atOffset(this->End);
    Page.ProvenAt = at(Ms);
    this->Levels[0].Cache.merge(Page, at(Ms));
  }

  /// A node of level \p Index queries its upstream node at \p Ms.
  void query(std::size_t Index, int Ms) {
    Level &Upstream = this->Levels[Index - 1];
    Level &Querying = this->Levels[Index];
    StorePosition From = *Querying.Cache.next();
    KeyedPage Page = Upstream.Cache.since(From, MaxPartBytes);
    auto News = Upstream.Packer.pack(Page, From, at(Ms));
    if (News->left_out)
      ++this->LeftOut;
    this->MaxBytes = std::max(this->MaxBytes, News->deflated.size());
    double Time = static_cast<double>(News->deflated.size()) *
                  Upstream.Downstream / Upstream.BytesPerMs;
    int Arrives = Ms + static_cast<int>(Time);
    if (absl::StatusOr<KeyedPage> Read = unpackFeed(*News, at(Ms), at(Arrives));
        Read.ok() && !News->left_out)
      Querying.Cache.merge(*Read, at(Arrives));
    Querying.NextQueryAt = Arrives + (News->partial ? PartIntervalMs : RoundMs);
  }

  /// How long after the last change the last level knows all changes.
  int lagMs() {
    int NextRead = 0;
    for (int Ms = 1; Ms < ChangeWindowMs + 4 * BoundMs; ++Ms) {
      if (Ms >= NextRead) {
        this->readStore(Ms);
        NextRead = Ms + ReadIntervalMs;
      }
      for (std::size_t I = 1; I < this->Levels.size(); ++I)
        if (Ms >= this->Levels[I].NextQueryAt)
          this->query(I, Ms);
      if (Ms > ChangeWindowMs + ReadIntervalMs &&
          this->Levels.back().Cache.next() == atOffset(this->End))
        return Ms - ChangeWindowMs;
    }
    return 4 * BoundMs;
  }

  std::uint64_t Targets;
  std::vector<Level> Levels;
  std::uint64_t End = 1;
  std::uint64_t Written = 0;
  unsigned LeftOut = 0;
  std::size_t MaxBytes = 0;
};

TEST_CASE("registry spread: 3,000 targets join groups at once: the last of 20, "
          "100 and 300 nodes of a data centre knows within the bound, and none "
          "reads the store",
          "[unit]") {
  for (std::size_t Nodes : {20, 100, 300}) {
    INFO(Nodes << " nodes");
    SpreadFixture Run(Nodes, 3000);
    int Lag = Run.lagMs();
    INFO("lag " << Lag << " ms, largest response " << Run.MaxBytes);
    CHECK(Run.LeftOut == 0);
    CHECK(Run.MaxBytes <= MaxUpdateBytes);
    CHECK(Lag < BoundMs);
  }
}

TEST_CASE("registry spread: a node starts beside 3,000 targets: another one "
          "tells it all",
          "[unit]") {
  SpreadFixture Run(2, 3000);
  FeedPacker Packer;
  auto News = Packer.pack(Run.Levels[0].Cache.snapshot(), atOffset(), at(0),
                          MaxSnapshotBytes);
  INFO(News->deflated.size() << " bytes");
  CHECK_FALSE(News->left_out);
}

} // namespace waycove::test
