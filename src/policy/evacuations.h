// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <map>
#include <optional>
#include <set>

namespace waycove {

/// The data centres that operators have evacuated. Targets there receive no
/// requests until the evacuation ends. They may have turned cold meanwhile, so
/// the end of the last evacuation is remembered. Not thread-safe.
class Evacuations {
public:
  /// Returns false if the data centre is already evacuated.
  bool begin(const DataCentreId &Centre);
  /// Returns false if the data centre is not evacuated.
  bool end(const DataCentreId &Centre, TimePoint Now);
  bool contains(const DataCentreId &Centre) const {
    return this->Current.contains(Centre);
  }
  const std::set<DataCentreId> &current() const { return this->Current; }
  /// Returns when the last evacuation of the data centre ended, if there was
  /// one.
  std::optional<TimePoint> endedAt(const DataCentreId &Centre) const;
  /// Incremented with each change.
  std::uint64_t version() const { return this->Version; }

private:
  std::set<DataCentreId> Current;
  std::map<DataCentreId, TimePoint> EndedAt;
  std::uint64_t Version = 0;
};

} // namespace waycove
