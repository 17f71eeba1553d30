// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/domain_plan.h"

#include <absl/status/statusor.h>
#include <concepts>

namespace waycove {

/// Outcome of an order sent to a target.
enum class OrderOutcome {
  /// Started, or already in effect.
  Accepted,
  /// Refused: it does not fit the target's state.
  Refused,
  /// Refused: the target has seen a newer owner's order. From GroupControl also
  /// for a join whose epoch is below one that the target has seen.
  Fenced,
  /// Another process responds at the target's address: the incarnation has
  /// ended.
  ProcessEnded,
  /// The order did not reach the target.
  NotSent,
  /// No response: it may or may not be carried out.
  Unknown,
  /// Refused: the target, which is in no group, has seen a newer epoch of the
  /// same fence. From OrderSender alone.
  EpochSeen,
};

/// Whether a target can be reached from this node.
enum class Reachability {
  Reachable,
  /// Another process responds at its address, possibly under the same id.
  ProcessEnded,
  Unresponsive,
};

/// Sends orders and queries of an entry on the platform to targets; the daemon
/// with waycove's own interface uses EngineControl instead. queryStatus()
/// returns the status of a member whose registry entry was removed,
/// reportedGroup() the group that a target says it is in, if any, or an error
/// if it does not report, and probe() whether a listed target can be reached.
template <typename C>
concept GroupControl = requires(C &Control, const GroupOrder &Order,
                                std::uint64_t Fence, const TargetInfo &Target) {
  { Control.order(Order, Fence) } -> std::same_as<OrderOutcome>;
  { Control.queryStatus(Target) } -> std::same_as<MemberStatus>;
  {
    Control.reportedGroup(Target)
    } -> std::same_as<absl::StatusOr<std::optional<GroupKey>>>;
  { Control.probe(Target) } -> std::same_as<Reachability>;
};

} // namespace waycove
