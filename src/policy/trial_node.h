// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/node_rank.h"

namespace waycove {

/// Whether \p Me is the node that may try the request with the blamed
/// \p Content. Exactly one node may: all nodes with the same directory
/// \p Known agree on which.
bool isTrialNode(ContentHash Content, const NodeId &Me, const NodeTable &Known);

} // namespace waycove
