// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/routing.h"

#include <map>
#include <string>

namespace waycove {

/// What callers ask of one model, in a second, over all nodes.
struct ModelDemand {
  double Requests = 0;
  double PromptTokens = 0;
  /// As far as callers and operators tell it ahead.
  double OutputTokens = 0;

  void add(const ModelDemand &Other) {
    this->Requests += Other.Requests;
    this->PromptTokens += Other.PromptTokens;
    this->OutputTokens += Other.OutputTokens;
  }
  ModelDemand scaled(double Factor) const {
    return {this->Requests * Factor, this->PromptTokens * Factor,
            this->OutputTokens * Factor};
  }
  /// In tokens of a prompt; a token of an answer costs an engine about ten.
  double weightedTokens() const {
    return this->PromptTokens + OutputTokenWeight * this->OutputTokens;
  }

private:
  static constexpr double OutputTokenWeight = 10;
};

/// By model.
using DemandTable = std::map<std::string, ModelDemand>;

/// Part of the counted demand that still counts a second later: about the last
/// ten seconds weigh.
inline constexpr double DemandDecay = 0.9;

/// The demand of a second over all nodes, from what was counted at nodes whose
/// part of the requests is \p Part. What callers say of their answers' length
/// is corrected by the operators' figure of a usual one; models that nobody
/// asked for keep a small part of what operators expect.
DemandTable demandRates(const EngineSpec &Engine, const DemandTable &Counted,
                        double Part);

/// Groups by model; a fraction where a group is not certain.
using GroupCounts = std::map<std::string, double>;

/// Of a group whose slots are all taken, the time that a token of an answer
/// takes, in milliseconds: its part of the step that all share, and what it
/// makes that longer.
double outputTokenMillis(const EngineSpec &Engine);

/// How loaded each of \p Groups groups of \p Model is when they share
/// \p Demand: their rate as a part of that at which all slots are taken. A
/// request holds its slot while it writes, and all wait while prompts are read;
/// with S slots, A tokens of an answer, P of a prompt, steps of s + p B ms for
/// B requests that write, and R prompt tokens read in a ms, Little's law gives
///
///   B (1 - rate P / R) = rate A (s + p B), so that at B = S
///   1 / rate = A (s / S + p) + P / R.
///
/// Above 1 requests queue without end. Without the step that all share, eight
/// groups of 48 slots that made 290 answers of 150 tokens a second counted as
/// loaded by 0.6, and each of their slots was taken. From the operators'
/// figures of the engine; where they give none, in a unit that is the same for
/// all models.
double groupLoad(const EngineSpec &Engine, const ModelSpec &Model,
                 const ModelDemand &Demand, double Groups);

/// What callers lose with \p Groups, in any unit: by model, the work that they
/// ask for, and how loaded its groups are, to a high power, since almost no
/// answer is late up to half of the load and almost all at full load. Where the
/// least is lost, groups are shared out best.
double serviceLoss(const EngineSpec &Engine, const DemandTable &Demand,
                   const GroupCounts &Groups);
/// One model's part of it. What one more group of a model gains has to be taken
/// from its part alone: where another model has no group at all, the sum is so
/// large that the difference is lost in rounding.
double modelLoss(const EngineSpec &Engine, const ModelSpec &Model,
                 const ModelDemand &Demand, double Groups);

/// The operators' own guess of the demand, for before callers came.
DemandTable expectedDemand(const EngineSpec &Engine);

} // namespace waycove
