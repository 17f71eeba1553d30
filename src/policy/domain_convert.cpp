// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Changing the model that VMs serve, where what callers ask for has shifted. A
// whole group, or as many small ones as a large one needs, closes; its VMs load
// the other model's weights, each alone, and form groups of it. The pattern
// that this answers: four of five requests ask the model of half of the VMs,
// whose slots are full, while groups of the other model are a third full.
//
// All owners see the same registry and the same demand. One domain at a time
// begins, the one with the most groups to give up, and nobody while a group is
// closing anywhere or was a moment ago, so that each decision counts the one
// before it.

#include "policy/domain_step.h"

#include <algorithm>

namespace waycove {

namespace {

/// A change has to save this part of what callers lose: VMs serve nobody for a
/// load of 12 s and more, and the demand waves. A fifth more or less of all
/// requests leaves the ratio of losses as it is; of one model's alone it
/// changes the loss by a factor of six.
constexpr double MinConversionGain = 0.5;
/// A model gets VMs of others only where its groups are loaded by so much, for
/// so long: below, no answer is late but by chance. Twelve groups at 0.74 kept
/// every objective, with eight at 1.1 half were late.
constexpr double BusyLoad = 0.78;
/// While the weights load, callers may lose this much more than before.
constexpr double MaxInterimLoss = 1.5;
/// After a group was seen to close: that it is gone shows in each owner's view
/// 0.6 s later, that its VMs load about as long after that.
constexpr Millis ConvertPause{2000};
/// Of the load time, until VMs are used for whatever else is best.
constexpr int ReservationTimeFactor = 3;

std::size_t ceilOf(std::size_t Whole, std::size_t Part) {
  return (Whole + Part - 1) / Part;
}

} // namespace

/// Forgets earmarks of VMs that have their weights, went, or took too long.
void DomainPlanner::expireReservations(const Step &S) {
  std::erase_if(this->Reservations, [&](const auto &Entry) {
    const auto &[Life, Row] = Entry;
    if (S.View.Now > Row.Until)
      return true;
    return std::none_of(S.View.Targets.begin(), S.View.Targets.end(),
                        [&, Life = Life, &Row = Row](const TargetRef &Vm) {
                          return Vm->incarnation() == Life && S.isUsable(*Vm) &&
                                 !Vm->hasLoaded(Row.Model);
                        });
  });
}

/// Whether the VM is to load another model than \p Model.
bool DomainPlanner::isReservedForOther(const TargetInfo &Vm,
                                       const ModelSpec &Model) const {
  auto At = this->Reservations.find(Vm.incarnation());
  return At != this->Reservations.end() && At->second.Model != Model.Name;
}

void DomainPlanner::convertGroups(Step &S) {
  if (S.View.AnyGroupClosing)
    this->LastClosingAt = S.View.Now;
  this->loadReserved(S);
  if (!this->mayConvert(S))
    return;
  Conversion Next = this->bestConversion(S);
  if (!Next.To)
    return;
  auto Groups = this->openGroups(S, *Next.From);
  Groups.resize(Next.Closed);
  TimePoint Until = S.View.Now + Next.To->LoadTime * ReservationTimeFactor;
  for (const auto *Entry : Groups) {
    const auto &[Key, Row] = *Entry;
    this->AbandonedGroups.insert(Key);
    this->addOrder(S, OrderKind::Close, Row.Head, Key,
                   "its VMs are to serve " + Next.To->Name);
    for (const auto &[Rank, Vm] : Row.Ranks)
      this->Reservations[Vm->incarnation()] = {Next.To->Name, Until};
  }
  this->LastClosingAt = S.View.Now;
}

/// Whether all is quiet enough for a change: nothing forms here, no change is
/// under way, no group was closing lately, and loads are to be had.
bool DomainPlanner::mayConvert(const Step &S) const {
  bool Loads = S.Engine.ModelsStagedPerHost > 0 && S.RemainingSpareLoads > 0 &&
               S.View.LoadsAllowed < UnlimitedLoads;
  return Loads && this->Reservations.empty() && this->Pending.empty() &&
         S.View.Now - this->LastClosingAt >= ConvertPause;
}

/// Groups of \p Model that serve and may be closed.
std::vector<const std::pair<const GroupKey, DomainPlanner::AnnouncedGroup> *>
DomainPlanner::openGroups(const Step &S, const ModelSpec &Model) const {
  std::vector<const std::pair<const GroupKey, AnnouncedGroup> *> Open;
  for (const auto &Entry : S.Groups) {
    const auto &[Key, Row] = Entry;
    if (Row.Head && Row.Head->Group->State == MemberState::Open &&
        !Row.AnyDraining && modelOf(Key.Name) == Model.Name &&
        Row.Ranks.size() == Model.GroupSize &&
        !this->AbandonedGroups.contains(Key) && !isLoadGroup(Key.Name))
      Open.push_back(&Entry);
  }
  return Open;
}

/// The change with which callers lose least, by far less than now; no models
/// where there is none.
DomainPlanner::Conversion DomainPlanner::bestConversion(const Step &S) const {
  Conversion Best;
  GroupCounts Now = S.ownGroups();
  double Loss = S.lossOf(Now);
  Best.LossAfter = (1 - MinConversionGain) * Loss;
  for (const ModelSpec &From : S.Engine.Models) {
    if (!S.View.ReleasableModels.contains(From.Name))
      continue;
    std::size_t Open = this->openGroups(S, From).size();
    for (const ModelSpec &To : S.Engine.Models) {
      std::size_t Closed = ceilOf(To.GroupSize, From.GroupSize);
      if (&To == &From || Open < Closed || S.loadOf(To, Now) < BusyLoad)
        continue;
      GroupCounts Meanwhile = Now;
      Meanwhile[From.Name] -= static_cast<double>(Closed);
      GroupCounts After = Meanwhile;
      std::size_t Formed = Closed * From.GroupSize / To.GroupSize;
      After[To.Name] += static_cast<double>(Formed);
      double LossAfter = S.lossOf(After);
      if (LossAfter >= Best.LossAfter ||
          S.lossOf(Meanwhile) > MaxInterimLoss * Loss)
        continue;
      Best = {&From, &To, Closed, LossAfter};
    }
  }
  return Best;
}

/// Has VMs whose group gave way load their weights, each in a group of its own,
/// in which all owners see that they do.
void DomainPlanner::loadReserved(Step &S) {
  for (const TargetRef &Vm : S.freeVms()) {
    auto At = this->Reservations.find(Vm->incarnation());
    if (At == this->Reservations.end() || S.RemainingSpareLoads == 0)
      continue;
    --S.RemainingSpareLoads;
    this->joinLoadGroup(S, Vm, *S.Engine.model(At->second.Model),
                        "its group gave way");
  }
}

} // namespace waycove
