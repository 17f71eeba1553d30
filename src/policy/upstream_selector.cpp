// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/upstream_selector.h"

#include <algorithm>

namespace waycove {

namespace {

/// Calls a second of all nodes together to a store that fails: one in 20 ms.
constexpr Millis ProbeEvery{20};
/// A node hears from others that the store is back; this is for one that no
/// other one reaches.
constexpr Millis MostPause{20000};
/// So that it is noticed within a second where nodes are few.
constexpr Millis FewNodesPause{800};
constexpr Millis FirstPause{400};
/// Where nodes are few, and for the first of each data centre: most failures
/// end at once.
constexpr Millis LeastPause{100};

std::size_t placeOf(const std::vector<NodeInfo> &Order, const NodeId &Node) {
  auto At = std::find_if(Order.begin(), Order.end(),
                         [&](const NodeInfo &Row) { return Row.Node == Node; });
  return static_cast<std::size_t>(At - Order.begin());
}

} // namespace

std::vector<NodeInfo> UpstreamSelector::nextCandidates(const NodeTable &Nodes,
                                                       const NodeInfo &Me,
                                                       TimePoint Now) const {
  std::vector<NodeInfo> Asked;
  auto Take = [&](const NodeInfo &Row) {
    if (Asked.size() < MostAsked && !this->isBackedOff(Row.Node, Now))
      Asked.push_back(Row);
  };
  std::vector<NodeInfo> Order = readerOrder(Nodes, Me.DataCentre);
  std::size_t Place = placeOf(Order, Me.Node);
  // One that is not listed yet reads alone.
  if (Place == Order.size())
    return Asked;
  std::optional<std::size_t> Given = upstreamPlace(Order, Place);
  if (Given)
    Take(Order[*Given]);
  for (std::size_t I = 0; I < Place; ++I)
    if (I != Given)
      Take(Order[I]);
  for (const DataCentreId &Centre : dataCentreOrder(Nodes)) {
    if (Centre == Me.DataCentre || Asked.size() == MostAsked)
      break;
    std::vector<NodeInfo> Others = readerOrder(Nodes, Centre);
    for (std::size_t I = 0; I < std::min(Others.size(), AskedOfCentre); ++I)
      Take(Others[I]);
  }
  return Asked;
}

std::vector<NodeInfo>
UpstreamSelector::fallbackCandidates(const NodeTable &Nodes, const NodeInfo &Me,
                                     TimePoint Now) const {
  std::vector<NodeInfo> Rows = readerOrder(Nodes, Me.DataCentre);
  std::size_t Place = placeOf(Rows, Me.Node);
  if (Place < Rows.size()) {
    std::rotate(Rows.begin(), Rows.begin() + static_cast<std::ptrdiff_t>(Place),
                Rows.end());
    Rows.erase(Rows.begin());
  }
  for (const auto &[Id, Row] : Nodes)
    if (Row.DataCentre != Me.DataCentre)
      Rows.push_back(Row);
  std::erase_if(Rows, [&](const NodeInfo &Row) {
    return this->isBackedOff(Row.Node, Now);
  });
  return Rows;
}

ProbeBackoff probeBackoff(std::size_t Nodes, bool First) {
  if (First)
    return {LeastPause, FirstPause};
  Millis Most = std::clamp(ProbeEvery * static_cast<int>(Nodes), FewNodesPause,
                           MostPause);
  return {Most == FewNodesPause ? LeastPause : Most / 2, Most};
}

} // namespace waycove
