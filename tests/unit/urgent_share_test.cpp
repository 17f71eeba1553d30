// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Which part of the requests goes first where a model has too few groups. The
// load that this answers: more callers than the groups of a model have slots
// for, over tens of seconds, so that without ranks every first event waits for
// a slot longer than its objective.
//
// The engine's figures are those of an operators' sheet: 48 slots, steps
// of 6.45 ms and 0.0967 more for each request, answers of 150 tokens.
#include "policy/urgent_share.h"
#include "support/times.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

namespace waycove::test {

namespace {

constexpr double Prompt = 674;
constexpr double Answer = 150;
constexpr double GoalMs = 300;
constexpr double DeadlineMs = 6000;

/// One group, in steps of its engine: it takes the urgent first, reads prompts
/// and makes a token for each request that writes.
struct GroupRun {
  struct Job {
    double CameAt = 0;
    double Left = Answer;
  };

  /// The part of requests whose first event came in time, of those that came
  /// with \p PerSecond, of which \p Part go first.
  double inTime(const EngineSpec &Engine, double PerSecond, double Part) {
    std::mt19937_64 Random(7);
    std::exponential_distribution<double> Gap(PerSecond / 1000);
    std::uniform_real_distribution<double> Draw(0, 1);
    std::exponential_distribution<double> Length(1 / Answer);
    double NextAt = 0;
    int Came = 0;
    int InTime = 0;
    for (double Now = 0; Now < 60000;) {
      for (; NextAt <= Now; NextAt += Gap(Random), ++Came)
        (Draw(Random) < Part ? this->First : this->Behind)
            .push_back({NextAt, Length(Random)});
      Now += Engine.StepMillis + Engine.StepMillisPerRequest *
                                     static_cast<double>(this->Running.size());
      for (Job &Row : this->Running)
        Row.Left -= 1;
      std::erase_if(this->Running,
                    [](const Job &Row) { return Row.Left <= 0; });
      while (this->Running.size() < Engine.Slots) {
        std::optional<Job> Next = this->take(Now);
        if (!Next)
          break;
        Now += Prompt / Engine.ReadTokensPerSecond * 1000;
        InTime += Now - Next->CameAt <= GoalMs;
        this->Running.push_back(*Next);
      }
    }
    return static_cast<double>(InTime) / Came;
  }

  std::optional<Job> take(double Now) {
    for (std::deque<Job> *Queue : {&this->First, &this->Behind})
      while (!Queue->empty()) {
        Job Row = Queue->front();
        Queue->pop_front();
        if (Now - Row.CameAt < DeadlineMs)
          return Row;
      }
    return std::nullopt;
  }

  std::deque<Job> First;
  std::deque<Job> Behind;
  std::vector<Job> Running;
};

} // namespace

/// A service with one model, of which some groups serve.
struct UrgentFixture {
  UrgentFixture() {
    ServiceSpec Spec;
    Spec.Id = this->Service;
    Spec.Engine.emplace();
    Spec.Engine->Slots = 48;
    Spec.Engine->StepMillis = 6.45;
    Spec.Engine->StepMillisPerRequest = 0.0967;
    Spec.Engine->ReadTokensPerSecond = 56100;
    ModelSpec Model;
    Model.Name = "m";
    Spec.Engine->Models = {Model};
    this->Config.Services[Spec.Id] = Spec;
  }
  EngineSpec &engine() { return *this->Config.Services[this->Service].Engine; }
  void serve(std::size_t Groups) {
    this->View.ByService[this->Service] =
        std::vector<Serving>(Groups, Serving{nullptr, "m", false});
  }
  /// Ten seconds' worth of so many requests a second, counted by all nodes.
  double partAt(double PerSecond) {
    DemandTable Counted;
    Counted["m"] = {10 * PerSecond, 10 * PerSecond * Prompt,
                    10 * PerSecond * Answer};
    this->Changed = this->Shares.update(this->Config, this->View, Counted, 1);
    return this->Shares.part(this->Service, "m");
  }
  /// At which a group's slots are all taken.
  double fullRate() {
    return 1 / groupLoad(this->engine(), this->engine().Models[0],
                         {1, Prompt, Answer}, 1);
  }

  const ServiceId Service{"llm"};
  RoutingConfig Config;
  ServingView View;
  UrgentShares Shares;
  std::vector<std::string> Changed;
};

TEST_CASE_METHOD(UrgentFixture,
                 "urgent share: groups have slots left: all go first",
                 "[unit]") {
  this->serve(10);
  CHECK(this->partAt(9 * this->fullRate()) == 1);
  CHECK(this->Changed.empty());
}

TEST_CASE_METHOD(UrgentFixture,
                 "urgent share: more come than groups serve: as many go first "
                 "as are in time, told once, and all again when that is over",
                 "[unit]") {
  this->serve(10);
  CHECK(this->partAt(12 * this->fullRate()) == Approx(0.8 / 1.2).epsilon(0.02));
  CHECK(this->Changed == std::vector<std::string>{"m"});
  this->partAt(12.1 * this->fullRate());
  CHECK(this->Changed.empty());
  int First = 0;
  for (std::uint64_t I = 0; I < 1000; ++I)
    First += this->Shares.takes(this->Service, "m", mixHash(I, 3));
  CHECK(First > 610);
  CHECK(First < 720);
  this->serve(16);
  CHECK(this->partAt(12 * this->fullRate()) == 1);
  CHECK(this->Changed == std::vector<std::string>{"m"});
}

TEST_CASE_METHOD(UrgentFixture,
                 "urgent share: an engine's speed is not stated: all go first",
                 "[unit]") {
  this->engine().ReadTokensPerSecond = 0;
  this->serve(1);
  CHECK(this->partAt(1000) == 1);
}

TEST_CASE_METHOD(UrgentFixture,
                 "urgent share: a group before more requests than it serves: "
                 "without ranks nearly all are late, with them few more than "
                 "must be",
                 "[unit]") {
  this->serve(1);
  for (double Load : {1.1, 1.2, 1.4}) {
    double PerSecond = Load * this->fullRate();
    double Plain = GroupRun().inTime(this->engine(), PerSecond, 1);
    double Ranked =
        GroupRun().inTime(this->engine(), PerSecond, this->partAt(PerSecond));
    INFO("load " << Load << ": " << Plain << " then " << Ranked);
    CHECK(Plain < 0.3);
    CHECK(Ranked > 0.7 / Load);
  }
}

} // namespace waycove::test
