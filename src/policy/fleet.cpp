// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/fleet.h"

#include <algorithm>

namespace waycove {

namespace {

/// Separator in group names, "MODEL,DOMAIN,EPOCH". Names of models and domains
/// do not contain it.
constexpr char NameSeparator = ',';
/// Suffix of the names of load groups.
constexpr std::string_view LoadSuffix = ",load";

bool contains(const std::vector<std::string> &Names, const std::string &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

/// The announced ranks of each group.
using RanksByGroup = std::map<GroupKey, std::set<unsigned>>;

/// Adds the target's rank, unless it is still joining or broken.
void addRank(const TargetInfo &Target, RanksByGroup &Ranks) {
  if (Target.Group && Target.Group->State != MemberState::Joining &&
      Target.Group->State != MemberState::Broken)
    Ranks[Target.Group->Group].insert(Target.Group->Rank);
}

/// Ranks announced in each group, including those of removed targets: a removed
/// member may only be cut off from the registry, and the group be complete. If
/// the member is dead, the head stalls, which requests and the group's owner
/// detect.
RanksByGroup announcedRanks(const Fleet &Current) {
  RanksByGroup Ranks;
  for (const auto &[Id, Target] : Current.Targets)
    addRank(*Target, Ranks);
  for (const auto &[Id, Removed] : Current.Removed)
    addRank(*Removed.Last, Ranks);
  return Ranks;
}

bool isServingHead(const TargetInfo &Target, const EngineSpec &Engine,
                   const RanksByGroup &Ranks) {
  if (!Target.Group || Target.Group->Rank != 0 ||
      Target.Group->State != MemberState::Open)
    return false;
  const ModelSpec *Model = Engine.model(modelOf(Target.Group->Group.Name));
  if (!Model)
    return false;
  auto Found = Ranks.find(Target.Group->Group);
  return Found != Ranks.end() && Found->second.size() == Model->GroupSize;
}

/// Until when the target counts as cold. It may have turned cold shortly before
/// an evacuation of its data centre ended, which it has not announced yet.
TimePoint coldUntil(const TargetInfo &Target, const ServiceSpec &Spec,
                    const Fleet &Current, const Evacuations &Evacuated) {
  if (Spec.ColdRate <= 0)
    return TimePoint();
  auto Announced = Current.ColdUntil.find(Target.Id);
  TimePoint Until =
      Announced == Current.ColdUntil.end() ? TimePoint() : Announced->second;
  if (std::optional<TimePoint> Ended = Evacuated.endedAt(Target.DataCentre))
    Until = std::max(Until, *Ended + Spec.ColdDuration);
  return Until;
}

/// Slots of a model engine belong to the engine, whichever VMs run it.
unsigned slotsOf(const ServiceSpec &Spec, const TargetInfo &Target) {
  return Spec.Engine && Spec.Engine->Slots > 0 ? Spec.Engine->Slots
                                               : Target.Slots;
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
                               const Fleet &Current,
                               const Evacuations &Evacuated) {
  auto View = std::make_shared<ServingView>();
  View->FleetVersion = Current.Version;
  View->Registry = Current.Registry;
  RanksByGroup Ranks = announcedRanks(Current);
  for (const auto &[Id, Target] : Current.Targets) {
    const ServiceSpec *Spec = Config.service(Target->Service);
    if (!Spec || Target->Draining || Evacuated.contains(Target->DataCentre))
      continue;
    bool IsRetained = Current.Retained.contains(Id);
    TimePoint Cold = coldUntil(*Target, *Spec, Current, Evacuated);
    if (!Spec->hasGroups())
      View->ByService[Target->Service].push_back(
          {Target, "", IsRetained, Cold, slotsOf(*Spec, *Target)});
    else if (isServingHead(*Target, *Spec->Engine, Ranks))
      View->ByService[Target->Service].push_back(
          {Target, modelOf(Target->Group->Group.Name), IsRetained, Cold,
           slotsOf(*Spec, *Target)});
  }
  return View;
}

} // namespace waycove
