// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

namespace waycove {

/// How many resting connections this node may keep to \p Target, which takes
/// \p MostOfAll from all nodes together and resets what is more. Where its
/// part, \p EvenShare, is less than one connection, some nodes keep one and
/// others none; who does depends on node and target alone.
unsigned idleConnectionLimit(unsigned MostOfAll, double EvenShare,
                             const NodeId &Node, const VmId &Target);

} // namespace waycove
