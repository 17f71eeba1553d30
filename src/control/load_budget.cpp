// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/load_budget.h"

#include <algorithm>

namespace waycove {

namespace {

/// Window over which the rate of loads is limited.
constexpr Millis LoadWindow{5000};

} // namespace

bool LoadBudget::isUnlimited() const {
  return this->Board.Config.Entry->FirstStart && !this->Board.RequestSeen;
}

unsigned LoadBudget::allowed(unsigned Scheduled, const EngineSpec &Engine,
                             TimePoint Now) {
  if (this->isUnlimited())
    return UnlimitedLoads;
  std::erase_if(this->LoadTimes,
                [&](TimePoint At) { return Now - At > LoadWindow; });
  double Seconds = std::chrono::duration<double>(LoadWindow).count();
  double TotalInWindow = Engine.LoadsPerSecond * Seconds;
  // Few owners load at the same time, so each may at least begin as many loads
  // as run at full speed, or half of the total.
  double Min = std::min<double>(Engine.LoadsAtOnce, TotalInWindow / 2);
  double Max = std::max(TotalInWindow * this->Board.PartitionShare, Min);
  auto Begun = static_cast<double>(this->LoadTimes.size());
  return std::min(Scheduled, static_cast<unsigned>(std::max(0.0, Max - Begun)));
}

void LoadBudget::recordOrder(const GroupOrder &Order, const EngineSpec &Engine,
                             TimePoint Now) {
  bool BeginsLoad =
      Order.Kind == OrderKind::Stage ||
      (Order.Kind == OrderKind::Join && !Order.To->hasLoaded(Order.Model) &&
       !Order.To->hasStaged(Order.Model));
  if (BeginsLoad && Engine.model(Order.Model))
    this->LoadTimes.push_back(Now);
}

} // namespace waycove
