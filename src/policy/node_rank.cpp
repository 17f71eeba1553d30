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

} // namespace

std::vector<NodeInfo> readersOf(const NodeTable &Nodes,
                                const DataCentreId &Centre) {
  std::vector<std::pair<std::uint64_t, const NodeInfo *>> Order;
  for (const auto &[Id, Row] : Nodes)
    if (Row.DataCentre == Centre)
      Order.emplace_back(hashText(Id.Text, hashText(Centre.Text)), &Row);
  std::sort(Order.begin(), Order.end(),
            [](const auto &Left, const auto &Right) {
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

std::optional<std::size_t> givenTo(std::size_t Place) {
  if (Place == 0)
    return std::nullopt;
  return (Place - 1) / Askers;
}

std::vector<DataCentreId> centresOf(const NodeTable &Nodes) {
  std::map<std::pair<std::uint64_t, DataCentreId>, DataCentreId> Order;
  for (const auto &[Id, Row] : Nodes)
    Order[{hashText(Row.DataCentre.Text), Row.DataCentre}] = Row.DataCentre;
  std::vector<DataCentreId> Rows;
  Rows.reserve(Order.size());
  for (const auto &[Place, Centre] : Order)
    Rows.push_back(Centre);
  return Rows;
}

void NodeFailures::failed(const NodeId &Node, TimePoint Now) {
  Row &At = this->Rows[Node];
  At.Pause = At.Pause.count() == 0 ? Least : std::min(2 * At.Pause, Most);
  At.Until = Now + At.Pause;
}

void NodeFailures::leave(const NodeId &Node, TimePoint Until) {
  this->Rows[Node].Until = Until;
}

bool NodeFailures::isLeft(const NodeId &Node, TimePoint Now) const {
  auto At = this->Rows.find(Node);
  return At != this->Rows.end() && Now < At->second.Until;
}

} // namespace waycove
