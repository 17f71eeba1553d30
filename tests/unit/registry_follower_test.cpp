// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// How a node handles entries of the registry: incarnations under one id,
// entries that name no target, and restores of the store.
#include "control/cached_feed.h"
#include "control/registry_follower.h"
#include "platform/decode.h"
#include "support/times.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <sstream>
#include <thread>

namespace waycove::test {

namespace {

Settings entrySettings() {
  Settings Config;
  Config.Node = NodeId("n");
  Config.Entry.emplace();
  Config.Entry->TargetHeartbeatInterval = Millis(100);
  return Config;
}

std::string entryOf(std::uint64_t StartedAt, const std::string &More = "",
                    int Sequence = 0) {
  std::string Start =
      StartedAt ? R"("born":)" + std::to_string(StartedAt) + "," : "";
  return R"({"service":"plain","address":"10.0.0.1:80","zone":"a",)"
         R"("version":"v1","slots":6,"state":"ready","cold_left_ms":0,)" +
         Start + More + R"("sequence":)" + std::to_string(Sequence) + "}";
}

/// Finds no memory as often as it is told.
struct ScarceDecoder {
  int *Failures = nullptr;
  platform::TargetDecoder Decode = {};

  absl::StatusOr<TargetInfo> operator()(const std::string &Id,
                                        const std::string &Value) const {
    if (*this->Failures > 0 && (*this->Failures)-- > 0)
      throw std::bad_alloc();
    return this->Decode(Id, Value);
  }
};

} // namespace

struct RegistryFixture {
  RegistryFixture() : Board(entrySettings(), IncarnationId("i")) {}

  /// The registry shows \p Records, which are all that exist if \p IsSnapshot.
  void show(const std::vector<KeyedRecord> &Records, bool IsSnapshot = false) {
    KeyedPage Page;
    Page.Records = Records;
    Page.IsSnapshot = IsSnapshot;
    Page.Next = atOffset(++this->End, this->Era);
    Page.ProvenAt = SystemClock{}.now();
    this->Board.feed(FeedKind::Registry).merge(Page, Page.ProvenAt);
    this->Follow.step();
  }
  /// Start time of the incarnation that is listed as \p Id, if any.
  std::optional<std::uint64_t> startOf(const std::string &Id) {
    return this->Board.Targets.read(
        [&](const Fleet &Rows) -> std::optional<std::uint64_t> {
          auto At = Rows.Targets.find(VmId(Id));
          if (At == Rows.Targets.end())
            return std::nullopt;
          return At->second->StartedAt.Value;
        });
  }
  int countEvents(EventCode Code) {
    int Count = 0;
    for (const LoggedEvent &Row : this->Board.Log.since(0))
      Count += Row.Code == Code;
    return Count;
  }

