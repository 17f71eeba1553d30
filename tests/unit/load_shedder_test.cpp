// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Simulates in virtual time more requests than the targets of a model can run.
// Guards against queues at the targets in which every response becomes late,
// and against refusals while there is room.
#include "policy/load_shedder.h"
#include "support/times.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

namespace waycove::test {

namespace {

const PoolKey Pool{ServiceId("llm"), "m"};
constexpr int StepMs = 5;
constexpr int ReportIntervalMs = 250;
/// Age of reports between nodes.
constexpr int ReportAgeMs = 500;
constexpr int Slots = 400;
/// How long a request holds its slot.
constexpr int HoldMs = 1300;
/// Latency objective for the first byte, of which an idle target needs a part.
constexpr int ObjectiveMs = 250;
constexpr int FirstByteMs = 120;
/// Requests that wait longer than this have left.
constexpr int PatienceMs = 4000;

} // namespace

/// One queue before all slots of a pool, and the shedder that all nodes share.
class ShedderFixture {
public:
  /// Runs \p Ms at \p Load, requests as a fraction of what the slots can run.
  void run(int Ms, double Load, bool Sheds = true) {
    this->Sent = this->InTime = this->Refused = 0;
    std::poisson_distribution<int> Arrivals(Load * Slots * StepMs / HoldMs);
    for (int End = this->NowMs + Ms; this->NowMs < End; this->NowMs += StepMs) {
      if (this->NowMs % ReportIntervalMs == 0)
        this->report();
      while (!this->Ends.empty() && this->Ends.front() <= this->NowMs)
        this->Ends.pop_front();
      for (int I = Arrivals(this->Random); I > 0; --I)
        this->arrive(Sheds);
      this->startWaiting();
    }
  }
  double inTime() const {
    return static_cast<double>(this->InTime) / this->Sent;
  }

  LoadShedder Shedder;
  int Sent = 0;
  int InTime = 0;
  int Refused = 0;

private:
  void report() {
    this->Reports.push_back(
        static_cast<double>(this->Ends.size() + this->Waiting.size()));
    if (this->Reports.size() <= ReportAgeMs / ReportIntervalMs)
      return;
    this->Shedder.update({{Pool, {this->Reports.front(), Slots}}},
                         at(this->NowMs));
    this->Reports.pop_front();
  }
  void arrive(bool Sheds) {
    ++this->Sent;
    std::uniform_real_distribution<> Uniform;
    if (Sheds && Uniform(this->Random) < this->Shedder.refusedFraction(Pool)) {
      ++this->Refused;
      return;
    }
    this->Waiting.push_back(this->NowMs);
  }
  void startWaiting() {
    while (!this->Waiting.empty() && this->Ends.size() < Slots) {
      int Waited = this->NowMs - this->Waiting.front();
      this->Waiting.pop_front();
      if (Waited > PatienceMs)
        continue;
      this->InTime += Waited + FirstByteMs <= ObjectiveMs ? 1 : 0;
      this->Ends.push_back(this->NowMs + HoldMs);
    }
  }

  std::mt19937 Random{7};
  int NowMs = 0;
  /// When the running requests end, and when the waiting ones arrived.
  std::deque<int> Ends;
  std::deque<int> Waiting;
  std::deque<double> Reports;
};

// Guards against an overload of a third that makes nearly all responses late.
TEST_CASE_METHOD(ShedderFixture,
                 "shedder: a third more than the slots can run: most of what "
                 "they can run is in time",
                 "[unit]") {
  this->run(4000, 0.8);
  this->run(4000, 1.33, false);
  this->run(12000, 1.33, false);
  CHECK(this->inTime() < 0.05);
  ShedderFixture Other;
  Other.run(4000, 0.8);
  Other.run(4000, 1.33);
  Other.run(12000, 1.33);
  // 0.75 would be perfect.
  CHECK(Other.inTime() > 0.5);
}

// Guards against refusals of requests that the targets could run.
TEST_CASE_METHOD(ShedderFixture,
                 "shedder: less than the slots can run, and the end of an "
                 "overload: next to nothing is refused",
                 "[unit]") {
  this->run(20000, 0.8);
  CHECK(this->Refused == 0);
  this->run(20000, 0.9);
  CHECK(this->Refused * 500 < this->Sent);
  CHECK(this->inTime() > 0.99);
  this->run(6000, 1.8);
  CHECK(this->Refused > 0);
  this->run(6000, 0.7);
  this->run(6000, 0.7);
  CHECK(this->Refused == 0);
  CHECK(this->inTime() > 0.99);
}

// Guards against a pool that is unknown for a moment and stays refused.
TEST_CASE_METHOD(ShedderFixture,
                 "shedder: no reports of a pool: nothing is refused", "[unit]") {
  this->run(8000, 1.8);
  REQUIRE(this->Shedder.refusedFraction(Pool) > 0);
  this->Shedder.update({}, at(9000));
  CHECK(this->Shedder.refusedFraction(Pool) == 0);
}

/// Two nodes' view of a head with engines of two slots.
struct PoolUseFixture {
  PoolUseFixture() {
    ServiceSpec Spec;
    Spec.Id = ServiceId("llm");
    Spec.Engine.emplace();
    Spec.Engine->Slots = 2;
    this->Config.Services[Spec.Id] = Spec;
    auto Row = std::make_shared<TargetInfo>();
    Row->Id = VmId("head");
    Row->Service = Spec.Id;
    this->View.ByService[Spec.Id].push_back({Row, "m"});
    this->Stats.onStart(Row->incarnation(), 1, at(0));
  }
  PoolUses uses(bool IsAlone) const {
    return poolUses(this->View, this->Config, this->Stats, IsAlone, at(1));
  }
  RoutingConfig Config;
  ServingView View;
  TargetStatsTable Stats;
};

// Guards against decisions by this node's own requests alone.
TEST_CASE_METHOD(PoolUseFixture,
                 "shedder: other nodes have not reported: their requests are "
                 "not taken for none",
                 "[unit]") {
  CHECK(this->uses(false).empty());
  CHECK(this->uses(true).at(Pool).InFlight == 1);
  VmIncarnation Head = this->View.ByService.begin()->second[0].Target
                           ->incarnation();
  TargetLoad Others;
  Others.InFlight = 4;
  this->Stats.setReports({{hashOf(Head), Others}}, at(1));
  CHECK(this->uses(false).at(Pool).InFlight == 5);
  CHECK(this->uses(false).at(Pool).Slots == 2);
}

} // namespace waycove::test
