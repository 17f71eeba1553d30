// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Simulates in virtual time how many nodes admit the requests for one pool of
// targets while more arrive than these can run, with delayed reports and
// callers that come back once. Guards against a standing queue at the targets,
// which outlives the burst that caused it and makes all responses late.
#include "policy/choice.h"
#include "policy/pool_admission.h"
#include "support/simulated_engine.h"
#include "support/times.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

namespace waycove::test {

namespace {

constexpr int StepMs = 5;
constexpr int ReportIntervalMs = 250;
constexpr int ReportAgeMs = 500;
constexpr int ObjectiveMs = 400;
constexpr int DeadlineMs = 6000;
/// Requests per second and group in a calm second, and what one can run.
constexpr double CalmRate = 9;
constexpr double FullRate = 17;
constexpr unsigned MaxSends = 5;

struct SimRequest {
  std::size_t Node = 0;
  WorkspaceId Workspace;
  int FirstMs = 0;
  bool HasReturned = false;
  PlaceRequest Wanted{};
  PoolTicket Ticket{};
  int SentMs = 0;
  std::size_t Group = 0;
  bool FirstEventSeen = false;
  unsigned Sends = 0;
};

struct SimNode {
  TargetStatsTable Stats;
  PoolAdmission Admission;
  std::map<PoolTicket, std::size_t> Waiting;
  bool IsDead = false;
};

enum class End { InTime, Late, Refused, Failed };

} // namespace

class OverloadFixture {
public:
  struct Sample {
    int FirstMs;
    WorkspaceId Workspace;
    End How;
  };

  OverloadFixture() {
    this->Route.Goal = Millis(ObjectiveMs);
    this->Route.Timeout = Millis(DeadlineMs);
  }
  void build(std::size_t NodeCount, std::size_t Groups) {
    for (std::size_t I = 0; I < NodeCount; ++I)
      this->Nodes.push_back({});
    for (std::size_t I = 0; I < Groups; ++I) {
      auto Row = std::make_shared<TargetInfo>();
      Row->Id = VmId(std::to_string(I));
      this->View.ByService[Pool.Service].push_back(
          {Row, "m", false, {}, SimulatedEngine::Slots});
      this->Engines.emplace_back(2 * SimulatedEngine::Slots);
    }
    this->Weights.assign(NodeCount, 1);
    this->PerSecond = CalmRate * static_cast<double>(Groups);
  }
  /// Multiplies the calm rate by \p Factor for \p Ms.
  void run(int Ms, double Factor = 1) {
    for (int Until = this->NowMs + Ms; this->NowMs < Until;
         this->NowMs += StepMs) {
      if (this->NowMs % ReportIntervalMs == 0)
        this->exchangeReports();
      this->arrivals(Factor);
      this->returnCallers();
      this->expire();
      for (std::size_t I = 0; I < this->Engines.size(); ++I)
        this->Engines[I].work(
            StepMs, [&](std::size_t Id, int Made) { this->onEvent(Id, Made); });
    }
  }
  /// Fraction of the requests that arrived in a period that ended with \p How.
  double part(End How, int FromMs, int UntilMs,
              const WorkspaceId *Of = nullptr) const {
    double All = 0;
    double Found = 0;
    for (const Sample &Row : this->Samples)
      if (Row.FirstMs >= FromMs && Row.FirstMs < UntilMs &&
          (!Of || Row.Workspace == *Of)) {
        ++All;
        Found += Row.How == How ? 1 : 0;
      }
    return All > 0 ? Found / All : 0;
  }

  const PoolKey Pool{ServiceId("s"), "m"};
  HttpRoute Route;
  std::vector<SimNode> Nodes;
  /// By node.
  std::vector<double> Weights;
  /// Draws the workspace of a request.
  std::function<WorkspaceId()> DrawWorkspace = [] { return WorkspaceId("w"); };
  ServingView View;
  std::vector<SimulatedEngine> Engines;
  std::vector<Sample> Samples;
  std::mt19937_64 Random{11};
  double PerSecond = 0;
  int NowMs = 0;
  /// Nodes below this index get no reports of the others, and the others none
  /// of them.
  std::size_t CutBefore = 0;
  bool IsLimited = true;

private:
  struct Round {
    std::vector<PoolReports> Own;
    TargetLoads Loads;
  };

