// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Which targets a request may be sent to: evacuated data centres, allowed
// regions, cold targets, and targets that state a limit.
#include "control/cached_feed.h"
#include "control/config_follower.h"
#include "entry/target_selector.h"
#include "platform/decode.h"
#include "support/nodes.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

/// Two targets of a plain service, one in each data centre, and the selector
/// that chooses between them at a node in the data centre "a".
struct PlacementFixture {
  PlacementFixture() : Board(entrySettings(), IncarnationId("i")) {
    auto Config = std::make_shared<RoutingConfig>();
    ServiceSpec Spec;
    Spec.Id = ServiceId("plain");
    Spec.ColdDuration = Millis(3000);
    Spec.ColdRate = 2;
    Config->Services[Spec.Id] = Spec;
    this->Config = Config;
    this->Board.Routing.write([&](RoutingConfigRef &Row) { Row = Config; });
    this->Board.Nodes.write([](NodeRankingRef &Row) {
      Row = std::make_shared<const NodeRanking>(nodesOf(1));
    });
    for (const char *Centre : {"a", "b"}) {
      auto Row = std::make_shared<TargetInfo>();
      Row->Id = VmId(std::string("in-") + Centre);
      Row->Service = Spec.Id;
      Row->DataCentre = DataCentreId(Centre);
      this->Board.Targets.write(
          [&](Fleet &Rows) { Rows.Targets[Row->Id] = Row; });
    }
    rebuildServingView(this->Board);
    // In touch with the store for as long as a test takes.
    this->Board.RegistryProvenAt.raise(SystemClock{}.now() + Millis(60000));
    this->Request.Config = this->Config;
    this->Request.Service = Spec.Id;
    this->Request.Route = &this->Route;
  }
  static Settings entrySettings() {
    Settings Config;
    Config.Node = NodeId("n0");
    Config.DataCentre = DataCentreId("a");
    Config.Entry.emplace();
    Config.Entry->Regions = {{DataCentreId("a"), RegionId("west")},
                             {DataCentreId("b"), RegionId("east")}};
    return Config;
  }
  /// Target of the request at \p Now; empty if there is none.
  std::string chosenAt(TimePoint Now) {
    std::optional<SelectedTarget> To =
        this->Selector.choose(this->Request, this->Progress, Now);
    return To ? To->To.Target->Id.Text : "";
  }
  /// The target states that it takes \p PerSecond requests a second.
  void limit(const char *Target, double PerSecond, TimePoint Now) {
    TargetStatement Statement;
    Statement.Limit = RequestRate{PerSecond};
    this->Board.TargetLimits.write([&](StatedLimits &Known) {
      Known.onResponse({VmId(Target), {}}, Statement, Now, Now);
    });
  }
  void rest(const char *Target, Millis Duration, TimePoint Now) {
    TargetStatement Statement;
    Statement.Rest = Duration;
    this->Board.TargetPauses.write([&](StatedPauses &Known) {
      Known.onResponse({VmId(Target), {}}, Statement, Now);
    });
  }
  /// The operators' feed shows all of \p Keys, or changes if \p IsSnapshot is
  /// false.
  void show(const std::vector<KeyedRecord> &Records, bool IsSnapshot = true,
            std::uint64_t Era = 0) {
    KeyedPage Page;
    Page.IsSnapshot = IsSnapshot;
    Page.Records = Records;
    Page.Next = atOffset(++this->End, Era);
    Page.ProvenAt = SystemClock{}.now();
    this->Board.feed(FeedKind::Config).merge(Page, SystemClock{}.now());
    this->Follower.step();
  }
  bool isEvacuated(const char *Centre) {
    return this->Board.Evacuated.read([&](const Evacuations &Row) {
      return Row.contains(DataCentreId(Centre));
    });
  }

  EntryBoard Board;
  RoutingConfigRef Config;
  HttpRoute Route;
  RelayRequest Request;
  RelayProgress Progress;
  TargetBounds Bounds{Board};
  TargetSelector Selector{Board, Bounds};
  CachedFeed Feed{Board.feed(FeedKind::Config)};
  ConfigFollower<CachedFeed, platform::ConfigDecoder> Follower{Board, Feed, {}};
  std::uint64_t End = 0;
};

