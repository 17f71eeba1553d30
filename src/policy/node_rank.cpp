// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/node_rank.h"

#include <algorithm>

namespace waycove {

namespace {

/// Nodes that one node serves, bounded by the processor and memory of small
/// machines.
constexpr std::size_t ReadersPerNode = 12;
/// The same for nodes with links of at least FastMbps.
constexpr std::size_t FastLinkReaders = 24;
constexpr std::uint32_t FastMbps = 200;

std::size_t maxReadersOf(const NodeInfo &Node) {
  return Node.LinkMbps >= FastMbps ? FastLinkReaders : ReadersPerNode;
}

} // namespace

std::vector<NodeInfo> readerOrder(const NodeTable &Nodes,
                                  const DataCentreId &Centre) {
  std::vector<std::pair<std::uint64_t, const NodeInfo *>> Order;
  for (const auto &[Id, Info] : Nodes)
    if (Info.DataCentre == Centre)
      Order.emplace_back(hashText(Id.Text, hashText(Centre.Text)), &Info);
  std::sort(Order.begin(), Order.end(),
            [](const auto &Left, const auto &Right) {
              if (Left.second->LinkMbps != Right.second->LinkMbps)
                return Left.second->LinkMbps > Right.second->LinkMbps;
              return Left.first != Right.first
                         ? Left.first < Right.first
                         : Left.second->Node < Right.second->Node;
            });
  std::vector<NodeInfo> Result;
  Result.reserve(Order.size());
  for (const auto &[Hash, Info] : Order)
    Result.push_back(*Info);
  return Result;
}

std::optional<std::size_t> upstreamPlace(const std::vector<NodeInfo> &Order,
                                         std::size_t Place) {
  if (Place == 0)
    return std::nullopt;
  std::size_t Upstream = 0;
  for (std::size_t End = 1 + maxReadersOf(Order[0]); End <= Place; ++Upstream)
    End += maxReadersOf(Order[Upstream + 1]);
  return Upstream;
}

std::vector<DataCentreId> dataCentreOrder(const NodeTable &Nodes) {
  std::map<std::pair<std::uint64_t, DataCentreId>, DataCentreId> Order;
  for (const auto &[Id, Info] : Nodes)
    Order[{hashText(Info.DataCentre.Text), Info.DataCentre}] = Info.DataCentre;
  std::vector<DataCentreId> Result;
  Result.reserve(Order.size());
  for (const auto &[Place, Centre] : Order)
    Result.push_back(Centre);
  return Result;
}

void NodeBackoff::onFailure(const NodeId &Node, TimePoint Now) {
  Entry &Failed = this->Entries[Node];
  Failed.Delay = Failed.Delay.count() == 0
                     ? MinDelay
                     : std::min(2 * Failed.Delay, MaxDelay);
  Failed.Until = Now + Failed.Delay;
}

void NodeBackoff::backOffUntil(const NodeId &Node, TimePoint Until) {
  this->Entries[Node].Until = Until;
}

bool NodeBackoff::isBackedOff(const NodeId &Node, TimePoint Now) const {
  auto At = this->Entries.find(Node);
  return At != this->Entries.end() && Now < At->second.Until;
}

} // namespace waycove
