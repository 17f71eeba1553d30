// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"

namespace waycove {

/// A target sent what is no answer, or more of it or for longer than an answer
/// may take: avoids it for a while, and counts and logs that. \p During tells
/// what it was asked for, a request's ID, "order" or "report".
void reportOverBounds(EntryBoard &Board, const VmIncarnation &Target,
                      const std::string &During, const std::string &Reason);

} // namespace waycove