  EntryBoard Board;
  CachedFeed Feed{this->Board.feed(FeedKind::Registry)};
  int Failures = 0;
  RegistryFollower<CachedFeed, ScarceDecoder> Follow{
      this->Board, this->Feed, {&this->Failures}};
  std::uint64_t End = 0;
  std::uint64_t Era = 0;
};

// Guards against a target that is never listed, since memory was short when its
// entry came.
TEST_CASE_METHOD(RegistryFixture,
                 "registry: memory is short when entries come: they are listed "
                 "in a later step",
                 "[unit]") {
  this->show({{"i-1", entryOf(100)}}, true);
  this->Failures = 1;
  CHECK_THROWS_AS(this->show({{"i-2", entryOf(100)}, {"i-1", std::nullopt}}),
                  std::bad_alloc);
  this->Follow.step();
  CHECK(this->startOf("i-2") == 100);
  CHECK_FALSE(this->startOf("i-1"));
}

TEST_CASE_METHOD(RegistryFixture,
                 "registry: a target starts again under its id: the newer life "
                 "is listed, and told of once",
                 "[unit]") {
  this->show({{"i-1", entryOf(100)}}, true);
  this->show({{"i-1", entryOf(200)}});
  CHECK(this->startOf("i-1") == 200);
  CHECK(this->countEvents(EventCode::TargetReborn) == 1);
}

TEST_CASE_METHOD(RegistryFixture,
                 "registry: an earlier life's entry comes late: the newer life "
                 "stays",
                 "[unit]") {
  this->show({{"i-1", entryOf(200)}}, true);
  this->show({{"i-1", entryOf(100, R"("domain":"old",)")}});
  CHECK(this->startOf("i-1") == 200);
  // Everything is read again, and the newest record of the key is the late one.
  this->show({{"i-1", entryOf(100, R"("domain":"old",)")}}, true);
  CHECK(this->startOf("i-1") == 200);
  CHECK(this->countEvents(EventCode::RegistryRefused) == 1);
}

TEST_CASE_METHOD(RegistryFixture,
                 "registry: an earlier life's entry comes after the newer one "
                 "went: it is not listed again",
                 "[unit]") {
  this->show({{"i-1", entryOf(200)}, {"i-2", entryOf(50)}}, true);
  this->show({{"i-1", std::nullopt}});
  this->show({{"i-1", entryOf(100)}});
  CHECK(this->startOf("i-1") == std::nullopt);
  CHECK(this->startOf("i-2") == 50);
}

TEST_CASE_METHOD(RegistryFixture,
                 "registry: an entry cannot be read: it names no target any "
                 "more, the others hold, and one line tells of it",
                 "[unit]") {
  this->show({{"i-1", entryOf(100)}, {"i-2", entryOf(100)}}, true);
  for (int I = 0; I < 3; ++I)
    this->show({{"i-1", "\xff\xfe"}, {"i-2", entryOf(100)}}, true);
  CHECK(this->startOf("i-1") == std::nullopt);
  CHECK(this->startOf("i-2") == 100);
  CHECK(this->countEvents(EventCode::RegistryRefused) == 1);
  this->show({{"i-1", entryOf(100)}});
  CHECK(this->startOf("i-1") == 100);
}

TEST_CASE_METHOD(RegistryFixture,
                 "registry: one entry tells no start beside others that do: it "
                 "names no target",
                 "[unit]") {
  this->show({{"i-1", entryOf(0)}, {"i-2", entryOf(100)}}, true);
  CHECK(this->startOf("i-1") == std::nullopt);
  CHECK(this->startOf("i-2") == 100);
}

TEST_CASE_METHOD(RegistryFixture,
                 "registry: no entry tells a start: all are listed", "[unit]") {
  this->show({{"i-1", entryOf(0)}, {"i-2", entryOf(0)}}, true);
  CHECK(this->startOf("i-1") == 0);
  CHECK(this->startOf("i-2") == 0);
}

// Guards against one entry of another writer that takes all targets away.
TEST_CASE_METHOD(RegistryFixture,
                 "registry: one entry tells a start far in the future, beside "
                 "others that tell none: these stay listed",
                 "[unit]") {
  const std::uint64_t Future = 9'000'000'000'000;
  this->show({{"i-1", entryOf(0)}, {"i-2", entryOf(0)}}, true);
  this->show({{"odd", entryOf(Future)}});
  this->show({{"i-1", entryOf(0, "", 1)}, {"i-3", entryOf(0)}});
  CHECK(this->startOf("i-1") == 0);
  CHECK(this->startOf("i-2") == 0);
  CHECK(this->startOf("i-3") == 0);
  CHECK(this->startOf("odd") == std::nullopt);
  this->show({{"odd", std::nullopt}});
  this->show({{"i-4", entryOf(0)}});
  CHECK(this->startOf("i-4") == 0);
  CHECK(this->countEvents(EventCode::RegistryRefused) == 1);
}

TEST_CASE_METHOD(RegistryFixture,
                 "registry: few entries tell a start, beside more that tell "
                 "none: all are listed, whoever comes first",
                 "[unit]") {
  this->show({{"odd", entryOf(100)}}, true);
  this->show({{"i-1", entryOf(0)}});
  CHECK(this->startOf("i-1") == std::nullopt);
  this->show({{"i-2", entryOf(0)}});
  this->Follow.step();
  CHECK(this->startOf("i-1") == 0);
  CHECK(this->startOf("i-2") == 0);
  this->show({{"odd", std::nullopt}, {"i-3", entryOf(0)}});
  CHECK(this->startOf("i-3") == 0);
}

// Guards against a live target that one entry of another writer keeps out.
TEST_CASE_METHOD(RegistryFixture,
                 "registry: another writer tells a start in the future under a "
                 "target's id: the target's next entry counts",
                 "[unit]") {
  for (std::uint64_t Start : {std::uint64_t(0), std::uint64_t(100)}) {
    this->show({{"i-1", entryOf(Start)}, {"i-2", entryOf(Start)}}, true);
    this->show({{"i-1", entryOf(9'000'000'000'000)}});
    CHECK(this->startOf("i-1") == std::nullopt);
    this->show({{"i-1", entryOf(Start, "", 1)}});
    CHECK(this->startOf("i-1") == Start);
    CHECK(this->startOf("i-2") == Start);
  }
}

TEST_CASE_METHOD(RegistryFixture,
                 "registry: another writer tells a later start under a "
                 "target's id: the target's own entry counts once it outlasts "
                 "its lapse, though it changes",
                 "[unit]") {
  for (std::uint64_t Start : {std::uint64_t(0), std::uint64_t(100)}) {
    const std::vector<KeyedRecord> Others{{"i-2", entryOf(Start)},
                                          {"i-3", entryOf(Start)}};
    this->show(Others, true);
    this->show({{"i-1", entryOf(Start)}});
    this->show({{"i-1", entryOf(200)}});
    CHECK(this->startOf("i-1") == 200);
    const Millis Beat = this->Board.Config.Entry->TargetHeartbeatInterval;
    for (int Sequence = 1; Sequence <= 6; ++Sequence) {
      this->show({{"i-1", entryOf(Start, "", Sequence)}});
      if (Sequence <= 3)
        CHECK(this->startOf("i-1") == 200);
      std::this_thread::sleep_for(Beat);
    }
    CHECK(this->startOf("i-1") == Start);
    CHECK(this->startOf("i-2") == Start);
  }
}

// Guards against an earlier life that is listed since its late entry outlasts
// the newer one.
TEST_CASE_METHOD(RegistryFixture,
                 "registry: an earlier life's entry comes late, and the newer "
                 "life writes on: the newer life stays",
                 "[unit]") {
  this->show({{"i-1", entryOf(200)}, {"i-2", entryOf(200)}}, true);
  this->show({{"i-1", entryOf(100)}});
  const Millis Beat = this->Board.Config.Entry->TargetHeartbeatInterval;
  std::this_thread::sleep_for(Beat);
  this->show({{"i-1", entryOf(200, "", 1)}});
  std::this_thread::sleep_for(5 * Beat);
  this->Follow.step();
  CHECK(this->startOf("i-1") == 200);
  // And where it lapses instead.
  this->show({{"i-2", entryOf(100)}});
  std::this_thread::sleep_for(Beat);
  this->show({{"i-2", std::nullopt}});
  std::this_thread::sleep_for(5 * Beat);
  this->Follow.step();
  CHECK(this->startOf("i-2") == std::nullopt);
}

/// A node that followed the registry before the store was restored from an
/// older copy.
struct RestoredRegistryFixture : RegistryFixture {
  /// An entry as its target wrote it the \p Sequence-th time.
  static std::string entry(const std::string &State, int Sequence) {
    return R"({"service":"plain","address":"10.0.0.1:80","zone":"a",)"
           R"("version":"v1","slots":6,"cold_left_ms":0,"born":100,"state":")" +
           State + R"(","sequence":)" + std::to_string(Sequence) + "}";
  }
  static std::string member(const std::string &Group, int Sequence) {
    return entryOf(100,
                   R"("domain":"d","group":{"name":")" + Group +
                       R"(","epoch":1,"rank":0,"state":"open"},)",
                   Sequence);
  }
  /// Restores the store from a copy that holds \p Records.
  void restore(const std::vector<KeyedRecord> &Records) {
    ++this->Era;
    this->End = 0;
    this->show(Records, true);
  }
  bool isListed(const std::string &Id) { return this->startOf(Id).has_value(); }
  TargetRef target(const std::string &Id) {
    return this->Board.Targets.read(
        [&](const Fleet &Rows) { return Rows.Targets.at(VmId(Id)); });
  }
  /// Waits until live targets have written again and other entries lapsed.
  void waitForTargets() {
    std::this_thread::sleep_for(
        3 * this->Board.Config.Entry->TargetHeartbeatInterval);
    this->Follow.step();
  }
};

