// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Simulates in virtual time how the requests of many nodes are distributed,
// when each node chooses targets by its own observations and delayed reports.
// Guards against two failures: all nodes send their next request to a group
// that has just opened, and a data centre that loses groups overloads the
// remaining ones while others are idle. Also, under full load, against requests
// that pile up at some targets while others have free slots.
#include "policy/centre_balance.h"
#include "policy/choice.h"
#include "support/simulated_engine.h"
#include "support/times.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

namespace waycove::test {

namespace {

constexpr int StepMs = 5;
constexpr unsigned Slots = SimulatedEngine::Slots;
constexpr double PromptTokens = SimulatedEngine::PromptTokens;
/// Age of reports between nodes.
constexpr int ReportAgeMs = 500;
constexpr int ReportIntervalMs = 250;
/// Latency objective for the first event.
constexpr int ObjectiveMs = 400;

/// A request that was sent.
struct Job {
  std::size_t Node = 0;
  TimePoint SentAt;
};

} // namespace

/// Simulates nodes and groups of one model in one or more data centres.
class ChoiceLoadFixture {
public:
  struct Sample {
    int SentMs;
    int FirstByteMs;
    std::size_t Group;
  };

  /// Builds \p Nodes nodes in one data centre, with ten requests a second for
  /// each group.
  void build(std::size_t Nodes, std::size_t Groups) {
    this->build(Nodes, std::vector<std::size_t>{Groups});
  }
  /// Builds \p Nodes nodes in each data centre, with ten requests a second for
  /// each group.
  void build(std::size_t Nodes, const std::vector<std::size_t> &Groups) {
    this->NodesEach = Nodes;
    this->Weights.resize(Groups.size(), 1);
    this->Seen.resize(Nodes * Groups.size());
    this->Balance.resize(this->Seen.size());
    for (std::size_t Centre = 0; Centre < Groups.size(); ++Centre)
      for (std::size_t I = 0; I < Groups[Centre]; ++I)
        this->open(this->Rows.size(), Centre);
    this->PerSecond = 10.0 * static_cast<double>(this->Rows.size());
  }
  void open(std::size_t Group, std::size_t Centre = 0) {
    auto Row = std::make_shared<TargetInfo>();
    Row->Id = VmId("g" + std::to_string(Group));
    Row->DataCentre = centre(Centre);
    this->Engines.resize(std::max(this->Engines.size(), Group + 1));
    this->Rows.push_back({Row, "m"});
  }
  /// Removes the first \p Count groups of the data centre.
  void lose(std::size_t Centre, std::size_t Count) {
    for (auto Row = this->Rows.begin(); Count > 0 && Row != this->Rows.end();)
      if (Row->Target->DataCentre == centre(Centre)) {
        Row = this->Rows.erase(Row);
        --Count;
      } else {
        ++Row;
      }
  }
  /// Gives each node its share of the places; requests wait without one.
  void limitPlaces() {
    this->Loads.resize(this->Seen.size());
    for (std::size_t I = 0; I < this->Loads.size(); ++I) {
      this->Loads[I].KnownNodes = this->Loads.size();
      this->Loads[I].NodeIndex = I;
    }
    for (ServingTarget &Row : this->Rows) {
      Row.Slots = Slots;
      for (PoolLoad &Load : this->Loads) {
        Load.Offers.push_back({hashOf(Row.Target->incarnation()), Slots});
        Load.Places += Slots;
      }
    }
  }
  void run(int Ms) {
    double PerStep = this->PerSecond * StepMs / 1000;
    for (int End = this->NowMs + Ms; this->NowMs < End; this->NowMs += StepMs) {
      if (this->NowMs % ReportIntervalMs == 0)
        this->spreadNews();
      std::poisson_distribution<int> Draw(PerStep);
      for (int Left = Draw(this->Random); Left > 0; --Left)
        this->arrive(this->draw());
      for (std::size_t I = 0; I < this->Engines.size(); ++I)
        this->work(I);
      for (std::size_t I = 0; I < this->Engines.size(); ++I)
        this->MostInFlight[I] =
            std::max(this->MostInFlight[I], this->Engines[I].inFlight());
    }
  }
  /// Fraction of first events later than the objective, of requests sent from
  /// \p FromMs on.
  double late(int FromMs) const {
    double All = 0;
    double Late = 0;
    for (const Sample &Row : this->Samples)
      if (Row.SentMs >= FromMs) {
        ++All;
        Late += Row.FirstByteMs > ObjectiveMs ? 1 : 0;
      }
    return All > 0 ? Late / All : 0;
  }
  /// Fraction of requests sent from \p FromMs on that left their data centre.
  double left(int FromMs) const {
    double All = 0;
    double Left = 0;
    for (const auto &[SentMs, Leaves] : this->Sends)
      if (SentMs >= FromMs) {
        ++All;
        Left += Leaves ? 1 : 0;
      }
    return All > 0 ? Left / All : 0;
  }

