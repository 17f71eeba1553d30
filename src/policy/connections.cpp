// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/connections.h"

#include <algorithm>

namespace waycove {

namespace {

/// Part of a target's connections that may rest; the others are for requests
/// that need a fresh one. Measured on 79 nodes before four targets that take
/// 110 each: with no bound 317 connections were reset in a minute, and as many
/// requests that must not be repeated failed.
constexpr double RestingPart = 0.4;
/// A node has a few requests at one target at a time.
constexpr unsigned MostKept = 8;
/// Steps of the draw that says which nodes keep one more: fine enough for
/// parts of a connection, it has no other meaning.
constexpr std::uint64_t DrawSteps = 1024;

} // namespace

unsigned idleConnectionLimit(unsigned MostOfAll, double EvenShare,
                             const NodeId &Node, const VmId &Target) {
  double Part = RestingPart * MostOfAll * EvenShare;
  if (Part >= MostKept)
    return MostKept;
  auto Sure = static_cast<unsigned>(Part);
  std::uint64_t Step =
      mixHash(hashText(Node.Text), hashText(Target.Text)) % DrawSteps;
  double Draw = static_cast<double>(Step) / DrawSteps;
  return Sure + (Draw < Part - Sure ? 1 : 0);
}

} // namespace waycove
