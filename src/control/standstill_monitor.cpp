// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/standstill_monitor.h"

namespace waycove {

void StandstillMonitor::onRunning(TimePoint Now) {
  if (!findStandstill(this->Board.RunningAt.get(), Now))
    return this->Board.RunningAt.raise(Now);
  // Only advanced afterwards, so that no thread judges in between.
  std::optional<Standstill> Found =
      this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
        std::optional<Standstill> Latest =
            findStandstill(this->Board.RunningAt.get(), Now);
        if (Latest)
          Stats.onStandstill(*Latest);
        this->Board.RunningAt.raise(Now);
        return Latest;
      });
  if (!Found)
    return;
  this->Board.Counters.add(Counter::Standstills);
  this->Board.Log.emit(EventCode::NodeStoodStill, this->Board.Config.Node.Text,
                       LogFields()
                           .add("for_ms", std::chrono::duration_cast<Millis>(
                                              Found->End - Found->Begin))
                           .add("in_flight", this->Board.InFlight.load()));
}

} // namespace waycove