TEST_CASE_METHOD(RestoredRegistryFixture,
                 "registry restored: a target was leaving before: it leaves, "
                 "whatever the copy says",
                 "[unit]") {
  this->show({{"i-1", entry("ready", 1)}, {"i-2", entry("ready", 1)}}, true);
  this->show({{"i-1", entry("draining", 2)}});
  this->restore({{"i-1", entry("ready", 1)}, {"i-2", entry("ready", 1)}});
  CHECK(this->target("i-1")->Draining);
  CHECK_FALSE(this->target("i-2")->Draining);
  this->waitForTargets();
  CHECK(this->target("i-1")->Draining);
  // The whole copy is read once more.
  this->show({{"i-1", entry("ready", 1)}, {"i-2", entry("ready", 1)}}, true);
  CHECK(this->target("i-1")->Draining);
  this->show({{"i-1", std::nullopt}});
  CHECK_FALSE(this->isListed("i-1"));
}

TEST_CASE_METHOD(
    RestoredRegistryFixture,
    "registry restored: a target had gone before: it is not listed "
    "until it writes again, or has not lapsed",
    "[unit]") {
  this->show({{"i-1", entry("ready", 1)},
              {"i-2", entry("ready", 1)},
              {"i-3", entry("ready", 1)}},
             true);
  this->show({{"i-1", std::nullopt}, {"i-2", std::nullopt}});
  this->show({{"i-3", std::nullopt}});
  this->restore({{"i-1", entry("ready", 1)},
                 {"i-2", entry("ready", 1)},
                 {"i-3", entry("ready", 1)}});
  CHECK_FALSE(this->isListed("i-1"));
  this->show({{"i-2", entry("ready", 5)}, {"i-3", std::nullopt}});
  CHECK(this->isListed("i-2"));
  CHECK_FALSE(this->isListed("i-1"));
  this->waitForTargets();
  CHECK(this->isListed("i-1"));
  CHECK_FALSE(this->isListed("i-3"));
}

