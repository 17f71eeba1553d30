// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/domain_plan.h"

#include <concepts>

namespace waycove {

/// How a target took an order.
enum class OrderEnd {
  /// Begun, or it holds already.
  Taken,
  /// It does not fit the target's state.
  Refused,
  /// The target has seen a newer owner's order.
  Fenced,
  /// Another process answers in the target's place: its life has ended.
  Ended,
  /// Nothing reached the target.
  NotSent,
  /// It may be carried out yet.
  Unknown,
};

/// Whether a target can be reached from this node.
enum class Reach {
  Answers,
  /// Its process has ended: another one answers, also under its id.
  Ended,
  Silent,
};

/// How orders and questions reach targets. ask() tells what became of a
/// member whose entry went, reach() whether a listed one can be reached.
template <typename C>
concept GroupControl = requires(C &Control, const GroupOrder &Order,
                                std::uint64_t Fence, const TargetInfo &Target) {
  { Control.order(Order, Fence) } -> std::same_as<OrderEnd>;
  { Control.ask(Target) } -> std::same_as<MemberStatus>;
  { Control.reach(Target) } -> std::same_as<Reach>;
};

} // namespace waycove
