// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/domain_plan.h"

#include <concepts>

namespace waycove {

/// How a target took an order.
enum class OrderOutcome {
  /// Begun, or it holds already.
  Accepted,
  /// It does not fit the target's state.
  Refused,
  /// The target has seen a newer owner's order.
  Fenced,
  /// Another process answers in the target's place: its life has ended.
  ProcessEnded,
  /// Nothing reached the target.
  NotSent,
  /// It may be carried out yet.
  Unknown,
};

/// Whether a target can be reached from this node.
enum class Reachability {
  Reachable,
  /// Its process has ended: another one answers, also under its id.
  ProcessEnded,
  Unresponsive,
};

/// How orders and questions reach targets. queryStatus() tells what became of a
/// member whose entry went, probe() whether a listed one can be reached.
template <typename C>
concept GroupControl = requires(C &Control, const GroupOrder &Order,
                                std::uint64_t Fence, const TargetInfo &Target) {
  { Control.order(Order, Fence) } -> std::same_as<OrderOutcome>;
  { Control.queryStatus(Target) } -> std::same_as<MemberFate>;
  { Control.probe(Target) } -> std::same_as<Reachability>;
};

} // namespace waycove
