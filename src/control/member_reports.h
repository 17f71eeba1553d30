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
struct MemberRecord {
  MemberReport Report;
  bool HasReport = false;
  TimePoint ReportedAt;
  /// Since when this VM is asked without a break.
  TimePoint PolledSince;
  TimePoint LastPoll;
  TimePoint LastOrder;
  bool PollPending = false;
};

/// Why a group cannot serve, or that it can.
struct GroupReadiness {
  bool Ready = false;
  VmId Member;
  std::string Reason;
};

/// Reports of VMs, as polls bring them. Thread-safe; knows no I/O.
class MemberReports {
public:
  explicit MemberReports(const Settings &Config) : Config(Config) {}

  /// Whether \p Vm is due for a poll; marks it as being asked.
  bool beginPoll(const VmId &Vm, TimePoint Now);
  void endPoll(const VmId &Vm, const absl::StatusOr<MemberReport> &Report,
               TimePoint Now);
  /// Whether an order to \p Vm is due; marks it as given.
  bool beginOrder(const VmId &Vm, TimePoint Now);
  std::optional<MemberRecord> find(const VmId &Vm) const;
  /// A group serves only if every member itself said just now that it has
  /// loaded under this very fence.
  GroupReadiness checkReadiness(const Group &Formed, TimePoint Now) const;
  /// Whether \p Vm was asked for long and said nothing.
  bool isDead(const VmId &Vm, TimePoint Now) const;
  /// After a pause of this process, what it last heard proves nothing.
  void invalidate(TimePoint Now);
  /// Keeps only these VMs.
  void retainOnly(const std::set<VmId> &Wanted);

private:
  Millis freshDuration() const;

  const Settings &Config;
  mutable std::mutex Mutex;
  std::unordered_map<VmId, MemberRecord> Rows;
};

} // namespace waycove
