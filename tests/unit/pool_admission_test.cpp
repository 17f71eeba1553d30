// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Which requests a node queues or refuses, and what it reports to others.
#include "policy/pool_admission.h"
#include "support/times.h"
#include "wire/news_frames.h"

#include <catch2/catch.hpp>

namespace waycove::test {

struct PoolAdmissionFixture {
  /// One target with one slot, used by this node alone.
  PoolAdmissionFixture() {
    this->Load.Offers = {{TargetHash(1), 1}};
    this->Load.Places = 1;
    this->Admission.update({{this->Pool, this->Load}});
  }
  auto offer(int UsefulMs, std::uint64_t Random = 0) {
    PlaceRequest Request;
    Request.ArrivedAt = at(0);
    Request.UsefulUntil = at(UsefulMs);
    Request.MaxRetryAfter = Millis(2000);
    return this->Admission.offer(this->Pool, Request, Random, at(0));
  }
  PoolReport report() { return this->Admission.reports(at(0)).at(this->Pool); }
  const PoolKey Pool{ServiceId("s"), "m"};
  PoolLoad Load;
  PoolAdmission Admission;
};

// Guards against callers that wait in vain, and that retry simultaneously.
TEST_CASE_METHOD(PoolAdmissionFixture,
                 "pool admission: too late: refused at once", "[unit]") {
  // An idle pool is tried, whatever was predicted.
  CHECK(std::holds_alternative<PoolTicket>(this->offer(-1000)));
  CHECK(this->Admission.takeReady(at(0)).size() == 1);
  this->Admission.update({{this->Pool, this->Load}});
  std::set<Millis> Times;
  for (std::uint64_t Random = 0; Random < 200; ++Random) {
    auto Offered = this->offer(500, Random);
    REQUIRE(std::holds_alternative<AdmissionRefusal>(Offered));
    auto &Refusal = std::get<AdmissionRefusal>(Offered);
    CHECK(Refusal.Forecast.Wait == Millis(1000));
    CHECK((Refusal.Limit == 1 && Refusal.InFlight == 1));
    Times.insert(Refusal.RetryAfter);
  }
  CHECK(Times.size() > 100);
  CHECK((*Times.begin() >= Millis(500) && *Times.rbegin() < Millis(1000)));
  CHECK(*Times.rbegin() - *Times.begin() > Millis(400));
  CHECK(std::holds_alternative<PoolTicket>(this->offer(2000)));
  CHECK(this->Admission.waiting() == 1);
}

TEST_CASE_METHOD(PoolAdmissionFixture, "pool admission: requeued: counts once",
                 "[unit]") {
  CHECK((this->report().Nodes == 1 && this->report().Arrivals == 0));
  auto Ticket = std::get<PoolTicket>(this->offer(2000));
  double Arrivals = this->report().Arrivals;
  CHECK(this->Admission.takeReady(at(0)).size() == 1);
  CHECK(this->report().InFlight == 1);
  this->Admission.release(Ticket, Millis(1));
  this->Admission.requeue(this->Pool, {});
  PoolReport After = this->report();
  CHECK((After.Arrivals == Arrivals && Arrivals > 0));
  CHECK((After.InFlight == 0 && After.Waiting == 1 && After.Nodes == 1));
}

// Guards against arrivals of late returned callers that reserve places, which
// then stay free since no request that could be in time needs them.
TEST_CASE_METHOD(PoolAdmissionFixture,
                 "pool admission: late returned callers: reserve no places",
                 "[unit]") {
  constexpr unsigned Places = 16;
  this->Load.Offers = {{TargetHash(1), Places}};
  this->Load.Places = Places;
  auto OfferMany = [&](bool IsLate) {
    PlaceRequest Request;
    Request.ArrivedAt = at(0);
    Request.InTimeUntil = at(IsLate ? 0 : 1000);
    Request.UsefulUntil = at(60000);
    Request.HasReturned = IsLate;
    std::vector<PoolTicket> Tickets;
    for (unsigned I = 0; I < 4 * Places; ++I)
      Tickets.push_back(std::get<PoolTicket>(
          this->Admission.offer(this->Pool, Request, 0, at(1))));
    return Tickets;
  };
  OfferMany(true);
  this->Admission.update({{this->Pool, this->Load}});
  // Twice what the places can run in the assumed second each.
  CHECK(this->Admission.reports(at(1)).at(this->Pool).Arrivals == 2 * Places);
  std::vector<PoolTicket> Late = this->Admission.takeReady(at(1));
  CHECK(Late.size() == Places);
  // As many arrivals that can be in time do reserve places.
  for (const PoolTicket &Ticket : OfferMany(false))
    CHECK(this->Admission.withdraw(Ticket));
  for (const PoolTicket &Ticket : Late)
    this->Admission.release(Ticket, Millis(1000));
  std::size_t Taken = this->Admission.takeReady(at(1)).size();
  CHECK((Taken > 0 && Taken < Places));
}

// Guards against a damaged report that takes all places from a node.
TEST_CASE("pool reports: absurd rows: dropped, the others stay", "[unit]") {
  PoolReports Sent;
  Sent[{ServiceId("s"), "good"}] = {1.5, 2, 3, 4};
  for (float Bad : {-1.0F, NAN, INFINITY, 1e30F})
    Sent[{ServiceId("s"), std::to_string(Bad)}] = {1, Bad, 0, 1};
  Sent[{ServiceId("s"), "nodes"}] = {1, 0, 0, 4000000000};
  REQUIRE(Sent.size() == 6);
  PoolReports Read;
  CHECK_FALSE(unpackPools(packPools(Sent), Read).ok());
  REQUIRE(Read.size() == 1);
  PoolReport Good = Read.at({ServiceId("s"), "good"});
  CHECK((Good.Arrivals == 1.5 && Good.InFlight == 2 && Good.Nodes == 4));
}

} // namespace waycove::test
