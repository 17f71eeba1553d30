// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "policy/domain_plan.h"

namespace waycove {

/// Bounds the weights that this node's domains read from the shared store: the
/// store slows down for all where many load. Used by one thread.
class LoadBudget {
public:
  explicit LoadBudget(const EntryBoard &Board) : Board(Board) {}

  /// Loads that may be ordered now.
  unsigned left(const EngineSpec &Engine, TimePoint Now);
  /// Counts the load that \p Order causes, if any.
  void count(const GroupOrder &Order, TimePoint Now);

private:
  const EntryBoard &Board;
  /// When loads from the shared store were ordered.
  std::vector<TimePoint> Loads;
};

} // namespace waycove