// Guards against requests to a data centre after operators asked to evacuate
// it.
TEST_CASE_METHOD(PlacementFixture,
                 "placement: the data centre is evacuated: requests go to the "
                 "other one until it ends",
                 "[unit]") {
  TimePoint Now = SystemClock{}.now();
  CHECK(this->chosenAt(Now) == "in-a");
  this->show({{"evacuate/a", "{}"}});
  CHECK(this->chosenAt(Now) == "in-b");
  // Asked for twice, and for a data centre that does not exist.
  this->show({{"evacuate/a", "{}"}, {"evacuate/nowhere", "{}"}}, false);
  CHECK(this->chosenAt(Now) == "in-b");
  this->show({{"evacuate/b", "{}"}}, false);
  CHECK(this->chosenAt(Now).empty());
  this->show({{"evacuate/a", std::nullopt}}, false);
  CHECK(this->chosenAt(SystemClock{}.now()) == "in-a");
  CHECK(this->isEvacuated("b"));
}

// Guards against an evacuation that is forgotten when a node reads everything
// again, or when the store was restored from a copy that lacks it.
TEST_CASE_METHOD(PlacementFixture,
                 "placement: the store shows no evacuation any more: it ends, "
                 "but after a restore only once operators could write again",
                 "[unit]") {
  this->show({{"evacuate/a", "{}"}});
  this->show({}, true, 1);
  CHECK(this->isEvacuated("a"));
  this->show({{"evacuate/a", "{}"}}, false, 1);
  CHECK(this->isEvacuated("a"));
  // Operators have had the time to write again.
  EraMarks Settled;
  Settled.Era = StoreEra(1);
  Settled.Versions.Settled = true;
  this->Board.feed(FeedKind::Config).mergeMarks(Settled, SystemClock{}.now());
  this->show({}, true, 1);
  CHECK_FALSE(this->isEvacuated("a"));
}

// Guards against a full load on targets that turned cold during an evacuation
// and have not announced it yet.
TEST_CASE_METHOD(PlacementFixture,
                 "placement: an evacuation has just ended: targets there count "
                 "as cold",
                 "[unit]") {
  this->show({{"evacuate/a", "{}"}, {"evacuate/b", "{}"}});
  this->show({{"evacuate/a", std::nullopt}}, false);
  TimePoint Now = SystemClock{}.now();
  CHECK(this->chosenAt(Now) == "in-a");
  CHECK(this->chosenAt(Now + Millis(10)).empty());
  // One node of one: half a second between two requests, and a margin.
  CHECK(this->chosenAt(Now + Millis(700)) == "in-a");
  CHECK(this->chosenAt(Now + Millis(3100)) == "in-a");
  CHECK(this->chosenAt(Now + Millis(3110)) == "in-a");
}

// Guards against requests that leave the regions of their route or workspace.
TEST_CASE_METHOD(PlacementFixture,
                 "placement: route and workspace allow regions: both bind, and "
                 "no allowed target means none",
                 "[unit]") {
  TimePoint Now = SystemClock{}.now();
  this->Route.AllowedRegions = std::set{RegionId("east")};
  CHECK(this->chosenAt(Now) == "in-b");
  // Also where the allowed target has failed.
  this->Progress.Tried = {VmId("in-b")};
  CHECK(this->chosenAt(Now).empty());
  this->Progress.Tried.clear();
  KeyOwner Owner;
  Owner.AllowedRegions = std::set{RegionId("west")};
  this->Request.Owner = &Owner;
  CHECK(this->chosenAt(Now).empty());
  this->Route.AllowedRegions.reset();
  CHECK(this->chosenAt(Now) == "in-a");
  Owner.AllowedRegions = std::set{RegionId("nowhere")};
  CHECK(this->chosenAt(Now).empty());
}

