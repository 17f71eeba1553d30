// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/pool.h"
#include "board/board.h"
#include "control/engine_control.h"

#include <set>

namespace waycove {

/// What the group controller heard from one VM.
struct MemberState {
  MemberReport Report;
  bool EverHeard = false;
  TimePoint Heard;
  /// Since when this VM is asked without a break.
  TimePoint AskedSince;
  TimePoint LastAsked;
  TimePoint LastOrder;
  bool Busy = false;
};

/// Why a group cannot serve, or that it can.
struct GroupVerdict {
  bool Ready = false;
  VmId Member;
  std::string Reason;
};

/// Reports of VMs, as polls bring them. Thread-safe; knows no I/O.
class MemberBook {
public:
  explicit MemberBook(const Settings &Config) : Config(Config) {}

  /// Whether \p Vm is due for a poll; marks it as being asked.
  bool beginPoll(const VmId &Vm, TimePoint Now);
  void endPoll(const VmId &Vm, const absl::StatusOr<MemberReport> &Report,
               TimePoint Now);
  /// Whether an order to \p Vm is due; marks it as given.
  bool beginOrder(const VmId &Vm, TimePoint Now);
  std::optional<MemberState> find(const VmId &Vm) const;
  /// A group serves only if every member itself said just now that it has
  /// loaded under this very fence.
  GroupVerdict judge(const Group &Formed, TimePoint Now) const;
  /// Whether \p Vm was asked for long and said nothing.
  bool isDead(const VmId &Vm, TimePoint Now) const;
  /// After a pause of this process, what it last heard proves nothing.
  void restart(TimePoint Now);
  /// Keeps only these VMs.
  void keep(const std::set<VmId> &Wanted);

private:
  Millis freshFor() const;

  const Settings &Config;
  mutable std::mutex Mutex;
  std::unordered_map<VmId, MemberState> Rows;
};

} // namespace waycove
