// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/stated_pauses.h"

#include <algorithm>

namespace waycove {

StatedPauses::Changes StatedPauses::onResponse(const VmIncarnation &Target,
                                               const TargetStatement &Statement,
                                               TimePoint Now) {
  Changes Found;
  if (Statement.Leaving)
    Found.Leaves = this->Left.try_emplace(Target, Now).second;
  if (Statement.Rest.value_or(Millis(0)) > Millis(0)) {
    TimePoint Until = Now + std::min(*Statement.Rest, MaxRest);
    TimePoint &Known =
        this->RestUntil.try_emplace(Target, TimePoint::min()).first->second;
    Found.Rests = Until > Known;
    Known = std::max(Known, Until);
  }
  return Found;
}

StatedPause StatedPauses::of(const VmIncarnation &Target, TimePoint Now) const {
  StatedPause Pause;
  Pause.Leaves = this->Left.contains(Target);
  auto At = this->RestUntil.find(Target);
  if (At != this->RestUntil.end() && At->second > Now)
    Pause.RestLeft = std::chrono::ceil<Millis>(At->second - Now);
  return Pause;
}

void StatedPauses::forget(
    const std::function<bool(const VmIncarnation &)> &IsListed, TimePoint Now) {
  std::erase_if(this->RestUntil,
                [&](const auto &Item) { return Item.second <= Now; });
  for (auto &[Target, SeenAt] : this->Left)
    if (IsListed(Target))
      SeenAt = Now;
  std::erase_if(this->Left, [&](const auto &Item) {
    return Now - Item.second >= UnlistedRetention;
  });
}

} // namespace waycove
