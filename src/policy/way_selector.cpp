// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/way_selector.h"

#include <algorithm>

namespace waycove {

std::vector<NodeInfo>
WaySelector::candidates(const NodeRanking &Known, const NodeInfo &Me,
                        const std::function<bool(const NodeInfo &)> &MayCarry,
                        std::uint64_t Random, TimePoint Now) const {
  struct Candidate {
    bool IsElsewhere;
    std::uint64_t Rank;
    const NodeInfo *Node;
  };
  std::vector<Candidate> Found;
  for (const auto &[Id, Node] : Known.nodes())
    if (Id != Me.Node && !this->Backoff.isBackedOff(Id, Now) && MayCarry(Node))
      Found.push_back({Node.DataCentre != Me.DataCentre,
                       mixHash(Random, hashText(Id.Text)), &Node});
  std::size_t Count = std::min(Found.size(), MaxCandidates);
  std::partial_sort(
      Found.begin(), Found.begin() + static_cast<std::ptrdiff_t>(Count),
      Found.end(), [](const Candidate &Left, const Candidate &Right) {
        return std::pair(Left.IsElsewhere, Left.Rank) <
               std::pair(Right.IsElsewhere, Right.Rank);
      });
  std::vector<NodeInfo> Chosen;
  for (std::size_t I = 0; I < Count; ++I)
    Chosen.push_back(*Found[I].Node);
  return Chosen;
}

} // namespace waycove