  std::vector<ServingTarget> Rows;
  std::vector<TargetStatsTable> Seen;
  std::vector<CentreBalance> Balance;
  std::size_t NodesEach = 1;
  double PerSecond = 0;
  /// By data centre of the request.
  std::vector<double> Weights;
  std::vector<SimulatedEngine> Engines;
  std::map<std::size_t, std::size_t> MostInFlight;
  std::vector<Sample> Samples;
  /// When each request was sent, and whether to another data centre.
  std::vector<std::pair<int, bool>> Sends;
  std::mt19937_64 Random{7};
  int NowMs = 0;

private:
  static DataCentreId centre(std::size_t Index) {
    return DataCentreId("dc" + std::to_string(Index));
  }
  DataCentreId centreOf(std::size_t Node) const {
    return centre(Node / this->NodesEach);
  }

  /// The node that receives the next request.
  std::size_t draw() {
    std::discrete_distribution<std::size_t> Centre(this->Weights.begin(),
                                                   this->Weights.end());
    return Centre(this->Random) * this->NodesEach +
           this->Random() % this->NodesEach;
  }

  void arrive(std::size_t Node) {
    std::optional<PlaceShare> Share;
    if (!this->Loads.empty()) {
      PoolLoad &Load = this->Loads[Node];
      Share = placeShare(Load);
      if (Load.Own.InFlight >= static_cast<double>(placeLimit(Load, *Share))) {
        ++Load.Own.Waiting;
        return;
      }
      ++Load.Own.InFlight;
    }
    std::uniform_real_distribution<double> Part;
    ChoiceQuery Query;
    Query.Model = "m";
    Query.Here = this->centreOf(Node);
    Query.AnyDataCentre =
        Part(this->Random) >= this->Balance[Node].localFraction(Pool);
    Query.Now = at(this->NowMs);
    Query.Places = Share;
    Query.Random = this->Random();
    const ServingTarget *Row =
        chooseTarget(this->Rows, this->Seen[Node], Query);
    REQUIRE(Row);
    this->Sends.emplace_back(this->NowMs,
                             Row->Target->DataCentre != Query.Here);
    std::size_t Group = std::stoul(Row->Target->Id.Text.substr(1));
    this->Engines[Group].offer(this->Jobs.size());
    this->Jobs.push_back({Node, at(this->NowMs)});
    this->Seen[Node].onStart(Row->Target->incarnation(), PromptTokens,
                             at(this->NowMs));
  }

  void work(std::size_t Group) {
    VmIncarnation Id{VmId("g" + std::to_string(Group)), {}};
    this->Engines[Group].work(StepMs, [&](std::size_t Request, int Made) {
      this->onEvent(Group, Id, this->Jobs[Request], Made);
    });
  }

  void onEvent(std::size_t Group, const VmIncarnation &Id, const Job &Row,
               int Made) {
    TargetStatsTable &Stats = this->Seen[Row.Node];
    TimePoint Now = at(this->NowMs);
    if (Made == 1) {
      Stats.onFirstByte(Id, Row.SentAt, PromptTokens, Now);
      auto Took = std::chrono::duration_cast<Millis>(Now - Row.SentAt);
      this->Samples.push_back({this->NowMs - static_cast<int>(Took.count()),
                               static_cast<int>(Took.count()), Group});
    }
    Stats.onProgress(Id, Now);
    if (Made == SimulatedEngine::Events)
      this->end(Id, Row);
  }

  void end(const VmIncarnation &Id, const Job &Row) {
    std::size_t Node = Row.Node;
    this->Seen[Node].onEnd(Id, Row.SentAt, true, PromptTokens);
    if (this->Loads.empty())
      return;
    PoolReport &Own = this->Loads[Node].Own;
    --Own.InFlight;
    if (Own.Waiting > 0) {
      --Own.Waiting;
      this->arrive(Node);
    }
  }

  /// Tells each node what the others had in flight and waiting ReportAgeMs ago.
  void spreadPoolLoads() {
    std::vector<PoolReport> Now;
    for (const PoolLoad &Load : this->Loads)
      Now.push_back({this->PerSecond, Load.Own.InFlight, Load.Own.Waiting, 1});
    this->PoolReports.push_back(std::move(Now));
    if (this->PoolReports.size() <= ReportAgeMs / ReportIntervalMs)
      return;
    PoolReport Sum;
    for (const PoolReport &Row : this->PoolReports.front())
      Sum.add(Row);
    for (std::size_t I = 0; I < this->Loads.size(); ++I) {
      const PoolReport &Own = this->PoolReports.front()[I];
      PoolLoad &Load = this->Loads[I];
      Load.Own.Arrivals = Own.Arrivals;
      Load.Others = {Sum.Arrivals - Own.Arrivals, Sum.InFlight - Own.InFlight,
                     Sum.Waiting - Own.Waiting, Sum.Nodes - 1};
      Load.ReportAge = Millis(ReportAgeMs);
    }
    this->PoolReports.pop_front();
  }

