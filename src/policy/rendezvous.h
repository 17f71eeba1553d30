// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <span>
#include <vector>

namespace waycove {

/// Returns the member that owns \p Key by rendezvous hashing: all nodes with
/// the same members agree, and only the keys of a removed member move. Zero if
/// there are no members.
NodeHash rendezvousOwner(std::span<const NodeHash> Members, std::uint64_t Key);
/// Returns the \p Count best members for \p Key, best first.
std::vector<NodeHash> rendezvousTop(std::span<const NodeHash> Members,
                                    std::uint64_t Key, std::size_t Count);
/// Hash that identifies an incarnation of a daemon in heartbeats.
NodeHash hashNode(const NodeId &Node, const IncarnationId &Incarnation);

} // namespace waycove
