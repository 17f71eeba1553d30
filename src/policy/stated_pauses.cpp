// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/stated_pauses.h"

#include <algorithm>

namespace waycove {

bool StatedPauses::onResponse(const VmIncarnation &Target,
                              const TargetStatement &Statement, TimePoint Now) {
  if (!Statement.Rest || *Statement.Rest <= Millis(0))
    return false;
  TimePoint Until = Now + std::min(*Statement.Rest, MaxRest);
  auto [At, IsNew] = this->RestUntil.try_emplace(Target, Until);
  if (!IsNew && Until <= At->second)
    return false;
  At->second = Until;
  return true;
}

bool StatedPauses::allows(const VmIncarnation &Target, TimePoint Now) const {
  return this->restLeft(Target, Now) == Millis(0);
}

Millis StatedPauses::restLeft(const VmIncarnation &Target,
                              TimePoint Now) const {
  auto At = this->RestUntil.find(Target);
  if (At == this->RestUntil.end() || At->second <= Now)
    return Millis(0);
  return std::chrono::ceil<Millis>(At->second - Now);
}

void StatedPauses::forget(TimePoint Now) {
  std::erase_if(this->RestUntil,
                [&](const auto &Item) { return Item.second <= Now; });
}

} // namespace waycove
