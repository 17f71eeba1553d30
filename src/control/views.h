// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/board.h"

namespace waycove {

/// Rebuilds the route views of all deployments and services from the folded
/// state and the VM list whenever these have changed.
class ViewBuilder {
public:
  explicit ViewBuilder(Board &Tables) : Tables(Tables) {}
  /// Returns true if the views were rebuilt.
  bool refresh();

private:
  ViewRef buildGroupView(const FoldState &State, const VmTable &Vms,
                         const DrainSet &Drains, const Object &Row) const;
  ViewRef buildServiceView(const FoldState &State, const VmTable &Vms,
                           const DrainSet &Drains, const Object &Row) const;

  Board &Tables;
  /// RoutingVersion of the newest rebuild.
  std::uint64_t LastVersion = 0;
};

} // namespace waycove
