// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// The main sequence of a planning step, group counts, and repeated orders.

#include "policy/domain_step.h"

#include <algorithm>

namespace waycove {

namespace {

/// At the start the registry lists a domain's VMs one after the other; planning
/// begins when their number was stable for this time.
constexpr Millis SettleDuration(700);
/// Minimum interval between repetitions of an order.
constexpr Millis MinRepeatInterval(1200);

} // namespace

std::string_view orderName(OrderKind Kind) {
  switch (Kind) {
  case OrderKind::Join:
    return "join";
  case OrderKind::Open:
    return "open";
  case OrderKind::Close:
    return "close";
  case OrderKind::Leave:
    return "leave";
  case OrderKind::Stage:
    break;
  }
  return "stage";
}

std::vector<unsigned> planGroupCounts(const EngineSpec &Engine, std::size_t Vms,
                                      std::size_t DomainIndex) {
  std::vector<unsigned> Counts(Engine.Models.size(), 0);
  std::vector<const ModelSpec *> Order = modelsLargestFirst(Engine);
  std::size_t OneOfEach = 0;
  for (const ModelSpec *Model : Order)
    OneOfEach += Model->GroupSize;
  if (OneOfEach > Vms && !Order.empty())
    std::rotate(Order.begin(),
                Order.begin() +
                    static_cast<std::ptrdiff_t>(DomainIndex % Order.size()),
                Order.end());
  std::size_t Free = Vms;
  for (bool Any = true; Any;) {
    Any = false;
    for (const ModelSpec *Model : Order)
      if (Model->GroupSize > 0 && Free >= Model->GroupSize) {
        Free -= Model->GroupSize;
        ++Counts[static_cast<std::size_t>(Model - Engine.Models.data())];
        Any = true;
      }
  }
  return Counts;
}

std::vector<GroupOrder> DomainPlanner::step(const DomainView &View,
                                            const EngineSpec &Engine) {
  this->StatusQueries.clear();
  if (!this->isSettled(View))
    return {};
  Step S{View, Engine};
  unsigned Unseen = this->unseenLoads(S);
  S.RemainingLoads = View.LoadsAllowed - std::min(View.LoadsAllowed, Unseen);
  S.RemainingSpareLoads = View.SpareLoads - std::min(View.SpareLoads, Unseen);
  S.Demand = View.Demand.empty() ? expectedDemand(Engine) : View.Demand;
  collect(S);
  for (const auto &[Key, Group] : S.Groups)
    this->reviewGroup(S, Key, Group);
  this->dropStaleForming(S);
  this->trackWarmUps(S);
  this->expireReservations(S);
  this->formMissing(S);
  this->convertGroups(S);
  this->stageMissing(S);
  this->stageSpares(S);
  this->warmUpReserves(S);
  return std::move(S.Orders);
}

void DomainPlanner::onLeaveConfirmed(const GroupOrder &Order) {
  bool WasHead = Order.To->Group && Order.To->Group->Group == Order.Group &&
                 Order.To->Group->Rank == 0;
  if (WasHead)
    this->LeftGroups.insert(Order.Group);
  else
    this->LeftMembers.insert({Order.Group, Order.To->incarnation()});
}

/// Whether planning may begin: a group exists, or the number of listed targets
/// is stable.
bool DomainPlanner::isSettled(const DomainView &View) {
  bool AnyGroup = std::any_of(
      View.Targets.begin(), View.Targets.end(),
      [](const TargetRef &Target) { return Target->Group.has_value(); });
  if (this->Started || AnyGroup)
    return this->Started = true;
  if (View.Targets.size() != this->SeenTargetCount) {
    this->SeenTargetCount = View.Targets.size();
    this->TargetsChangedAt = View.Now;
  }
  this->Started = this->SeenTargetCount > 0 &&
                  View.Now - this->TargetsChangedAt > SettleDuration;
  return this->Started;
}

/// Collects the announced groups and their members.
void DomainPlanner::collect(Step &S) {
  for (const TargetRef &Target : S.View.Targets) {
    if (!Target->Group || S.View.PresumedDead.contains(Target->incarnation()))
      continue;
    AnnouncedGroup &Group = S.Groups[Target->Group->Group];
    Group.Ranks[Target->Group->Rank] = Target;
    if (Target->Group->Rank == 0)
      Group.Head = Target;
    Group.AnyDraining = Group.AnyDraining || Target->Draining;
    Group.AllReady =
        Group.AllReady && Target->Group->State == MemberState::Ready;
  }
}

void DomainPlanner::addOrder(Step &S, OrderKind Kind, const TargetRef &To,
                             const GroupKey &Group, const std::string &Reason,
                             const std::string &Model) {
  TimePoint &LastSent = this->LastOrderAt[{Group, Kind, To->incarnation()}];
  if (LastSent != TimePoint() && S.View.Now - LastSent < MinRepeatInterval)
    return;
  LastSent = S.View.Now;
  S.Orders.push_back({Kind, To, Group, Model, {}, Reason});
}

} // namespace waycove
