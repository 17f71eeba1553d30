// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/pool_load.h"

namespace waycove {

namespace {

/// One in this many targets has to be sound for the others to be left out.
constexpr std::size_t MinSoundDivisor = 2;

/// Mean of the first-byte times that this node and others measured of a target;
/// 0 if there is none.
double firstByteMs(const TargetStats &Here, const TargetLoad *There) {
  if (!There || There->FirstByteMs <= 0)
    return Here.FirstByteMs;
  if (Here.FirstByteMs <= 0)
    return There->FirstByteMs;
  double Own = Here.InFlight + 1.0;
  double Others = There->InFlight + 1.0;
  return (Here.FirstByteMs * Own + There->FirstByteMs * Others) /
         (Own + Others);
}

void addTarget(PoolLoad &Load, const PoolLoadSources &From,
               const ServingTarget &To, TimePoint Now) {
  const VmIncarnation Target = To.Target->incarnation();
  double FirstByteMs =
      firstByteMs(From.Stats.of(Target), From.Stats.reportedLoad(Target, Now));
  if (FirstByteMs > 0 &&
      (Load.FirstByteMs == 0 || FirstByteMs < Load.FirstByteMs))
    Load.FirstByteMs = FirstByteMs;
  Load.Offers.push_back({hashOf(Target), To.Slots});
  Load.Places += To.Slots;
}

/// A suspect target whose responses move is full and not lost.
bool isSound(const PoolLoadSources &From, const ServingTarget &To,
             TimePoint Now) {
  const VmIncarnation Target = To.Target->incarnation();
  return !From.Stats.isSuspect(Target, Now) ||
         From.Stats.hasProgress(Target, Now);
}

/// Returns the targets whose slots count as places. If most targets look
/// unsound, that is rather a fault on the way to them or soon over, and their
/// places still count: refusals must not follow from a short silence.
std::vector<const ServingTarget *>
usableTargets(const PoolLoadSources &From,
              const std::vector<const ServingTarget *> &Targets,
              TimePoint Now) {
  std::vector<const ServingTarget *> Free;
  std::vector<const ServingTarget *> Sound;
  for (const ServingTarget *To : Targets) {
    if (To->Retained || Now < To->ColdUntil || From.IsBounded(*To))
      continue;
    Free.push_back(To);
    if (isSound(From, *To, Now))
      Sound.push_back(To);
  }
  return MinSoundDivisor * Sound.size() >= Free.size() ? Sound : Free;
}

PoolReport reportOf(const PoolReports &Reports, const PoolKey &Pool) {
  auto At = Reports.find(Pool);
  return At == Reports.end() ? PoolReport{} : At->second;
}

} // namespace

double PoolLoad::utilization() const {
  if (this->Places <= 0)
    return 0;
  return (this->Own.InFlight + this->Own.Waiting + this->Others.InFlight +
          this->Others.Waiting) /
         this->Places;
}

PoolLoads foldPoolLoads(const PoolLoadSources &From, TimePoint Now) {
  bool HasReports = From.OthersAt && Now - *From.OthersAt <= ReportMaxAge;
  std::map<PoolKey, std::vector<const ServingTarget *>> Pools;
  for (const auto &[Service, Targets] : From.View.ByService)
    for (const ServingTarget &To : Targets)
      Pools[{Service, To.Model}].push_back(&To);
  PoolLoads Loads;
  for (const auto &[Pool, Targets] : Pools) {
    PoolLoad &Load = Loads[Pool];
    for (const ServingTarget *To : usableTargets(From, Targets, Now))
      addTarget(Load, From, *To, Now);
    Load.Own = reportOf(From.Own, Pool);
    if (HasReports) {
      Load.Others = reportOf(From.Others, Pool);
      Load.ReportAge = std::chrono::duration_cast<Millis>(Now - *From.OthersAt);
    }
    Load.KnownNodes = std::max<std::size_t>(From.KnownNodes, 1);
    Load.NodeIndex = From.NodeIndex;
  }
  return Loads;
}

} // namespace waycove
