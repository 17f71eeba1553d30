// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/domain_step.h"

#include <algorithm>

namespace waycove {

namespace {

/// Allows for loads that share the store's bandwidth.
constexpr int FormTimeFactor = 3;
constexpr Millis FormSlack(3000);
/// Assumed fraction of the time for which a data centre is partitioned from the
/// others. Meanwhile, one without any group of a model loses all of that
/// model's callers.
constexpr double PartitionProbability = 0.05;

} // namespace

std::vector<const ModelSpec *> modelsLargestFirst(const EngineSpec &Engine) {
  std::vector<const ModelSpec *> Models;
  for (const ModelSpec &Model : Engine.Models)
    Models.push_back(&Model);
  std::stable_sort(Models.begin(), Models.end(),
                   [](const ModelSpec *Left, const ModelSpec *Right) {
                     return Left->GroupSize > Right->GroupSize;
                   });
  return Models;
}

Millis formTimeout(Millis LoadTime) {
  return LoadTime * FormTimeFactor + FormSlack;
}

GroupCounts DomainPlanner::Step::ownGroups() const {
  GroupCounts Own;
  for (const auto &[Model, Count] : this->OwnCounts)
    Own[Model] = Count;
  return Own;
}

double DomainPlanner::Step::lossOf(const GroupCounts &Own) const {
  return this->lossWith(this->View.OtherGroups, Own);
}

double DomainPlanner::Step::loadOf(const ModelSpec &Model,
                                   const GroupCounts &Own) const {
  auto Requested = this->Demand.find(Model.Name);
  auto Here = Own.find(Model.Name);
  auto There = this->View.OtherGroups.find(Model.Name);
  double Groups = (Here == Own.end() ? 0 : Here->second) +
                  (There == this->View.OtherGroups.end() ? 0 : There->second);
  return Requested == this->Demand.end()
             ? 0
             : groupLoad(this->Engine, Model, Requested->second, Groups);
}

double DomainPlanner::Step::gainOf(const ModelSpec &Model,
                                   const GroupCounts &Own) const {
  auto Requested = this->Demand.find(Model.Name);
  if (Requested == this->Demand.end())
    return 0;
  auto Count = [&](const GroupCounts &Groups) {
    auto At = Groups.find(Model.Name);
    return At == Groups.end() ? 0.0 : At->second;
  };
  double Has = Count(Own) + Count(this->View.OtherGroups);
  double Gain = modelLoss(this->Engine, Model, Requested->second, Has) -
                modelLoss(this->Engine, Model, Requested->second, Has + 1);
  if (Count(Own) + Count(this->View.OtherGroupsInCentre) < 1)
    Gain += this->cutOffLoss(Requested->second);
  return Gain;
}

/// Expected loss of a model's callers in this data centre if it has no group
/// there.
double DomainPlanner::Step::cutOffLoss(const ModelDemand &Requested) const {
  if (this->View.CentreCount < 2)
    return 0;
  return PartitionProbability * Requested.weightedTokens() /
         static_cast<double>(this->View.CentreCount);
}

double DomainPlanner::Step::lossAfterTrades(const GroupCounts &Own) const {
  GroupCounts OtherGroups = this->View.OtherGroups;
  for (const auto &[Model, Change] : this->View.EarlierTrades)
    OtherGroups[Model] = std::max(0.0, OtherGroups[Model] + Change);
  return this->lossWith(OtherGroups, Own);
}

double DomainPlanner::Step::lossWith(const GroupCounts &OtherGroups,
                                     const GroupCounts &Own) const {
  GroupCounts All = OtherGroups;
  GroupCounts Centre = this->View.OtherGroupsInCentre;
  for (const auto &[Model, Count] : Own) {
    All[Model] += Count;
    Centre[Model] += Count;
  }
  double Loss = serviceLoss(this->Engine, this->Demand, All);
  for (const auto &[Model, Requested] : this->Demand)
    if (Centre[Model] < 1)
      Loss += this->cutOffLoss(Requested);
  return Loss;
}

bool DomainPlanner::Step::anyServes() const {
  return std::any_of(this->Engine.Models.begin(), this->Engine.Models.end(),
                     [&](const ModelSpec &Model) {
                       return this->View.ServingGroups.contains(Model.Name);
                     });
}

bool DomainPlanner::Step::isUsable(const TargetInfo &Target) const {
  return !Target.Draining &&
         !this->View.PresumedDead.contains(Target.incarnation());
}

bool DomainPlanner::Step::isShort(const ModelSpec &Model) const {
  auto Index = static_cast<std::size_t>(&Model - this->Engine.Models.data());
  auto At = this->OwnCounts.find(Model.Name);
  return (At == this->OwnCounts.end() ? 0 : At->second) < this->Wanted[Index];
}

bool DomainPlanner::Step::loadsBeforeForming() const {
  return this->Engine.ModelsStagedPerHost > 0 &&
         this->View.LoadsAllowed < UnlimitedLoads;
}

std::vector<TargetRef> DomainPlanner::Step::freeVms() const {
  std::vector<TargetRef> Free;
  for (const TargetRef &Target : this->View.Targets)
    if (this->isUsable(*Target) && !this->Busy.contains(Target->incarnation()))
      Free.push_back(Target);
  return Free;
}

void DomainPlanner::Step::markBusy(const AnnouncedGroup &Group) {
  for (const auto &[Rank, Vm] : Group.Ranks)
    this->Busy.insert(Vm->incarnation());
}

} // namespace waycove