  void spreadNews() {
    this->spreadPoolLoads();
    TargetLoads Sum;
    for (const TargetStatsTable &Row : this->Seen)
      for (const auto &[Target, Load] : Row.loads(at(this->NowMs)))
        Sum[Target].add(Load);
    this->Reports.push_back(std::move(Sum));
    if (this->Reports.size() <= ReportAgeMs / ReportIntervalMs)
      return;
    ServingView View;
    View.ByService[Pool.Service] = this->Rows;
    for (std::size_t I = 0; I < this->Seen.size(); ++I) {
      this->Seen[I].setReports(this->Reports.front(), at(this->NowMs));
      this->Balance[I].update(
          centreLoads(View, this->Seen[I], this->centreOf(I), at(this->NowMs)),
          at(this->NowMs));
    }
    this->Reports.pop_front();
  }

  const PoolKey Pool{ServiceId("s"), "m"};
  std::deque<TargetLoads> Reports;
  std::deque<std::vector<PoolReport>> PoolReports;
  /// By node, if places are limited.
  std::vector<PoolLoad> Loads;
  /// By the number of the request at its engine.
  std::vector<Job> Jobs;
};

TEST_CASE_METHOD(
    ChoiceLoadFixture,
    "choice of many nodes: all groups are known: hardly any answer "
    "is late",
    "[unit]") {
  std::size_t Nodes = GENERATE(9, 60, 295, 910);
  this->build(Nodes, 12);
  this->run(15000);
  CAPTURE(Nodes);
  CHECK(this->late(5000) < 0.02);
}

TEST_CASE_METHOD(ChoiceLoadFixture,
                 "choice of many nodes: a group opens: it is not flooded",
                 "[unit]") {
  std::size_t Nodes = GENERATE(9, 60, 295, 910);
  this->build(Nodes, 12);
  this->run(10000);
  this->open(12);
  this->run(6000);
  CAPTURE(Nodes);
  CHECK(this->MostInFlight[12] <= Slots);
  CHECK(this->late(10000) < 0.02);
  // It still receives its part of the requests.
  CHECK(this->MostInFlight[12] >= 8);
}

TEST_CASE_METHOD(
    ChoiceLoadFixture,
    "choice of many nodes: data centres have lost groups: their requests go "
    "elsewhere in part",
    "[unit]") {
  std::size_t Nodes = GENERATE(3, 60);
  this->build(Nodes, {10, 10, 10, 10, 10});
  this->Weights = {203, 160, 176, 170, 202};
  this->PerSecond = 620;
  this->run(5000);
  this->lose(0, 2);
  this->lose(3, 1);
  this->lose(4, 3);
  this->run(10000);
  CAPTURE(Nodes, this->late(5000), this->left(5000));
  CHECK(this->late(8000) < 0.02);
  // Traffic between data centres is costly, so no more than needed. With few
  // nodes, each observes the load of the targets itself.
  if (Nodes == 60)
    CHECK(this->left(5000) < 0.15);
}

TEST_CASE_METHOD(ChoiceLoadFixture,
                 "choice of many nodes: data centres are alike: requests stay "
                 "in theirs",
                 "[unit]") {
  this->build(60, {10, 10, 10, 10, 10});
  this->run(10000);
  CAPTURE(this->left(3000));
  CHECK(this->late(3000) < 0.02);
  CHECK(this->left(3000) < 0.02);
}

TEST_CASE_METHOD(ChoiceLoadFixture,
                 "choice of many nodes: full load: equal groups have equally "
                 "many requests",
                 "[unit]") {
  std::size_t Nodes = GENERATE(9, 86, 984);
  std::size_t Groups = Nodes > 100 ? 230 : 18;
  this->build(Nodes, Groups);
  this->limitPlaces();
  // More than the groups can run, about 17 per second each.
  this->PerSecond = 27 * static_cast<double>(Groups);
  // Until it has settled, reports lag behind and more are sent.
  this->run(5000);
  this->MostInFlight.clear();
  this->run(3000);
  double Sum = 0;
  for (std::size_t I = 0; I < Groups; ++I) {
    CAPTURE(Nodes, I);
    CHECK(3 * this->MostInFlight[I] <= std::size_t{4} * Slots);
    Sum += static_cast<double>(this->Engines[I].inFlight());
  }
  CAPTURE(Nodes);
  CHECK(Sum / static_cast<double>(Groups * Slots) == Approx(1).margin(0.1));
}

// Guards against a target that is full or broken, rejects at once, and takes a
// request of each node again and again since it looks idle.
TEST_CASE("choice: a target rejects each request: avoided longer each time",
          "[unit]") {
  TargetStatsTable Stats;
  std::vector<ServingTarget> Rows;
  for (const char *Id : {"busy", "rejects"}) {
    auto Row = std::make_shared<TargetInfo>();
    Row->Id = VmId(Id);
    Rows.push_back({Row, "m"});
  }
  const VmIncarnation Busy = Rows[0].Target->incarnation();
  const VmIncarnation Rejects = Rows[1].Target->incarnation();
  for (int I = 0; I < 5; ++I)
    Stats.onStart(Busy, PromptTokens, at(0));
  int NowMs = 0;
  auto Chosen = [&](int Ms) {
    ChoiceQuery Query;
    Query.Model = "m";
    Query.Now = at(Ms);
    return chooseTarget(Rows, Stats, Query)->Target->incarnation();
  };
  auto RejectFor = [&](int Ms) {
    CHECK(Chosen(NowMs) == Rejects);
    Stats.suspect(Rejects, at(NowMs), Stats.onRejected(Rejects, at(NowMs)));
    CHECK(Chosen(NowMs + Ms - 1) == Busy);
    CHECK(Chosen(NowMs + Ms) == Rejects);
    NowMs += Ms;
  };
  for (int Ms : {300, 600, 1200, 2400, 2400})
    RejectFor(Ms);
  // A success ends it, as does a time without rejections.
  Stats.onStart(Rejects, 0, at(NowMs));
  Stats.onFirstByte(Rejects, at(NowMs), 0, at(NowMs));
  Stats.onEnd(Rejects, at(NowMs), true, 0);
  RejectFor(300);
  RejectFor(600);
  NowMs += 5001;
  RejectFor(300);
}

class CentreBalanceFixture {
public:
  const PoolKey Pool{ServiceId("s"), "m"};
  CentreBalance Balance;
  std::vector<CentreBalance::Change> Changes;
  /// Ten seconds of reports of \p Load.
  void report(const CentreLoad &Load) {
    for (int Ms = 0; Ms < 10000; Ms += ReportIntervalMs) {
      auto New = this->Balance.update({{this->Pool, Load}},
                                      at(this->NowMs += ReportIntervalMs));
      this->Changes.insert(this->Changes.end(), New.begin(), New.end());
    }
  }

private:
  int NowMs = 0;
};

TEST_CASE_METHOD(CentreBalanceFixture,
                 "balance of data centres: nothing is known: all stays",
                 "[unit]") {
  CHECK(this->Balance.localFraction(this->Pool) == 1);
}

TEST_CASE_METHOD(CentreBalanceFixture,
                 "balance of data centres: this one is busier: requests leave "
                 "until it is not",
                 "[unit]") {
  this->report({20, 10});
  CHECK(this->Balance.localFraction(this->Pool) == 0);
  this->report({5, 10});
  CHECK(this->Balance.localFraction(this->Pool) == 1);
}

TEST_CASE_METHOD(CentreBalanceFixture,
                 "balance of data centres: no busier than by chance: all stays",
                 "[unit]") {
  // 40 requests at four targets, 36 expected.
  this->report({10, 9, 4});
  CHECK(this->Balance.localFraction(this->Pool) == 1);
}

TEST_CASE_METHOD(CentreBalanceFixture,
                 "balance of data centres: hardly anything is under way: all "
                 "stays nearly",
                 "[unit]") {
  this->report({0.02, 0.01});
  CHECK(this->Balance.localFraction(this->Pool) == 1);
}

TEST_CASE_METHOD(CentreBalanceFixture,
                 "balance of data centres: this one becomes busier and eases: "
                 "told once each",
                 "[unit]") {
  this->report({20, 10});
  REQUIRE(this->Changes.size() == 1);
  CHECK(this->Changes[0].Busy);
  this->report({5, 10});
  REQUIRE(this->Changes.size() == 2);
  CHECK_FALSE(this->Changes[1].Busy);
}

TEST_CASE_METHOD(CentreBalanceFixture,
                 "balance of data centres: half of the targets fall out: half "
                 "of the requests leave at once",
                 "[unit]") {
  this->report({10, 10, 8});
  this->Balance.update({{this->Pool, {10, 10, 4}}}, at(11000));
  // Some return in the same round, since no data centre is busier than others.
  CHECK(this->Balance.localFraction(this->Pool) >= 0.5);
  CHECK(this->Balance.localFraction(this->Pool) < 0.55);
}

TEST_CASE_METHOD(CentreBalanceFixture,
                 "balance of data centres: no more news come: all stays again",
                 "[unit]") {
  this->report({20, 10});
  this->Balance.update({}, at(20000));
  CHECK(this->Balance.localFraction(this->Pool) == 1);
}

} // namespace waycove::test
