// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/place_limit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace waycove {

namespace {

/// Largest factor on the share while requests wait and places are free, e.g.
/// those of nodes that died and are still listed. Bounds how far the targets'
/// queues fill when parts of the fleet do not know of each other.
constexpr double MaxFill = 2;
/// Least utilization that the limit accounts for; below it, no node waits.
constexpr double MinUtilization = 0.05;
/// Rounds of reports in which requests wait before a pool counts as
/// overloaded, so that single clusters of arrivals do not.
constexpr unsigned OverloadRounds = 2;
/// Utilization below which an overload has ended.
constexpr double RelievedUtilization = 0.9;
/// Resolution of a target's offset.
constexpr std::uint64_t OffsetScale = 1 << 20;

/// Returns the factor on a node's share. While places are free, it grows faster
/// than their number, since arrivals at one node cluster at random.
double fillFactor(const PoolLoad &Load) {
  double Utilization = std::max(Load.utilization(), MinUtilization);
  if (Utilization < 1)
    return 1 / (Utilization * Utilization * Utilization);
  double Running = (Load.Own.InFlight + Load.Others.InFlight) / Load.Places;
  return std::clamp(1 / std::max(Running, MinUtilization), 1.0, MaxFill);
}

/// Differs between targets, so that a node with a part below one place has
/// places at some of them.
double offsetOf(TargetHash Target) {
  return static_cast<double>(mixHash(Target.Value, 0) % OffsetScale) /
         OffsetScale;
}

} // namespace

std::size_t PlaceShare::placesAt(TargetHash Target, unsigned Slots) const {
  double First = this->Begin * Slots + offsetOf(Target);
  double Last = First + this->Fraction * Slots;
  double Count = std::floor(Last) - std::floor(First);
  return std::min<std::size_t>(static_cast<std::size_t>(Count), Slots);
}

double arrivalShare(const PoolLoad &Load) {
  auto Known = static_cast<double>(Load.KnownNodes);
  double Reporting = 1.0 + Load.Others.Nodes;
  double Seen = Load.Own.Arrivals + Load.Others.Arrivals;
  if (!Load.ReportAge || Seen <= 0)
    return 1 / Known;
  double Missing = std::max(Known - Reporting, 0.0);
  double All = Seen + Missing * Seen / Reporting;
  return std::clamp(Load.Own.Arrivals / All, 0.0, 1.0);
}

std::optional<PlaceShare> placeShare(const PoolLoad &Load) {
  if (Load.Places <= 0)
    return std::nullopt;
  return PlaceShare{arrivalShare(Load) * fillFactor(Load),
                    static_cast<double>(Load.NodeIndex) /
                        static_cast<double>(Load.KnownNodes)};
}

std::size_t placeLimit(const PoolLoad &Load, const PlaceShare &Share) {
  std::size_t Sum = 0;
  for (const PlaceOffer &Offer : Load.Offers)
    Sum += Share.placesAt(Offer.Target, Offer.Slots);
  return std::max<std::size_t>(Sum, 1);
}

std::vector<OverloadMonitor::Change>
OverloadMonitor::update(const PoolLoads &Loads) {
  std::erase_if(this->Pools, [&](const auto &Entry) {
    return !Loads.contains(Entry.first);
  });
  std::vector<Change> Changes;
  for (const auto &[Pool, Load] : Loads) {
    State &Known = this->Pools[Pool];
    double Utilization = Load.utilization();
    bool IsCrowded =
        Utilization > 1 && Load.Own.Waiting + Load.Others.Waiting > 0;
    Known.CrowdedRounds = IsCrowded ? Known.CrowdedRounds + 1 : 0;
    bool IsOverloaded = Known.IsOverloaded
                            ? Utilization >= RelievedUtilization
                            : Known.CrowdedRounds >= OverloadRounds;
    if (std::exchange(Known.IsOverloaded, IsOverloaded) != IsOverloaded)
      Changes.push_back({Pool, IsOverloaded, Load});
  }
  return Changes;
}

bool OverloadMonitor::isOverloaded(const PoolKey &Pool) const {
  auto At = this->Pools.find(Pool);
  return At != this->Pools.end() && At->second.IsOverloaded;
}

} // namespace waycove