  void arrivals(double Factor) {
    std::poisson_distribution<int> Draw(this->PerSecond * Factor * StepMs /
                                        1000);
    std::discrete_distribution<std::size_t> Node(this->Weights.begin(),
                                                 this->Weights.end());
    for (int Left = Draw(this->Random); Left > 0; --Left)
      this->arrive({Node(this->Random),
                    this->DrawWorkspace(),
                    this->NowMs,
                    false,
                    {},
                    {}});
  }
  void returnCallers() {
    auto Due = this->Returning.upper_bound(this->NowMs);
    for (auto At = this->Returning.begin(); At != Due; ++At)
      if (!this->Nodes[At->second.Node].IsDead)
        this->arrive(At->second);
    this->Returning.erase(this->Returning.begin(), Due);
  }
  void arrive(SimRequest Row) {
    SimNode &Node = this->Nodes[Row.Node];
    int Elapsed = this->NowMs - Row.FirstMs;
    Row.Wanted = makePlaceRequest(
        {this->Route, nullptr, Row.Workspace, 700, 90, at(this->NowMs),
         at(Row.FirstMs + DeadlineMs), Millis(Elapsed),
         Node.Admission.firstByteMs(Pool), Node.Admission.usualHold(Pool)});
    auto Offered =
        Node.Admission.offer(Pool, Row.Wanted, this->Random(), at(this->NowMs));
    if (auto *Refusal = std::get_if<AdmissionRefusal>(&Offered))
      return this->refuse(Row, Refusal->RetryAfter);
    this->queue(Row, std::get<PoolTicket>(Offered));
  }
  void queue(SimRequest Row, const PoolTicket &Ticket) {
    Row.Ticket = Ticket;
    this->Nodes[Row.Node].Waiting[Ticket] = ++this->LastId;
    this->Requests[this->LastId] = Row;
    this->sendReady(Row.Node);
  }
  void refuse(SimRequest Row, Millis RetryAfter) {
    int Left = Row.FirstMs + DeadlineMs - this->NowMs;
    auto Wait = std::min(static_cast<int>(RetryAfter.count()), Left / 3);
    if (std::exchange(Row.HasReturned, true) || Left <= 0)
      return this->end(Row, End::Refused);
    this->Returning.emplace(this->NowMs + Wait, Row);
  }
  void end(const SimRequest &Row, End How) {
    this->Samples.push_back({Row.FirstMs, Row.Workspace, How});
  }
  void sendReady(std::size_t Index) {
    SimNode &Node = this->Nodes[Index];
    for (const PoolTicket &Ticket : Node.Admission.takeReady(at(this->NowMs))) {
      std::size_t Id = Node.Waiting.at(Ticket);
      Node.Waiting.erase(Ticket);
      this->send(Id);
    }
  }
  void send(std::size_t Id) {
    SimRequest &Row = this->Requests.at(Id);
    SimNode &Node = this->Nodes[Row.Node];
    ChoiceQuery Query;
    Query.Model = Pool.Model;
    Query.Now = at(this->NowMs);
    while (true) {
      Query.Random = this->Random();
      Query.Places = Node.Admission.shareOf(Pool);
      const ServingTarget *To =
          chooseTarget(this->View.ByService[Pool.Service], Node.Stats, Query);
      VmIncarnation Target = To->Target->incarnation();
      Row.Group = std::stoul(Target.Id.Text);
      Row.SentMs = this->NowMs;
      ++Row.Sends;
      if (this->Engines[Row.Group].offer(Id))
        return Node.Stats.onStart(Target, SimulatedEngine::PromptTokens,
                                  Query.Now);
      Node.Stats.suspect(Target, Query.Now,
                         Node.Stats.onRejected(Target, Query.Now));
      Query.Avoid.push_back(Target.Id);
      bool MustRequeue = Node.Admission.isOverloaded(Pool);
      if (Row.Sends < MaxSends && !MustRequeue &&
          Query.Avoid.size() < this->Engines.size())
        continue;
      SimRequest Ended = Row;
      this->Requests.erase(Id);
      Node.Admission.release(Ended.Ticket, Millis(1));
      if (MustRequeue && Ended.Sends < 3)
        this->queue(Ended, Node.Admission.requeue(Pool, Ended.Wanted));
      else
        this->refuse(Ended, Millis(1500));
      return;
    }
  }
  void onEvent(std::size_t Id, int Made) {
    SimRequest &Row = this->Requests.at(Id);
    SimNode &Node = this->Nodes[Row.Node];
    VmIncarnation Target{VmId(std::to_string(Row.Group)), {}};
    TimePoint Now = at(this->NowMs);
    if (Made == 1) {
      Node.Stats.onFirstByte(Target, at(Row.SentMs),
                             SimulatedEngine::PromptTokens, Now);
      Row.FirstEventSeen = true;
      this->end(Row, this->NowMs - Row.FirstMs <= ObjectiveMs ? End::InTime
                                                              : End::Late);
    }
    Node.Stats.onProgress(Target, Now);
    if (Made == SimulatedEngine::Events)
      this->finish(Id);
  }
  void finish(std::size_t Id) {
    SimRequest Row = this->Requests.at(Id);
    SimNode &Node = this->Nodes[Row.Node];
    Node.Stats.onEnd({VmId(std::to_string(Row.Group)), {}}, at(Row.SentMs),
                     Row.FirstEventSeen, SimulatedEngine::PromptTokens);
    this->Requests.erase(Id);
    Node.Admission.release(Row.Ticket, Millis(this->NowMs - Row.SentMs));
    this->sendReady(Row.Node);
  }
  /// Ends requests that wait uselessly, or run beyond their deadline.
  void expire() {
    std::vector<std::size_t> Ended;
    for (const auto &[Id, Row] : this->Requests)
      if (at(this->NowMs) >= (Row.Sends ? at(Row.FirstMs + DeadlineMs)
                                        : Row.Wanted.UsefulUntil) ||
          this->Nodes[Row.Node].IsDead)
        Ended.push_back(Id);
    for (std::size_t Id : Ended)
      this->giveUp(Id);
  }
  void giveUp(std::size_t Id) {
    SimRequest Row = this->Requests.at(Id);
    SimNode &Node = this->Nodes[Row.Node];
    if (!Row.FirstEventSeen)
      this->end(Row, Row.Sends ? End::Failed : End::Refused);
    if (Node.Waiting.erase(Row.Ticket)) {
      Node.Admission.withdraw(Row.Ticket);
      this->Requests.erase(Id);
      return;
    }
    this->Engines[Row.Group].cancel(Id);
    this->finish(Id);
  }
  void exchangeReports() {
    Round New;
    for (SimNode &Node : this->Nodes) {
      New.Own.push_back(Node.IsDead ? PoolReports()
                                    : Node.Admission.reports(at(this->NowMs)));
      for (const auto &[Target, Load] : Node.Stats.loads(at(this->NowMs)))
        New.Loads[Target].add(Load);
    }
    this->Rounds.push_back(std::move(New));
    bool HasArrived = this->Rounds.size() > ReportAgeMs / ReportIntervalMs;
    for (std::size_t I = 0; I < this->Nodes.size() && this->IsLimited; ++I)
      this->applyReports(I, HasArrived ? &this->Rounds.front() : nullptr);
    if (HasArrived)
      this->Rounds.pop_front();
  }
  void applyReports(std::size_t Index, const Round *Heard) {
    SimNode &Node = this->Nodes[Index];
    PoolReports Others;
    std::optional<TimePoint> HeardAt;
    if (Heard) {
      HeardAt = at(this->NowMs);
      Node.Stats.setReports(Heard->Loads, *HeardAt);
      for (std::size_t I = 0; I < Heard->Own.size(); ++I)
        if (I != Index && (I < this->CutBefore) == (Index < this->CutBefore))
          for (const auto &[Key, Report] : Heard->Own[I])
            Others[Key].add(Report);
    }
    PoolReports Own = Node.Admission.reports(at(this->NowMs));
    Node.Admission.update(foldPoolLoads(
        {this->View, Node.Stats, Own, Others, HeardAt, this->Nodes.size(),
         Index, [](const ServingTarget &) { return false; }},
        at(this->NowMs)));
    this->sendReady(Index);
  }

