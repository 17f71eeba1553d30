// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/node_rank.h"

#include <algorithm>

namespace waycove {

namespace {

/// Nodes that one node serves, bounded by the processor and memory of small
/// machines: each takes some 0.1% of a core, and 99 of them take all of the
/// processor and memory of a small one.
constexpr std::size_t ReadersPerNode = 12;
/// The same for nodes with links of at least FastMbps, which carry in a tenth
/// of a second the 0.1 MB that each of these readers needs after a restart.
constexpr std::size_t FastLinkReaders = 24;
constexpr std::uint32_t FastMbps = 200;

std::size_t maxReadersOf(const NodeInfo &Node) {
  return Node.LinkMbps >= FastMbps ? FastLinkReaders : ReadersPerNode;
}

/// Compares two nodes of a data centre by their places in its order.
class ReadsBefore {
public:
  explicit ReadsBefore(const DataCentreId &Centre)
      : Salt(hashText(Centre.Text)) {}
  bool operator()(const NodeInfo &Left, const NodeInfo &Right) const {
    if (Left.LinkMbps != Right.LinkMbps)
      return Left.LinkMbps > Right.LinkMbps;
    std::uint64_t LeftRank = hashText(Left.Node.Text, this->Salt);
    std::uint64_t RightRank = hashText(Right.Node.Text, this->Salt);
    return LeftRank != RightRank ? LeftRank < RightRank
                                 : Left.Node < Right.Node;
  }

private:
  std::uint64_t Salt;
};

} // namespace

NodeRanking::NodeRanking(NodeTable Known) : Nodes(std::move(Known)) {
  for (const auto &[Id, Info] : this->Nodes)
    this->Readers[Info.DataCentre].push_back(Info);
  for (auto &[Centre, Order] : this->Readers) {
    std::sort(Order.begin(), Order.end(), ReadsBefore(Centre));
    this->Centres.push_back(Centre);
  }
  std::sort(this->Centres.begin(), this->Centres.end(), readsBefore);
}

const std::vector<NodeInfo> &
NodeRanking::readers(const DataCentreId &Centre) const {
  static const std::vector<NodeInfo> None;
  auto At = this->Readers.find(Centre);
  return At == this->Readers.end() ? None : At->second;
}

std::size_t NodeRanking::indexOf(const NodeId &Node) const {
  return static_cast<std::size_t>(
      std::distance(this->Nodes.begin(), this->Nodes.lower_bound(Node)));
}

std::size_t NodeRanking::placeOf(const NodeInfo &Node) const {
  auto Listed = this->Nodes.find(Node.Node);
  bool IsListed = Listed != this->Nodes.end() &&
                  Listed->second.DataCentre == Node.DataCentre;
  const std::vector<NodeInfo> &Order = this->readers(Node.DataCentre);
  auto At = std::lower_bound(Order.begin(), Order.end(),
                             IsListed ? Listed->second : Node,
                             ReadsBefore(Node.DataCentre));
  return static_cast<std::size_t>(At - Order.begin());
}

bool readsBefore(const DataCentreId &Left, const DataCentreId &Right) {
  std::uint64_t LeftRank = hashText(Left.Text);
  std::uint64_t RightRank = hashText(Right.Text);
  return LeftRank != RightRank ? LeftRank < RightRank : Left < Right;
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
