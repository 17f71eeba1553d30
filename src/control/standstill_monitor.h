// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"

namespace waycove {

/// Notices when this node has stood still. Thread-safe.
class StandstillMonitor {
public:
  explicit StandstillMonitor(EntryBoard &Board) : Board(Board) {}

  /// Notes that the node runs at \p Now, and records a standstill before that.
  /// Called at RunningInterval, and by each thread before it counts time as the
  /// silence of another process: after a standstill any of them may run first.
  void onRunning(TimePoint Now);

private:
  EntryBoard &Board;
};

} // namespace waycove
