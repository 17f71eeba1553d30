// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <span>
#include <vector>

namespace waycove {

/// What link choice needs to know of a live daemon.
struct Member {
  NodeHash Node;
  DataCentreId DataCentre;
};

/// The daemons that carry a data centre's traffic to other data centres: the
/// two best by rendezvous hashing.
std::vector<NodeHash> relaysOf(std::span<const Member> Live,
                               const DataCentreId &DataCentre);

/// The peers to which \p Self opens links. Within a data centre the members
/// stand on a ring by hash, and each links to its successor and to a chord
/// of about a square root of the ring, so news takes few hops and nobody has
/// more than a handful of links. Relays besides link to the relays of the
/// next data centre and of one further on. The graph over all members is
/// connected whenever the members are the same everywhere.
std::vector<NodeHash> chooseLinks(NodeHash Self, std::span<const Member> Live);

} // namespace waycove
