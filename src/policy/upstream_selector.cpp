// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/upstream_selector.h"

#include <algorithm>

namespace waycove {

namespace {

/// Interval between calls of all nodes together.
constexpr Millis TotalInterval{20};
/// Longest interval of one node. Nodes usually learn of the recovery from
/// others; this is for one that reaches no other node.
constexpr Millis MaxInterval{20000};
/// Shortest maximum interval, for recovery within a second in small sites.
constexpr Millis SmallSiteInterval{800};
constexpr Millis FirstNodeInterval{400};
/// Minimum interval in small sites and for the first node of each data centre,
/// as most failures are short.
constexpr Millis MinInterval{100};

} // namespace

std::vector<NodeInfo> UpstreamSelector::nextCandidates(const NodeRanking &Known,
                                                       const NodeInfo &Me,
                                                       TimePoint Now) const {
  std::vector<NodeInfo> Candidates;
  auto Add = [&](const NodeInfo &Info) {
    if (Candidates.size() < MaxCandidates && !this->isBackedOff(Info.Node, Now))
      Candidates.push_back(Info);
  };
  // A node that is not listed yet gets the place that it will have.
  std::size_t Place = Known.placeOf(Me);
  const std::vector<NodeInfo> &Order = Known.readers(Me.DataCentre);
  std::optional<std::size_t> Assigned = upstreamPlace(Order, Place);
  if (Assigned)
    Add(Order[*Assigned]);
  for (std::size_t I = 0; I < Place && Candidates.size() < MaxCandidates; ++I)
    if (I != Assigned)
      Add(Order[I]);
  for (const DataCentreId &Centre : Known.centres()) {
    if (!readsBefore(Centre, Me.DataCentre) ||
        Candidates.size() == MaxCandidates)
      break;
    const std::vector<NodeInfo> &Others = Known.readers(Centre);
    for (std::size_t I = 0; I < std::min(Others.size(), CandidatesPerCentre);
         ++I)
      Add(Others[I]);
  }
  return Candidates;
}

std::vector<NodeInfo>
UpstreamSelector::fallbackCandidates(const NodeRanking &Known,
                                     const NodeInfo &Me, TimePoint Now) const {
  std::vector<NodeInfo> Others = Known.readers(Me.DataCentre);
  std::size_t Place = Known.placeOf(Me);
  if (Place < Others.size() && Others[Place].Node == Me.Node) {
    std::rotate(Others.begin(),
                Others.begin() + static_cast<std::ptrdiff_t>(Place),
                Others.end());
    Others.erase(Others.begin());
  }
  for (const auto &[Id, Info] : Known.nodes())
    if (Info.DataCentre != Me.DataCentre)
      Others.push_back(Info);
  std::erase_if(Others, [&](const NodeInfo &Info) {
    return this->isBackedOff(Info.Node, Now);
  });
  return Others;
}

ProbeBackoff probeBackoff(std::size_t Nodes, bool IsFirst) {
  if (IsFirst)
    return {MinInterval, FirstNodeInterval};
  Millis Max = std::clamp(TotalInterval * static_cast<int>(Nodes),
                          SmallSiteInterval, MaxInterval);
  return {Max == SmallSiteInterval ? MinInterval : Max / 2, Max};
}

} // namespace waycove
