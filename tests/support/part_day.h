// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/crash_blame.h"
#include "support/times.h"

#include <random>

namespace waycove::test {

/// What is compared: the suspects that a node takes from a request.
enum class SuspectWay { Content, Parts, Both };

/// A day in virtual time: targets that run many requests at once, requests with
/// a part that crashes them, sound requests that share other parts, and nodes
/// that decide alone and exchange their evidence.
struct PartDay {
  int Nodes = 9;
  int Targets = 48;
  int DurationMs = 40000;
  /// A target that crashed is back after this time.
  int BackAfterMs = 3000;
  /// Shared parts of the requests that crash targets, by culprit. The part
  /// "bad..." does.
  std::vector<std::vector<std::string>> Crashing = {{"system", "bad"}};
  /// Interval between requests that crash targets, over all nodes.
  int CrashingMs = 300;
  /// Sound requests with the first shared part and one of these, the first the
  /// most frequent.
  int Tenants = 24;
  /// Interval between sound requests, over all nodes.
  int SoundMs = 5;
  std::string First = "system";
  /// Time that sound requests run; drawn between these.
  int MinRunMs = 400;
  int MaxRunMs = 2500;
  /// The crashing part is sound until then.
  int SoundUntilMs = 0;
  /// Of all targets, so many crash at the same moment, at this interval; 0 for
  /// never.
  int DomainSize = 0;
  int DomainLossMs = 6000;
  /// Sound requests carry so many parts that never come again.
  int FloodParts = 0;
  /// Each node in turn starts again at this interval; 0 for never.
  int RestartMs = 0;
};

/// What became of a day's requests.
struct PartDayResult {
  /// Targets that crashed under a crashing part.
  int Crashes = 0;
  /// The same, sent later than ContactMs after the fifth.
  int SentLate = 0;
  int SoundSent = 0;
  int SoundRefused = 0;
  /// Of the sound requests, those sent later than twice ContactMs after the
  /// fifth crash, and how many of them were refused.
  int SoundAfterwards = 0;
  int RefusedAfterwards = 0;
  /// Largest number of rows in one report.
  std::size_t MaxReported = 0;

  static constexpr int ContactMs = 3000;
};

PartDayResult playPartDay(const PartDay &Day, SuspectWay Way,
                          std::uint64_t Seed);

} // namespace waycove::test
