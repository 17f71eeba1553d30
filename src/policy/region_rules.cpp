// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/region_rules.h"

namespace waycove {

bool mayRunAt(const HttpRoute &Route, const KeyOwner *Owner,
              const std::map<DataCentreId, RegionId> &Regions,
              const DataCentreId &Centre) {
  if (!isRegional(Route, Owner))
    return true;
  auto At = Regions.find(Centre);
  return mayRunIn(Route, Owner, At == Regions.end() ? RegionId() : At->second);
}

} // namespace waycove
