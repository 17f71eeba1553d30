// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/node_rank.h"

namespace waycove::test {

/// A directory of nodes n0, n1 and so on.
inline NodeTable nodesOf(std::size_t Count) {
  NodeTable Nodes;
  for (std::size_t I = 0; I < Count; ++I) {
    NodeInfo Info;
    Info.Node = NodeId("n" + std::to_string(I));
    Nodes[Info.Node] = Info;
  }
  return Nodes;
}

} // namespace waycove::test
