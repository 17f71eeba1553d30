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

unsigned LoadBudget::left(const EngineSpec &Engine, TimePoint Now) {
  if (this->Board.Config.Entry->FirstStart && !this->Board.Requested)
    return FreeLoads;
  std::erase_if(this->Loads,
                [&](TimePoint At) { return Now - At > LoadWindow; });
  double Seconds = std::chrono::duration<double>(LoadWindow).count();
  double All = Engine.LoadsPerSecond * Seconds * this->Board.Share;
  unsigned Largest = 1;
  for (const ModelSpec &Row : Engine.Models)
    Largest = std::max(Largest, Row.GroupSize);
  auto Allowed = std::max(static_cast<std::size_t>(All),
                          static_cast<std::size_t>(Largest));
  return static_cast<unsigned>(Allowed - std::min(Allowed, this->Loads.size()));
}

void LoadBudget::count(const GroupOrder &Order, TimePoint Now) {
  bool Load =
      Order.Kind == OrderKind::Stage ||
      (Order.Kind == OrderKind::Join && !Order.To->hasLoaded(Order.Model) &&
       !Order.To->hasStaged(Order.Model));
  if (Load)
    this->Loads.push_back(Now);
}

} // namespace waycove
