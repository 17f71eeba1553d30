// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <chrono>
#include <map>

namespace waycove {

/// Judges the start times that registry entries state, any of which may be of
/// another writer than the target that it names. A start time of zero is one
/// that is not stated. Used by one thread.
class StartTimes {
public:
  /// How far ahead of this node's clock a start may be. Clocks of VMs differ by
  /// seconds; the rest is for one that is set to another time zone's hour.
  static constexpr std::chrono::hours MaxAhead{1};

  /// Whether a target can have started then, at \p Now by this node's clock.
  static bool isPlausible(WallMs StartedAt, WallMs Now);

  /// Counts the newest valid entry of \p Id.
  void onEntry(const VmId &Id, WallMs StartedAt);
  /// \p Id has no valid entry any more.
  void onGone(const VmId &Id);
  /// All entries are about to be counted anew.
  void clear();

  /// Whether targets state their start, so that an entry without one is of
  /// another writer: at least as many entries state one as do not. One entry
  /// does not decide for all others.
  bool areStated() const;

private:
  /// Whether the entry states a start, by id.
  std::map<VmId, bool> Entries;
  std::size_t Stated = 0;
};

} // namespace waycove
