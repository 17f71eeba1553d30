// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/pool_report.h"

#include <cmath>

namespace waycove {

void PoolReport::add(const PoolReport &Other) {
  this->Arrivals += Other.Arrivals;
  this->InFlight += Other.InFlight;
  this->Waiting += Other.Waiting;
  this->Nodes += Other.Nodes;
}

bool PoolReport::isValid() const {
  for (double Number : {this->Arrivals, this->InFlight, this->Waiting})
    if (!std::isfinite(Number) || Number < 0)
      return false;
  return true;
}

} // namespace waycove
