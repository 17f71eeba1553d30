// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/connections.h"

#include <algorithm>

namespace waycove {

namespace {

/// Fraction of a target's connections that may be idle; the others are reserved
/// for requests that need a new one. Beyond its maximum, a target resets
/// connections, and requests that must not be repeated fail with them.
constexpr double IdleFraction = 0.4;
/// Maximum idle connections per target; a node rarely runs more requests there.
constexpr unsigned MaxIdle = 8;
/// Resolution of the draw that decides which nodes keep one more connection.
constexpr std::uint64_t DrawSteps = 1024;

} // namespace

unsigned idleConnectionLimit(unsigned TotalLimit, double EvenShare,
                             const NodeId &Node, const VmId &Target) {
  double Limit = IdleFraction * TotalLimit * EvenShare;
  if (Limit >= MaxIdle)
    return MaxIdle;
  auto Whole = static_cast<unsigned>(Limit);
  std::uint64_t Step =
      mixHash(hashText(Node.Text), hashText(Target.Text)) % DrawSteps;
  double Draw = static_cast<double>(Step) / DrawSteps;
  return Whole + (Draw < Limit - Whole ? 1 : 0);
}

} // namespace waycove
