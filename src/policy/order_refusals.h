// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/domain_plan.h"

#include <absl/status/statusor.h>

namespace waycove {

/// Low bits of an epoch, which count the groups of one fence; the fence is in
/// the bits above.
inline constexpr unsigned EpochCounterBits = 20;

/// Tells apart why targets refuse orders as outdated: they do so for a fence
/// below one that they have seen, and for a join also for an epoch below one
/// that they have seen, which may be of the same fence. After the first, the
/// owner has to stop; after the second, it goes on with a higher epoch. Not
/// thread-safe.
class OrderRefusals {
public:
  enum class Cause {
    /// A newer owner has ordered the target.
    NewerFence,
    /// The target is in a group with a newer epoch, which the registry will
    /// show; until then the target must not join another one.
    InNewerGroup,
    /// The target is in no group and has seen a newer epoch.
    NewerEpoch,
    /// Not known; the order may be repeated.
    Unknown,
  };
  /// The group that a target reports to be in, if any; an error if it did not
  /// report.
  using ReportedGroup = absl::StatusOr<std::optional<GroupKey>>;

  /// Whether the target refused \p Fence, or a newer one, for a newer fence.
  bool isFenced(const VmIncarnation &Target, std::uint64_t Fence) const;
  /// Records that the target of \p Order refused it as outdated, and returns
  /// the cause, given what the target reports.
  Cause record(const GroupOrder &Order, std::uint64_t Fence,
               const ReportedGroup &Reported);

private:
  /// Refusals of one fence by a target that do not tell their cause, after
  /// which it counts as fenced. Bounds the orders under an outdated fence.
  static constexpr unsigned MaxUnexplained = 3;

  struct Refusal {
    /// Newest fence that the target refused.
    std::uint64_t Fence = 0;
    /// Refusals of it that do not tell their cause.
    unsigned Unexplained = 0;
    bool IsFenced = false;
  };
  static Cause causeOf(const GroupOrder &Order, std::uint64_t Fence,
                       const ReportedGroup &Reported);

  /// By incarnation: a target that restarts forgets what it has seen.
  std::map<VmIncarnation, Refusal> Refusals;
};

} // namespace waycove
