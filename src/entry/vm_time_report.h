// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "policy/vm_time.h"

namespace waycove {

/// Exports what the VMs of services with groups spend their time on, as metrics
/// and in the log. Not thread-safe.
class VmTimeReport {
public:
  explicit VmTimeReport(EntryBoard &Board) : Board(Board) {}

  /// Updates the metrics. Does nothing before there is a configuration.
  void update(TimePoint Now);
  /// Logs the states of each service whose times have changed since the last
  /// call. All nodes see the same registry, so only the first node of each data
  /// centre logs them.
  void log();

private:
  void exportTotals();
  LogFields fieldsOf(const ServiceId &Service) const;

  EntryBoard &Board;
  VmTime Times;
  std::map<ServiceId, VmDuration> Logged;
};

} // namespace waycove
