// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Which targets a request may be sent to: evacuated data centres, allowed
// regions, and the rate of cold targets.
#include "control/cached_feed.h"
#include "control/config_follower.h"
#include "entry/relay_policy.h"
#include "platform/decode.h"
#include "support/times.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

namespace waycove::test {

namespace {

NodeTable nodesOf(std::size_t Count) {
  NodeTable Nodes;
  for (std::size_t I = 0; I < Count; ++I) {
    NodeInfo Info;
    Info.Node = NodeId("n" + std::to_string(I));
    Nodes[Info.Node] = Info;
  }
  return Nodes;
}

/// Most requests within one second at a cold target, and all of them.
struct ColdLoad {
  std::size_t Peak = 0;
  std::size_t Sum = 0;
};

/// How a node limits its requests to a cold target.
enum class ColdWay {
  /// A few nodes may send, each at a fixed interval.
  Rendezvous,
  /// Each node sends its part of the rate.
  EqualParts
};

/// \p NodeCount nodes get \p PerSecond requests together, each of which goes to
/// the cold target if its node may send it there, for ten seconds.
ColdLoad playCold(std::size_t NodeCount, double PerSecond, double ColdRate,
                  ColdWay Way) {
  constexpr Millis Duration{10000};
  constexpr Millis Second{1000};
  VmIncarnation Target{VmId("t"), {}};
  NodeTable Nodes = nodesOf(NodeCount);
  std::vector<ColdRateLimiter> Limiters(NodeCount);
  std::mt19937_64 Random(7);
  std::deque<TimePoint> Recent;
  ColdLoad Load;
  auto Gap = Millis(1000) / PerSecond;
  for (auto Time = Millis(0) / 1.0; Time < Duration; Time += Gap) {
    TimePoint Now = at(0) + std::chrono::duration_cast<Millis>(Time);
    std::size_t Node = Random() % NodeCount;
    auto Interval = [&](const VmIncarnation &Cold) -> std::optional<Millis> {
      if (Way == ColdWay::EqualParts)
        return std::chrono::duration_cast<Millis>(
            Second * static_cast<double>(NodeCount) / ColdRate);
      return coldSendInterval(Nodes, NodeId("n" + std::to_string(Node)), Cold,
                              ColdRate);
    };
    if (!Limiters[Node].take(Target, Interval, Now))
      continue;
    ++Load.Sum;
    Recent.push_back(Now);
    while (Now - Recent.front() >= Second)
      Recent.pop_front();
    Load.Peak = std::max(Load.Peak, Recent.size());
  }
  return Load;
}

} // namespace

// Guards against a fleet whose nodes each send one request to a target that has
// just turned cold, which overloads it.
TEST_CASE("cold target: 9, 86 and 984 nodes with traffic: the sum of their "
          "requests stays within its rate",
          "[unit]") {
  constexpr double ColdRate = 26;
  // What the operators' bound adds to the rate is not used on purpose.
  constexpr std::size_t MostPerSecond = 26 + 9;
  for (std::size_t Nodes : {9, 86, 984}) {
    ColdLoad Load = playCold(Nodes, 2000, ColdRate, ColdWay::Rendezvous);
    CHECK(Load.Peak <= MostPerSecond);
    // Little of the target's rate stays unused.
    CHECK(static_cast<double>(Load.Sum) >= 10 * ColdRate * 0.6);
  }
  CHECK(playCold(984, 2000, ColdRate, ColdWay::EqualParts).Peak >
        MostPerSecond);
}

TEST_CASE("cold target: half of the nodes are cut off and know only each "
          "other: the permitted ones keep their interval",
          "[unit]") {
  NodeTable Nodes = nodesOf(86);
  VmIncarnation Target{VmId("t"), {}};
  std::size_t Permitted = 0;
  for (const auto &[Id, Info] : Nodes)
    Permitted += coldSendInterval(Nodes, Id, Target, 26) ? 1 : 0;
  CHECK(Permitted == 26);
  // A node that the directory does not list may send nothing.
  CHECK_FALSE(coldSendInterval(Nodes, NodeId("other"), Target, 26));
}

/// Two targets of a plain service, one in each data centre, and the policy that
/// chooses between them at a node in the data centre "a".
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
        this->Policy.choose(this->Request, this->Progress, Now);
    return To ? To->To.Target->Id.Text : "";
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
  RelayPolicy Policy{Board};
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

} // namespace waycove::test
