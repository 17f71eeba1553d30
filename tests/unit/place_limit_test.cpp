// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// How many places of a pool a node uses, and when a pool is overloaded.
#include "policy/place_limit.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

struct PlaceLimitFixture {
  PlaceLimitFixture() {
    this->Load.Offers = {{TargetHash(1), 22}, {TargetHash(2), 22}};
    this->Load.Places = 44;
    this->Load.KnownNodes = 4;
  }
  /// Of all nodes, per place.
  void use(double InFlight, double Waiting) {
    this->Load.Others.InFlight = 44 * InFlight;
    this->Load.Others.Waiting = 44 * Waiting;
  }
  double fraction() const { return placeShare(this->Load).value().Fraction; }
  std::size_t limit() const {
    return placeLimit(this->Load, placeShare(this->Load).value());
  }
  PoolLoad Load;
  const PoolKey Pool{ServiceId("s"), "m"};
};

// Guards against half of a fleet that knows only itself taking all places.
TEST_CASE_METHOD(PlaceLimitFixture,
                 "place limit: share: by arrivals or known nodes", "[unit]") {
  this->Load.Own.Arrivals = 100;
  CHECK(arrivalShare(this->Load) == Approx(0.25));
  auto Share = [&](double Own, double Others, unsigned Nodes) {
    this->Load.Own.Arrivals = Own;
    this->Load.Others = {Others, 0, 0, Nodes};
    this->Load.ReportAge = Millis(300);
    return arrivalShare(this->Load);
  };
  CHECK(Share(0, 0, 3) == Approx(0.25));
  CHECK(Share(30, 10, 3) == Approx(0.75));
  CHECK(Share(30, 10, 9) == Approx(0.75));
  // Reports of known nodes are missing.
  CHECK(Share(10, 10, 1) == Approx(0.25));
  CHECK(Share(10, 0, 0) == Approx(0.25));
}

TEST_CASE("place limit: equal nodes: places add up to the slots", "[unit]") {
  std::size_t Nodes = GENERATE(9, 86, 984);
  unsigned Slots = GENERATE(6, 22, 34);
  auto Known = static_cast<double>(Nodes);
  for (std::uint64_t Target = 1; Target <= 200; ++Target) {
    std::size_t Sum = 0;
    for (std::size_t I = 0; I < Nodes; ++I)
      Sum += PlaceShare{1 / Known, static_cast<double>(I) / Known}.placesAt(
          TargetHash(Target), Slots);
    CAPTURE(Nodes, Target);
    REQUIRE(Sum == Slots);
  }
}

TEST_CASE_METHOD(PlaceLimitFixture, "place limit: free places: loosen it",
                 "[unit]") {
  this->use(1, 1);
  CHECK(this->fraction() == Approx(0.25));
  CHECK(this->limit() == Approx(11).margin(1));
  for (auto [InFlight, Waiting, Factor] :
       {std::tuple(0.8, 0.5, 1.25), {0.0, 2.0, 2.0}, {0.4, 0.1, 8.0}}) {
    this->use(InFlight, Waiting);
    CHECK(this->fraction() == Approx(0.25 * Factor));
  }
  this->use(0, 0);
  CHECK(this->limit() == 44);
  this->use(100, 100);
  this->Load.Others.Arrivals = 1000;
  this->Load.ReportAge = Millis(300);
  CHECK(this->limit() == 1);
  this->Load.Places = 0;
  CHECK_FALSE(placeShare(this->Load));
}

TEST_CASE_METHOD(PlaceLimitFixture,
                 "overload monitor: begin and end: told once each", "[unit]") {
  OverloadMonitor Monitor;
  auto Changes = [&](double InFlight, double Waiting) {
    this->use(InFlight, Waiting);
    return Monitor.update({{this->Pool, this->Load}});
  };
  for (auto [InFlight, Waiting] :
       {std::pair(1.2, 0.), {1, 0.5}, {0.5, 0.2}, {1, 0.5}})
    CHECK(Changes(InFlight, Waiting).empty());
  auto Entered = Changes(1, 0.5);
  REQUIRE((Entered.size() == 1 && Entered[0].IsOverloaded));
  CHECK((Changes(0.95, 0).empty() && Monitor.isOverloaded(this->Pool)));
  auto Left = Changes(0.85, 0);
  REQUIRE((Left.size() == 1 && !Left[0].IsOverloaded));
  CHECK((Changes(0.95, 0).empty() && !Monitor.isOverloaded(this->Pool)));
}

// Guards against places of lost targets, and against losing those of targets
// that only reject since they are full.
TEST_CASE("pool load: unusable targets: offer no places", "[unit]") {
  ServingView View;
  TargetStatsTable Stats;
  std::vector<ServingTarget> &Rows = View.ByService[ServiceId("s")];
  for (const char *Id :
       {"free", "cold", "kept", "bound", "suspect", "full", "idle"}) {
    TargetInfo Row;
    Row.Id = VmId(Id);
    Rows.push_back({std::make_shared<TargetInfo>(Row), "m", false, {}, 22});
  }
  Rows[1].ColdUntil = at(2000);
  Rows[2].Retained = true;
  Stats.suspect(Rows[4].Target->incarnation(), at(0), Millis(5000));
  VmIncarnation Full = Rows[5].Target->incarnation();
  Stats.suspect(Full, at(0), Millis(5000));
  Stats.onStart(Full, 1, at(0));
  Stats.onFirstByte(Full, at(0), 1, at(900));
  auto PlacesAfter = [&](int Ms) {
    auto IsBounded = [&](auto &To) { return To.Target == Rows[3].Target; };
    return foldPoolLoads({View, Stats, {}, {}, {}, 1, 0, IsBounded}, at(Ms))
        .at({ServiceId("s"), "m"})
        .Places;
  };
  CHECK(PlacesAfter(1000) == 3 * 22);
  // The responses of the full one stall.
  CHECK(PlacesAfter(1900) == 2 * 22);
  // Most targets look unsound, as in a short silence: none is left out.
  Stats.suspect(Rows[6].Target->incarnation(), at(0), Millis(5000));
  CHECK(PlacesAfter(1900) == 4 * 22);
}

} // namespace waycove::test
