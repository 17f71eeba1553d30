// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// How a registry of thousands of targets reaches all nodes: what an answer to
// another node holds, and how long the last node takes to know all when every
// target joins a group at once, as at a start. Where the answers left the
// registry out, each node read it from the store.
//
// In virtual time, with the real caches and packers, one node for each level of
// the order in which nodes read for each other: those of a level are alike.
#include "board/feed_cache.h"
#include "policy/node_rank.h"
#include "support/times.h"
#include "wire/news_frames.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

/// What operators allow for a change of the registry, at its tightest.
constexpr int BoundMs = 3000;
constexpr int RoundMs = 250;
constexpr int PartMs = 20;
/// The store's news come to the first reader this often.
constexpr int GatherMs = 220;
/// All targets join, are ready and open within this time.
constexpr int BurstMs = 3000;
constexpr int ChangesEach = 3;
/// The slowest links, of which half is for callers' bytes.
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

/// One node of a level, and how many ask a node of it.
struct Level {
  FeedCache Cache;
  FeedPacker Packer;
  int AsksAt = 0;
  double Askers = 12;
  double BytesPerMs = SlowBytesPerMs;
};

} // namespace

/// The first reader and the levels behind it.
struct SpreadFixture {
  /// As many levels as \p Nodes of one data centre make.
  SpreadFixture(std::size_t Nodes, std::uint64_t Targets) : Targets(Targets) {
    std::vector<NodeInfo> Order(Nodes);
    std::size_t Depth = 1;
    for (std::size_t Place = Nodes - 1; Place > 0; ++Depth)
      Place = *upstreamPlace(Order, Place);
    this->Levels = std::vector<Level>(Depth);
    this->Levels[0].BytesPerMs = FastBytesPerMs;
    KeyedPage All;
    All.Whole = true;
    for (std::uint64_t T = 0; T < Targets; ++T)
      All.Records.push_back({"i-" + std::to_string(T), entry(T, 0)});
    All.Next = atOffset(this->End);
    All.ProvenAt = at(0);
    for (Level &Row : this->Levels)
      Row.Cache.take(All, at(0));
  }

  /// What changed until \p Ms comes to the first reader.
  void readStore(int Ms) {
    std::uint64_t Due = std::min<std::uint64_t>(
        this->Targets * ChangesEach,
        this->Targets * ChangesEach * static_cast<std::uint64_t>(Ms) / BurstMs);
    KeyedPage Page;
    for (; this->Told < Due; ++this->Told) {
      StorePosition Below = atOffset(++this->End);
      std::uint64_t Target = this->Told % this->Targets;
      Page.Records.push_back({"i-" + std::to_string(Target),
                              entry(Target, 1 + static_cast<int>(this->End)),
                              Below});
    }
    Page.Next = atOffset(this->End);
    Page.ProvenAt = at(Ms);
    this->Levels[0].Cache.take(Page, at(Ms));
  }

  /// A node of level \p Index asks the one before it at \p Ms.
  void ask(std::size_t Index, int Ms) {
    Level &Asked = this->Levels[Index - 1];
    Level &Asks = this->Levels[Index];
    StorePosition From = *Asks.Cache.next();
    KeyedPage Page = Asked.Cache.since(From, MostPartBytes);
    auto News = Asked.Packer.pack(Page, From, at(Ms));
    if (News->left_out)
      ++this->LeftOut;
    this->MostBytes = std::max(this->MostBytes, News->deflated.size());
    double Time = static_cast<double>(News->deflated.size()) * Asked.Askers /
                  Asked.BytesPerMs;
    int Arrives = Ms + static_cast<int>(Time);
    if (absl::StatusOr<KeyedPage> Read = readFeed(*News, at(Ms), at(Arrives));
        Read.ok() && !News->left_out)
      Asks.Cache.take(*Read, at(Arrives));
    Asks.AsksAt = Arrives + (News->partial ? PartMs : RoundMs);
  }

  /// How long after the burst the last level knows all.
  int lagMs() {
    int Reads = 0;
    for (int Ms = 1; Ms < BurstMs + 4 * BoundMs; ++Ms) {
      if (Ms >= Reads) {
        this->readStore(Ms);
        Reads = Ms + GatherMs;
      }
      for (std::size_t I = 1; I < this->Levels.size(); ++I)
        if (Ms >= this->Levels[I].AsksAt)
          this->ask(I, Ms);
      if (Ms > BurstMs + GatherMs &&
          this->Levels.back().Cache.next() == atOffset(this->End))
        return Ms - BurstMs;
    }
    return 4 * BoundMs;
  }

  std::uint64_t Targets;
  std::vector<Level> Levels;
  std::uint64_t End = 1;
  std::uint64_t Told = 0;
  unsigned LeftOut = 0;
  std::size_t MostBytes = 0;
};

TEST_CASE("registry spread: 3,000 targets join groups at once: the last of 20, "
          "100 and 300 nodes of a data centre knows within the bound, and none "
          "reads the store",
          "[unit]") {
  for (std::size_t Nodes : {20, 100, 300}) {
    INFO(Nodes << " nodes");
    SpreadFixture Run(Nodes, 3000);
    int Lag = Run.lagMs();
    INFO("lag " << Lag << " ms, largest answer " << Run.MostBytes);
    CHECK(Run.LeftOut == 0);
    CHECK(Run.MostBytes <= MostPassedBytes);
    CHECK(Lag < BoundMs);
  }
}

TEST_CASE("registry spread: a node starts beside 3,000 targets: another one "
          "tells it all",
          "[unit]") {
  SpreadFixture Run(2, 3000);
  FeedPacker Packer;
  auto News = Packer.pack(Run.Levels[0].Cache.whole(), atOffset(), at(0),
                          MostFilledBytes);
  INFO(News->deflated.size() << " bytes");
  CHECK_FALSE(News->left_out);
}

} // namespace waycove::test
