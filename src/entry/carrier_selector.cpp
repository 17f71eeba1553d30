// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/carrier_selector.h"

#include "policy/region_rules.h"

namespace waycove {

std::vector<NodeInfo> CarrierSelector::carriers(const RelayRequest &Request,
                                                TimePoint Now) const {
  Evacuations Evacuated =
      this->Board.Evacuated.read([](const Evacuations &Rows) { return Rows; });
  auto MayCarry = [&](const NodeInfo &Node) {
    return !Evacuated.contains(Node.DataCentre) &&
           mayRunAt(*Request.Route, Request.Owner,
                    this->Board.Config.Entry->Regions, Node.DataCentre);
  };
  NodeRankingRef Known = this->Board.nodes();
  return this->Board.Ways.read([&](const WaySelector &Ways) {
    return Ways.candidates(*Known, this->Board.nodeInfo(), MayCarry,
                           Request.Random, Now);
  });
}

} // namespace waycove
