// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fold.h"

namespace waycove {

/// What the log's records made before it came back from an older copy, and do
/// not make any more, as records that bring it about again: objects as they
/// were last published, removals, and who may dispatch a keyed call. \p Before
/// is the state of before, \p Now the one that the copy makes.
///
/// Each daemon that lived then writes them; the first copy of a record counts,
/// since the others are based on a revision that it has changed, or claim a key
/// that is claimed. An object that was published after the restore is later
/// than the one in \p Before and stays. Groups are not formed again: their VMs
/// are free by the log, and the next round forms what is to serve.
std::vector<wire::RecordT> lostRecords(const FoldState &Before,
                                       const FoldState &Now);

/// Whether \p Record need not be written (again): it took effect, or another
/// one did in its place.
bool isSettled(const wire::RecordT &Record, const FoldState &Now);

} // namespace waycove
