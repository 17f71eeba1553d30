// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "policy/domain_plan.h"

namespace waycove {

/// Bounds the weights that this node's domains read from the shared store: the
/// store slows down for all where many load. Each owner keeps to its part of
/// the loads that may begin in a second and of those that may run at a time.
/// Used by one thread.
class LoadBudget {
public:
  explicit LoadBudget(const EntryBoard &Board) : Board(Board) {}

  /// Loads that may begin now on VMs whose turn it is: how many run is bounded
  /// by the turns.
  unsigned turns(const EngineSpec &Engine, TimePoint Now);
  /// Other loads that may be ordered now.
  unsigned left(const EngineSpec &Engine, TimePoint Now);
  /// Counts the load that \p Order causes, if any.
  void count(const GroupOrder &Order, const EngineSpec &Engine, TimePoint Now);

private:
  /// Before the first request of a first start.
  bool isFree() const;
  double mayBegin(const EngineSpec &Engine, TimePoint Now);
  struct Load {
    TimePoint Begun;
    /// When it is done, if the store is not slowed down.
    TimePoint Done;
  };
  const EntryBoard &Board;
  /// Loads from the shared store that were ordered lately.
  std::vector<Load> Loads;
};

} // namespace waycove
