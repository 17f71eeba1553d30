// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/evacuations.h"

namespace waycove {

bool Evacuations::begin(const DataCentreId &Centre) {
  bool Begins = this->Current.insert(Centre).second;
  this->Version += Begins ? 1 : 0;
  return Begins;
}

bool Evacuations::end(const DataCentreId &Centre, TimePoint Now) {
  if (this->Current.erase(Centre) == 0)
    return false;
  this->EndedAt[Centre] = Now;
  ++this->Version;
  return true;
}

std::optional<TimePoint>
Evacuations::endedAt(const DataCentreId &Centre) const {
  auto At = this->EndedAt.find(Centre);
  return At == this->EndedAt.end() ? std::nullopt
                                   : std::optional<TimePoint>(At->second);
}

} // namespace waycove
