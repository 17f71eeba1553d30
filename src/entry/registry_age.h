// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"

namespace waycove {

/// Whether this node has not been in touch with the store, itself or through
/// other nodes, for the drain bound. New nodes are then unknown here, too.
/// \p ProvenAt is when the registry was last confirmed.
inline bool isRegistryStale(const EntryBoard &Board, TimePoint ProvenAt,
                            TimePoint Now) {
  return Now - ProvenAt > Board.Config.Entry->DrainBound;
}

} // namespace waycove
