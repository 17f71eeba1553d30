// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Decisions of an entry node: routes, choice of targets, retries, leases.
#include "platform/decode.h"
#include "policy/choice.h"
#include "policy/domain_plan.h"
#include "policy/lease.h"
#include "policy/retry_limiter.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

HttpRoute routeOf(const std::string &Name, const std::string &Host,
                  const std::string &Prefix) {
  HttpRoute Route;
  Route.Name = Name;
  Route.Host = Host;
  Route.Prefix = Prefix;
  Route.Backends = {{ServiceId(Name), 1}};
  return Route;
}

} // namespace

struct RoutingFixture {
  RoutingFixture() {
    this->Config.addRoute(routeOf("short", "a.example", "/x/"));
    this->Config.addRoute(routeOf("long", "a.example", "/x/y/"));
    this->Config.addRoute(routeOf("other", "b.example", "/x/"));
    this->Config.sortRoutes();
  }
  RoutingConfig Config;
};

TEST_CASE_METHOD(RoutingFixture, "routing: two prefixes fit: the longer wins",
                 "[unit]") {
  CHECK(this->Config.find("a.example", "/x/y/z")->Name == "long");
  CHECK(this->Config.find("A.Example:80", "/x/z")->Name == "short");
  CHECK(this->Config.find("b.example", "/x/y/")->Name == "other");
}

TEST_CASE_METHOD(RoutingFixture, "routing: no prefix or host fits: none",
                 "[unit]") {
  CHECK(this->Config.find("a.example", "/x") == nullptr);
  CHECK(this->Config.find("c.example", "/x/") == nullptr);
}

TEST_CASE("routing: weighted backends: picked by their weights", "[unit]") {
  HttpRoute Route;
  Route.Backends = {{ServiceId("a"), 90}, {ServiceId("b"), 10}};
  int OfB = 0;
  for (std::uint64_t I = 0; I < 100; ++I)
    OfB += pickBackend(Route, I).Text == "b";
  CHECK(OfB == 10);
}

struct ChoiceFixture {
  ChoiceFixture() {
    for (const char *Name : {"a", "b", "c"}) {
      auto Row = std::make_shared<TargetInfo>();
      Row->Id = VmId(Name);
      Row->DataCentre = DataCentreId("here");
      this->Rows.push_back({Row, "m"});
    }
    this->Query.Model = "m";
    this->Query.Here = DataCentreId("here");
    this->Query.Now = at(0);
  }
  std::string choose() {
    const ServingTarget *Row =
        chooseTarget(this->Rows, this->Stats, this->Query);
    return Row ? Row->Target->Id.Text : "";
  }
  std::vector<ServingTarget> Rows;
  TargetStatsTable Stats;
  ChoiceQuery Query;
};

TEST_CASE_METHOD(ChoiceFixture, "choice: one target is less loaded: taken",
                 "[unit]") {
  for (int I = 0; I < 4; ++I) {
    this->Stats.onStart({VmId("a"), {}}, 1000, at(0));
    this->Stats.onStart({VmId("c"), {}}, 1000, at(0));
  }
  CHECK(this->choose() == "b");
}

TEST_CASE_METHOD(ChoiceFixture, "choice: suspects and tried ones: come last",
                 "[unit]") {
  this->Stats.suspect({VmId("a"), {}}, at(0), Millis(1000));
  this->Query.Avoid = {VmId("b")};
  CHECK(this->choose() == "c");
  this->Query.Avoid = {VmId("b"), VmId("c")};
  CHECK(this->choose() == "a");
}

TEST_CASE_METHOD(ChoiceFixture, "choice: answers under way do not move: left",
                 "[unit]") {
  for (const char *Name : {"b", "c"})
    for (int I = 0; I < 6; ++I)
      this->Stats.onStart({VmId(Name), {}}, 0, at(0));
  this->Stats.onStart({VmId("a"), {}}, 0, at(0));
  this->Stats.onFirstByte({VmId("a"), {}}, at(0), 0, at(50));
  this->Query.Now = at(100);
  CHECK(this->choose() == "a");
  this->Query.Now = at(500);
  CHECK(this->Stats.of({VmId("a"), {}}).isStalled({}, at(500)));
  CHECK(this->choose() != "a");
  this->Stats.onProgress({VmId("a"), {}}, at(490));
  CHECK_FALSE(this->Stats.of({VmId("a"), {}}).isStalled({}, at(500)));
}

