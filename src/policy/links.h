// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <span>
#include <vector>

namespace waycove {

/// A live daemon, as link selection needs it.
struct Member {
  NodeHash Node;
  DataCentreId DataCentre;
};

/// Returns the daemons that relay traffic between a data centre and others: the
/// two best by rendezvous hashing.
std::vector<NodeHash> relaysOf(std::span<const Member> Live,
                               const DataCentreId &DataCentre);

/// Returns the peers that \p Self opens links to. Within a data centre the
/// members form a ring ordered by hash, and each links to its successor and to
/// a chord of about the square root of the ring size, which keeps both hops and
/// links per node low. Relays also link to the relays of the next data centre
/// and of one further along. The graph is connected if all members have the
/// same view.
std::vector<NodeHash> chooseLinks(NodeHash Self, std::span<const Member> Live);

} // namespace waycove
