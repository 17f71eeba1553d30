// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <map>
#include <unordered_map>

namespace waycove {

/// Hash of a target's incarnation; identifies targets in reports between nodes.
using TargetHash = Number<struct TargetHashTag>;

inline TargetHash hashOf(const VmIncarnation &Target) {
  return TargetHash(hashText(Target.Id.Text, Target.StartedAt.Value));
}

/// Hashes targets by their incarnation.
struct IncarnationHash {
  std::size_t operator()(const VmIncarnation &Target) const {
    return hashOf(Target).Value;
  }
};

/// The load of one target as observed by a set of nodes.
struct TargetLoad {
  /// Their requests in flight.
  unsigned InFlight = 0;
  /// Of these, requests whose response has begun.
  unsigned Responding = 0;
  /// Prompt tokens of requests whose response has not begun.
  double PromptWaiting = 0;
  /// Time since any of them received a byte, or since the first request was
  /// sent. If responses have begun, only these count.
  Millis SilentFor{0};
  /// Longest time that a request has waited for its first byte.
  Millis LongestWait{0};
  /// Smoothed first-byte time in milliseconds; 0 if unknown.
  double FirstByteMs = 0;
  /// How long one of them still regards it as suspect.
  Millis SuspectDuration{0};

  /// Adds the observations of other nodes.
  void add(const TargetLoad &Other);
  /// Responses are in progress and none receives bytes.
  bool isStalled() const;
  /// Responses are in progress and some receive bytes.
  bool hasProgress() const;
};

using TargetLoads = std::unordered_map<TargetHash, TargetLoad>;

/// Reports of other nodes expire after this time, a few report intervals.
inline constexpr Millis ReportMaxAge(900);

/// Silence on all responses in progress after which a target counts as stalled.
/// Exceeds the usual gap between events of a busy engine, up to 180 ms.
inline constexpr Millis StallTimeout(320);

/// Sums the reports of other nodes. Each node reports the sum of its own rows
/// and those of its readers to its upstream node, which returns the sum of all
/// others. \p Rows maps keys to values with add(). Not thread-safe.
template <typename Rows> class ReportAggregator {
public:
  /// Sets the report of a node of this data centre: its own rows and those of
  /// its readers.
  void addReport(const NodeId &From, Rows Values, TimePoint Now) {
    this->Reports[From] = {std::move(Values), Now, false};
  }
  /// Sets the report of another data centre's nodes.
  void addCentreReport(const NodeId &From, Rows Values, TimePoint Now) {
    this->Reports[From] = {std::move(Values), Now, true};
  }
  /// Sets the report of the upstream node: the sum of all others.
  void setUpstreamReport(Rows Values, TimePoint Now) {
    this->Upstream = {std::move(Values), Now, false};
  }

  /// Returns the sum of \p Own and the reports of this data centre received
  /// here.
  Rows sumForUpstream(const Rows &Own, TimePoint Now) const {
    Rows Sum = Own;
    for (const auto &[Node, Row] : this->Reports)
      if (!Row.OtherCentre && Now - Row.At < ReportMaxAge)
        addAll(Sum, Row.Values);
    return Sum;
  }
  /// Returns the sum of \p Own and all reports except that of \p Reader.
  Rows sumForReader(const Rows &Own, const NodeId &Reader,
                    TimePoint Now) const {
    Rows Sum = Own;
    for (const auto &[Node, Row] : this->Reports)
      if (Node != Reader && Now - Row.At < ReportMaxAge)
        addAll(Sum, Row.Values);
    if (Now - this->Upstream.At < ReportMaxAge)
      addAll(Sum, this->Upstream.Values);
    return Sum;
  }
  /// Returns the sum of all other nodes.
  Rows sumOfOthers(TimePoint Now) const {
    return this->sumForReader({}, NodeId(), Now);
  }

private:
  struct Report {
    Rows Values;
    TimePoint At;
    bool OtherCentre = false;
  };
  static void addAll(Rows &Sum, const Rows &Other) {
    for (const auto &[Key, Row] : Other)
      Sum[Key].add(Row);
  }
  std::map<NodeId, Report> Reports;
  Report Upstream;
};

/// Reports of target loads.
using TargetLoadReports = ReportAggregator<TargetLoads>;

} // namespace waycove