TEST_CASE_METHOD(ChoiceFixture,
                 "choice: one target fails far more than others: left a while",
                 "[unit]") {
  for (int I = 0; I < 20; ++I) {
    this->Stats.onOutcome({VmId("a"), {}}, I % 2 == 0, at(0));
    this->Stats.onOutcome({VmId("b"), {}}, I % 8 == 0, at(0));
    this->Stats.onOutcome({VmId("c"), {}}, I % 8 == 0, at(0));
  }
  CHECK(this->Stats.of({VmId("a"), {}}).SuspectUntil > at(0));
  CHECK(this->Stats.of({VmId("b"), {}}).SuspectUntil <= at(0));
}

TEST_CASE("config: a model whose group has no VMs: refused as a whole",
          "[unit]") {
  auto Config = [](const std::string &Size) {
    return platform::ConfigDecoder()(
        R"({"version":1,"routes":[],"services":[{"name":"s","engine":)"
        R"({"models":[{"name":"m","size":)" +
        Size + "}]}}]}");
  };
  CHECK(Config("2").ok());
  CHECK_FALSE(Config("0").ok());
}

TEST_CASE("second sends: over any window: within ratio and slack", "[unit]") {
  RetryLimit Limit{0.2, 50, Millis(10000)};
  RetryLimiter Limiter(Limit);
  int Taken = 0;
  for (int Ms = 0; Ms < 10000; Ms += 10) {
    Limiter.onRequest(at(Ms));
    Taken += Limiter.take(0.5, at(Ms));
  }
  CHECK(Taken <= 0.2 * 1000 + 25);
  CHECK(Taken > 100);
  CHECK_FALSE(Limiter.allows(0.5, at(9990)));
  // Requests and retries before the window do not count.
  CHECK(Limiter.take(0.5, at(31000)));
}

TEST_CASE("lease: counted from the question: an old one never shortens it",
          "[unit]") {
  Lease Held;
  CHECK_FALSE(Held.holds(at(0)));
  Held.renew(at(0), Millis(100));
  Held.renew(at(-50), Millis(100));
  CHECK(Held.holds(at(99)));
  CHECK_FALSE(Held.holds(at(100)));
}

struct FleetFixture {
  FleetFixture() {
    ServiceSpec Spec;
    Spec.Id = ServiceId("llm");
    Spec.Engine.emplace();
    ModelSpec Model;
    Model.Name = "m";
    Model.GroupSize = 2;
    Spec.Engine->Models = {Model};
    this->Config.Services[Spec.Id] = Spec;
    this->put("head", 0, MemberState::Open);
    this->put("member", 1, MemberState::Ready);
  }
  void put(const std::string &Id, unsigned Rank, MemberState State,
           std::uint64_t Epoch = 7) {
    auto Row = std::make_shared<TargetInfo>();
    Row->Id = VmId(Id);
    Row->Service = ServiceId("llm");
    Row->Group =
        Membership{{groupName("m", DomainId("d"), Epoch), Epoch}, Rank, State};
    this->Targets.Targets[Row->Id] = Row;
  }
  std::size_t serving() {
    ServingViewRef View = makeServingView(this->Config, this->Targets, {});
    auto At = View->ByService.find(ServiceId("llm"));
    return At == View->ByService.end() ? 0 : At->second.size();
  }
  RoutingConfig Config;
  Fleet Targets;
};

TEST_CASE_METHOD(FleetFixture,
                 "serving view: whole open group: its head serves", "[unit]") {
  CHECK(this->serving() == 1);
}

TEST_CASE_METHOD(FleetFixture,
                 "serving view: a member is in another group: nothing serves",
                 "[unit]") {
  this->put("member", 1, MemberState::Ready, 8);
  CHECK(this->serving() == 0);
}

TEST_CASE_METHOD(FleetFixture,
                 "serving view: a member's entry only lapsed: goes on serving",
                 "[unit]") {
  this->Targets.Removed[VmId("member")] = {
      this->Targets.Targets.at(VmId("member")), at(0)};
  this->Targets.Targets.erase(VmId("member"));
  CHECK(this->serving() == 1);
  this->Targets.Targets.erase(VmId("head"));
  CHECK(this->serving() == 0);
}

