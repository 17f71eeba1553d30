// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/centre_balance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace waycove {

namespace {

/// Integral gain: change of the local fraction per second for a relative excess
/// load of 1. Half or twice as much makes more first bytes late when reports
/// are half a second old.
constexpr double GainPerSecond = 0.6;
/// Below this average load, in requests per target, differences are noise.
constexpr double MinLoad = 1;
/// Longest time step, in seconds, that one update accounts for.
constexpr double MaxStepSeconds = 0.5;
/// Minimum relative load deficit while there is no excess, so that requests
/// always return: the fraction then grows by 0.06 per second.
constexpr double MinDeficit = 0.1;
/// Reported as busy below BusyFraction, and as eased above EasedFraction.
constexpr double BusyFraction = 0.75;
constexpr double EasedFraction = 0.95;

struct LoadSum {
  double InFlight = 0;
  double Targets = 0;
  void add(double Requests) {
    this->InFlight += Requests;
    ++this->Targets;
  }
  double mean() const { return this->InFlight / this->Targets; }
};

/// Returns the excess load of the local targets relative to the overall load. A
/// margin of one standard deviation of random arrivals is subtracted, so that
/// requests do not leave because of noise: without it, 6 in 100 leave one of
/// five equal data centres of ten groups and 60 nodes.
double excess(const CentreLoad &Load) {
  double Overall = std::max(Load.All, MinLoad);
  double Margin = std::sqrt(Overall / Load.Targets);
  double Excess = Load.Here - Load.All;
  return Excess > Margin ? (Excess - Margin) / Overall
                         : std::min(Excess / Overall, -MinDeficit);
}

} // namespace

CentreLoads centreLoads(const ServingView &View, const TargetStatsTable &Stats,
                        const DataCentreId &Here, TimePoint Now) {
  CentreLoads Loads;
  if (!Stats.hasReports(Now))
    return Loads;
  for (const auto &[Service, Targets] : View.ByService) {
    std::map<std::string, LoadSum> Local;
    std::map<std::string, LoadSum> All;
    for (const ServingTarget &Serving : Targets) {
      const VmIncarnation Target = Serving.Target->incarnation();
      if (Serving.Retained || Stats.isSuspect(Target, Now))
        continue;
      double Requests = Stats.inFlight(Target, Now);
      All[Serving.Model].add(Requests);
      if (Serving.Target->DataCentre == Here)
        Local[Serving.Model].add(Requests);
    }
    for (const auto &[Model, Sum] : Local)
      Loads[{Service, Model}] = {Sum.mean(), All[Model].mean(), Sum.Targets};
  }
  return Loads;
}

std::vector<CentreBalance::Change>
CentreBalance::update(const CentreLoads &Loads, TimePoint Now) {
  double Step =
      std::min(std::chrono::duration<double>(Now - this->UpdatedAt).count(),
               MaxStepSeconds);
  this->UpdatedAt = Now;
  std::erase_if(this->Pools, [&](const auto &Entry) {
    return !Loads.contains(Entry.first);
  });
  std::vector<Change> Changes;
  for (const auto &[Pool, Load] : Loads) {
    PoolState &State =
        this->Pools.try_emplace(Pool, PoolState{1, Load.Targets}).first->second;
    // Lost capacity is known before the remaining targets fill up.
    double Capacity =
        std::min(1.0, State.LocalFraction * Load.Targets / State.Targets);
    State.LocalFraction =
        std::clamp(Capacity - GainPerSecond * Step * excess(Load), 0.0, 1.0);
    State.Targets = Load.Targets;
    bool Busy =
        State.LocalFraction < (State.Busy ? EasedFraction : BusyFraction);
    if (std::exchange(State.Busy, Busy) != Busy)
      Changes.push_back({Pool, Busy, State.LocalFraction});
  }
  return Changes;
}

double CentreBalance::localFraction(const PoolKey &Pool) const {
  auto At = this->Pools.find(Pool);
  return At == this->Pools.end() ? 1.0 : At->second.LocalFraction;
}

} // namespace waycove
