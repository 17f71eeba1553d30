// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/domain_views.h"

#include "policy/domain_forecast.h"
#include "policy/load_schedule.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace waycove {

namespace {

bool owns(const EntryBoard &Board, const PartitionAssignment &Assignment,
          const DomainId &Domain) {
  std::uint64_t Partition =
      hashText(Domain.Text) % Board.Config.Entry->PartitionCount;
  return std::find(Assignment.Partitions.begin(), Assignment.Partitions.end(),
                   Partition) != Assignment.Partitions.end();
}

void addTo(GroupCounts &Sum, const GroupCounts &Counts) {
  for (const auto &[Model, Count] : Counts)
    Sum[Model] += Count;
}

/// Fills in what \p View holds of the other domains of its service.
void countElsewhere(const std::map<DomainId, DomainForecast> &Outlooks,
                    DomainView &View) {
  std::set<DataCentreId> Centres;
  // By model, the domain with the most groups and their number.
  std::map<std::string, std::pair<double, DomainId>> LargestByModel;
  // A domain without any listed VM has no forecast.
  auto Own = Outlooks.find(View.Domain);
  DataCentreId Here =
      Own == Outlooks.end() ? DataCentreId() : Own->second.Centre;
  for (const auto &[Domain, Outlook] : Outlooks) {
    Centres.insert(Outlook.Centre);
    View.AnyGroupClosing |= Outlook.AnyGroupClosing;
    for (const auto &[Model, Count] : Outlook.ServingGroups)
      if (auto &Largest = LargestByModel[Model]; Count > Largest.first)
        Largest = {Count, Domain};
    if (Domain == View.Domain)
      continue;
    addTo(View.OtherGroups, Outlook.Groups);
    if (Outlook.Centre == Here)
      addTo(View.OtherGroupsInCentre, Outlook.Groups);
    if (Domain < View.Domain)
      addTo(View.EarlierTrades, Outlook.Trade);
  }
  View.CentreCount = Centres.size();
  for (const auto &[Model, Largest] : LargestByModel)
    if (Largest.second == View.Domain)
      View.ReleasableModels.insert(Model);
}

} // namespace

std::map<ServiceDomain, DomainView>
ownedDomains(const EntryBoard &Board, const RoutingConfig &Config,
             const PartitionAssignment &Assignment, TimePoint Now) {
  std::map<ServiceDomain, DomainView> Views;
  std::map<ServiceId, std::set<DomainId>> Domains;
  std::map<ServiceId, std::vector<TargetRef>> All;
  auto IsOwned = [&](const TargetInfo &Target) {
    const ServiceSpec *Spec = Config.service(Target.Service);
    if (!Spec || !Spec->hasGroups() || Target.Domain.empty())
      return false;
    Domains[Target.Service].insert(Target.Domain);
    return owns(Board, Assignment, Target.Domain);
  };
  auto ViewOf = [&](const TargetInfo &Target) -> DomainView & {
    DomainView &View = Views[{Target.Service, Target.Domain}];
    View.Domain = Target.Domain;
    View.Service = Target.Service;
    View.Now = Now;
    return View;
  };
  Evacuations Evacuated =
      Board.Evacuated.read([](const Evacuations &Row) { return Row; });
  Board.Targets.read([&](const Fleet &Rows) {
    for (const auto &[Id, Target] : Rows.Targets) {
      // Groups in an evacuated data centre serve nobody, and none is loaded
      // there; those that exist are kept for its return.
      if (!Evacuated.contains(Target->DataCentre))
        All[Target->Service].push_back(Target);
      if (IsOwned(*Target))
        ViewOf(*Target).Targets.push_back(Target);
    }
    for (const auto &[Id, Target] : Rows.Removed)
      if (IsOwned(*Target.Last))
        ViewOf(*Target.Last).Removed.push_back(Target);
  });
  std::map<ServiceId, LoadSchedule> Schedules;
  std::map<ServiceId, std::map<DomainId, DomainForecast>> Outlooks;
  for (auto &[Key, View] : Views) {
    const DomainId &Domain = Key.Domain;
    const std::set<DomainId> &Order = Domains[View.Service];
    View.DomainIndex = static_cast<std::size_t>(
        std::distance(Order.begin(), Order.find(Domain)));
    const EngineSpec &Engine = *Config.service(View.Service)->Engine;
    auto At = Schedules.find(View.Service);
    if (At == Schedules.end()) {
      At = Schedules
               .emplace(View.Service, scheduleLoads(All[View.Service], Engine))
               .first;
      Outlooks[View.Service] = forecastDomains(All[View.Service], Engine);
    }
    const std::map<DomainId, unsigned> &ByDomain = At->second.ByDomain;
    auto Turn = ByDomain.find(Domain);
    View.LoadsAllowed = Turn == ByDomain.end() ? 0 : Turn->second;
    bool MayLoad = Outlooks[View.Service].contains(Domain);
    View.SpareLoads = MayLoad ? At->second.SpareLoads : 0;
    countElsewhere(Outlooks[View.Service], View);
  }
  return Views;
}

std::map<ServiceId, std::map<std::string, unsigned>>
servingGroups(const EntryBoard &Board) {
  std::map<ServiceId, std::map<std::string, unsigned>> Counts;
  ServingViewRef View =
      Board.Serving.read([](const ServingViewRef &Row) { return Row; });
  for (const auto &[Service, Targets] : View->ByService)
    for (const ServingTarget &Target : Targets)
      if (!Target.Model.empty())
        ++Counts[Service][Target.Model];
  return Counts;
}

} // namespace waycove
