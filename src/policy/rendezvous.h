// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <span>
#include <vector>

namespace waycove {

/// The member that owns \p Key, by rendezvous hashing: all who see the same
/// members agree, and a member that goes moves only its own keys. Zero where
/// there are no members.
NodeHash rendezvousOwner(std::span<const NodeHash> Members, std::uint64_t Key);
/// The \p Count best members for \p Key, best first.
std::vector<NodeHash> rendezvousTop(std::span<const NodeHash> Members,
                                    std::uint64_t Key, std::size_t Count);
/// What heartbeats call a daemon's incarnation.
NodeHash hashNode(const NodeId &Node, const IncarnationId &Incarnation);

} // namespace waycove
