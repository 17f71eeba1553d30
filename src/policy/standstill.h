// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <array>
#include <cstddef>
#include <optional>

namespace waycove {

/// A time in which this node did not run: its process was stopped, its machine
/// was suspended, or so busy that none of the node's threads ran.
struct Standstill {
  TimePoint Begin;
  TimePoint End;
};

/// How often a node that runs notes that it does.
constexpr Millis RunningInterval{50};

/// Returns the standstill before \p Now of a node that last noted at \p
/// LastNoted that it runs, if there was one. Shorter delays are ordinary
/// scheduling.
std::optional<Standstill> findStandstill(TimePoint LastNoted, TimePoint Now);

/// Returns how long another process may be silent, in time in which this node
/// runs, before a second attempt is made beside one that waits for it. The
/// caller sees the whole pause, of which \p StoodStill is this node's own;
/// after it, the other process gets a short time to show itself.
Millis patienceAfter(Millis StoodStill, Millis Patience);

/// The latest standstills of this node. While it stands still it reads nothing,
/// so that time must not count as another process's silence. Not thread-safe.
class StandstillHistory {
public:
  void add(const Standstill &Found);
  /// How long the node has run between \p From and \p Until; zero if \p Until
  /// is not later.
  TimePoint::duration runningTime(TimePoint From, TimePoint Until) const;

private:
  /// Silence is judged over some seconds, in which few standstills fit.
  static constexpr std::size_t MaxKept = 16;

  std::array<Standstill, MaxKept> Kept{};
  std::size_t Oldest = 0;
};

} // namespace waycove
