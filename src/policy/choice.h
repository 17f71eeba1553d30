// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"

#include <functional>

namespace waycove {

/// How one target looks from this node.
struct TargetVitals {
  /// Requests of this node that run or wait there.
  unsigned InFlight = 0;
  /// Their prompt tokens that no answer has begun for.
  double PromptWaiting = 0;
  /// Last time that anything came from it.
  TimePoint LastProgress;
  /// Gets no new work until then, unless nothing else is left.
  TimePoint SuspectUntil;
  /// Smoothed time to the first byte of an answer, in milliseconds; 0 for not
  /// known.
  double FirstByteMs = 0;
  /// Smoothed share of answers that were errors of the target itself.
  double FailureShare = 0;
  unsigned Answers = 0;
};

/// What the node knows of targets from its own requests.
class VitalsTable {
public:
  void onStart(const VmId &Target, double PromptTokens);
  /// The first byte of an answer came after \p Took.
  void onFirstByte(const VmId &Target, Millis Took, double PromptTokens,
                   TimePoint Now);
  void onProgress(const VmId &Target, TimePoint Now);
  /// \p Unanswered is the prompt that still waited, in tokens.
  void onEnd(const VmId &Target, double Unanswered);
  /// Counts an answer of the target as failed or not.
  void onOutcome(const VmId &Target, bool Failed, TimePoint Now);
  /// Takes the target out of choice for \p Time.
  void suspect(const VmId &Target, TimePoint Now, Millis Time);
  const TargetVitals &of(const VmId &Target) const;
  /// Drops targets that are not listed and have nothing in flight.
  void forget(const std::function<bool(const VmId &)> &IsListed);
  std::size_t size() const { return this->Rows.size(); }

private:
  std::map<VmId, TargetVitals> Rows;
};

/// What one choice is about.
struct ChoiceQuery {
  /// Empty for plain services.
  std::string Model;
  DataCentreId Here;
  /// Targets that this request was sent to before.
  std::vector<VmId> Avoid;
  TimePoint Now;
  /// Uniform bits.
  std::uint64_t Random = 0;
  /// Requests that one target runs at a time, as the service states it.
  unsigned Slots = 1;
};

/// The target with the least expected wait. A target in another data centre
/// and one that is under suspicion pay a penalty, so they are used where the
/// others are worse, or nothing else is left. Null where none is listed.
const Serving *chooseTarget(const std::vector<Serving> &Rows,
                            const VitalsTable &Vitals,
                            const ChoiceQuery &Query);

} // namespace waycove
