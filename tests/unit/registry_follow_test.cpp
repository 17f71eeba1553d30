// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// What a node makes of the registry's entries: lives under one id, entries
// that name no target, and what hangs on the life that ended.
#include "control/cached_feed.h"
#include "control/registry_follow.h"
#include "platform/decode.h"
#include "support/times.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <sstream>

namespace waycove::test {

namespace {

Settings entrySettings() {
  Settings Given;
  Given.Node = NodeId("n");
  Given.Entry.emplace();
  return Given;
}

std::string entryOf(std::uint64_t Born, const std::string &More = "") {
  std::string Start = Born ? R"("born":)" + std::to_string(Born) + "," : "";
  return R"({"service":"plain","address":"10.0.0.1:80","zone":"a",)"
         R"("version":"v1","slots":6,"state":"ready","cold_left_ms":0,)" +
         Start + More + R"("sequence":0})";
}

} // namespace

struct RegistryFixture {
  RegistryFixture() : Board(entrySettings(), IncarnationId("i")) {}

  /// The registry shows \p Records, all there is where \p Whole.
  void show(const std::vector<KeyedRecord> &Records, bool Whole = false) {
    KeyedPage Page;
    Page.Records = Records;
    Page.Whole = Whole;
    Page.Next = atOffset(++this->End);
    Page.ProvenAt = SystemClock{}.now();
    this->Board.feed(FeedKind::Registry).take(Page, Page.ProvenAt);
    this->Follow.step();
  }
  /// When the listed life of \p Id started; nothing where none is listed.
  std::optional<std::uint64_t> born(const std::string &Id) {
    return this->Board.Targets.read(
        [&](const Fleet &Rows) -> std::optional<std::uint64_t> {
          auto At = Rows.Targets.find(VmId(Id));
          if (At == Rows.Targets.end())
            return std::nullopt;
          return At->second->Born.Value;
        });
  }
  int countEvents(EventCode Code) {
    int Count = 0;
    for (const EventRow &Row : this->Board.Log.since(0))
      Count += Row.Code == Code;
    return Count;
  }

  EntryBoard Board;
  CachedFeed Feed{this->Board.feed(FeedKind::Registry)};
  RegistryFollower<CachedFeed, platform::TargetDecoder> Follow{
      this->Board, this->Feed, {}};
  std::uint64_t End = 0;
};

TEST_CASE_METHOD(RegistryFixture,
                 "registry: a target starts again under its id: the newer life "
                 "is listed, and told of once",
                 "[unit]") {
  this->show({{"i-1", entryOf(100)}}, true);
  this->show({{"i-1", entryOf(200)}});
  CHECK(this->born("i-1") == 200);
  CHECK(this->countEvents(EventCode::TargetReborn) == 1);
}

TEST_CASE_METHOD(RegistryFixture,
                 "registry: an earlier life's entry comes late: the newer life "
                 "stays",
                 "[unit]") {
  this->show({{"i-1", entryOf(200)}}, true);
  this->show({{"i-1", entryOf(100, R"("domain":"old",)")}});
  CHECK(this->born("i-1") == 200);
  // All is read anew, and the newest record of the key is the late one.
  this->show({{"i-1", entryOf(100, R"("domain":"old",)")}}, true);
  CHECK(this->born("i-1") == 200);
  CHECK(this->countEvents(EventCode::RegistryRefused) == 1);
}

TEST_CASE_METHOD(RegistryFixture,
                 "registry: an earlier life's entry comes after the newer one "
                 "went: it is not listed again",
                 "[unit]") {
  this->show({{"i-1", entryOf(200)}, {"i-2", entryOf(50)}}, true);
  this->show({{"i-1", std::nullopt}});
  this->show({{"i-1", entryOf(100)}});
  CHECK(this->born("i-1") == std::nullopt);
  CHECK(this->born("i-2") == 50);
}

TEST_CASE_METHOD(RegistryFixture,
                 "registry: an entry cannot be read: it names no target any "
                 "more, the others hold, and one line tells of it",
                 "[unit]") {
  this->show({{"i-1", entryOf(100)}, {"i-2", entryOf(100)}}, true);
  for (int I = 0; I < 3; ++I)
    this->show({{"i-1", "\xff\xfe"}, {"i-2", entryOf(100)}}, true);
  CHECK(this->born("i-1") == std::nullopt);
  CHECK(this->born("i-2") == 100);
  CHECK(this->countEvents(EventCode::RegistryRefused) == 1);
  this->show({{"i-1", entryOf(100)}});
  CHECK(this->born("i-1") == 100);
}

TEST_CASE_METHOD(RegistryFixture,
                 "registry: one entry tells no start beside others that do: it "
                 "names no target",
                 "[unit]") {
  this->show({{"i-1", entryOf(0)}, {"i-2", entryOf(100)}}, true);
  CHECK(this->born("i-1") == std::nullopt);
  CHECK(this->born("i-2") == 100);
}

TEST_CASE_METHOD(RegistryFixture,
                 "registry: no entry tells a start: all are listed", "[unit]") {
  this->show({{"i-1", entryOf(0)}, {"i-2", entryOf(0)}}, true);
  CHECK(this->born("i-1") == 0);
  CHECK(this->born("i-2") == 0);
}

TEST_CASE_METHOD(RegistryFixture,
                 "vitals: a target starts again: nothing holds of what was "
                 "seen of it, and what ends late changes nothing",
                 "[unit]") {
  VitalsTable Vitals;
  VmLife Before{VmId("i-1"), WallMs(100)};
  VmLife After{VmId("i-1"), WallMs(200)};
  TimePoint Now = SystemClock{}.now();
  Vitals.onStart(Before, 500, Now);
  Vitals.suspect(Before, Now, Millis(3000));
  CHECK_FALSE(Vitals.isSuspect(After, Now));
  Vitals.onStart(After, 100, Now);
  Vitals.onEnd(Before, Now, false, 500);
  CHECK(Vitals.of(After).InFlight == 1);
  // Other nodes name the life, too.
  CHECK(Vitals.loads(Now).contains(hashOf(Before)));
  CHECK(hashOf(Before) != hashOf(After));
}

} // namespace waycove::test
