// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"
#include "policy/target_stats.h"

#include <vector>

namespace waycove {

/// What one choice is about.
struct ChoiceQuery {
  /// Empty for plain services.
  std::string Model;
  DataCentreId Here;
  /// Targets of other data centres are as good: those of this one are busier.
  bool AnyDataCentre = false;
  /// Targets that this request was sent to before.
  std::vector<VmId> Avoid;
  TimePoint Now;
  /// What is known of the registry is older than the bound on leaving targets.
  bool RegistryStale = false;
  /// Uniform bits.
  std::uint64_t Random = 0;
};

/// The target with the least expected wait. A target in another data centre
/// and one that is under suspicion pay a penalty, so they are used where the
/// others are worse, or nothing else is left. One whose entry is missing is
/// used only where none is listed: so a node that wrongly takes the store for
/// away sends nothing to a target that has left. The same holds for one that
/// closes its connections, where the registry cannot say whether it leaves;
/// some close them for other reasons. Null where there is none.
const ServingTarget *chooseTarget(const std::vector<ServingTarget> &Rows,
                                  const TargetStatsTable &Stats,
                                  const ChoiceQuery &Query);

} // namespace waycove
