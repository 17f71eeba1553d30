// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"
#include "policy/target_statement.h"

#include <map>
#include <optional>

namespace waycove {

/// Targets that want no requests of this node, as they state in their
/// responses: a target that turns a request away may ask for rest. That holds
/// for this node alone and for the process that stated it, so it is neither
/// told to other nodes nor outlasts a restart of the target. Not thread-safe.
class StatedPauses {
public:
  /// Applies a response of \p Target. Returns whether it is left alone for
  /// longer than before.
  bool onResponse(const VmIncarnation &Target, const TargetStatement &Statement,
                  TimePoint Now);
  /// Whether the target may be sent requests.
  bool allows(const VmIncarnation &Target, TimePoint Now) const;
  /// Returns how much longer the target rests; zero if it does not.
  Millis restLeft(const VmIncarnation &Target, TimePoint Now) const;
  /// Whether any target may have to be left alone.
  bool any() const { return !this->RestUntil.empty(); }
  /// Drops targets that have rested.
  void forget(TimePoint Now);

  /// A longer rest counts as this one. A target that wants none for good
  /// leaves the registry.
  static constexpr Millis MaxRest{3'600'000};

private:
  std::map<VmIncarnation, TimePoint> RestUntil;
};

} // namespace waycove
