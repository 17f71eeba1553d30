// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/trial_node.h"

#include <algorithm>

namespace waycove {

bool isTrialNode(ContentHash Content, const NodeId &Me,
                 const NodeTable &Known) {
  auto RankOf = [&](const NodeId &Node) {
    return mixHash(Content.Value, hashText(Node.Text));
  };
  std::uint64_t OwnRank = RankOf(Me);
  return std::all_of(Known.begin(), Known.end(), [&](const auto &Node) {
    return RankOf(Node.first) >= OwnRank;
  });
}

} // namespace waycove
