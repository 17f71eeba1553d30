// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/rendezvous.h"

#include <algorithm>

namespace waycove {

NodeHash rendezvousOwner(std::span<const NodeHash> Members, std::uint64_t Key) {
  NodeHash Best;
  std::uint64_t BestScore = 0;
  for (const NodeHash &Member : Members) {
    std::uint64_t Score = mixHash(Member.Value, Key);
    if (Best == NodeHash() || Score > BestScore ||
        (Score == BestScore && Member > Best)) {
      Best = Member;
      BestScore = Score;
    }
  }
  return Best;
}

std::vector<NodeHash> rendezvousTop(std::span<const NodeHash> Members,
                                    std::uint64_t Key, std::size_t Count) {
  std::vector<NodeHash> Ranked(Members.begin(), Members.end());
  Count = std::min(Count, Ranked.size());
  auto Middle = Ranked.begin() + static_cast<std::ptrdiff_t>(Count);
  std::partial_sort(Ranked.begin(), Middle, Ranked.end(),
                    [&](const NodeHash &Left, const NodeHash &Right) {
                      std::uint64_t L = mixHash(Left.Value, Key);
                      std::uint64_t R = mixHash(Right.Value, Key);
                      return L != R ? L > R : Left > Right;
                    });
  Ranked.resize(Count);
  return Ranked;
}

NodeHash hashNode(const NodeId &Node, const IncarnationId &Incarnation) {
  return NodeHash(hashText(Node.Text + "/" + Incarnation.Text) | 1);
}

} // namespace waycove
