// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"
#include "policy/group_load.h"

namespace waycove {

/// Which part of a model's requests goes first at its targets, by service and
/// model. While callers ask for more than a model's groups serve, all requests
/// wait behind the same queue and all are late. Where as many as can be in time
/// go first and the rest behind, the first are in time, and those behind are as
/// late as they would be, or are served where others come late.
///
/// The part follows from what callers ask over all nodes and from the groups
/// that serve, not from answers: where slots are free nothing waits, and a rank
/// changes nothing.
class UrgentShares {
public:
  /// What goes first of \p Model's requests, 0 to 1.
  double part(const ServiceId &Service, const std::string &Model) const;
  /// Whether the request with these uniform bits is among those.
  bool takes(const ServiceId &Service, const std::string &Model,
             std::uint64_t Random) const;
  /// Works the parts out anew from what all nodes counted. The models whose
  /// part came below one, or is one again.
  std::vector<std::string> update(const RoutingConfig &Config,
                                  const ServingView &View,
                                  const DemandTable &Counted,
                                  double CountedPart);

private:
  /// Up to this load groups serve their requests in time; so much of them goes
  /// first. In virtual time, at a load of 1.2: without ranks 2 in 100 first
  /// events came within 300 ms, with this part 76.
  static constexpr double MostUrgentLoad = 0.8;
  /// Some go first however little is left.
  static constexpr double LeastPart = 0.2;

  std::map<std::pair<ServiceId, std::string>, double> Parts;
};

} // namespace waycove
