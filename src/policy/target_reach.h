// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <map>
#include <optional>

namespace waycove {

/// Decides whether this node has lost its links to all targets, as opposed to
/// single targets that are down, silent or slow.
///
/// Failures at several targets in a row, without a success in between, raise a
/// doubt. Then the node probes another target. If that fails, too, it asks
/// another node whether that reaches a target which this one does not; if not,
/// the target is down. Probes also show when the links are back, so no caller's
/// request is risked for it. Not thread-safe.
class TargetReach {
public:
  enum class State { Sound, InDoubt, CutOff };
  /// What other nodes say of a target that this node does not reach.
  enum class OthersView {
    /// None could be asked, or all of them are cut off or in doubt themselves.
    Unknown,
    Reachable,
    Down,
  };

  /// No connection to the target could be opened.
  void onNoConnection(const VmIncarnation &Target, TimePoint Now);
  /// A connection to the target ended, or stayed silent, before any byte of a
  /// response.
  void onNoBytes(const VmIncarnation &Target, TimePoint Now);
  /// A connection to some target was opened.
  void onConnected();
  /// A response of some target has begun.
  void onBytes();
  /// A probe of some target was answered.
  void onProbeAnswered(TimePoint Now);
  /// A probe was not answered. \p View is that of \p Failed, one of the targets
  /// that raised the doubt.
  void onProbeFailed(const VmIncarnation &Failed, OthersView View,
                     TimePoint Now);
  /// Another node has opened a way to a target.
  void onWay() { this->Confirmed = this->Current == State::CutOff; }

  State state() const { return this->Current; }
  /// Whether another node has confirmed that the targets are up while state()
  /// is CutOff.
  bool isConfirmed() const { return this->Confirmed; }
  /// A target that raised the doubt, if there is one.
  std::optional<VmIncarnation> failedTarget() const;
  /// Since when state() is CutOff.
  TimePoint cutOffSince() const { return this->LostAt; }
  /// Whether there are failures that a success would clear.
  bool hasFailures() const {
    return !this->Unconnected.empty() || !this->Silent.empty();
  }
  /// Whether the target is one of those that failed.
  bool hasFailed(const VmIncarnation &Target) const {
    return this->Unconnected.contains(Target) || this->Silent.contains(Target);
  }
  /// Whether a request may be sent directly although no other node offers a
  /// way. All targets may be silent for a moment, towards all nodes, and then
  /// respond to what they were sent. A connection that cannot be opened is no
  /// such silence.
  bool mayStillRespond(TimePoint Now) const;

private:
  /// Targets that have to fail in a row.
  static constexpr std::size_t FailuresNeeded = 2;
  /// Older failures say nothing about newer ones.
  static constexpr Millis FailureMaxAge{2000};
  /// After a probe was answered, no new doubt arises for this long; limits the
  /// probes in overload, when several targets take long to respond.
  static constexpr Millis ProbePause{1000};
  /// Sound targets may be silent for a second or so.
  static constexpr Millis ShortSilence{2000};

  using Failures = std::map<VmIncarnation, TimePoint>;
  void add(Failures &To, const VmIncarnation &Target, TimePoint Now);
  void updateDoubt();

  State Current = State::Sound;
  bool Confirmed = false;
  Failures Unconnected;
  Failures Silent;
  TimePoint LostAt;
  TimePoint NoDoubtUntil;
};

} // namespace waycove
