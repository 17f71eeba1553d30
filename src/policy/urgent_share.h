// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace waycove {

/// Which part of the requests for one model goes first at its targets. While a
/// model has too few groups, requests served in the order of their arrival are
/// all a little late; where a part of them goes behind the others, the others
/// are in time, and those behind still get their answers, late. The part
/// shrinks with each urgent request that misses its objective and grows with
/// each that keeps it, so it settles where few urgent ones miss it, and is all
/// of them while there is capacity.
class UrgentShare {
public:
  /// One urgent request kept its objective, or missed it.
  void note(bool InTime);
  /// Whether the request with these uniform bits is among the urgent.
  bool takes(std::uint64_t Random) const;
  double part() const { return this->Part; }

private:
  /// A miss weighs as much as nine requests in time: the part settles where one
  /// urgent request in ten misses its objective.
  static constexpr double Shrink = 0.09;
  static constexpr double Grow = 0.01;
  /// Some go first whatever happens, so that it shows when that is enough.
  static constexpr double Least = 0.2;

  double Part = 1;
};

/// By model.
using UrgentShares = std::map<std::string, UrgentShare>;

} // namespace waycove
