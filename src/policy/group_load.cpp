// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/group_load.h"

#include <algorithm>
#include <cmath>

namespace waycove {

namespace {

constexpr double MillisPerSecond = 1000;
/// Lower bound of the number of groups, which keeps the loss of a model without
/// any finite.
constexpr double MinGroupCount = 0.2;
/// Exponent of the load in the loss. High, since responses become late
/// abruptly: at a load of 0.58 nine in ten first events are in time, at 0.73
/// the median is not.
constexpr double LossExponent = 10;

/// Minimum counted requests for an estimate.
constexpr double MinRequests = 20;
/// Lower bound of the fraction of requests that the counts cover.
constexpr double MinRequestFraction = 1e-4;
/// Fraction of the total prompt tokens that is added to the models by
/// LoadFraction, so that models without requests keep some demand.
constexpr double BaselineFraction = 0.03;

bool statesSpeed(const EngineSpec &Engine) {
  return Engine.ReadTokensPerSecond > 0 && Engine.StepMillisPerRequest > 0;
}

} // namespace

double outputTokenMillis(const EngineSpec &Engine) {
  double Shared = Engine.Slots > 0 ? Engine.StepMillis / Engine.Slots : 0;
  return Shared + Engine.StepMillisPerRequest;
}

double groupLoad(const EngineSpec &Engine, const ModelSpec &Model,
                 const ModelDemand &Demand, double Groups) {
  double Count = std::max(Groups, MinGroupCount);
  if (!statesSpeed(Engine))
    return Demand.weightedTokens() * Model.TimeFactor / Count;
  return Model.TimeFactor *
         (Demand.PromptTokens / Engine.ReadTokensPerSecond +
          Demand.OutputTokens * outputTokenMillis(Engine) / MillisPerSecond) /
         Count;
}

double modelLoss(const EngineSpec &Engine, const ModelSpec &Model,
                 const ModelDemand &Demand, double Groups) {
  double Load = groupLoad(Engine, Model, Demand, Groups);
  return Demand.weightedTokens() * std::pow(Load, LossExponent);
}

double serviceLoss(const EngineSpec &Engine, const DemandTable &Demand,
                   const GroupCounts &Groups) {
  double Loss = 0;
  for (const ModelSpec &Model : Engine.Models) {
    auto Requested = Demand.find(Model.Name);
    auto Has = Groups.find(Model.Name);
    if (Requested != Demand.end())
      Loss += modelLoss(Engine, Model, Requested->second,
                        Has == Groups.end() ? 0 : Has->second);
  }
  return Loss;
}

DemandTable demandRates(const EngineSpec &Engine, const DemandTable &Counted,
                        double RequestFraction) {
  ModelDemand Total;
  for (const auto &[Model, Demand] : Counted) {
    Total.Requests += Demand.Requests;
    Total.PromptTokens += Demand.PromptTokens;
    Total.OutputTokens += Demand.OutputTokens;
  }
  if (Total.Requests < MinRequests)
    return expectedDemand(Engine);
  double OutputScale =
      Engine.TypicalOutputTokens > 0 && Total.OutputTokens > 0
          ? Engine.TypicalOutputTokens * Total.Requests / Total.OutputTokens
          : 1;
  // Effective window of a sum that decays by DemandDecay each second.
  double WindowSeconds = 1 / (1 - DemandDecay);
  double Scale =
      1 / (WindowSeconds * std::max(RequestFraction, MinRequestFraction));
  DemandTable Rates;
  for (const ModelSpec &Model : Engine.Models) {
    auto At = Counted.find(Model.Name);
    ModelDemand Demand = At == Counted.end() ? ModelDemand{} : At->second;
    Demand.OutputTokens *= OutputScale;
    Demand.PromptTokens +=
        BaselineFraction * Model.LoadFraction * Total.PromptTokens;
    Rates[Model.Name] = Demand.scaled(Scale);
  }
  return Rates;
}

DemandTable expectedDemand(const EngineSpec &Engine) {
  DemandTable Demand;
  for (const ModelSpec &Model : Engine.Models) {
    // LoadFraction refers to VMs; convert it to groups.
    double Share = Model.LoadFraction / Model.GroupSize / Model.TimeFactor;
    Demand[Model.Name].PromptTokens = std::max(Share, 1e-3);
  }
  return Demand;
}

} // namespace waycove
