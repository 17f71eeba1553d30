// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/load_reports.h"
#include "policy/standstill.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace waycove {

/// Bytes that a target sent before it ended, or before its links broke, may be
/// read from other connections this much later. It also answers loads: a busy
/// node reads its connections one after the other.
inline constexpr Millis LateReadDelay{100};

/// What this node observes of one target.
struct TargetStats {
  /// Requests of this node in flight.
  unsigned InFlight = 0;
  /// Of these, requests whose response has begun.
  unsigned Responding = 0;
  /// Prompt tokens of requests whose response has not begun.
  double PromptWaiting = 0;
  /// Send times of the requests whose response has not begun.
  std::vector<TimePoint> WaitingSince;
  /// Last time that any byte was received from it.
  TimePoint LastProgress;
  /// Receives no new requests until then if another target is available.
  TimePoint SuspectUntil;
  /// Smoothed time to the first byte of a response, in milliseconds; 0 if
  /// unknown.
  double FirstByteMs = 0;
  TimePoint FirstByteAt;
  /// Smoothed fraction of responses that were errors of the target itself.
  double FailureRate = 0;
  unsigned Responses = 0;
  /// Successive requests that it rejected, and when it rejected the last one.
  unsigned Rejections = 0;
  TimePoint RejectedAt;
  /// Its last response announced the end of the connection: it may be leaving.
  bool Closing = false;
  /// Connections that ended before their responses did, without a sign of life
  /// between them, and when the first and the last one did.
  unsigned LossesInRow = 0;
  TimePoint FirstLossAt;
  TimePoint LastLossAt;

  /// Returns true if responses are in progress but none made progress within
  /// StallTimeout, in which this node has run.
  bool isStalled(const StandstillHistory &Standstills, TimePoint Now) const;
  /// Returns the send time of the request that has waited longest for its first
  /// byte.
  std::optional<TimePoint> oldestWait() const;
  /// Time since the last byte received, or since the oldest request was sent,
  /// in which this node has run.
  Millis silence(const StandstillHistory &Standstills, TimePoint Now) const;
};

/// Per-target statistics from the requests of this node and from the latest
/// reports of other nodes. Reports are needed to tell a stalled target from a
/// fault of this node alone. Not thread-safe.
class TargetStatsTable {
public:
  /// This node has stood still, which is no silence of any target.
  void onStandstill(const Standstill &Found) { this->Standstills.add(Found); }
  /// How long this node has run between \p From and \p Until.
  Millis runningTime(TimePoint From, TimePoint Until) const;
  void onStart(const VmIncarnation &Target, double PromptTokens, TimePoint Now);
  /// Records the first byte of the response to the request sent at \p SentAt.
  void onFirstByte(const VmIncarnation &Target, TimePoint SentAt,
                   double PromptTokens, TimePoint Now);
  void onProgress(const VmIncarnation &Target, TimePoint Now);
  /// The caller of a response of the target stopped reading, so that its
  /// progress says nothing about the target until onReleased().
  void onHeldUp(const VmIncarnation &Target);
  void onReleased(const VmIncarnation &Target, TimePoint Now);
  /// Records the end of the request sent at \p SentAt, before its first byte or
  /// after.
  void onEnd(const VmIncarnation &Target, TimePoint SentAt, bool FirstByteSeen,
             double PromptTokens);
  /// A connection to the target ended before its response did.
  void onLost(const VmIncarnation &Target, TimePoint Now);
  /// Counts a response of the target as failed or successful.
  void onOutcome(const VmIncarnation &Target, bool Failed, TimePoint Now);
  /// Records that the target rejected a request without running it. Returns for
  /// how long it should receive no more of this node's requests.
  Millis onRejected(const VmIncarnation &Target, TimePoint Now);
  /// Records whether a response of the target closes the connection.
  void onResponseHead(const VmIncarnation &Target, bool Closes);
  /// Marks the target as suspect for \p Duration.
  void suspect(const VmIncarnation &Target, TimePoint Now, Millis Duration);
  /// Clears suspicion of a target that changed its group.
  void onRegrouped(const VmIncarnation &Target);
  /// Clears suspicion of all targets: this node has lost its own links.
  void clearSuspicion();
  /// Returns the targets that this node waits for, if there are several and
  /// none of them sends it any byte for \p Silence.
  std::vector<VmIncarnation> allSilentHere(Millis Silence, TimePoint Now) const;
  const TargetStats &of(const VmIncarnation &Target) const;

  /// The load that this node reports to others.
  TargetLoads loads(TimePoint Now) const;
  /// Replaces the summed reports of all other nodes.
  void setReports(TargetLoads Others, TimePoint Now);
  /// Returns true if there are current reports of other nodes.
  bool hasReports(TimePoint Now) const;
  /// Returns what other nodes report of the target, or null if nothing current
  /// is known.
  const TargetLoad *reportedLoad(const VmIncarnation &Target,
                                 TimePoint Now) const;
  /// Returns the requests in flight at the target, of this node and as other
  /// nodes report.
  double inFlight(const VmIncarnation &Target, TimePoint Now) const;
  /// Returns true if responses are in progress and stalled, here and at other
  /// nodes.
  bool isStalled(const VmIncarnation &Target, TimePoint Now) const;
  /// Returns true if the target should receive no new requests while others are
  /// available: it is stalled, this node suspects it, or another node does and
  /// no node receives bytes from it. A stalled target must count as suspect
  /// since requests leave it and it would look idle.
  bool isSuspect(const VmIncarnation &Target, TimePoint Now) const;
  /// Returns true if responses of the target are in progress and move, here or
  /// at other nodes.
  bool hasProgress(const VmIncarnation &Target, TimePoint Now) const;
  /// Whether this node has received bytes of the target so long after a
  /// connection to it ended, at \p LostAt, that it was alive then.
  bool showedLifeAfter(const VmIncarnation &Target, TimePoint LostAt) const;
  /// Whether the connection that ended at \p LostAt was one of several that
  /// ended without a sign of life between them and for a while afterwards: the
  /// target has ended, or its links are cut.
  bool wasCutOff(const VmIncarnation &Target, TimePoint LostAt,
                 TimePoint Now) const;
  /// Time since any byte was received from it, here or at other nodes; zero if
  /// no request is in flight.
  Millis silence(const VmIncarnation &Target, TimePoint Now) const;
  /// Drops targets that are not listed and have no requests in flight.
  void forget(const std::function<bool(const VmIncarnation &)> &IsListed);

private:
  static void stopWaiting(TargetStats &Stats, TimePoint SentAt,
                          double PromptTokens);
  std::unordered_map<VmIncarnation, TargetStats, IncarnationHash> Targets;
  StandstillHistory Standstills;
  /// Summed reports of other nodes, by the hash of the target.
  TargetLoads Reported;
  TimePoint ReportedAt;
};

} // namespace waycove
