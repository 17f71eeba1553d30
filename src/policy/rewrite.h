// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fold.h"

namespace waycove {

/// Returns records that restore what was lost when the log was restored from an
/// older copy: published objects, removals, and claims of idempotency keys. \p
/// Before is the state before the restore, \p Now the one that the copy yields.
///
/// Each daemon that was running before the restore writes them. The first copy
/// of a record takes effect; the others are based on an outdated revision or
/// claim a key that is already claimed. An object published after the restore
/// is newer than the one in \p Before and stays. Groups are not restored: the
/// log shows their VMs as free, and the next planning round forms the groups
/// that are needed.
std::vector<wire::RecordT> lostRecords(const FoldState &Before,
                                       const FoldState &Now);

/// Returns true if \p Record need not be written (again): it took effect, or
/// another record did in its place.
bool isSettled(const wire::RecordT &Record, const FoldState &Now);

} // namespace waycove
