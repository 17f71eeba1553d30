// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/way_selector.h"

#include <algorithm>
#include <tuple>

namespace waycove {

bool WaySelector::Candidate::operator<(const Candidate &Other) const {
  return std::tuple(this->IsDenied, this->IsElsewhere, this->Rank) <
         std::tuple(Other.IsDenied, Other.IsElsewhere, Other.Rank);
}

bool WaySelector::isDenied(const DataCentreId &Centre, TimePoint Now) const {
  auto At = this->DeniedAt.find(Centre);
  return At != this->DeniedAt.end() && Now - At->second < CentreDelay;
}

void WaySelector::onNoWay(const NodeInfo &Node, TimePoint Now) {
  this->Backoff.backOffUntil(Node.Node, Now + NoWayDelay);
  this->DeniedAt[Node.DataCentre] = Now;
}

void WaySelector::onWay(const NodeInfo &Node) {
  this->Backoff.onSuccess(Node.Node);
  this->DeniedAt.erase(Node.DataCentre);
}

std::vector<NodeInfo>
WaySelector::candidates(const NodeRanking &Known, const NodeInfo &Me,
                        const std::function<bool(const NodeInfo &)> &MayCarry,
                        std::uint64_t Random, TimePoint Now) const {
  std::vector<Candidate> Found;
  for (const auto &[Id, Node] : Known.nodes())
    if (Id != Me.Node && !this->Backoff.isBackedOff(Id, Now) && MayCarry(Node))
      Found.push_back({this->isDenied(Node.DataCentre, Now),
                       Node.DataCentre != Me.DataCentre,
                       mixHash(Random, hashText(Id.Text)), &Node});
  std::sort(Found.begin(), Found.end());
  std::vector<NodeInfo> Chosen;
  std::size_t Local = 0;
  for (const Candidate &Next : Found) {
    if (Chosen.size() == MaxCandidates)
      break;
    if (Next.IsElsewhere || ++Local <= MaxLocal)
      Chosen.push_back(*Next.Node);
  }
  return Chosen;
}

} // namespace waycove
