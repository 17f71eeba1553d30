// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <array>
#include <cstddef>

namespace waycove {

/// Limits on retries of a service. All nodes enforce them together without
/// communication: each observes the ratio to its own requests and its share of
/// the slack.
struct RetryLimit {
  /// Retries allowed per request.
  double Ratio = 0.2;
  /// Additional retries that all nodes together may make in a window.
  double Slack = 0;
  Millis Window{10000};
};

/// Counts requests and retries of one service in a sliding window of slices.
/// Not thread-safe.
class RetryLimiter {
public:
  explicit RetryLimiter(RetryLimit Limit) : Limit(Limit) {}
  void onRequest(TimePoint Now);
  /// Takes one retry and returns true, or false if the limit is reached. \p
  /// SlackShare is this node's part of the slack, 0 to 1.
  bool take(double SlackShare, TimePoint Now);
  /// Returns true if take() would allow a retry.
  bool allows(double SlackShare, TimePoint Now);
  /// Returns a retry that was taken at \p TakenAt and not made.
  void giveBack(TimePoint TakenAt, TimePoint Now);

private:
  static constexpr std::size_t Slices = 20;
  struct Slice {
    double Requests = 0;
    double Retries = 0;
  };
  void advance(TimePoint Now);
  std::int64_t sliceOf(TimePoint At) const;

  RetryLimit Limit;
  std::array<Slice, Slices> Ring{};
  std::int64_t Newest = 0;
};

} // namespace waycove
