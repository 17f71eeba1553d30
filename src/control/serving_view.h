// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"

namespace waycove {

inline std::size_t countTargets(const ServingView &View) {
  std::size_t Count = 0;
  for (const auto &[Service, Rows] : View.ByService)
    Count += Rows.size();
  return Count;
}

/// Builds the view of serving targets from the tables once. Returns false if
/// another thread changed the tables meanwhile, so that it has to be built
/// again.
inline bool buildServingView(EntryBoard &Board) {
  RoutingConfigRef Config =
      Board.Routing.read([](const RoutingConfigRef &Row) { return Row; });
  if (!Config)
    return true;
  Evacuations Evacuated =
      Board.Evacuated.read([](const Evacuations &Row) { return Row; });
  ServingViewRef View = Board.Targets.read([&](const Fleet &Rows) {
    return makeServingView(*Config, Rows, Evacuated);
  });
  std::size_t Before = 0;
  bool Changed = Board.Serving.write([&](ServingViewRef &Row) {
    // Two followers build views; the one of the newer fleet is used.
    if (Row->FleetVersion > View->FleetVersion)
      return false;
    Before = countTargets(*Row);
    Row = View;
    return true;
  });
  if (Changed && Before != countTargets(*View))
    Board.Log.emit(EventCode::ServingChanged, Board.Config.Node.Text,
                   LogFields()
                       .add("targets", countTargets(*View))
                       .add("before", Before)
                       .add("fleet", View->FleetVersion)
                       .add("config", Config->Version));
  return Changed &&
         Config == Board.Routing.read(
                       [](const RoutingConfigRef &Row) { return Row; }) &&
         Evacuated.version() ==
             Board.Evacuated.read(
                 [](const Evacuations &Row) { return Row.version(); });
}

/// Rebuilds the view of serving targets from the tables.
inline void rebuildServingView(EntryBoard &Board) {
  while (!buildServingView(Board))
    ;
}

} // namespace waycove
