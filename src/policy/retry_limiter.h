// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <array>
#include <cstddef>

namespace waycove {

/// Bounds on second sends, shared by all nodes without a word between them:
/// each keeps to its part of the allowance and to the ratio of its own
/// requests.
struct RetryLimit {
  /// Second sends allowed for each request.
  double Ratio = 0.2;
  /// Further second sends that all nodes together may make in a window.
  double Slack = 0;
  Millis Window{10000};
};

/// Counts one service's first and second sends in a sliding window, cut into
/// slices. Not thread-safe.
class RetryLimiter {
public:
  explicit RetryLimiter(RetryLimit Given) : Given(Given) {}
  void onRequest(TimePoint Now);
  /// Takes one second send; false where the allowance is spent. \p SlackShare
  /// is this node's part of the slack, 0 to 1.
  bool take(double SlackShare, TimePoint Now);
  /// Whether take() would allow one.
  bool allows(double SlackShare, TimePoint Now);

private:
  static constexpr std::size_t Slices = 20;
  struct Slice {
    double First = 0;
    double Second = 0;
  };
  void advance(TimePoint Now);

  RetryLimit Given;
  std::array<Slice, Slices> Ring{};
  std::int64_t Newest = 0;
};

} // namespace waycove
