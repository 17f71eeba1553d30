// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Following the configuration: how long its proof holds between reads.
#include "control/config_follow.h"

#include <catch2/catch.hpp>
#include <thread>

namespace waycove::test {

namespace {

/// A store that has one version and nothing new: each read waits as long as it
/// was asked to, and its answer is late by a fixed time.
struct QuietFeed {
  absl::StatusOr<KeyedPage> newest() { return this->answer(Millis(0)); }
  absl::StatusOr<KeyedPage> follow(Offset, Millis Wait) {
    return this->answer(Wait);
  }
  absl::StatusOr<KeyedPage> answer(Millis Wait) {
    KeyedPage Page;
    Page.ProvenAt = SystemClock{}.now();
    std::this_thread::sleep_for(Wait + Late);
    Page.AnsweredAt = SystemClock{}.now();
    Page.Records.push_back({"config", "1"});
    // Without a bound on the read's part of the revocation bound, the proof of
    // one read ends before the answer to the next one.
    this->HeldToTheEnd = this->HeldToTheEnd &&
                         (!this->Fresh || this->Fresh->holds(Page.AnsweredAt));
    return Page;
  }
  static constexpr Millis Late{60};
  const Lease *Fresh = nullptr;
  bool HeldToTheEnd = true;
};

struct OneVersion {
  static constexpr const char *Key = "config";
  absl::StatusOr<RoutingConfig> operator()(const std::string &) const {
    RoutingConfig Config;
    Config.Version = 1;
    return Config;
  }
};

Settings entrySettings(Millis Bound) {
  Settings Config;
  Config.Node = NodeId("n1");
  Config.Entry.emplace();
  Config.Entry->RevokeBound = Bound;
  return Config;
}

} // namespace

TEST_CASE("config: answers are late and nothing is new: its proof never ends",
          "[unit]") {
  EntryBoard Board(entrySettings(Millis(1500)), IncarnationId("i"));
  QuietFeed Feed;
  ConfigFollower<QuietFeed, OneVersion> Follower(Board, Feed, OneVersion{});
  Follower.step();
  Feed.Fresh = &Board.ConfigFresh;
  for (int Reads = 0; Reads < 3; ++Reads)
    Follower.step();
  CHECK(Feed.HeldToTheEnd);
}

} // namespace waycove::test
