// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Conversion of groups to another model when the demand has shifted. A large
// group, or as many small ones as a large one needs, closes; its VMs load the
// other model's weights, each in a load group, and form groups of that model.
//
// All owners see the same registry and demand. Only the domain with the most
// groups to release converts, and none does while a group is closing anywhere
// or was until recently, so that each decision accounts for the one before.

#include "policy/domain_step.h"

#include <algorithm>

namespace waycove {

namespace {

/// Minimum reduction of the loss, as a fraction, for a conversion. High, since
/// converted VMs do not serve while they load, and so that ordinary
/// fluctuations of the demand do not cause conversions: a fifth more requests
/// of one model changes its loss by a factor of six.
constexpr double MinConversionGain = 0.5;
/// A model gets VMs of another one only if its groups have at least this load.
/// At less, responses are late only by chance.
constexpr double MinLoadToConvert = 0.78;
/// Maximum loss while the weights load, relative to the current loss.
constexpr double MaxInterimLossFactor = 1.5;
/// Minimum time since a group was last seen closing, until its end and the
/// following loads show in the registry: 0.6 s for the end, and about as long
/// again for the loads.
constexpr Millis MinConversionInterval{2000};
/// Reservations expire after this many load times.
constexpr int ReservationTimeFactor = 3;

std::size_t divideUp(std::size_t Dividend, std::size_t Divisor) {
  return (Dividend + Divisor - 1) / Divisor;
}

} // namespace

/// Drops reservations of VMs that loaded their weights, are no longer usable,
/// or took too long.
void DomainPlanner::expireReservations(const Step &S) {
  std::erase_if(this->Reservations, [&](const auto &Entry) {
    const auto &[Incarnation, Reserved] = Entry;
    if (S.View.Now > Reserved.Until)
      return true;
    return std::none_of(S.View.Targets.begin(), S.View.Targets.end(),
                        [&, Incarnation = Incarnation,
                         &Reserved = Reserved](const TargetRef &Vm) {
                          return Vm->incarnation() == Incarnation &&
                                 S.isUsable(*Vm) &&
                                 !Vm->hasLoaded(Reserved.Model);
                        });
  });
}

/// Whether the VM is reserved for a model other than \p Model.
bool DomainPlanner::isReservedForOther(const TargetInfo &Vm,
                                       const ModelSpec &Model) const {
  auto At = this->Reservations.find(Vm.incarnation());
  return At != this->Reservations.end() && At->second.Model != Model.Name;
}

/// Starts the best conversion, if any is allowed, and continues one in
/// progress.
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
    const auto &[Key, Group] = *Entry;
    this->AbandonedGroups.insert(Key);
    this->addOrder(S, OrderKind::Close, Group.Head, Key,
                   "its VMs are to serve " + Next.To->Name);
    for (const auto &[Rank, Vm] : Group.Ranks)
      this->Reservations[Vm->incarnation()] = {Next.To->Name, Until};
  }
  this->LastClosingAt = S.View.Now;
}

/// Whether a conversion may start: loads are available, no group is forming
/// here, no conversion is in progress, and no group was closing recently.
bool DomainPlanner::mayConvert(const Step &S) const {
  bool LoadsAvailable = S.Engine.ModelsStagedPerHost > 0 &&
                        S.RemainingSpareLoads > 0 &&
                        S.View.LoadsAllowed < UnlimitedLoads;
  return LoadsAvailable && this->Reservations.empty() &&
         this->FormingGroups.empty() &&
         S.View.Now - this->LastClosingAt >= MinConversionInterval;
}

/// Complete open groups of \p Model that may be closed.
std::vector<const std::pair<const GroupKey, DomainPlanner::AnnouncedGroup> *>
DomainPlanner::openGroups(const Step &S, const ModelSpec &Model) const {
  std::vector<const std::pair<const GroupKey, AnnouncedGroup> *> Open;
  for (const auto &Entry : S.Groups) {
    const auto &[Key, Group] = Entry;
    if (Group.Head && Group.Head->Group->State == MemberState::Open &&
        !Group.AnyDraining && modelOf(Key.Name) == Model.Name &&
        Group.Ranks.size() == Model.GroupSize &&
        !this->AbandonedGroups.contains(Key) && !isLoadGroup(Key.Name))
      Open.push_back(&Entry);
  }
  return Open;
}

/// The conversion with the lowest resulting loss that meets all limits; no
/// models if there is none.
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
      std::size_t Closed = divideUp(To.GroupSize, From.GroupSize);
      if (&To == &From || Open < Closed || S.loadOf(To, Now) < MinLoadToConvert)
        continue;
      GroupCounts Meanwhile = Now;
      Meanwhile[From.Name] -= static_cast<double>(Closed);
      GroupCounts After = Meanwhile;
      std::size_t Formed = Closed * From.GroupSize / To.GroupSize;
      After[To.Name] += static_cast<double>(Formed);
      double LossAfter = S.lossOf(After);
      if (LossAfter >= Best.LossAfter ||
          S.lossOf(Meanwhile) > MaxInterimLossFactor * Loss)
        continue;
      Best = {&From, &To, Closed, LossAfter};
    }
  }
  return Best;
}

/// Orders reserved VMs to load their weights, each in a load group, which makes
/// the load visible to all owners.
void DomainPlanner::loadReserved(Step &S) {
  for (const TargetRef &Vm : S.freeVms()) {
    auto At = this->Reservations.find(Vm->incarnation());
    if (At == this->Reservations.end() || S.RemainingSpareLoads == 0)
      continue;
    const ModelSpec *Model = S.Engine.model(At->second.Model);
    if (!Model) {
      this->Reservations.erase(At);
      continue;
    }
    --S.RemainingSpareLoads;
    this->joinLoadGroup(S, Vm, *Model, "its group was converted");
  }
}

} // namespace waycove
