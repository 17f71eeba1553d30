// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Load of the groups of a model, and the loss computed from it.
#include "policy/domain_plan.h"
#include "policy/group_load.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

/// An engine with a large model and a faster small one.
struct LoadFixture {
  LoadFixture() {
    this->Engine.ReadTokensPerSecond = 40000;
    this->Engine.StepMillisPerRequest = 0.25;
    this->Engine.TypicalOutputTokens = 100;
    ModelSpec Large;
    Large.Name = "large";
    Large.GroupSize = 4;
    Large.LoadFraction = 0.67;
    Large.LoadTime = Millis(16000);
    Large.StagedLoadTime = Millis(1600);
    ModelSpec Small = Large;
    Small.Name = "small";
    Small.GroupSize = 2;
    Small.LoadFraction = 0.33;
    Small.TimeFactor = 0.5;
    this->Engine.Models = {Large, Small};
    this->Engine.ModelsStagedPerHost = 1;
    // A load of 0.5 for 4 large and 2 small groups.
    this->Demand["large"] = {40, 60000, 2000};
    this->Demand["small"] = {40, 60000, 2000};
  }
  const ModelSpec &large() const { return this->Engine.Models[0]; }
  const ModelSpec &small() const { return this->Engine.Models[1]; }
  double loss(double Large, double Small) const {
    return serviceLoss(this->Engine, this->Demand,
                       {{"large", Large}, {"small", Small}});
  }
  EngineSpec Engine;
  DemandTable Demand;
};

TEST_CASE_METHOD(LoadFixture,
                 "group load: the engine's speed is stated: the busy part of "
                 "its time",
                 "[unit]") {
  CHECK(groupLoad(this->Engine, this->large(), this->Demand["large"], 4) ==
        Approx(0.5));
  CHECK(groupLoad(this->Engine, this->small(), this->Demand["small"], 2) ==
        Approx(0.5));
}

/// Iterates the number of concurrent requests of one group at \p PerSecond
/// requests per second until it converges.
double usedSlots(const EngineSpec &Engine, double PerSecond, double Prompt,
                 double Answer) {
  double Running = 0;
  for (int Round = 0; Round < 1000; ++Round) {
    double StepMs = Engine.StepMillis + Engine.StepMillisPerRequest * Running;
    double Reads = PerSecond * Prompt / Engine.ReadTokensPerSecond;
    double Seconds = Answer * StepMs / 1000 / (1 - Reads);
    Running = PerSecond * Seconds;
  }
  return Running;
}

// Guards against ignoring the shared step in the load.
TEST_CASE_METHOD(LoadFixture,
                 "group load: steps that all requests share: full slots are a "
                 "load of 1",
                 "[unit]") {
  this->Engine.StepMillis = 6.45;
  this->Engine.StepMillisPerRequest = 0.0967;
  this->Engine.ReadTokensPerSecond = 56100;
  this->Engine.Slots = 48;
  ModelSpec Model = this->large();
  Model.TimeFactor = 1;
  auto Load = [&](double PerSecond) {
    ModelDemand Demand{PerSecond, PerSecond * 674, PerSecond * 150};
    return groupLoad(this->Engine, Model, Demand, 1);
  };
  double Full = 1 / Load(1);
  CHECK(usedSlots(this->Engine, Full, 674, 150) == Approx(48).epsilon(0.01));
  CHECK(usedSlots(this->Engine, 0.7 * Full, 674, 150) < 0.6 * 48);
  CHECK(Load(0.5 * Full) == Approx(0.5));
}

TEST_CASE_METHOD(LoadFixture,
                 "group load: the engine's speed is not stated: by the work",
                 "[unit]") {
  this->Engine.ReadTokensPerSecond = 0;
  double One = groupLoad(this->Engine, this->large(), this->Demand["large"], 4);
  CHECK(One == Approx(2 * groupLoad(this->Engine, this->large(),
                                    this->Demand["large"], 8)));
  CHECK(One > groupLoad(this->Engine, this->small(), this->Demand["small"], 4));
}

TEST_CASE_METHOD(LoadFixture,
                 "service loss: one model is short: its group is worth more",
                 "[unit]") {
  CHECK(this->loss(4, 4) < this->loss(5, 2));
  CHECK(this->loss(4, 4) < this->loss(3, 6));
  // A model without any group costs more than an overloaded one.
  CHECK(this->loss(8, 0) > this->loss(7, 1));
}

TEST_CASE_METHOD(LoadFixture,
                 "demand: one of ten nodes counted ten seconds' worth: rates "
                 "over all nodes, with usual answers",
                 "[unit]") {
  DemandTable Counted;
  // Callers declare 200 tokens per response, operators state 100.
  Counted["large"] = {100, 150000, 20000};
  DemandTable Rates = demandRates(this->Engine, Counted, 0.1);
  CHECK(Rates["large"].Requests == Approx(100));
  CHECK(Rates["large"].OutputTokens == Approx(10000));
  CHECK(Rates["small"].PromptTokens > 0);
  CHECK(Rates["small"].weightedTokens() <
        0.05 * Rates["large"].weightedTokens());
  // Too few requests for an estimate.
  Counted["large"].Requests = 3;
  CHECK(demandRates(this->Engine, Counted, 0.1)["small"].weightedTokens() > 0);
}

TEST_CASE_METHOD(LoadFixture,
                 "planner: its data centre has no group of a model: that one "
                 "forms, though another is busier",
                 "[unit]") {
  DomainView View;
  View.Domain = DomainId("d");
  View.Demand = this->Demand;
  View.LoadsAllowed = 20;
  View.ServingGroups = {{"large", 4}, {"small", 4}};
  View.OtherGroups = {{"large", 4}, {"small", 4}};
  View.OtherGroupsInCentre = {{"large", 2}, {"small", 2}};
  View.CentreCount = 3;
  for (int I = 0; I < 4; ++I) {
    auto Target = std::make_shared<TargetInfo>();
    Target->Id = VmId("vm" + std::to_string(I));
    Target->Staged = {"large", "small"};
    View.Targets.push_back(Target);
  }
  auto Formed = [&] {
    DomainPlanner Planner;
    for (int Ms = 0; Ms < 2000; Ms += 100) {
      View.Now = at(Ms);
      for (const GroupOrder &Order : Planner.step(View, this->Engine))
        if (Order.Kind == OrderKind::Join && Order.Members.size() > 1)
          return Order.Model;
    }
    return std::string();
  };
  CHECK(Formed() == "large");
  View.OtherGroupsInCentre = {{"large", 2}};
  CHECK(Formed() == "small");
}

} // namespace waycove::test
