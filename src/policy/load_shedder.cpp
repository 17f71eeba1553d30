// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/load_shedder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace waycove {

namespace {

/// Requests in flight for each slot that the controller aims at. Below 1, since
/// slots of some targets are free while requests queue at others.
constexpr double TargetUtilization = 0.95;
/// Change of the refused fraction for a utilization that is too high by 1. Low
/// enough for reports that are half a second old and requests that hold a slot
/// for a second or two.
constexpr double ProportionalGain = 1.5;
/// The same per second.
constexpr double IntegralGain = 0.3;
/// Some requests are accepted in any overload, so that its end is noticed.
constexpr double MaxFraction = 0.9;
/// Longest time step, in seconds, that one update accounts for.
constexpr double MaxStepSeconds = 0.5;
/// Reported as overloaded above OverloadedFraction, and as relieved below
/// RelievedFraction.
constexpr double OverloadedFraction = 0.05;
constexpr double RelievedFraction = 0.01;

/// One standard deviation of the utilization with random arrivals, which is no
/// overload.
double noiseOf(const PoolUse &Use) { return 1 / std::sqrt(Use.Slots); }

} // namespace

PoolUses poolUses(const ServingView &View, const RoutingConfig &Config,
                  const TargetStatsTable &Stats, bool IsAlone, TimePoint Now) {
  PoolUses Uses;
  if (!IsAlone && !Stats.hasReports(Now))
    return Uses;
  for (const auto &[Service, Targets] : View.ByService) {
    const ServiceSpec *Spec = Config.service(Service);
    if (!Spec || !Spec->Engine || Spec->Engine->Slots == 0)
      continue;
    for (const ServingTarget &Serving : Targets) {
      const VmIncarnation Target = Serving.Target->incarnation();
      if (Serving.Retained || Stats.isSuspect(Target, Now))
        continue;
      PoolUse &Use = Uses[{Service, Serving.Model}];
      Use.InFlight += requestsInFlight(Target, Stats, Now);
      Use.Slots += Spec->Engine->Slots;
    }
  }
  return Uses;
}

std::vector<LoadShedder::Change> LoadShedder::update(const PoolUses &Uses,
                                                     TimePoint Now) {
  double Step =
      std::min(std::chrono::duration<double>(Now - this->UpdatedAt).count(),
               MaxStepSeconds);
  this->UpdatedAt = Now;
  std::erase_if(this->Pools, [&](const auto &Entry) {
    return !Uses.contains(Entry.first);
  });
  std::vector<Change> Changes;
  for (const auto &[Pool, Use] : Uses) {
    PoolState &State = this->Pools[Pool];
    double Utilization = Use.InFlight / Use.Slots;
    double Excess = Utilization - TargetUtilization - noiseOf(Use);
    State.Integral = std::clamp(State.Integral + IntegralGain * Step * Excess,
                                0.0, MaxFraction);
    State.Fraction = std::clamp(ProportionalGain * Excess + State.Integral, 0.0,
                                MaxFraction);
    bool IsOverloaded = State.Fraction > (State.IsOverloaded
                                              ? RelievedFraction
                                              : OverloadedFraction);
    if (std::exchange(State.IsOverloaded, IsOverloaded) != IsOverloaded)
      Changes.push_back({Pool, IsOverloaded, Utilization});
  }
  return Changes;
}

double LoadShedder::refusedFraction(const PoolKey &Pool) const {
  auto At = this->Pools.find(Pool);
  return At == this->Pools.end() ? 0 : At->second.Fraction;
}

} // namespace waycove
