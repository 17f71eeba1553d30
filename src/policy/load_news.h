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

inline TargetHash hashOf(const VmLife &Target) {
  return TargetHash(hashText(Target.Id.Text, Target.Born.Value));
}

/// How one target looks from some nodes, summed up.
struct TargetLoad {
  /// Their requests that run or wait there.
  unsigned InFlight = 0;
  /// Of these, how many get their answer already.
  unsigned Answering = 0;
  /// Prompt tokens that no answer has begun for.
  double PromptWaiting = 0;
  /// Time since any of them got something, or since the first request was
  /// sent; where answers are under way, of these alone.
  Millis Silent{0};
  /// Longest time that one waits for its first byte.
  Millis Waiting{0};
  /// Smoothed time to the first byte, in milliseconds; 0 for not known.
  double FirstByteMs = 0;
  /// How long one of them still gives it no new work.
  Millis Suspect{0};

  /// Adds what other nodes see.
  void add(const TargetLoad &Other);
  /// Answers are under way, and none of them moves.
  bool standsStill() const;
  /// Answers are under way, and some move.
  bool moves() const;
};

using LoadRows = std::unordered_map<TargetHash, TargetLoad>;

/// What other nodes see counts this long: a few rounds of news.
inline constexpr Millis NewsTime(900);

/// Silence on all answers under way that means standing still. Measured:
/// events come up to 180 ms apart on a busy engine.
inline constexpr Millis StillTime(320);

/// What other nodes tell of targets: each node tells the one that it reads
/// from what it sees itself, and is told the sum of all others. Not
/// thread-safe.
class LoadBook {
public:
  /// Another node of this data centre told what it and those that read from it
  /// see.
  void report(const NodeId &From, LoadRows Rows, TimePoint Now);
  /// The reader of another data centre told what that one's nodes see.
  void reportCentre(const NodeId &From, LoadRows Rows, TimePoint Now);
  /// The node that this one reads from told what all others see.
  void tell(LoadRows Rows, TimePoint Now);

  /// What this data centre sees as far as it was told here, with \p Own.
  LoadRows upward(const LoadRows &Own, TimePoint Now) const;
  /// What all but \p Asker see.
  LoadRows downward(const LoadRows &Own, const NodeId &Asker,
                    TimePoint Now) const;
  /// What all other nodes see.
  LoadRows others(TimePoint Now) const;

private:
  struct Report {
    LoadRows Rows;
    TimePoint At;
    bool OtherCentre = false;
  };
  std::map<NodeId, Report> Reports;
  Report Told;
};

} // namespace waycove
