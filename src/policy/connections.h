// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

namespace waycove {

/// Returns how many idle connections this node may keep to \p Target, which
/// accepts \p TotalLimit connections from all nodes together and resets any
/// more. If this node's part, \p EvenShare, amounts to less than one
/// connection, some nodes keep one and others none, by a hash of node and
/// target.
unsigned idleConnectionLimit(unsigned TotalLimit, double EvenShare,
                             const NodeId &Node, const VmId &Target);

} // namespace waycove
