// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/target_selector.h"

#include "entry/registry_age.h"
#include "policy/centre_leave.h"
#include "policy/region_rules.h"

#include <algorithm>

namespace waycove {

std::optional<SelectedTarget>
TargetSelector::choose(const RelayRequest &Request,
                       const RelayProgress &Progress, TimePoint Now) {
  while (true) {
    std::optional<SelectedTarget> Selected =
        this->select(Request, Progress, Now);
    // Another request may have used up the rate of this target since.
    if (!Selected || this->takeFromRate(Request, *Selected, Now))
      return Selected;
  }
}

std::optional<SelectedTarget>
TargetSelector::select(const RelayRequest &Request,
                       const RelayProgress &Progress, TimePoint Now) {
  // Read before the view, so that the age is never understated.
  TimePoint ProvenAt = this->Board.RegistryProvenAt.get();
  ServingViewRef View =
      this->Board.Serving.read([](const ServingViewRef &View) { return View; });
  auto Targets = View->ByService.find(Request.Service);
  if (Targets == View->ByService.end())
    return std::nullopt;
  ChoiceQuery Query;
  Query.Model = poolOf(Request).Model;
  Query.Here = this->Board.Config.DataCentre;
  Query.AnyDataCentre = this->mayLeaveDataCentre(Request, Query.Model);
  Query.Places = this->Board.Admission.read([&](const PoolAdmission &Pools) {
    return Pools.shareOf(poolOf(Request));
  });
  Query.Avoid = Progress.Tried;
  this->avoidForbidden(Request, Targets->second, Now, Query.Avoid);
  Query.Now = Now;
  Query.RegistryStale = isRegistryStale(this->Board, ProvenAt, Now);
  Query.Random = mixHash(Request.Random, Progress.Tried.size());
  return this->Board.TargetStats.read(
      [&](const TargetStatsTable &Stats) -> std::optional<SelectedTarget> {
        const ServingTarget *Best = chooseTarget(Targets->second, Stats, Query);
        if (!Best)
          return std::nullopt;
        return SelectedTarget{
            *Best, {View->Registry, std::chrono::ceil<Millis>(Now - ProvenAt)}};
      });
}

bool TargetSelector::renew(const RelayRequest &Request,
                           SelectedTarget &Selected, TimePoint Now) {
  // Read before the view, so that the age is never understated.
  TimePoint ProvenAt = this->Board.RegistryProvenAt.get();
  ServingViewRef View =
      this->Board.Serving.read([](const ServingViewRef &View) { return View; });
  auto Targets = View->ByService.find(Request.Service);
  if (Targets == View->ByService.end())
    return false;
  const VmIncarnation Wanted = Selected.To.Target->incarnation();
  ChoiceQuery Query;
  Query.Model = poolOf(Request).Model;
  Query.Now = Now;
  Query.RegistryStale = isRegistryStale(this->Board, ProvenAt, Now);
  for (const ServingTarget &To : Targets->second)
    if (To.Target->incarnation() != Wanted || !this->isAllowed(Request, To))
      Query.Avoid.push_back(To.Target->Id);
  return this->Board.TargetStats.read([&](const TargetStatsTable &Stats) {
    const ServingTarget *Found = chooseTarget(Targets->second, Stats, Query);
    if (!Found)
      return false;
    Selected.To = *Found;
    Selected.Snapshot = {View->Registry,
                         std::chrono::ceil<Millis>(Now - ProvenAt)};
    return true;
  });
}

bool TargetSelector::confirm(const RelayRequest &Request,
                             SelectedTarget &Selected, TimePoint Now) {
  if (this->Bounds.isPaused(Selected.To, Now))
    return false;
  return Selected.IsCounted || this->takeFromRate(Request, Selected, Now);
}

std::optional<Millis> TargetSelector::nextOpening(const RelayRequest &Request,
                                                  const RelayProgress &Progress,
                                                  TimePoint Now) {
  ServingViewRef View =
      this->Board.Serving.read([](const ServingViewRef &Row) { return Row; });
  auto Targets = View->ByService.find(Request.Service);
  if (Targets == View->ByService.end())
    return std::nullopt;
  std::optional<Millis> Least;
  for (const ServingTarget &To : Targets->second) {
    Millis Wait = this->isCandidate(Request, Progress, To)
                      ? this->Bounds.waitFor(Request, To, Now)
                      : Millis(0);
    if (Wait > Millis(0))
      Least = std::min(Least.value_or(Wait), Wait);
  }
  return Least;
}

bool TargetSelector::mayHaveEnded(const LostTarget &Lost, TimePoint Now) const {
  // Then this node's own links have ended the responses.
  if (this->Board.isCutOff() || Now - Lost.At >= RemovalTime)
    return false;
  bool IsAlive =
      this->Board.TargetStats.read([&](const TargetStatsTable &Stats) {
        return Stats.showedLifeAfter(Lost.Target, Lost.At);
      });
  return !IsAlive && !this->hasEnded(Lost.Target);
}

bool TargetSelector::wasCutOff(const LostTarget &Lost, TimePoint Now) const {
  return this->Board.TargetStats.read([&](const TargetStatsTable &Stats) {
    return Stats.wasCutOff(Lost.Target, Lost.At, Now);
  });
}

bool TargetSelector::hasEnded(const VmIncarnation &Target) const {
  return this->Board.Targets.read([&](const Fleet &Known) {
    auto At = Known.Targets.find(Target.Id);
    return At == Known.Targets.end() || At->second->incarnation() != Target;
  });
}

bool TargetSelector::isLeaving(const VmIncarnation &Target) const {
  bool HasStatedIt =
      this->Board.TargetPauses.read([&](const StatedPauses &Known) {
        return Known.of(Target, SystemClock{}.now()).Leaves;
      });
  return HasStatedIt || this->Board.Targets.read([&](const Fleet &Known) {
    auto At = Known.Targets.find(Target.Id);
    return At != Known.Targets.end() && At->second->Draining;
  });
}

bool TargetSelector::takeFromRate(const RelayRequest &Request,
                                  SelectedTarget &Selected, TimePoint Now) {
  RateUse Use = this->Bounds.take(Request, Selected.To, Now);
  Selected.IsCounted = Use == RateUse::Counted;
  return Use != RateUse::Exhausted;
}

void TargetSelector::avoidForbidden(const RelayRequest &Request,
                                    const std::vector<ServingTarget> &Targets,
                                    TimePoint Now, std::vector<VmId> &Avoid) {
  for (const ServingTarget &To : Targets)
    if (!this->isAllowed(Request, To))
      Avoid.push_back(To.Target->Id);
  this->Bounds.avoidClosed(Request, Targets, Now, Avoid);
}

bool TargetSelector::isAllowed(const RelayRequest &Request,
                               const ServingTarget &To) const {
  return mayRunAt(*Request.Route, Request.Owner,
                  this->Board.Config.Entry->Regions, To.Target->DataCentre);
}

bool TargetSelector::isCandidate(const RelayRequest &Request,
                                 const RelayProgress &Progress,
                                 const ServingTarget &To) const {
  const std::vector<VmId> &Tried = Progress.Tried;
  return std::find(Tried.begin(), Tried.end(), To.Target->Id) == Tried.end() &&
         To.Model == poolOf(Request).Model && this->isAllowed(Request, To);
}

bool TargetSelector::mayLeaveDataCentre(const RelayRequest &Request,
                                        const std::string &Model) const {
  double LocalFraction =
      this->Board.Balance.read([&](const CentreBalance &Balance) {
        return Balance.localFraction({Request.Service, Model});
      });
  return mayLeaveCentre(LocalFraction, Request.Random);
}

} // namespace waycove
