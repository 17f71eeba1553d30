// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/fleet.h"

#include <algorithm>

namespace waycove {

namespace {

/// Parts a group's name: "MODEL,DOMAIN,EPOCH". Models and domains hold none.
constexpr char NameSeparator = ',';
/// At the end of the name of a group that only loads weights.
constexpr std::string_view LoadSuffix = ",load";

bool contains(const std::vector<std::string> &Rows, const std::string &Name) {
  return std::find(Rows.begin(), Rows.end(), Name) != Rows.end();
}

/// The announced ranks of each group.
using RanksByGroup = std::map<GroupKey, std::set<unsigned>>;

void addRank(const TargetInfo &Row, RanksByGroup &Ranks) {
  if (Row.Group && Row.Group->State != MemberState::Joining &&
      Row.Group->State != MemberState::Broken)
    Ranks[Row.Group->Group].insert(Row.Group->Rank);
}

/// A member whose entry went may be cut off from the registry alone, and the
/// group whole. Where it is dead, the head stands still, which requests and
/// the group's owner notice.
RanksByGroup announcedRanks(const Fleet &Targets) {
  RanksByGroup Ranks;
  for (const auto &[Id, Row] : Targets.Targets)
    addRank(*Row, Ranks);
  for (const auto &[Id, Row] : Targets.Removed)
    addRank(*Row.Last, Ranks);
  return Ranks;
}

bool isServingHead(const TargetInfo &Row, const EngineSpec &Engine,
                   const RanksByGroup &Ranks) {
  if (!Row.Group || Row.Group->Rank != 0 ||
      Row.Group->State != MemberState::Open)
    return false;
  const ModelSpec *Model = Engine.model(modelOf(Row.Group->Group.Name));
  if (!Model)
    return false;
  auto At = Ranks.find(Row.Group->Group);
  return At != Ranks.end() && At->second.size() == Model->GroupSize;
}

} // namespace

bool TargetInfo::hasStaged(const std::string &Model) const {
  return contains(this->Staged, Model);
}

bool TargetInfo::hasLoaded(const std::string &Model) const {
  return contains(this->Loaded, Model);
}

std::string groupName(const std::string &Model, const DomainId &Domain,
                      std::uint64_t Epoch) {
  return Model + NameSeparator + Domain.Text + NameSeparator +
         std::to_string(Epoch);
}

std::string loadGroupName(const std::string &Model, const DomainId &Domain,
                          std::uint64_t Epoch) {
  return groupName(Model, Domain, Epoch) + std::string(LoadSuffix);
}

bool isLoadGroup(const std::string &GroupName) {
  return GroupName.ends_with(LoadSuffix);
}

std::string modelOf(const std::string &GroupName) {
  std::size_t End = GroupName.find(NameSeparator);
  return End == std::string::npos ? "" : GroupName.substr(0, End);
}

ServingViewRef makeServingView(const RoutingConfig &Config,
                               const Fleet &Targets) {
  auto View = std::make_shared<ServingView>();
  View->FleetVersion = Targets.Version;
  View->Registry = Targets.Registry;
  RanksByGroup Ranks = announcedRanks(Targets);
  for (const auto &[Id, Row] : Targets.Targets) {
    const ServiceSpec *Spec = Config.service(Row->Service);
    if (!Spec || Row->Draining)
      continue;
    bool Retained = Targets.Retained.contains(Id);
    if (!Spec->hasGroups())
      View->ByService[Row->Service].push_back({Row, "", Retained});
    else if (isServingHead(*Row, *Spec->Engine, Ranks))
      View->ByService[Row->Service].push_back(
          {Row, modelOf(Row->Group->Group.Name), Retained});
  }
  return View;
}

} // namespace waycove