// Guards against a limit that only counts while another target is better, and
// against a Retry-After that says nothing about the limit.
TEST_CASE_METHOD(PlacementFixture,
                 "placement: a target states a limit: it gets its share, and "
                 "where no other is left the wait for it is known",
                 "[unit]") {
  TimePoint Now = SystemClock{}.now();
  this->limit("in-a", 0.5, Now);
  CHECK(this->chosenAt(Now) == "in-b");
  CHECK_FALSE(this->Selector.nextOpening(this->Request, {}, Now) == Millis(0));
  this->Progress.Tried = {VmId("in-b")};
  CHECK(this->chosenAt(Now).empty());
  // One node of one uses nearly all of half a request a second.
  std::optional<Millis> Wait =
      this->Selector.nextOpening(this->Request, this->Progress, Now);
  REQUIRE(Wait);
  CHECK(*Wait > Millis(2000));
  CHECK(*Wait < Millis(2500));
  CHECK(this->chosenAt(Now + *Wait) == "in-a");
  CHECK(this->chosenAt(Now + *Wait + Millis(10)).empty());
  // The target was tried, too: its limit is not what the request waits for.
  this->Progress.Tried = {VmId("in-a"), VmId("in-b")};
  CHECK_FALSE(this->Selector.nextOpening(this->Request, this->Progress, Now));
}

// Guards against a node that uses its whole share although it may have missed
// that there are other nodes.
TEST_CASE_METHOD(PlacementFixture,
                 "placement: a target states a limit, and this node is out of "
                 "touch with the store: it sends a fourth of its share",
                 "[unit]") {
  TimePoint Now = SystemClock{}.now() + Millis(120000);
  this->Progress.Tried = {VmId("in-b")};
  this->limit("in-a", 2, Now);
  CHECK(this->chosenAt(Now + Millis(600)).empty());
  CHECK(this->chosenAt(Now + Millis(2100)).empty());
  CHECK(this->chosenAt(Now + Millis(2300)) == "in-a");
  CHECK(this->chosenAt(Now + Millis(3000)).empty());
}

// Guards against a rest that ends early, or that only counts while another
// target is left.
TEST_CASE_METHOD(PlacementFixture,
                 "placement: a target asks for rest: it gets no request until "
                 "the end, also one that had selected it",
                 "[unit]") {
  TimePoint Now = SystemClock{}.now();
  std::optional<SelectedTarget> Selected =
      this->Selector.choose(this->Request, this->Progress, Now);
  REQUIRE(Selected);
  this->rest("in-a", Millis(3000), Now);
  CHECK_FALSE(this->Selector.confirm(this->Request, *Selected, Now));
  CHECK(this->chosenAt(Now) == "in-b");
  // A shorter rest that it asks for later takes nothing back.
  this->rest("in-a", Millis(100), Now + Millis(10));
  this->rest("in-b", Millis(5000), Now);
  CHECK(this->chosenAt(Now + Millis(2999)).empty());
  CHECK(this->Selector.nextOpening(this->Request, {}, Now) == Millis(3000));
  CHECK(this->chosenAt(Now + Millis(3000)) == "in-a");
  // An absurd rest ends some day, and a new process has none.
  StatedPauses Pauses;
  TargetStatement Endless;
  Endless.Rest = Millis(1'000'000'000'000);
  Pauses.onResponse({VmId("t"), {}}, Endless, Now);
  CHECK(Pauses.of({VmId("t"), {}}, Now).RestLeft == StatedPauses::MaxRest);
  CHECK_FALSE(Pauses.of({VmId("t"), WallMs(1)}, Now).any());
  auto IsListed = [](const VmIncarnation &) { return true; };
  Pauses.forget(IsListed, Now + StatedPauses::MaxRest);
  CHECK_FALSE(Pauses.any());
}

