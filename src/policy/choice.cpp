// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/choice.h"

#include <algorithm>
#include <cmath>

namespace waycove {

namespace {

/// Half-life of a measured first-byte time; it decays towards the mean of the
/// model.
constexpr double WaitHalfLifeSeconds = 1.5;
/// Estimated first-byte delay per request in flight, in milliseconds.
constexpr double WaitPerRequestMs = 12;
/// Estimated first-byte delay per thousand prompt tokens not yet processed, in
/// milliseconds. Engines read some 46 tokens per millisecond, between the steps
/// of other requests.
constexpr double WaitPerThousandTokensMs = 30;
/// Penalty for a target in another data centre, in milliseconds.
constexpr double OtherCentreMs = 8;
/// Penalty for a suspect target; exceeds all other terms.
constexpr double SuspectMs = 1e6;
/// Penalty for a target at which this node has no free place; exceeds the
/// expected waits at others.
constexpr double NoPlaceMs = 1e5;
/// Range of the random term, in milliseconds; keeps nodes from all choosing the
/// same target.
constexpr double JitterMs = 10;

double jitter(std::uint64_t Random, std::size_t Index) {
  return static_cast<double>(mixHash(Random, Index) % 1024) / 1024 * JitterMs;
}

bool isAvoided(const ChoiceQuery &Query, const VmId &Target) {
  return std::find(Query.Avoid.begin(), Query.Avoid.end(), Target) !=
         Query.Avoid.end();
}

/// Returns the mean first-byte time that this node measured for the targets of
/// the model, or 0 if it has no measurement.
double meanFirstByteMs(const std::vector<ServingTarget> &Targets,
                       const TargetStatsTable &Stats,
                       const std::string &Model) {
  double Sum = 0;
  int Measured = 0;
  for (const ServingTarget &Candidate : Targets) {
    double Ms = Stats.of(Candidate.Target->incarnation()).FirstByteMs;
    if (Candidate.Model != Model || Ms == 0)
      continue;
    Sum += Ms;
    ++Measured;
  }
  return Measured > 0 ? Sum / Measured : 0;
}

/// Returns the expected first-byte time: the measured value, decayed towards \p
/// ModelMean with age, but at least as long as any request has been waiting.
/// Without a measurement it is \p ModelMean, so that new targets do not look
/// idle to all nodes at once: the next request of nearly every node would go to
/// a group that has just opened.
double expectedFirstByteMs(const TargetStats &Observed, double ModelMean,
                           TimePoint Now) {
  double Age =
      std::chrono::duration<double>(Now - Observed.FirstByteAt).count();
  double Expected = ModelMean;
  if (Observed.FirstByteMs > 0)
    Expected += (Observed.FirstByteMs - ModelMean) *
                std::exp2(-Age / WaitHalfLifeSeconds);
  for (TimePoint Since : Observed.WaitingSince)
    Expected = std::max(
        Expected,
        std::chrono::duration<double, std::milli>(Now - Since).count());
  return Expected;
}

/// Returns whether this node has a free place at the target. Answers targets at
/// which the requests of many nodes pile up while others have free slots.
bool hasPlace(const ServingTarget &Candidate, const TargetStatsTable &Stats,
              const ChoiceQuery &Query) {
  if (!Query.Places || Candidate.Slots == 0)
    return true;
  const VmIncarnation Target = Candidate.Target->incarnation();
  return Stats.of(Target).InFlight <
         Query.Places->placesAt(hashOf(Target), Candidate.Slots);
}

double expectedWaitMs(const ServingTarget &Candidate,
                      const TargetStatsTable &Stats, const ChoiceQuery &Query,
                      double ModelMean) {
  const VmIncarnation Incarnation = Candidate.Target->incarnation();
  const TargetStats &Observed = Stats.of(Incarnation);
  double Wait = expectedFirstByteMs(Observed, ModelMean, Query.Now) +
                WaitPerRequestMs * Observed.InFlight +
                WaitPerThousandTokensMs * Observed.PromptWaiting / 1000;
  if (!Query.AnyDataCentre && Candidate.Target->DataCentre != Query.Here)
    Wait += OtherCentreMs;
  if (Stats.isSuspect(Incarnation, Query.Now))
    Wait += SuspectMs;
  return Wait;
}

/// Returns true if the target may be leaving.
bool mayBeLeaving(const ServingTarget &Candidate, const TargetStatsTable &Stats,
                  const ChoiceQuery &Query) {
  return Candidate.Retained ||
         (Query.RegistryStale &&
          Stats.of(Candidate.Target->incarnation()).Closing);
}

/// Returns true if some target of the model is certainly staying.
bool anyStaying(const std::vector<ServingTarget> &Targets,
                const TargetStatsTable &Stats, const ChoiceQuery &Query) {
  return std::any_of(Targets.begin(), Targets.end(),
                     [&](const ServingTarget &Candidate) {
                       return Candidate.Model == Query.Model &&
                              !mayBeLeaving(Candidate, Stats, Query);
                     });
}

} // namespace

const ServingTarget *chooseTarget(const std::vector<ServingTarget> &Targets,
                                  const TargetStatsTable &Stats,
                                  const ChoiceQuery &Query) {
  const ServingTarget *Best = nullptr;
  double BestWait = 0;
  double ModelMean = meanFirstByteMs(Targets, Stats, Query.Model);
  bool HasStaying = anyStaying(Targets, Stats, Query);
  for (std::size_t I = 0; I < Targets.size(); ++I) {
    const ServingTarget &Candidate = Targets[I];
    if (Candidate.Model != Query.Model ||
        isAvoided(Query, Candidate.Target->Id) ||
        (HasStaying && mayBeLeaving(Candidate, Stats, Query)))
      continue;
    double Wait = expectedWaitMs(Candidate, Stats, Query, ModelMean) +
                  jitter(Query.Random, I);
    if (!hasPlace(Candidate, Stats, Query))
      Wait += NoPlaceMs;
    if (!Best || Wait < BestWait) {
      Best = &Candidate;
      BestWait = Wait;
    }
  }
  return Best;
}

} // namespace waycove