// Guards against a target that is avoided by all because a caller does not read
// its stream.
TEST_CASE("target stats: a caller holds up its stream: the target counts as "
          "stalled only once the caller reads again",
          "[unit]") {
  TargetStatsTable Stats;
  VmIncarnation Target{VmId("t"), {}};
  Stats.onStart(Target, 0, at(0));
  Stats.onFirstByte(Target, at(0), 0, at(10));
  Stats.onHeldUp(Target);
  CHECK_FALSE(Stats.isSuspect(Target, at(5000)));
  Stats.onReleased(Target, at(5000));
  CHECK_FALSE(Stats.isSuspect(Target, at(5100)));
  CHECK(Stats.isSuspect(Target, at(6000)));
  Stats.onEnd(Target, at(0), true, 0);
  CHECK_FALSE(Stats.isSuspect(Target, at(7000)));
}

TEST_CASE("choice: an entry is missing, the target kept: only where none is "
          "listed",
          "[unit]") {
  TargetStatsTable Stats;
  std::vector<ServingTarget> Rows;
  for (const char *Id : {"kept", "listed"}) {
    auto Target = std::make_shared<TargetInfo>();
    Target->Id = VmId(Id);
    Rows.push_back({Target, "", Rows.empty()});
  }
  ChoiceQuery Query;
  Query.Now = at(0);
  // Also if the listed one is suspect or has refused: the other may have left.
  Stats.suspect({VmId("listed"), {}}, at(0), Millis(500));
  for (unsigned I = 0; I < 20; ++I) {
    Query.Random = mixHash(7, I);
    CHECK(chooseTarget(Rows, Stats, Query)->Target->Id == VmId("listed"));
  }
  Query.Avoid = {VmId("listed")};
  CHECK(chooseTarget(Rows, Stats, Query) == nullptr);
  Rows.pop_back();
  CHECK(chooseTarget(Rows, Stats, Query)->Target->Id == VmId("kept"));
}

TEST_CASE("choice: the registry is old, a target closes its connections: only "
          "where no other serves",
          "[unit]") {
  TargetStatsTable Stats;
  std::vector<ServingTarget> Rows;
  for (const char *Id : {"closing", "staying"}) {
    auto Target = std::make_shared<TargetInfo>();
    Target->Id = VmId(Id);
    Rows.push_back({Target, ""});
  }
  Stats.onResponseHead({VmId("closing"), {}}, true);
  // By load alone, the other target would be chosen.
  Stats.onStart({VmId("staying"), {}}, 0, at(0));
  ChoiceQuery Query;
  Query.Now = at(10);
  CHECK(chooseTarget(Rows, Stats, Query)->Target->Id == VmId("closing"));
  Query.RegistryStale = true;
  CHECK(chooseTarget(Rows, Stats, Query)->Target->Id == VmId("staying"));
  Rows.pop_back();
  CHECK(chooseTarget(Rows, Stats, Query)->Target->Id == VmId("closing"));
}

TEST_CASE("planner: groups for a domain: one of each in turn, largest first",
          "[unit]") {
  EngineSpec Engine;
  Engine.Models.resize(2);
  Engine.Models[0].GroupSize = 4;
  Engine.Models[1].GroupSize = 2;
  CHECK(planGroupCounts(Engine, 8) == std::vector<unsigned>{1, 2});
  CHECK(planGroupCounts(Engine, 7) == std::vector<unsigned>{1, 1});
  CHECK(planGroupCounts(Engine, 3) == std::vector<unsigned>{0, 1});
  Engine.Models[0].GroupSize = 8;
  Engine.Models[1].GroupSize = 4;
  CHECK(planGroupCounts(Engine, 19) == std::vector<unsigned>{1, 2});
}

TEST_CASE("planner: domains too small for all models: share them out",
          "[unit]") {
  EngineSpec Engine;
  Engine.Models.resize(2);
  Engine.Models[0].GroupSize = 4;
  Engine.Models[1].GroupSize = 2;
  CHECK(planGroupCounts(Engine, 4, 0) == std::vector<unsigned>{1, 0});
  CHECK(planGroupCounts(Engine, 4, 1) == std::vector<unsigned>{0, 2});
  CHECK(planGroupCounts(Engine, 8, 1) == std::vector<unsigned>{1, 2});
}

TEST_CASE_METHOD(FleetFixture,
                 "serving view: engines without groups: each serves alone",
                 "[unit]") {
  this->Config.Services[ServiceId("llm")].Engine->Models.clear();
  CHECK(this->serving() == 2);
}

} // namespace waycove::test
