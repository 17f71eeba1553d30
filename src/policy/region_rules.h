// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/routing.h"

#include <map>

namespace waycove {

/// Whether a request on \p Route of \p Owner, null for none, may be processed
/// in data centre \p Centre. \p Regions are those of the data centres; one that
/// is not listed is in no region that a route or an owner names.
bool mayRunAt(const HttpRoute &Route, const KeyOwner *Owner,
              const std::map<DataCentreId, RegionId> &Regions,
              const DataCentreId &Centre);

} // namespace waycove
