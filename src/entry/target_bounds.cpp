// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/target_bounds.h"

#include "entry/registry_age.h"

#include <algorithm>

namespace waycove {

void TargetBounds::avoidClosed(const RelayRequest &Request,
                               const std::vector<ServingTarget> &Targets,
                               TimePoint Now, std::vector<VmId> &Avoid) {
  this->Board.TargetPauses.read([&](const StatedPauses &Pauses) {
    if (!Pauses.any())
      return;
    for (const ServingTarget &To : Targets)
      if (Pauses.of(To.Target->incarnation(), Now).any())
        Avoid.push_back(To.Target->Id);
  });
  std::vector<BoundedTarget> Bounded =
      this->boundedTargets(Request, Targets, Now);
  if (Bounded.empty())
    return;
  this->Board.TargetRates.write([&](TargetRateLimiter &Limits) {
    for (const BoundedTarget &To : Bounded)
      if (!Limits.allows(To, Now))
        Avoid.push_back(To.Target.Id);
  });
}

RateUse TargetBounds::take(const RelayRequest &Request, const ServingTarget &To,
                           TimePoint Now) {
  std::vector<BoundedTarget> Bounded = this->boundedTargets(Request, {To}, Now);
  if (Bounded.empty())
    return RateUse::Unbounded;
  bool IsTaken = this->Board.TargetRates.write([&](TargetRateLimiter &Limits) {
    return Limits.take(Bounded.front(), Now);
  });
  return IsTaken ? RateUse::Counted : RateUse::Exhausted;
}

bool TargetBounds::isPaused(const ServingTarget &To, TimePoint Now) const {
  return this->pauseOf(To, Now).any();
}

Millis TargetBounds::waitFor(const RelayRequest &Request,
                             const ServingTarget &To, TimePoint Now) {
  StatedPause Pause = this->pauseOf(To, Now);
  if (Pause.Leaves)
    return Millis(0);
  Millis Wait = Pause.RestLeft;
  for (const BoundedTarget &Bounded : this->boundedTargets(Request, {To}, Now))
    Wait = std::max(
        Wait, this->Board.TargetRates.write([&](TargetRateLimiter &Limits) {
          return Limits.expectedWait(Bounded, Now);
        }));
  return Wait;
}

StatedPause TargetBounds::pauseOf(const ServingTarget &To,
                                  TimePoint Now) const {
  return this->Board.TargetPauses.read([&](const StatedPauses &Pauses) {
    return Pauses.of(To.Target->incarnation(), Now);
  });
}

std::vector<BoundedTarget>
TargetBounds::boundedTargets(const RelayRequest &Request,
                             const std::vector<ServingTarget> &Targets,
                             TimePoint Now) const {
  const ServiceSpec *Spec = Request.Config->service(Request.Service);
  bool HasCurrentNodes =
      !isRegistryStale(this->Board, this->Board.RegistryProvenAt.get(), Now);
  std::vector<BoundedTarget> Bounded;
  this->Board.TargetLimits.read([&](const StatedLimits &Known) {
    for (const ServingTarget &To : Targets) {
      RateBounds Bounds;
      if (Spec && Now < To.ColdUntil)
        Bounds.Cold = RequestRate{Spec->ColdRate};
      if (Known.any())
        Bounds.Stated = Known.of(hashOf(To.Target->incarnation()));
      if (Bounds.any())
        Bounded.push_back({To.Target->incarnation(), Bounds, nullptr,
                           this->Board.Config.Node, HasCurrentNodes});
    }
  });
  if (Bounded.empty())
    return Bounded;
  NodeRankingRef Nodes = this->Board.nodes();
  for (BoundedTarget &To : Bounded)
    To.Nodes = Nodes;
  return Bounded;
}

} // namespace waycove
