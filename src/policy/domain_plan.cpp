// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// The frame of a planning step: what the VMs announce, when planning may begin,
// and which orders may be given again.

#include "policy/domain_step.h"

#include <algorithm>

namespace waycove {

namespace {

/// The registry lists a domain's VMs one after the other at the start: plan
/// when none came for this time.
constexpr Millis SettleTime(700);
/// Before the same order is given to the same group again.
constexpr Millis RepeatTime(1200);

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
  for (const ModelSpec *Row : Order)
    OneOfEach += Row->GroupSize;
  if (OneOfEach > Vms && !Order.empty())
    std::rotate(Order.begin(),
                Order.begin() +
                    static_cast<std::ptrdiff_t>(DomainIndex % Order.size()),
                Order.end());
  std::size_t Free = Vms;
  for (bool Any = true; Any;) {
    Any = false;
    for (const ModelSpec *Row : Order)
      if (Row->GroupSize > 0 && Free >= Row->GroupSize) {
        Free -= Row->GroupSize;
        ++Counts[static_cast<std::size_t>(Row - Engine.Models.data())];
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
  for (const auto &[Key, Row] : S.Groups)
    this->reviewGroup(S, Key, Row);
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

bool DomainPlanner::isSettled(const DomainView &View) {
  bool Formed =
      std::any_of(View.Targets.begin(), View.Targets.end(),
                  [](const TargetRef &Row) { return Row->Group.has_value(); });
  if (this->Started || Formed)
    return this->Started = true;
  if (View.Targets.size() != this->SeenTargetCount) {
    this->SeenTargetCount = View.Targets.size();
    this->TargetsChangedAt = View.Now;
  }
  this->Started = this->SeenTargetCount > 0 &&
                  View.Now - this->TargetsChangedAt > SettleTime;
  return this->Started;
}

void DomainPlanner::collect(Step &S) {
  for (const TargetRef &Row : S.View.Targets) {
    if (!Row->Group || S.View.PresumedDead.contains(Row->incarnation()))
      continue;
    AnnouncedGroup &Into = S.Groups[Row->Group->Group];
    Into.Ranks[Row->Group->Rank] = Row;
    if (Row->Group->Rank == 0)
      Into.Head = Row;
    Into.AnyDraining = Into.AnyDraining || Row->Draining;
    Into.AllReady = Into.AllReady && Row->Group->State == MemberState::Ready;
  }
}

void DomainPlanner::addOrder(Step &S, OrderKind Kind, const TargetRef &To,
                             const GroupKey &Group, const std::string &Reason,
                             const std::string &Model) {
  TimePoint &Last = this->LastOrderAt[{Group, Kind, To->incarnation()}];
  if (Last != TimePoint() && S.View.Now - Last < RepeatTime)
    return;
  Last = S.View.Now;
  S.Orders.push_back({Kind, To, Group, Model, {}, Reason});
}

} // namespace waycove
