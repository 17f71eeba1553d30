// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "support/cluster.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace waycove::test {

/// Calls entries steadily, with callers that wait much longer than the route's
/// timeout, and collects the requests that were not ended within half a second
/// of it.
class TimeoutWatch {
public:
  /// Calls "/safe/x" at \p Nodes until stop().
  TimeoutWatch(Cluster &Run, const std::vector<std::string> &Nodes,
               std::chrono::milliseconds RouteTimeout);

  /// Ends the calls. Returns the overdue ones, one a line.
  std::string stop();
  /// Requests that have reached their timeout.
  int timedOut() const { return this->TimedOut; }

private:
  static constexpr int CallersPerNode = 3;
  static constexpr std::chrono::milliseconds CallerTimeout{6000};
  static constexpr std::chrono::milliseconds EndBound{500};
  static constexpr std::chrono::milliseconds BetweenCalls{20};

  void call(const std::string &Node);

  Cluster &Run;
  const std::chrono::milliseconds RouteTimeout;
  std::atomic<int> Sent{0};
  std::atomic<int> TimedOut{0};
  std::mutex Mutex;
  std::string Overdue;
  std::vector<std::jthread> Callers;
};

} // namespace waycove::test
