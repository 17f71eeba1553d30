// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/load_reports.h"
#include "policy/target_statement.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace waycove {

/// A limit in force.
struct StatedLimit {
  RequestRate Rate;
  /// When this node learned of it.
  TimePoint Since;

  bool operator==(const StatedLimit &) const = default;
};

/// What a node knows of a target's limit.
struct LimitReport {
  /// Unset if the target states none any more.
  std::optional<RequestRate> Rate;
  /// When a node received the response that says so.
  TimePoint At;
};

using LimitReports = std::unordered_map<TargetHash, LimitReport>;

/// The limits that targets state in their responses, from the responses to this
/// node and the reports of others. A limit ends with a response that states
/// none, to a request that was sent after the limit was known: responses
/// overtake each other. It ends, too, with the process that stated it.
///
/// Of two reports the later one holds, so they merge to the same state at all
/// nodes. Not thread-safe.
class StatedLimits {
public:
  enum class Change { None, Begun, Adjusted, Ended };

  /// Applies a response of \p Target to a request that was sent at \p SentAt.
  Change onResponse(const VmIncarnation &Target,
                    const TargetStatement &Statement, TimePoint SentAt,
                    TimePoint Now);
  /// Applies the reports of another node; returns the targets whose limits have
  /// changed.
  std::vector<TargetHash> merge(const LimitReports &Reports, TimePoint Now);
  std::optional<StatedLimit> of(TargetHash Target) const;
  /// Whether any limit is in force.
  bool any() const { return this->LimitCount > 0; }
  /// Whether there is nothing to forget.
  bool empty() const { return this->Entries.empty(); }
  /// Limits that changed within ReportDuration or, for a node that starts or
  /// was disconnected, all; at most MaxReported, the newest first.
  LimitReports reports(bool All, TimePoint Now) const;
  /// Drops targets for which \p IsListed returns false, and limits that have
  /// ended, some time after the last report.
  void forget(const std::function<bool(TargetHash)> &IsListed, TimePoint Now);

  /// Changes are reported to other nodes for this long: several report
  /// intervals.
  static constexpr Millis ReportDuration{1500};
  static constexpr std::size_t MaxReported = 256;
  /// Targets in the table.
  static constexpr std::size_t MaxTargets = 4096;

private:
  /// Longer than any report takes to reach all nodes.
  static constexpr Millis Retention{30000};

  struct Entry {
    std::optional<RequestRate> Rate;
    /// As in a report; earlier than any of them at first.
    TimePoint At = TimePoint::min();
    TimePoint Since;
    TimePoint ChangedAt;
  };
  /// Returns the entry, which is a new one if the table has room; else null.
  Entry *entryOf(TargetHash Target);
  Change set(Entry &Known, std::optional<RequestRate> Rate, TimePoint Now);

  std::unordered_map<TargetHash, Entry> Entries;
  /// Entries with a rate.
  std::size_t LimitCount = 0;
};

} // namespace waycove
