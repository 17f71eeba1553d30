// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/pool.h"
#include "board/board.h"
#include "control/engine_control.h"

#include <optional>
#include <set>

namespace waycove {

/// Newest report of one VM, and the state of the polls and orders to it.
struct MemberRecord {
  MemberReport Report;
  bool HasReport = false;
  TimePoint ReportedAt;
  /// Start of the current uninterrupted series of polls.
  TimePoint PolledSince;
  TimePoint LastPoll;
  TimePoint LastOrder;
  bool PollPending = false;
};

/// Whether a group can serve; if not, the member that prevents it and why.
struct GroupReadiness {
  bool Ready = false;
  VmId Member;
  std::string Reason;
  /// MemberReport::AskedAt of the report that says so; unset if none does.
  std::optional<std::uint64_t> AskedAt{};
};

/// Keeps the reports of group members that the caller polls. Does no I/O
/// itself. Thread-safe.
class MemberReports {
public:
  explicit MemberReports(const Settings &Config) : Config(Config) {}

  /// Returns true if \p Vm is due for a poll, and marks the poll as pending.
  bool beginPoll(const VmId &Vm, TimePoint Now);
  /// Records the result of a poll.
  void endPoll(const VmId &Vm, const absl::StatusOr<MemberReport> &Report,
               TimePoint Now);
  /// Returns true if an order to \p Vm is due, and records it as sent.
  bool beginOrder(const VmId &Vm, TimePoint Now);
  std::optional<MemberRecord> find(const VmId &Vm) const;
  /// A group is ready if the recent report of every member says that it has
  /// loaded the model under the fence of this group.
  GroupReadiness checkReadiness(const Group &Formed, TimePoint Now) const;
  /// Returns true if \p Vm was polled for MemberTimeout without a response.
  bool isDead(const VmId &Vm, TimePoint Now) const;
  /// Discards all reports; called after a suspension of this process.
  void invalidate(TimePoint Now);
  /// Removes all VMs that are not in \p Wanted, except those being polled.
  void retainOnly(const std::set<VmId> &Wanted);

private:
  /// How long a report counts as recent.
  Millis freshDuration() const;

  const Settings &Config;
  mutable std::mutex Mutex;
  std::unordered_map<VmId, MemberRecord> Rows;
};

} // namespace waycove
