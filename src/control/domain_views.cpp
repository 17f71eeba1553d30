// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/domain_views.h"

#include "policy/load_turns.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace waycove {

namespace {

bool owns(const EntryBoard &Board, const WorkShare &Mine,
          const DomainId &Domain) {
  std::uint64_t Part = hashText(Domain.Text) % Board.Config.Entry->WorkParts;
  return std::find(Mine.Parts.begin(), Mine.Parts.end(), Part) !=
         Mine.Parts.end();
}

/// Groups that serve or form, by domain and model: all members are listed, none
/// drains, and the head neither closes nor is broken.
std::map<DomainId, GroupCounts> formedGroups(const std::vector<TargetRef> &Rows,
                                             const EngineSpec &Engine) {
  struct Seen {
    DomainId Domain;
    unsigned Members = 0;
    bool Ends = false;
  };
  std::map<GroupKey, Seen> Groups;
  for (const TargetRef &Row : Rows) {
    if (!Row->Group)
      continue;
    Seen &Into = Groups[Row->Group->Group];
    Into.Domain = Row->Domain;
    ++Into.Members;
    Into.Ends = Into.Ends || Row->Draining ||
                Row->Group->State == MemberState::Closing ||
                Row->Group->State == MemberState::Broken;
  }
  std::map<DomainId, GroupCounts> Counts;
  for (const auto &[Key, Row] : Groups)
    if (const ModelSpec *Model = Engine.model(modelOf(Key.Name));
        Model && !Row.Ends && Row.Members >= Model->GroupSize)
      ++Counts[Row.Domain][Model->Name];
  return Counts;
}

/// Tells \p View of the groups of all other domains of its service.
void countElsewhere(const std::vector<TargetRef> &Rows,
                    const EngineSpec &Engine, DomainView &View) {
  std::map<DomainId, DataCentreId> Centres;
  std::set<DataCentreId> All;
  for (const TargetRef &Row : Rows) {
    Centres[Row->Domain] = Row->DataCentre;
    All.insert(Row->DataCentre);
  }
  View.Centres = All.size();
  for (const auto &[Domain, Models] : formedGroups(Rows, Engine)) {
    if (Domain == View.Domain)
      continue;
    bool Near = Centres[Domain] == Centres[View.Domain];
    for (const auto &[Model, Count] : Models) {
      View.Elsewhere[Model] += Count;
      View.ElsewhereInCentre[Model] += Near ? Count : 0;
    }
  }
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
  for (auto &[Domain, View] : Views) {
    const std::set<DomainId> &Order = Domains[View.Service];
    View.Turn = static_cast<std::size_t>(
        std::distance(Order.begin(), Order.find(Domain)));
    const EngineSpec &Engine = *Config.service(View.Service)->Engine;
    View.LoadTurns = loadTurns(All[View.Service], Engine);
    countElsewhere(All[View.Service], Engine, View);
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