  std::deque<Round> Rounds;
  std::multimap<int, SimRequest> Returning;
  std::map<std::size_t, SimRequest> Requests;
  std::size_t LastId = 0;
};

TEST_CASE_METHOD(OverloadFixture,
                 "overload: a burst ends: nine in ten are in time within 2 s",
                 "[unit]") {
  std::size_t Count = GENERATE(9, 86, 984);
  this->build(Count, Count > 100 ? 230 : 18);
  this->run(4000);
  this->run(5000, 2.2);
  this->run(8000);
  CAPTURE(Count, this->part(End::InTime, 4000, 9000),
          this->part(End::Refused, 4000, 9000),
          this->part(End::Late, 4000, 9000),
          this->part(End::InTime, 9000, 11000));
  CHECK(this->part(End::InTime, 1000, 4000) > 0.95);
  CHECK(this->part(End::InTime, 4000, 9000) > 0.6);
  CHECK(this->part(End::Refused, 4000, 9000) < 0.1);
  CHECK(this->part(End::InTime, 11000, 15000) > 0.9);
}

TEST_CASE_METHOD(OverloadFixture,
                 "overload: it lasts: what the targets can run is in time",
                 "[unit]") {
  this->build(86, 18);
  this->run(2000);
  this->run(25000, 2.5);
  CAPTURE(this->part(End::InTime, 7000, 21000),
          this->part(End::Refused, 7000, 21000),
          this->part(End::Failed, 7000, 21000));
  CHECK(this->part(End::InTime, 7000, 21000) > 0.5 * FullRate / CalmRate / 2.5);
  CHECK(this->part(End::Failed, 7000, 21000) < 0.05);
}

TEST_CASE_METHOD(
    OverloadFixture,
    "overload: one workspace causes it: the small ones are in time", "[unit]") {
  this->build(86, 18);
  this->DrawWorkspace = [&] {
    std::uint64_t Draw = this->Random() % 100;
    return WorkspaceId(Draw < 80 ? "large" : "small" + std::to_string(Draw));
  };
  this->run(2000);
  this->run(10000, 2.5);
  double Small = 0;
  for (int I = 80; I < 100; ++I) {
    WorkspaceId Name("small" + std::to_string(I));
    Small += this->part(End::InTime, 4000, 10000, &Name) / 20;
  }
  WorkspaceId Large("large");
  CAPTURE(Small, this->part(End::InTime, 4000, 10000, &Large));
  CHECK(Small > this->part(End::InTime, 4000, 10000, &Large));
  CHECK(Small > this->part(End::InTime, 4000, 10000) - 0.05);
}

TEST_CASE_METHOD(OverloadFixture,
                 "overload: half of the nodes die in it: the others use their "
                 "places within 2 s",
                 "[unit]") {
  this->build(86, 18);
  this->run(4000);
  this->run(2000, 2.2);
  for (std::size_t I = 0; I < 43; ++I) {
    this->Nodes[I].IsDead = true;
    this->Weights[I] = 0;
  }
  this->run(8000);
  CAPTURE(this->part(End::InTime, 6000, 8000));
  CHECK(this->part(End::InTime, 8000, 12000) > 0.9);
}

TEST_CASE_METHOD(OverloadFixture,
                 "overload: demand moves to half of the nodes: these get the "
                 "places",
                 "[unit]") {
  this->build(86, 18);
  this->run(5000, 1.5);
  for (std::size_t I = 0; I < 43; ++I)
    this->Weights[I] = 0;
  this->run(8000, 1.5);
  CAPTURE(this->part(End::InTime, 5000, 8000));
  CHECK(this->part(End::InTime, 8000, 12000) > 0.9);
}

TEST_CASE_METHOD(OverloadFixture,
                 "overload: parts of the fleet know only themselves: the calm "
                 "demand is served, a burst ends",
                 "[unit]") {
  this->build(86, 18);
  this->CutBefore = GENERATE(1, 43);
  this->run(4000);
  this->run(4000, 2.2);
  this->run(8000);
  CAPTURE(this->CutBefore, this->part(End::InTime, 4000, 8000));
  CHECK(this->part(End::InTime, 1000, 4000) > 0.95);
  CHECK(this->part(End::InTime, 11000, 15000) > 0.9);
}

} // namespace waycove::test
