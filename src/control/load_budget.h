// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "policy/domain_plan.h"

namespace waycove {

/// Bounds the loads of weights from the shared store that this node's domains
/// begin in a second, which the platform limits over all nodes; how many run is
/// bounded by scheduleLoads(). Used by one thread.
class LoadBudget {
public:
  explicit LoadBudget(const EntryBoard &Board) : Board(Board) {}

  /// How many of \p Turns loads may begin now; UnlimitedLoads before the first
  /// request of a first start.
  unsigned allowed(unsigned Turns, const EngineSpec &Engine, TimePoint Now);
  /// Counts the load that \p Order causes, if any.
  void count(const GroupOrder &Order, const EngineSpec &Engine, TimePoint Now);

private:
  bool isFree() const;
  const EntryBoard &Board;
  /// When loads from the shared store were ordered lately.
  std::vector<TimePoint> Loads;
};

} // namespace waycove