TEST_CASE_METHOD(
    RestoredRegistryFixture,
    "registry restored: a target had gone and lapses again unseen: "
    "it is not listed",
    "[unit]") {
  this->show({{"i-1", entry("ready", 1)}, {"i-2", entry("ready", 1)}}, true);
  this->show({{"i-1", std::nullopt}});
  this->restore({{"i-1", entry("ready", 1)}, {"i-2", entry("ready", 1)}});
  // Everything is read again: no record says that its entry was deleted.
  this->show({{"i-2", entry("ready", 1)}}, true);
  this->waitForTargets();
  CHECK_FALSE(this->isListed("i-1"));
}

TEST_CASE_METHOD(RestoredRegistryFixture,
                 "registry restored: a target's entry is older than what is "
                 "known: that holds until the target has written",
                 "[unit]") {
  this->show({{"i-1", member("g2", 9)}, {"i-2", member("g2", 9)}}, true);
  this->restore({{"i-1", member("g1", 4)}, {"i-2", member("g1", 4)}});
  CHECK(this->target("i-1")->Group->Group.Name == "g2");
  this->show({{"i-1", member("g3", 11)}});
  CHECK(this->target("i-1")->Group->Group.Name == "g3");
  CHECK(this->target("i-2")->Group->Group.Name == "g2");
  // Its state is what the copy says, so it had nothing to write.
  this->waitForTargets();
  CHECK(this->target("i-2")->Group->Group.Name == "g1");
}

TEST_CASE_METHOD(RestoredRegistryFixture,
                 "registry restored: nothing is planned until targets have "
                 "written again",
                 "[unit]") {
  this->show({{"i-1", member("g2", 9)}}, true);
  REQUIRE(this->Board.RegistryLease.holds(SystemClock{}.now()));
  this->restore({{"i-1", member("g2", 9)}});
  CHECK_FALSE(this->Board.RegistryLease.holds(SystemClock{}.now()));
  std::this_thread::sleep_for(FeedCache::RecoveryTimeout);
  this->show({});
  CHECK(this->Board.RegistryLease.holds(SystemClock{}.now()));
}

TEST_CASE_METHOD(RegistryFixture,
                 "vitals: a target starts again: nothing holds of what was "
                 "seen of it, and what ends late changes nothing",
                 "[unit]") {
  TargetStatsTable Stats;
  VmIncarnation Before{VmId("i-1"), WallMs(100)};
  VmIncarnation After{VmId("i-1"), WallMs(200)};
  TimePoint Now = SystemClock{}.now();
  Stats.onStart(Before, 500, Now);
  Stats.suspect(Before, Now, Millis(3000));
  CHECK_FALSE(Stats.isSuspect(After, Now));
  Stats.onStart(After, 100, Now);
  Stats.onEnd(Before, Now, false, 500);
  CHECK(Stats.of(After).InFlight == 1);
  // Other nodes identify the incarnation, too.
  CHECK(Stats.loads(Now).contains(hashOf(Before)));
  CHECK(hashOf(Before) != hashOf(After));
}

} // namespace waycove::test
