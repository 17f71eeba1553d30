// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/board.h"

namespace waycove {

/// Makes the route views of all deployments and services anew from state and
/// VM list, if anything changed since the last time.
class ViewBuilder {
public:
  explicit ViewBuilder(Board &Tables) : Tables(Tables) {}
  /// Returns true if views were made.
  bool refresh();

private:
  ViewRef buildGroupView(const FoldState &State, const VmTable &Vms,
                         const DrainSet &Drains, const Object &Row) const;
  ViewRef buildServiceView(const FoldState &State, const VmTable &Vms,
                           const DrainSet &Drains, const Object &Row) const;

  Board &Tables;
  std::uint64_t LastVersion = 0;
};

} // namespace waycove
