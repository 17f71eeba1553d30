// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/domain_forecast.h"

#include <algorithm>

namespace waycove {

namespace {

/// One domain's VMs: members of groups, and those that are free or load alone.
struct DomainVms {
  std::map<GroupKey, std::vector<TargetRef>> Members;
  std::vector<TargetRef> Free;
};

bool isEnding(const TargetRef &Target) {
  return Target->Draining || Target->Group->State == MemberState::Closing ||
         Target->Group->State == MemberState::Broken;
}

bool isInLoadGroup(const TargetRef &Target) {
  return Target->Group && isLoadGroup(Target->Group->Group.Name);
}

bool hasWeights(const TargetRef &Target, const ModelSpec &Model) {
  if (isInLoadGroup(Target))
    return modelOf(Target->Group->Group.Name) == Model.Name;
  return Target->hasStaged(Model.Name) || Target->hasLoaded(Model.Name);
}

std::vector<const ModelSpec *> modelsBySize(const EngineSpec &Engine) {
  std::vector<const ModelSpec *> Models;
  for (const ModelSpec &Model : Engine.Models)
    Models.push_back(&Model);
  std::stable_sort(Models.begin(), Models.end(),
                   [](const ModelSpec *Left, const ModelSpec *Right) {
                     return Left->GroupSize > Right->GroupSize;
                   });
  return Models;
}

bool isHeadIn(const TargetRef &Target, MemberState State) {
  return Target->Group->Rank == 0 && Target->Group->State == State;
}

bool anyHeadIn(const std::vector<TargetRef> &Members, MemberState State) {
  return std::any_of(
      Members.begin(), Members.end(),
      [&](const TargetRef &Target) { return isHeadIn(Target, State); });
}

/// Counts complete groups, and adds the members of others to the free VMs.
GroupCounts countCompleteGroups(DomainVms &Domain, const EngineSpec &Engine,
                                DomainForecast &Forecast) {
  GroupCounts Groups;
  for (const auto &[Key, Members] : Domain.Members) {
    const ModelSpec *Model = Engine.model(modelOf(Key.Name));
    bool Complete = Model && Members.size() >= Model->GroupSize &&
                    std::none_of(Members.begin(), Members.end(), isEnding);
    Forecast.AnyGroupClosing |= anyHeadIn(Members, MemberState::Closing);
    if (Complete) {
      ++Groups[Model->Name];
      if (anyHeadIn(Members, MemberState::Open))
        ++Forecast.ServingGroups[Model->Name];
      continue;
    }
    for (const TargetRef &Target : Members)
      if (!Target->Draining)
        Domain.Free.push_back(Target);
  }
  return Groups;
}

/// Adds the groups that the free VMs can form, the largest first.
void addGroupsOfFreeVms(DomainVms &Domain, const EngineSpec &Engine,
                        GroupCounts &Groups) {
  for (const ModelSpec *Model : modelsBySize(Engine)) {
    auto Others = std::stable_partition(
        Domain.Free.begin(), Domain.Free.end(),
        [&](const TargetRef &Target) { return hasWeights(Target, *Model); });
    auto Has = static_cast<std::size_t>(Others - Domain.Free.begin());
    std::size_t Count = Has / Model->GroupSize;
    Groups[Model->Name] += static_cast<double>(Count);
    Domain.Free.erase(Domain.Free.begin(),
                      Domain.Free.begin() + static_cast<std::ptrdiff_t>(
                                                Count * Model->GroupSize));
  }
}

/// Trade for the largest model that free VMs and one smaller group can form.
GroupCounts bestTrade(const DomainVms &Domain, const EngineSpec &Engine,
                      const GroupCounts &Groups) {
  std::vector<const ModelSpec *> Models = modelsBySize(Engine);
  for (auto Large = Models.begin(); Large != Models.end(); ++Large) {
    auto Has = static_cast<std::size_t>(std::count_if(
        Domain.Free.begin(), Domain.Free.end(),
        [&](const TargetRef &Target) { return hasWeights(Target, **Large); }));
    for (auto Small = Large + 1; Has > 0 && Small != Models.end(); ++Small)
      if (auto At = Groups.find((*Small)->Name);
          At != Groups.end() && At->second >= 1 &&
          Has + (*Small)->GroupSize >= (*Large)->GroupSize)
        return {{(*Large)->Name, 1}, {(*Small)->Name, -1}};
  }
  return {};
}

} // namespace

std::map<DomainId, DomainForecast>
forecastDomains(const std::vector<TargetRef> &Targets,
                const EngineSpec &Engine) {
  std::map<DomainId, DomainVms> Domains;
  std::map<DomainId, DomainForecast> Forecasts;
  for (const TargetRef &Target : Targets) {
    Forecasts[Target->Domain].Centre = Target->DataCentre;
    if (Target->Group && !isInLoadGroup(Target))
      Domains[Target->Domain].Members[Target->Group->Group].push_back(Target);
    else if (!Target->Draining)
      Domains[Target->Domain].Free.push_back(Target);
  }
  for (auto &[Domain, Vms] : Domains) {
    DomainForecast &Forecast = Forecasts[Domain];
    Forecast.Groups = countCompleteGroups(Vms, Engine, Forecast);
    addGroupsOfFreeVms(Vms, Engine, Forecast.Groups);
    Forecast.Trade = bestTrade(Vms, Engine, Forecast.Groups);
  }
  return Forecasts;
}

} // namespace waycove
