// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/route.h"

#include <absl/status/statusor.h>
#include <concepts>

namespace waycove {

/// Order to a VM to load a model as a member of a group.
struct EngineOrder {
  VmAddress Address;
  Fence Group;
  std::string Deployment;
  std::string Model;
  std::string Version;
  std::uint64_t Rank = 0;
  std::vector<std::string> Members;
};

/// Status that a VM reports about itself.
struct MemberReport {
  Fence Group;
  bool Loaded = false;
  bool Leaving = false;
  std::uint64_t Running = 0;
  /// Number of requests that wait at the VM.
  double Queue = 0;
  /// The clock of the daemons when the VM was asked. Set by the asker.
  std::uint64_t AskedAt = 0;
};

/// Interface of the group controller to the model engines on VMs, in the daemon
/// with waycove's own interface; an entry on the platform uses GroupControl.
template <typename T>
concept EngineControl = requires(T &E, const EngineOrder &Order,
                                 const VmAddress &At) {
  { E.order(Order) } -> std::same_as<absl::Status>;
  { E.report(At) } -> std::same_as<absl::StatusOr<MemberReport>>;
};

} // namespace waycove
