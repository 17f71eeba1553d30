// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Forming groups of VMs that are free, and freeing VMs for the models that are
// short of groups.

#include "policy/domain_step.h"

#include <algorithm>

namespace waycove {

namespace {

/// A model is short of groups below this part of the best supplied one's, for
/// their parts of the work, and very short below the second.
constexpr double ScarcePart = 0.7;
constexpr double VeryScarcePart = 0.35;
/// A group is given up for a larger model only while its own model keeps this
/// part of the larger one's groups.
constexpr double KeptPart = 0.5;

/// 0 is best: the VM ran the model last, then its host has the weights.
int loadRank(const TargetInfo &Row, const std::string &Model) {
  if (Row.hasLoaded(Model))
    return 0;
  return Row.hasStaged(Model) ? 1 : 2;
}

std::size_t countWarm(const std::vector<TargetRef> &Free,
                      const ModelSpec &Model) {
  return static_cast<std::size_t>(
      std::count_if(Free.begin(), Free.end(), [&](const TargetRef &Row) {
        return loadRank(*Row, Model.Name) < 2;
      }));
}

} // namespace

void DomainPlanner::formMissing(Step &S) {
  auto Usable = static_cast<std::size_t>(
      std::count_if(S.View.Targets.begin(), S.View.Targets.end(),
                    [&](const TargetRef &Row) { return S.isUsable(*Row); }));
  S.Wanted = groupsFor(S.Engine, Usable, S.View.Turn);
  for (const ModelSpec *Model : largestFirst(S.Engine))
    while (S.lacks(*Model) && this->form(S, *Model))
      ++S.Have[Model->Name];
  // Hosts that are ready for another group than planned serve rather than
  // rest.
  const ModelSpec *Scarce = scarcest(S);
  for (const ModelSpec *Model : largestFirst(S.Engine))
    while (S.supply(*Scarce) >= ScarcePart * S.supply(*Model) &&
           countWarm(S.freeVms(), *Model) >= Model->GroupSize &&
           this->form(S, *Model))
      ++S.Have[Model->Name];
  this->formScarce(S);
}

/// The model that is short of groups, if enough VMs would rest to make one more
/// of it. One stays as a reserve, unless the model is very short.
const ModelSpec *DomainPlanner::shortOf(const Step &S) {
  const ModelSpec *Scarce = scarcest(S);
  if (!Scarce)
    return nullptr;
  double Most = 0;
  for (const ModelSpec &Row : S.Engine.Models)
    Most = std::max(Most, S.supply(Row));
  if (S.supply(*Scarce) >= ScarcePart * Most)
    return nullptr;
  std::size_t Reserve = S.supply(*Scarce) < VeryScarcePart * Most ? 0 : 1;
  bool Enough = S.freeVms().size() >= Scarce->GroupSize + Reserve;
  return Enough ? Scarce : nullptr;
}

/// Forms a group of a model that is short of them, with loads. Where weights
/// can be staged, that is done first: members that wait for one's load, which
/// takes many seconds, would serve nothing meanwhile.
void DomainPlanner::formScarce(Step &S) {
  if (S.Engine.ModelsStagedPerHost > 0)
    return;
  if (const ModelSpec *Scarce = shortOf(S))
    this->form(S, *Scarce);
}

/// Names a new group, above each epoch that was used or seen.
GroupKey DomainPlanner::nextKey(const Step &S, const ModelSpec &Model) {
  std::uint64_t Seen = S.View.EpochFloor;
  for (const TargetRef &Row : S.View.Targets)
    if (Row->Group)
      Seen = std::max(Seen, Row->Group->Group.Epoch);
  this->LastEpoch = std::max(this->LastEpoch, Seen) + 1;
  return {groupName(Model.Name, S.View.Domain, this->LastEpoch),
          this->LastEpoch};
}

/// Forms a group of \p Model of VMs that are free; false where it cannot.
bool DomainPlanner::form(Step &S, const ModelSpec &Model) {
  std::vector<TargetRef> Free = S.freeVms();
  std::size_t Warm = countWarm(Free, Model);
  if (Warm < Model.GroupSize && this->giveUpSmaller(S, Model, Warm))
    return false;
  if (Free.size() < Model.GroupSize)
    return false;
  if (Warm < Model.GroupSize && S.stagesFirst(Model))
    return false;
  std::stable_sort(Free.begin(), Free.end(),
                   [&](const TargetRef &Left, const TargetRef &Right) {
                     return loadRank(*Left, Model.Name) <
                            loadRank(*Right, Model.Name);
                   });
  Free.resize(Model.GroupSize);
  auto Cold = static_cast<unsigned>(Free.size() - countWarm(Free, Model));
  if (!S.takeLoads(Model, Cold))
    return false;
  this->orderJoins(S, Model, Free, Cold);
  return true;
}

/// Orders \p Members into a new group, of which \p Cold load from the store.
void DomainPlanner::orderJoins(Step &S, const ModelSpec &Model,
                               const std::vector<TargetRef> &Members,
                               unsigned Cold) {
  GroupKey Key = this->nextKey(S, Model);
  Forming Row{Model.Name,
              {},
              S.View.Now,
              formLimit(Cold ? Model.LoadTime : Model.StagedLoadTime)};
  for (const TargetRef &Vm : Members)
    Row.Members.push_back(Vm->Id);
  for (const TargetRef &Vm : Members) {
    S.Busy.insert(Vm->Id);
    S.Orders.push_back({OrderKind::Join, Vm, Key, Model.Name, Row.Members,
                        Cold ? "form, with loads" : "form"});
  }
  this->Pending.emplace(Key, std::move(Row));
}

/// Closes a group of a smaller model whose VMs make, with the \p Warm ones that
/// are free, a group of \p Model without loading weights. True where one is
/// closed, or still closing.
bool DomainPlanner::giveUpSmaller(Step &S, const ModelSpec &Model,
                                  std::size_t Warm) {
  const std::pair<const GroupKey, Announced> *Best = nullptr;
  for (const auto &Entry : S.Groups) {
    const auto &[Key, Row] = Entry;
    const ModelSpec *Other = S.Engine.model(modelOf(Key.Name));
    if (!Row.Head || !Other || Other->GroupSize >= Model.GroupSize ||
        this->HeadLeft.contains(Key))
      continue;
    auto Helps = static_cast<std::size_t>(
        std::count_if(Row.Ranks.begin(), Row.Ranks.end(), [&](const auto &R) {
          return S.isUsable(*R.second) && R.second->hasStaged(Model.Name);
        }));
    MemberState State = Row.Head->Group->State;
    if (State == MemberState::Open &&
        S.servingOf(*Other) - 1 < KeptPart * S.servingOf(Model))
      continue;
    if (Warm + Helps < Model.GroupSize)
      continue;
    if (State == MemberState::Closing && this->GivenUp.contains(Key))
      return true;
    if (State == MemberState::Open && !Best)
      Best = &Entry;
  }
  if (!Best)
    return false;
  const auto &[Key, Row] = *Best;
  this->GivenUp.insert(Key);
  this->order(S, OrderKind::Close, Row.Head, Key,
              "its VMs are needed for " + Model.Name);
  return true;
}

/// The model that has the fewest groups for its part of the work.
const ModelSpec *DomainPlanner::scarcest(const Step &S) {
  const ModelSpec *Best = nullptr;
  double Least = 0;
  for (const ModelSpec *Row : largestFirst(S.Engine)) {
    double Rate = S.supply(*Row);
    if (!Best || Rate < Least) {
      Best = Row;
      Least = Rate;
    }
  }
  return Best;
}

} // namespace waycove
