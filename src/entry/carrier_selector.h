// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/relay_request.h"

namespace waycove {

/// Selects the other nodes that may carry a request to a target while this node
/// has lost its own links. Thread-safe.
class CarrierSelector {
public:
  explicit CarrierSelector(const EntryBoard &Board) : Board(Board) {}

  /// The other nodes that may carry the request to a target, in the order in
  /// which they are asked. None is in a region that the request must not leave
  /// for, or in a data centre that operators have evacuated.
  std::vector<NodeInfo> carriers(const RelayRequest &Request,
                                 TimePoint Now) const;

private:
  const EntryBoard &Board;
};

} // namespace waycove
