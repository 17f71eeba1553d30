// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "policy/domain_plan.h"

namespace waycove {

/// Limits the rate at which this node's domains begin to load weights from the
/// shared store: its part of the platform's limit over all nodes. How many
/// weight loads run at once is limited by scheduleLoads(). Used by one thread.
class LoadBudget {
public:
  explicit LoadBudget(const EntryBoard &Board) : Board(Board) {}

  /// How many of \p Scheduled weight loads may begin now. UnlimitedLoads if the
  /// whole system starts for the first time (EntrySettings::FirstStart) and
  /// this node has not received a request yet.
  unsigned allowed(unsigned Scheduled, const EngineSpec &Engine, TimePoint Now);
  /// Records the weight load that \p Order causes, if any.
  void recordOrder(const GroupOrder &Order, const EngineSpec &Engine,
                   TimePoint Now);

private:
  bool isUnlimited() const;
  const EntryBoard &Board;
  /// Times of recent orders that load from the shared store.
  std::vector<TimePoint> LoadTimes;
};

} // namespace waycove
