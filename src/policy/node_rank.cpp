// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/node_rank.h"

#include <algorithm>

namespace waycove {

namespace {

/// How many nodes ask one. Measured on 300 machines: 99 askers took all of a
/// small node's processor and memory; each takes some 0.1% of a core.
constexpr std::size_t Askers = 12;
/// The same where the link takes what they need in a tenth of a second: 24
/// times 0.1 MB. Nodes with such links have the processor for it, too.
constexpr std::size_t FastAskers = 24;
constexpr std::uint32_t FastMbps = 200;

std::size_t askersOf(const NodeInfo &Node) {
  return Node.LinkMbps >= FastMbps ? FastAskers : Askers;
}

} // namespace

std::vector<NodeInfo> readerOrder(const NodeTable &Nodes,
                                  const DataCentreId &Centre) {
  std::vector<std::pair<std::uint64_t, const NodeInfo *>> Order;
  for (const auto &[Id, Row] : Nodes)
    if (Row.DataCentre == Centre)
      Order.emplace_back(hashText(Id.Text, hashText(Centre.Text)), &Row);
  std::sort(Order.begin(), Order.end(),
            [](const auto &Left, const auto &Right) {
              if (Left.second->LinkMbps != Right.second->LinkMbps)
                return Left.second->LinkMbps > Right.second->LinkMbps;
              return Left.first != Right.first
                         ? Left.first < Right.first
                         : Left.second->Node < Right.second->Node;
            });
  std::vector<NodeInfo> Rows;
  Rows.reserve(Order.size());
  for (const auto &[Hash, Row] : Order)
    Rows.push_back(*Row);
  return Rows;
}

std::optional<std::size_t> upstreamPlace(const std::vector<NodeInfo> &Order,
                                         std::size_t Place) {
  if (Place == 0)
    return std::nullopt;
  std::size_t Asked = 0;
  for (std::size_t End = 1 + askersOf(Order[0]); End <= Place; ++Asked)
    End += askersOf(Order[Asked + 1]);
  return Asked;
}

std::vector<DataCentreId> dataCentreOrder(const NodeTable &Nodes) {
  std::map<std::pair<std::uint64_t, DataCentreId>, DataCentreId> Order;
  for (const auto &[Id, Row] : Nodes)
    Order[{hashText(Row.DataCentre.Text), Row.DataCentre}] = Row.DataCentre;
  std::vector<DataCentreId> Rows;
  Rows.reserve(Order.size());
  for (const auto &[Place, Centre] : Order)
    Rows.push_back(Centre);
  return Rows;
}

void NodeBackoff::onFailure(const NodeId &Node, TimePoint Now) {
  Row &At = this->Rows[Node];
  At.Pause = At.Pause.count() == 0 ? Least : std::min(2 * At.Pause, Most);
  At.Until = Now + At.Pause;
}

void NodeBackoff::backOffUntil(const NodeId &Node, TimePoint Until) {
  this->Rows[Node].Until = Until;
}

bool NodeBackoff::isBackedOff(const NodeId &Node, TimePoint Now) const {
  auto At = this->Rows.find(Node);
  return At != this->Rows.end() && Now < At->second.Until;
}

} // namespace waycove
