// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/load_budget.h"

#include <algorithm>

namespace waycove {

namespace {

/// Orders of loads count this long.
constexpr Millis LoadWindow{5000};

} // namespace

bool LoadBudget::isFree() const {
  return this->Board.Config.Entry->FirstStart && !this->Board.RequestSeen;
}

unsigned LoadBudget::allowed(unsigned Turns, const EngineSpec &Engine,
                             TimePoint Now) {
  if (this->isFree())
    return FreeLoads;
  std::erase_if(this->Loads,
                [&](TimePoint At) { return Now - At > LoadWindow; });
  double Seconds = std::chrono::duration<double>(LoadWindow).count();
  double OfAll = Engine.LoadsPerSecond * Seconds;
  // However small its part, an owner may begin all loads that run at full
  // speed, or half of what all may begin: few owners load at a time.
  double Least = std::min<double>(Engine.LoadsAtOnce, OfAll / 2);
  double Most = std::max(OfAll * this->Board.PartitionShare, Least);
  auto Begun = static_cast<double>(this->Loads.size());
  return std::min(Turns, static_cast<unsigned>(std::max(0.0, Most - Begun)));
}

void LoadBudget::count(const GroupOrder &Order, const EngineSpec &Engine,
                       TimePoint Now) {
  bool Loads =
      Order.Kind == OrderKind::Stage ||
      (Order.Kind == OrderKind::Join && !Order.To->hasLoaded(Order.Model) &&
       !Order.To->hasStaged(Order.Model));
  if (Loads && Engine.model(Order.Model))
    this->Loads.push_back(Now);
}

} // namespace waycove
