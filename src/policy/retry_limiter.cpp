// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/retry_limiter.h"

#include <algorithm>

namespace waycove {

namespace {

/// Part of the allowance that is used: the rest covers slices that lie partly
/// outside the window, and nodes that count fewer peers than there are.
constexpr double UsedPart = 0.8;

} // namespace

void RetryLimiter::advance(TimePoint Now) {
  auto SliceTime =
      std::chrono::duration_cast<std::chrono::nanoseconds>(this->Given.Window) /
      static_cast<std::int64_t>(Slices);
  std::int64_t Index = Now.time_since_epoch() / SliceTime;
  std::int64_t Steps = std::min<std::int64_t>(
      Index - this->Newest, static_cast<std::int64_t>(Slices));
  for (std::int64_t I = 0; I < Steps; ++I)
    this->Ring[static_cast<std::size_t>(Index - I) % Slices] = {};
  this->Newest = std::max(this->Newest, Index);
}

void RetryLimiter::onRequest(TimePoint Now) {
  this->advance(Now);
  this->Ring[static_cast<std::size_t>(this->Newest) % Slices].First += 1;
}

bool RetryLimiter::allows(double SlackShare, TimePoint Now) {
  this->advance(Now);
  Slice Sum;
  for (const Slice &Row : this->Ring) {
    Sum.First += Row.First;
    Sum.Second += Row.Second;
  }
  double Slack = this->Given.Slack * SlackShare;
  return Sum.Second + 1 <= UsedPart * (this->Given.Ratio * Sum.First + Slack);
}

bool RetryLimiter::take(double SlackShare, TimePoint Now) {
  if (!this->allows(SlackShare, Now))
    return false;
  this->Ring[static_cast<std::size_t>(this->Newest) % Slices].Second += 1;
  return true;
}

} // namespace waycove
