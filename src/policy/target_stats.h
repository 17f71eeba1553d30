// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/load_reports.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace waycove {

/// How one target looks from this node.
struct TargetStats {
  /// Requests of this node that run or wait there.
  unsigned InFlight = 0;
  /// Of these, how many get their answer already.
  unsigned Responding = 0;
  /// Prompt tokens that no answer has begun for.
  double PromptWaiting = 0;
  /// When those that wait for their answer's first byte were sent.
  std::vector<TimePoint> WaitingSince;
  /// Last time that anything came from it.
  TimePoint LastProgress;
  /// Gets no new work until then, unless nothing else is left.
  TimePoint SuspectUntil;
  /// Smoothed time to the first byte of an answer, in milliseconds; 0 for not
  /// known.
  double FirstByteMs = 0;
  TimePoint FirstByteAt;
  /// Smoothed share of answers that were errors of the target itself.
  double FailureRate = 0;
  unsigned Answers = 0;
  /// Its last answer said that it closes the connection: it may be leaving.
  bool Closing = false;

  /// Answers are under way and none of them moves: whatever it depends on has
  /// failed, or it has itself.
  bool isStalled(TimePoint Now) const;
  /// When the one that waits longest for its first byte was sent.
  std::optional<TimePoint> oldestWait() const;
  /// Time since anything came, or since the oldest request was sent.
  Millis silence(TimePoint Now) const;
};

/// What the node knows of targets: from its own requests, and from what other
/// nodes told lately. A target is left on the word of all, since one node's
/// silence may be its own fault. Not thread-safe.
class TargetStatsTable {
public:
  void onStart(const VmIncarnation &Target, double PromptTokens, TimePoint Now);
  /// The first byte of an answer to the request sent at \p SentAt came.
  void onFirstByte(const VmIncarnation &Target, TimePoint SentAt,
                   double PromptTokens, TimePoint Now);
  void onProgress(const VmIncarnation &Target, TimePoint Now);
  /// The request sent at \p SentAt ended, before its first byte or after.
  void onEnd(const VmIncarnation &Target, TimePoint SentAt, bool FirstByteSeen,
             double PromptTokens);
  /// Counts an answer of the target as failed or not.
  void onOutcome(const VmIncarnation &Target, bool Failed, TimePoint Now);
  /// An answer of the target says whether it closes the connection.
  void onResponseHead(const VmIncarnation &Target, bool Closes);
  /// Takes the target out of choice for \p Time.
  void suspect(const VmIncarnation &Target, TimePoint Now, Millis Time);
  /// The target is in another group than before: what it was doubted for is
  /// over.
  void onRegrouped(const VmIncarnation &Target);
  const TargetStats &of(const VmIncarnation &Target) const;

  /// What this node sees of targets that it uses, for others.
  TargetLoads loads(TimePoint Now) const;
  /// What all other nodes see, as told at \p Now.
  void setReports(TargetLoads Others, TimePoint Now);
  /// Whether other nodes told lately what they see.
  bool hasReports(TimePoint Now) const;
  /// What other nodes see of the target; null where nothing new is known.
  const TargetLoad *reportedLoad(const VmIncarnation &Target,
                                 TimePoint Now) const;
  /// Whether answers are under way there and none moves, here and elsewhere.
  bool isStalled(const VmIncarnation &Target, TimePoint Now) const;
  /// Whether it should get no new work while there are others: this node says
  /// so, or another one does whose doubts nobody's answers dispel. What stands
  /// still is left by all soon, and would look idle else.
  bool isSuspect(const VmIncarnation &Target, TimePoint Now) const;
  /// Time since anything came from it, here or elsewhere; zero where nobody
  /// waits for it.
  Millis silence(const VmIncarnation &Target, TimePoint Now) const;
  /// Drops targets that are not listed and have nothing in flight.
  void forget(const std::function<bool(const VmIncarnation &)> &IsListed);

private:
  static void stopWaiting(TargetStats &Row, TimePoint SentAt,
                          double PromptTokens);
  std::map<VmIncarnation, TargetStats> Rows;
  /// What other nodes see, by the hash of the target's id.
  TargetLoads Elsewhere;
  TimePoint ToldAt;
};

} // namespace waycove