// Guards against requests to a target that has stated that it leaves, as soon
// as no other one is left or its entry was away for a moment.
TEST_CASE_METHOD(PlacementFixture,
                 "placement: a target states that it leaves: it gets no "
                 "request any more, and nobody waits for it",
                 "[unit]") {
  TimePoint Now = SystemClock{}.now();
  std::optional<SelectedTarget> Selected =
      this->Selector.choose(this->Request, this->Progress, Now);
  REQUIRE(Selected);
  TargetStatement Leaving;
  Leaving.Leaving = true;
  auto State = [&](const char *Target) {
    this->Board.TargetPauses.write([&](StatedPauses &Known) {
      Known.onResponse({VmId(Target), {}}, Leaving, Now);
    });
  };
  State("in-a");
  CHECK_FALSE(this->Selector.confirm(this->Request, *Selected, Now));
  CHECK(this->chosenAt(Now) == "in-b");
  State("in-b");
  CHECK(this->chosenAt(Now + Millis(3'600'000)).empty());
  CHECK_FALSE(this->Selector.nextOpening(this->Request, {}, Now));
  this->Board.TargetPauses.write([&](StatedPauses &Known) {
    VmIncarnation Target{VmId("in-a"), {}};
    CHECK_FALSE(Known.of({Target.Id, WallMs(1)}, Now).any());
    auto IsListed = [](const VmIncarnation &) { return false; };
    Known.forget(IsListed, Now + Millis(60'000));
    CHECK(Known.of(Target, Now).Leaves);
    Known.forget(IsListed, Now + Millis(3'600'000));
    CHECK_FALSE(Known.of(Target, Now).any());
  });
}

// Guards against requests that were under way to a target when it stated its
// limit and are sent all the same.
TEST_CASE_METHOD(PlacementFixture,
                 "placement: a limit is stated after the selection: the "
                 "request counts against it, or is not sent",
                 "[unit]") {
  TimePoint Now = SystemClock{}.now();
  std::optional<SelectedTarget> Selected =
      this->Selector.choose(this->Request, this->Progress, Now);
  REQUIRE(Selected);
  SelectedTarget Again = *Selected;
  CHECK(this->Selector.confirm(this->Request, *Selected, Now));
  this->limit(Selected->To.Target->Id.Text.c_str(), 2, Now);
  CHECK_FALSE(this->Selector.confirm(this->Request, *Selected, Now));
  TimePoint Later = Now + Millis(1000);
  CHECK(this->Selector.confirm(this->Request, *Selected, Later));
  CHECK_FALSE(this->Selector.confirm(this->Request, Again, Later));
  // What was counted once is not counted again.
  CHECK(this->Selector.confirm(this->Request, *Selected, Later));
}

// Guards against a way that is dropped after a long search although its target
// still serves, and against requests to a target that left meanwhile.
TEST_CASE_METHOD(PlacementFixture,
                 "placement: a selection is renewed: only while its target is "
                 "listed as the same VM",
                 "[unit]") {
  TimePoint Now = SystemClock{}.now();
  std::optional<SelectedTarget> Old =
      this->Selector.choose(this->Request, this->Progress, Now);
  REQUIRE(Old);
  // Another target looks better by now, which is no reason to change.
  this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
    Stats.suspect({VmId("in-a"), {}}, Now, Millis(3000));
  });
  REQUIRE(this->chosenAt(Now) == "in-b");
  CHECK(this->Selector.renew(this->Request, *Old, Now));
  CHECK(Old->To.Target->Id.Text == "in-a");

  auto Restarted = std::make_shared<TargetInfo>(*Old->To.Target);
  Restarted->StartedAt = WallMs(7);
  this->Board.Targets.write(
      [&](Fleet &Rows) { Rows.Targets[Restarted->Id] = Restarted; });
  rebuildServingView(this->Board);
  CHECK_FALSE(this->Selector.renew(this->Request, *Old, Now));

  this->Board.Targets.write(
      [](Fleet &Rows) { Rows.Targets.erase(VmId("in-a")); });
  rebuildServingView(this->Board);
  CHECK_FALSE(this->Selector.renew(this->Request, *Old, Now));
}

// Guards against requests to a target that must be avoided since a search for a
// way began.
TEST_CASE_METHOD(PlacementFixture,
                 "placement: a selection is renewed: not where the data centre "
                 "was evacuated meanwhile",
                 "[unit]") {
  TimePoint Now = SystemClock{}.now();
  std::optional<SelectedTarget> Old =
      this->Selector.choose(this->Request, this->Progress, Now);
  REQUIRE(Old);
  this->show({{"evacuate/a", "{}"}});
  CHECK_FALSE(this->Selector.renew(this->Request, *Old, Now));
  this->show({{"evacuate/a", std::nullopt}}, false);
  CHECK(this->Selector.renew(this->Request, *Old, SystemClock{}.now()));
}

} // namespace waycove::test
