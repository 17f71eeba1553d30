// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/pool_report.h"

#include <cmath>

namespace waycove {

namespace {

/// Far above what a fleet of any size has in flight; larger numbers are
/// damaged.
constexpr double MaxRequests = 1e8;
/// As MaxRequests, for nodes. Sums of valid reports do not overflow.
constexpr unsigned MaxNodes = 1000000;

} // namespace

void PoolReport::add(const PoolReport &Other) {
  this->Arrivals += Other.Arrivals;
  this->InFlight += Other.InFlight;
  this->Waiting += Other.Waiting;
  this->Nodes += Other.Nodes;
}

bool PoolReport::isValid() const {
  for (double Number : {this->Arrivals, this->InFlight, this->Waiting})
    if (!std::isfinite(Number) || Number < 0 || Number > MaxRequests)
      return false;
  return this->Nodes <= MaxNodes;
}

} // namespace waycove
