// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"
#include "policy/target_statement.h"

#include <functional>
#include <map>
#include <optional>

namespace waycove {

/// Why a target wants no requests now.
struct StatedPause {
  bool Leaves = false;
  /// How much longer it rests; zero if it does not.
  Millis RestLeft{0};

  bool any() const { return this->Leaves || this->RestLeft > Millis(0); }
};

/// Targets that want no requests of this node, as they state in their
/// responses: those that leave, for good, and those that turned a request away
/// and asked for rest, until its end. Both hold for the process that stated it,
/// and a rest holds for this node alone, so nothing is told to other nodes, and
/// nothing outlasts a restart of the target. Not thread-safe.
class StatedPauses {
public:
  /// What a response has changed.
  struct Changes {
    bool Leaves = false;
    /// It rests, or longer than before.
    bool Rests = false;
  };

  /// Applies a response of \p Target.
  Changes onResponse(const VmIncarnation &Target,
                     const TargetStatement &Statement, TimePoint Now);
  StatedPause of(const VmIncarnation &Target, TimePoint Now) const;
  /// Whether any target may have to be left alone.
  bool any() const { return !this->RestUntil.empty() || !this->Left.empty(); }
  /// Drops targets that have rested, and those that left if \p IsListed returns
  /// false.
  void forget(const std::function<bool(const VmIncarnation &)> &IsListed,
              TimePoint Now);

  /// A longer rest counts as this one. A target that wants none for good
  /// leaves.
  static constexpr Millis MaxRest{3'600'000};

private:
  /// The registry may drop a target's entry and list it again within this time.
  static constexpr Millis UnlistedRetention{600'000};

  std::map<VmIncarnation, TimePoint> RestUntil;
  /// Targets that leave, and when they were last seen to be listed.
  std::map<VmIncarnation, TimePoint> Left;
};

} // namespace waycove
