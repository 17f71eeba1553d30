// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"

namespace waycove {

/// Rebuilds the view of serving targets from the tables.
inline void rebuildServingView(EntryBoard &Board) {
  RoutingConfigRef Config =
      Board.Routing.read([](const RoutingConfigRef &Row) { return Row; });
  if (!Config)
    return;
  ServingViewRef View = Board.Targets.read(
      [&](const Fleet &Rows) { return makeServingView(*Config, Rows); });
  auto CountOf = [](const ServingView &Row) {
    std::size_t Count = 0;
    for (const auto &[Service, Rows] : Row.ByService)
      Count += Rows.size();
    return Count;
  };
  std::size_t Before = 0;
  bool Changed = Board.Serving.write([&](ServingViewRef &Row) {
    // Two followers build views; the one of the newer fleet is used.
    if (Row->FleetVersion > View->FleetVersion)
      return false;
    Before = CountOf(*Row);
    Row = View;
    return true;
  });
  if (Changed && Before != CountOf(*View))
    Board.Log.emit(EventCode::ServingChanged, Board.Config.Node.Text,
                   LogFields()
                       .add("targets", CountOf(*View))
                       .add("before", Before)
                       .add("fleet", View->FleetVersion)
                       .add("config", Config->Version));
}

} // namespace waycove
