// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/retry_limiter.h"

#include <algorithm>

namespace waycove {

namespace {

/// Part of the limit that is used; the rest covers slices partly outside the
/// window and nodes that count too few peers.
constexpr double UsedFraction = 0.8;

} // namespace

std::int64_t RetryLimiter::sliceOf(TimePoint At) const {
  auto SliceDuration =
      std::chrono::duration_cast<std::chrono::nanoseconds>(this->Limit.Window) /
      static_cast<std::int64_t>(Slices);
  return At.time_since_epoch() / SliceDuration;
}

void RetryLimiter::advance(TimePoint Now) {
  std::int64_t Index = this->sliceOf(Now);
  std::int64_t Steps = std::min<std::int64_t>(
      Index - this->Newest, static_cast<std::int64_t>(Slices));
  for (std::int64_t I = 0; I < Steps; ++I)
    this->Ring[static_cast<std::size_t>(Index - I) % Slices] = {};
  this->Newest = std::max(this->Newest, Index);
}

void RetryLimiter::onRequest(TimePoint Now) {
  this->advance(Now);
  this->Ring[static_cast<std::size_t>(this->Newest) % Slices].Requests += 1;
}

bool RetryLimiter::allows(double SlackShare, TimePoint Now) {
  this->advance(Now);
  Slice Sum;
  for (const Slice &Part : this->Ring) {
    Sum.Requests += Part.Requests;
    Sum.Retries += Part.Retries;
  }
  double Slack = this->Limit.Slack * SlackShare;
  return Sum.Retries + 1 <=
         UsedFraction * (this->Limit.Ratio * Sum.Requests + Slack);
}

bool RetryLimiter::take(double SlackShare, TimePoint Now) {
  if (!this->allows(SlackShare, Now))
    return false;
  this->Ring[static_cast<std::size_t>(this->Newest) % Slices].Retries += 1;
  return true;
}

void RetryLimiter::giveBack(TimePoint TakenAt, TimePoint Now) {
  this->advance(Now);
  std::int64_t Index = this->sliceOf(TakenAt);
  // Otherwise it has left the window.
  if (this->Newest - Index < static_cast<std::int64_t>(Slices))
    this->Ring[static_cast<std::size_t>(Index) % Slices].Retries -= 1;
}

} // namespace waycove
