// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/routing.h"

#include <map>
#include <string>

namespace waycove {

/// Demand for one model: requests and tokens per second over all nodes.
struct ModelDemand {
  double Requests = 0;
  double PromptTokens = 0;
  /// Expected from what callers and operators declare.
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
  /// Cost in prompt tokens; an output token counts as OutputTokenWeight of
  /// them.
  double weightedTokens() const {
    return this->PromptTokens + OutputTokenWeight * this->OutputTokens;
  }

private:
  static constexpr double OutputTokenWeight = 10;
};

/// By model.
using DemandTable = std::map<std::string, ModelDemand>;

/// Factor applied to the counted demand each second; averages over about ten
/// seconds.
inline constexpr double DemandDecay = 0.9;

/// Estimates the demand per second over all nodes from \p Counted, the decayed
/// counts of nodes that receive the fraction \p RequestFraction of all
/// requests. Output lengths declared by callers are scaled to the operators'
/// typical output length. Models without requests keep a small part of their
/// expected demand.
DemandTable demandRates(const EngineSpec &Engine, const DemandTable &Counted,
                        double RequestFraction);

/// Number of groups by model; fractional where a group is uncertain.
using GroupCounts = std::map<std::string, double>;

/// Time per output token, in milliseconds, of a group with all slots in use:
/// its part of the shared step plus its own cost.
double outputTokenMillis(const EngineSpec &Engine);

/// Load of each of \p Groups groups of \p Model that share \p Demand: the
/// request rate as a fraction of the rate at which all slots are in use; above
/// 1, requests queue without bound. A request holds its slot while it
/// generates, and generation pauses while prompts are read. With S slots, A
/// output tokens and P prompt tokens per request, steps of s + p B ms for B
/// generating requests, and R prompt tokens read per second, Little's law gives
///
///   B (1 - rate P / R) = rate A (s + p B), so that at B = S
///   1 / rate = A (s / S + p) + P / R.
///
/// Without the step that all requests share, groups whose slots are all in use
/// would count as loaded by 0.6.
///
/// Without the operators' figures of the engine, the load is in a unit that is
/// the same for all models.
double groupLoad(const EngineSpec &Engine, const ModelSpec &Model,
                 const ModelDemand &Demand, double Groups);

/// Cost to callers of serving \p Demand with \p Groups, in an arbitrary unit:
/// the sum over all models of the requested work weighted by a high power of
/// the load, since responses are rarely late at half load and nearly always at
/// full load. The allocation of groups with the lowest loss is the best.
double serviceLoss(const EngineSpec &Engine, const DemandTable &Demand,
                   const GroupCounts &Groups);
/// The term of serviceLoss() for one model. The gain of one more group has to
/// be computed from this term alone: if another model has no group, its term is
/// so large that floating-point rounding hides changes of the other terms.
double modelLoss(const EngineSpec &Engine, const ModelSpec &Model,
                 const ModelDemand &Demand, double Groups);

/// The demand that operators expect, used until enough requests were counted.
DemandTable expectedDemand(const EngineSpec &Engine);

} // namespace waycove
