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
