// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <array>
#include <atomic>
#include <csignal>
#include <cstdint>

namespace waycove {

/// From now on, a fatal signal and std::terminate() write the event
/// DaemonCrashed to standard output, with the reason and the number of requests
/// in flight, before the process ends as it would without. Lines that wait in
/// the log's queue get some time to be written. To be called once; \p InFlight
/// has to live until the process ends. Errors: system_error if a handler cannot
/// be set.
void logCrashes(const NodeId &Node, const std::atomic<std::uint32_t> &InFlight);

/// Makes handlers of signals in this thread run on a stack of their own, so
/// that they also can where the thread's stack is used up. Lives on that stack,
/// in the thread's outermost function.
class SignalStack {
public:
  SignalStack();
  ~SignalStack();
  SignalStack(const SignalStack &) = delete;
  SignalStack &operator=(const SignalStack &) = delete;

private:
  /// The kernel saves the processor's registers there, up to 11 KB of them.
  static constexpr std::size_t StackBytes = 16 << 10;

  /// Not set, so that its pages are not used.
  std::array<char, StackBytes> Bytes;
  stack_t Previous{};
};

} // namespace waycove
