// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/domain_forecast.h"

#include <algorithm>

namespace waycove {

namespace {

/// One domain's VMs by what they are part of.
struct Sorted {
  std::map<GroupKey, std::vector<TargetRef>> Members;
  std::vector<TargetRef> Loose;
};

bool endsSoon(const TargetRef &Row) {
  return Row->Draining || Row->Group->State == MemberState::Closing ||
         Row->Group->State == MemberState::Broken;
}

bool loadsAlone(const TargetRef &Row) {
  return Row->Group && isLoadGroup(Row->Group->Group.Name);
}

bool hasWeights(const TargetRef &Row, const ModelSpec &Model) {
  if (loadsAlone(Row))
    return modelOf(Row->Group->Group.Name) == Model.Name;
  return Row->hasStaged(Model.Name) || Row->hasLoaded(Model.Name);
}

std::vector<const ModelSpec *> byGroupSize(const EngineSpec &Engine) {
  std::vector<const ModelSpec *> Models;
  for (const ModelSpec &Row : Engine.Models)
    Models.push_back(&Row);
  std::stable_sort(Models.begin(), Models.end(),
                   [](const ModelSpec *Left, const ModelSpec *Right) {
                     return Left->GroupSize > Right->GroupSize;
                   });
  return Models;
}

bool isHeadIn(const TargetRef &Row, MemberState State) {
  return Row->Group->Rank == 0 && Row->Group->State == State;
}

bool anyHeadIn(const std::vector<TargetRef> &Rows, MemberState State) {
  return std::any_of(Rows.begin(), Rows.end(), [&](const TargetRef &Row) {
    return isHeadIn(Row, State);
  });
}

/// Counts whole groups, and adds the members of others to the loose VMs.
GroupCounts countWhole(Sorted &Domain, const EngineSpec &Engine,
                       DomainForecast &Into) {
  GroupCounts Groups;
  for (const auto &[Key, Rows] : Domain.Members) {
    const ModelSpec *Model = Engine.model(modelOf(Key.Name));
    bool Whole = Model && Rows.size() >= Model->GroupSize &&
                 std::none_of(Rows.begin(), Rows.end(), endsSoon);
    Into.AnyGroupClosing |= anyHeadIn(Rows, MemberState::Closing);
    if (Whole) {
      ++Groups[Model->Name];
      if (anyHeadIn(Rows, MemberState::Open))
        ++Into.ServingGroups[Model->Name];
      continue;
    }
    for (const TargetRef &Row : Rows)
      if (!Row->Draining)
        Domain.Loose.push_back(Row);
  }
  return Groups;
}

/// Takes the groups that the loose VMs make, the largest first.
void takeLoose(Sorted &Domain, const EngineSpec &Engine, GroupCounts &Groups) {
  for (const ModelSpec *Model : byGroupSize(Engine)) {
    auto Others = std::stable_partition(
        Domain.Loose.begin(), Domain.Loose.end(),
        [&](const TargetRef &Row) { return hasWeights(Row, *Model); });
    auto Has = static_cast<std::size_t>(Others - Domain.Loose.begin());
    std::size_t Count = Has / Model->GroupSize;
    Groups[Model->Name] += static_cast<double>(Count);
    Domain.Loose.erase(Domain.Loose.begin(),
                       Domain.Loose.begin() + static_cast<std::ptrdiff_t>(
                                                  Count * Model->GroupSize));
  }
}

/// The largest model that what is loose and one smaller group make.
GroupCounts tradeOf(const Sorted &Domain, const EngineSpec &Engine,
                    const GroupCounts &Groups) {
  std::vector<const ModelSpec *> Models = byGroupSize(Engine);
  for (auto Large = Models.begin(); Large != Models.end(); ++Large) {
    auto Has = static_cast<std::size_t>(std::count_if(
        Domain.Loose.begin(), Domain.Loose.end(),
        [&](const TargetRef &Row) { return hasWeights(Row, **Large); }));
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
  std::map<DomainId, Sorted> Domains;
  std::map<DomainId, DomainForecast> Outlooks;
  for (const TargetRef &Row : Targets) {
    Outlooks[Row->Domain].Centre = Row->DataCentre;
    if (Row->Group && !loadsAlone(Row))
      Domains[Row->Domain].Members[Row->Group->Group].push_back(Row);
    else if (!Row->Draining)
      Domains[Row->Domain].Loose.push_back(Row);
  }
  for (auto &[Domain, Row] : Domains) {
    DomainForecast &Outlook = Outlooks[Domain];
    Outlook.Groups = countWhole(Row, Engine, Outlook);
    takeLoose(Row, Engine, Outlook.Groups);
    Outlook.Trade = tradeOf(Row, Engine, Outlook.Groups);
  }
  return Outlooks;
}

} // namespace waycove
