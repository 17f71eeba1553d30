// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/centre_balance.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace waycove {

namespace {

/// How fast the part that stays follows, a second, where this data centre's
/// targets are busier than all by their load again. In virtual time, with news
/// half a second old and the loss that the header names, 0.3, 0.6 and 1.2 made
/// 0.9, 0.6 and 1.8 in 100 first events late (without the margin for chance).
constexpr double GainPerSecond = 0.6;
/// Loads below one request a target differ by chance.
constexpr double MinLoad = 1;
/// After a longer pause what was learned counts as one step.
constexpr double MostStepSeconds = 0.5;
/// Where this data centre is no busier than by chance, requests come back as if
/// its load were at least by this part below that of all: at 0.06 a second.
constexpr double LeastEase = 0.1;
/// Told where less stays, and again where nearly all does.
constexpr double BusyStay = 0.75;
constexpr double EasedStay = 0.95;

struct Tally {
  double InFlight = 0;
  double Targets = 0;
  void add(double Requests) {
    this->InFlight += Requests;
    ++this->Targets;
  }
  double mean() const { return this->InFlight / this->Targets; }
};

/// How much busier the targets here are, as a part of all targets' load, beyond
/// one standard deviation of as many requests that come by chance. Without this
/// margin 6 in 100 requests left one of five data centres that were alike (0.3
/// now), each with ten groups and 60 nodes; of three with three groups and 20
/// nodes each 8 more than without the balance (2 now).
double excess(const CentreLoad &Load) {
  double Usual = std::max(Load.All, MinLoad);
  double Chance = std::sqrt(Usual / Load.Targets);
  double More = Load.Here - Load.All;
  return More > Chance ? (More - Chance) / Usual
                       : std::min(More / Usual, -LeastEase);
}

double inFlight(const VmIncarnation &Target, const TargetStatsTable &Stats,
                TimePoint Now) {
  const TargetLoad *Others = Stats.reportedLoad(Target, Now);
  return Stats.of(Target).InFlight + (Others ? Others->InFlight : 0.0);
}

} // namespace

CentreLoads centreLoads(const ServingView &View, const TargetStatsTable &Stats,
                        const DataCentreId &Here, TimePoint Now) {
  CentreLoads Loads;
  if (!Stats.hasReports(Now))
    return Loads;
  for (const auto &[Service, Rows] : View.ByService) {
    std::map<std::string, Tally> Near;
    std::map<std::string, Tally> All;
    for (const ServingTarget &Row : Rows) {
      const VmIncarnation Target = Row.Target->incarnation();
      if (Row.Retained || Stats.isSuspect(Target, Now))
        continue;
      double Requests = inFlight(Target, Stats, Now);
      All[Row.Model].add(Requests);
      if (Row.Target->DataCentre == Here)
        Near[Row.Model].add(Requests);
    }
    for (const auto &[Model, Row] : Near)
      Loads[{Service, Model}] = {Row.mean(), All[Model].mean(), Row.Targets};
  }
  return Loads;
}

std::vector<CentreBalance::Change>
CentreBalance::update(const CentreLoads &Loads, TimePoint Now) {
  double Step =
      std::min(std::chrono::duration<double>(Now - this->UpdatedAt).count(),
               MostStepSeconds);
  this->UpdatedAt = Now;
  std::erase_if(this->Rows, [&](const auto &Entry) {
    return !Loads.contains(Entry.first);
  });
  std::vector<Change> Changes;
  for (const auto &[Pool, Load] : Loads) {
    Row &Kept =
        this->Rows.try_emplace(Pool, Row{1, Load.Targets}).first->second;
    // What the targets that are left can take is known before they fill up.
    double Part =
        std::min(1.0, Kept.LocalFraction * Load.Targets / Kept.Targets);
    Kept.LocalFraction =
        std::clamp(Part - GainPerSecond * Step * excess(Load), 0.0, 1.0);
    Kept.Targets = Load.Targets;
    bool Busy = Kept.LocalFraction < (Kept.Busy ? EasedStay : BusyStay);
    if (std::exchange(Kept.Busy, Busy) != Busy)
      Changes.push_back({Pool, Busy, Kept.LocalFraction});
  }
  return Changes;
}

double CentreBalance::localFraction(const PoolKey &Pool) const {
  auto At = this->Rows.find(Pool);
  return At == this->Rows.end() ? 1.0 : At->second.LocalFraction;
}

} // namespace waycove
