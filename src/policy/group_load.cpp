// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/group_load.h"

#include <algorithm>
#include <cmath>

namespace waycove {

namespace {

constexpr double MillisPerSecond = 1000;
/// A model without group counts as this part of one: a loss that is finite, so
/// that what is lost of others still counts.
constexpr double NoGroup = 0.2;
/// A queue without end has no figure of its own.
constexpr double MostLoad = 5;
/// Part of the time that is left beyond which a pass has no finite length.
constexpr double LeastTimeLeft = 0.02;
/// Of the load, in the loss. Measured on engines of 48 VMs: at loads of 0.45,
/// 0.5, 0.6 and 0.7 of a group about 1, 2, 35 and 70 in 100 answers were late.
constexpr double LossPower = 6;

/// Requests below which a node's own count says nothing.
constexpr double FewRequests = 20;
/// A node's part of the requests is no smaller than this.
constexpr double LeastPart = 1e-4;
/// What a model that nobody asks for keeps of its expected part.
constexpr double UnaskedPart = 0.03;

bool statesSpeed(const EngineSpec &Engine) {
  return Engine.StepMillis > 0 && Engine.ReadTokensPerSecond > 0 &&
         Engine.Slots > 0;
}

} // namespace

double groupLoad(const EngineSpec &Engine, const ModelSpec &Model,
                 const ModelDemand &Demand, double Groups) {
  double Count = std::max(Groups, NoGroup);
  if (!statesSpeed(Engine))
    return Demand.work() * Model.TimeFactor / Count;
  double Prompt = Demand.PromptTokens / Count;
  double Answer = Demand.AnswerTokens / Count;
  // Parts of a second: prompts are read, and each request that writes makes
  // the steps longer.
  double Busy = Model.TimeFactor *
                (Prompt / Engine.ReadTokensPerSecond +
                 Answer * Engine.StepMillisPerRequest / MillisPerSecond);
  double Left = std::max(LeastTimeLeft, 1 - Busy);
  double StepSeconds =
      Engine.StepMillis * Model.TimeFactor / MillisPerSecond / Left;
  double Places = Answer * StepSeconds / Engine.Slots;
  double Reading = Engine.ReadTokensPerPass > 0
                       ? Prompt * StepSeconds * Engine.StepsPerPass /
                             Engine.ReadTokensPerPass
                       : 0;
  return std::min(std::max({Busy, Places, Reading}), MostLoad);
}

double serviceLoss(const EngineSpec &Engine, const DemandTable &Demand,
                   const GroupCounts &Groups) {
  double Loss = 0;
  for (const ModelSpec &Model : Engine.Models) {
    auto Asked = Demand.find(Model.Name);
    auto Has = Groups.find(Model.Name);
    if (Asked == Demand.end())
      continue;
    double Load = groupLoad(Engine, Model, Asked->second,
                            Has == Groups.end() ? 0 : Has->second);
    Loss += Asked->second.work() * std::pow(Load, LossPower);
  }
  return Loss;
}

DemandTable demandRates(const EngineSpec &Engine, const DemandTable &Counted,
                        double Part) {
  ModelDemand All;
  for (const auto &[Model, Row] : Counted) {
    All.Requests += Row.Requests;
    All.PromptTokens += Row.PromptTokens;
    All.AnswerTokens += Row.AnswerTokens;
  }
  if (All.Requests < FewRequests)
    return expectedDemand(Engine);
  double Longer = Engine.UsualAnswer > 0 && All.AnswerTokens > 0
                      ? Engine.UsualAnswer * All.Requests / All.AnswerTokens
                      : 1;
  // A sum that keeps a part each second holds this many seconds.
  double Seconds = 1 / (1 - DemandKept);
  double Scale = 1 / (Seconds * std::max(Part, LeastPart));
  DemandTable Rates;
  for (const ModelSpec &Model : Engine.Models) {
    auto At = Counted.find(Model.Name);
    ModelDemand Row = At == Counted.end() ? ModelDemand{} : At->second;
    Row.AnswerTokens *= Longer;
    Row.PromptTokens += UnaskedPart * Model.WorkShare * All.PromptTokens;
    Rates[Model.Name] = Row.scaled(Scale);
  }
  return Rates;
}

DemandTable expectedDemand(const EngineSpec &Engine) {
  DemandTable Demand;
  for (const ModelSpec &Model : Engine.Models) {
    // The stated share counts VMs; groups are compared.
    double Share = Model.WorkShare / Model.GroupSize / Model.TimeFactor;
    Demand[Model.Name].PromptTokens = std::max(Share, 1e-3);
  }
  return Demand;
}

} // namespace waycove
