// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <map>
#include <unordered_map>

namespace waycove {

/// Hash of a target's life, as nodes name it to each other.
using TargetHash = Number<struct TargetHashTag>;

inline TargetHash hashOf(const VmIncarnation &Target) {
  return TargetHash(hashText(Target.Id.Text, Target.StartedAt.Value));
}

/// How one target looks from some nodes, summed up.
struct TargetLoad {
  /// Their requests that run or wait there.
  unsigned InFlight = 0;
  /// Of these, how many get their answer already.
  unsigned Responding = 0;
  /// Prompt tokens that no answer has begun for.
  double PromptWaiting = 0;
  /// Time since any of them got something, or since the first request was
  /// sent; where answers are under way, of these alone.
  Millis SilentFor{0};
  /// Longest time that one waits for its first byte.
  Millis LongestWait{0};
  /// Smoothed time to the first byte, in milliseconds; 0 for not known.
  double FirstByteMs = 0;
  /// How long one of them still gives it no new work.
  Millis SuspectFor{0};

  /// Adds what other nodes see.
  void add(const TargetLoad &Other);
  /// Answers are under way, and none of them moves.
  bool isStalled() const;
  /// Answers are under way, and some move.
  bool hasProgress() const;
};

using TargetLoads = std::unordered_map<TargetHash, TargetLoad>;

/// What other nodes see counts this long: a few rounds of news.
inline constexpr Millis ReportMaxAge(900);

/// Silence on all answers under way that means standing still. Measured:
/// events come up to 180 ms apart on a busy engine.
inline constexpr Millis StallTimeout(320);

/// What other nodes tell, summed up: each node tells the one that it reads from
/// what it counts itself and was told by those that read from it, and is told
/// the sum of all others. \p Rows maps keys to what has add(). Not thread-safe.
template <typename Rows> class ReportAggregator {
public:
  /// Another node of this data centre told what it and those that read from it
  /// see.
  void addReport(const NodeId &From, Rows Told, TimePoint Now) {
    this->Reports[From] = {std::move(Told), Now, false};
  }
  /// The reader of another data centre told what that one's nodes see.
  void addCentreReport(const NodeId &From, Rows Told, TimePoint Now) {
    this->Reports[From] = {std::move(Told), Now, true};
  }
  /// The node that this one reads from told what all others see.
  void setUpstreamReport(Rows Told, TimePoint Now) {
    this->Told = {std::move(Told), Now, false};
  }

  /// What this data centre sees as far as it was told here, with \p Own.
  Rows sumForUpstream(const Rows &Own, TimePoint Now) const {
    Rows Sum = Own;
    for (const auto &[Node, Row] : this->Reports)
      if (!Row.OtherCentre && Now - Row.At < ReportMaxAge)
        addAll(Sum, Row.Told);
    return Sum;
  }
  /// What all but \p Asker see.
  Rows sumForReader(const Rows &Own, const NodeId &Asker, TimePoint Now) const {
    Rows Sum = Own;
    for (const auto &[Node, Row] : this->Reports)
      if (Node != Asker && Now - Row.At < ReportMaxAge)
        addAll(Sum, Row.Told);
    if (Now - this->Told.At < ReportMaxAge)
      addAll(Sum, this->Told.Told);
    return Sum;
  }
  /// What all other nodes see.
  Rows sumOfOthers(TimePoint Now) const {
    return this->sumForReader({}, NodeId(), Now);
  }

private:
  struct Report {
    Rows Told;
    TimePoint At;
    bool OtherCentre = false;
  };
  static void addAll(Rows &Into, const Rows &More) {
    for (const auto &[Key, Row] : More)
      Into[Key].add(Row);
  }
  std::map<NodeId, Report> Reports;
  Report Told;
};

/// What nodes see of targets.
using TargetLoadReports = ReportAggregator<TargetLoads>;

} // namespace waycove
