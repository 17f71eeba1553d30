// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/load_budget.h"

#include <algorithm>

namespace waycove {

namespace {

/// Orders of loads count this long.
constexpr Millis LoadWindow{5000};
/// An owner may load this many, however small its part: not all owners load at
/// a time, and a group mostly lacks one or two.
constexpr double LeastPart = 2;

} // namespace

bool LoadBudget::isFree() const {
  return this->Board.Config.Entry->FirstStart && !this->Board.Requested;
}

double LoadBudget::mayBegin(const EngineSpec &Engine, TimePoint Now) {
  std::erase_if(this->Loads, [&](const Load &Row) {
    return Now - Row.Begun > LoadWindow && Now > Row.Done;
  });
  auto Begun = static_cast<double>(std::count_if(
      this->Loads.begin(), this->Loads.end(),
      [&](const Load &Row) { return Now - Row.Begun <= LoadWindow; }));
  double Seconds = std::chrono::duration<double>(LoadWindow).count();
  double Most = Engine.LoadsPerSecond * Seconds * this->Board.Share;
  return std::max(0.0, std::max(Most, LeastPart) - Begun);
}

unsigned LoadBudget::turns(const EngineSpec &Engine, TimePoint Now) {
  if (this->isFree())
    return FreeLoads;
  return static_cast<unsigned>(this->mayBegin(Engine, Now));
}

unsigned LoadBudget::left(const EngineSpec &Engine, TimePoint Now) {
  if (this->isFree())
    return FreeLoads;
  double MayBegin = this->mayBegin(Engine, Now);
  auto Running = static_cast<double>(
      std::count_if(this->Loads.begin(), this->Loads.end(),
                    [&](const Load &Row) { return Now <= Row.Done; }));
  double MayRun = Engine.LoadsAtOnce * this->Board.Share;
  double Left = std::min(MayBegin, std::max(MayRun, LeastPart) - Running);
  return static_cast<unsigned>(std::max(0.0, Left));
}

void LoadBudget::count(const GroupOrder &Order, const EngineSpec &Engine,
                       TimePoint Now) {
  bool Loads =
      Order.Kind == OrderKind::Stage ||
      (Order.Kind == OrderKind::Join && !Order.To->hasLoaded(Order.Model) &&
       !Order.To->hasStaged(Order.Model));
  const ModelSpec *Model = Engine.model(Order.Model);
  if (Loads && Model)
    this->Loads.push_back({Now, Now + Model->LoadTime});
}

} // namespace waycove
