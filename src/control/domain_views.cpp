// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/domain_views.h"

#include "policy/domain_outlook.h"
#include "policy/load_turns.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace waycove {

namespace {

bool owns(const EntryBoard &Board, const WorkShare &Mine,
          const DomainId &Domain) {
  std::uint64_t Part =
      hashText(Domain.Text) % Board.Config.Entry->PartitionCount;
  return std::find(Mine.Parts.begin(), Mine.Parts.end(), Part) !=
         Mine.Parts.end();
}

void addTo(GroupCounts &Into, const GroupCounts &Counts) {
  for (const auto &[Model, Count] : Counts)
    Into[Model] += Count;
}

/// Tells \p View of the groups of all other domains of its service.
void countElsewhere(const std::map<DomainId, DomainOutlook> &Outlooks,
                    DomainView &View) {
  std::set<DataCentreId> Centres;
  // By model, the most groups of one domain, and which that is.
  std::map<std::string, std::pair<double, DomainId>> Most;
  // A domain of which no VM is listed any more has no outlook.
  auto Own = Outlooks.find(View.Domain);
  DataCentreId Here =
      Own == Outlooks.end() ? DataCentreId() : Own->second.Centre;
  for (const auto &[Domain, Row] : Outlooks) {
    Centres.insert(Row.Centre);
    View.AnyCloses |= Row.Closes;
    for (const auto &[Model, Count] : Row.Serving)
      if (auto &Best = Most[Model]; Count > Best.first)
        Best = {Count, Domain};
    if (Domain == View.Domain)
      continue;
    addTo(View.Elsewhere, Row.Groups);
    if (Row.Centre == Here)
      addTo(View.ElsewhereInCentre, Row.Groups);
    if (Domain < View.Domain)
      addTo(View.TradesBefore, Row.Trade);
  }
  View.Centres = Centres.size();
  for (const auto &[Model, Best] : Most)
    if (Best.second == View.Domain)
      View.MayGiveUp.insert(Model);
}

} // namespace

std::map<DomainId, DomainView> ownedDomains(const EntryBoard &Board,
                                            const RoutingConfig &Config,
                                            const WorkShare &Mine,
                                            TimePoint Now) {
  std::map<DomainId, DomainView> Views;
  std::map<ServiceId, std::set<DomainId>> Domains;
  std::map<ServiceId, std::vector<TargetRef>> All;
  auto Wanted = [&](const TargetInfo &Row) {
    const ServiceSpec *Spec = Config.service(Row.Service);
    if (!Spec || !Spec->hasGroups() || Row.Domain.empty())
      return false;
    Domains[Row.Service].insert(Row.Domain);
    return owns(Board, Mine, Row.Domain);
  };
  auto ViewOf = [&](const TargetInfo &Row) -> DomainView & {
    DomainView &View = Views[Row.Domain];
    View.Domain = Row.Domain;
    View.Service = Row.Service;
    View.Now = Now;
    return View;
  };
  Board.Targets.read([&](const Fleet &Rows) {
    for (const auto &[Id, Row] : Rows.Targets) {
      All[Row->Service].push_back(Row);
      if (Wanted(*Row))
        ViewOf(*Row).Targets.push_back(Row);
    }
    for (const auto &[Id, Row] : Rows.Gone)
      if (Wanted(*Row.Last))
        ViewOf(*Row.Last).Gone.push_back(Row);
  });
  std::map<ServiceId, LoadTurns> Turns;
  std::map<ServiceId, std::map<DomainId, DomainOutlook>> Outlooks;
  for (auto &[Domain, View] : Views) {
    const std::set<DomainId> &Order = Domains[View.Service];
    View.Turn = static_cast<std::size_t>(
        std::distance(Order.begin(), Order.find(Domain)));
    const EngineSpec &Engine = *Config.service(View.Service)->Engine;
    auto At = Turns.find(View.Service);
    if (At == Turns.end()) {
      At = Turns.emplace(View.Service, loadTurns(All[View.Service], Engine))
               .first;
      Outlooks[View.Service] = domainOutlooks(All[View.Service], Engine);
    }
    const std::map<DomainId, unsigned> &ByDomain = At->second.ByDomain;
    auto Turn = ByDomain.find(Domain);
    View.LoadsAllowed = Turn == ByDomain.end() ? 0 : Turn->second;
    View.LoadsSpare = At->second.Spare;
    countElsewhere(Outlooks[View.Service], View);
  }
  return Views;
}

std::map<std::string, unsigned> servingGroups(const EntryBoard &Board) {
  std::map<std::string, unsigned> Counts;
  ServingViewRef View =
      Board.Serving.read([](const ServingViewRef &Row) { return Row; });
  for (const auto &[Service, Rows] : View->ByService)
    for (const Serving &Row : Rows)
      if (!Row.Model.empty())
        ++Counts[Row.Model];
  return Counts;
}

} // namespace waycove
