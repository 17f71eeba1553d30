// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "support/neighbours.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace waycove::test {

/// IDs of the parts of a prompt that are shared with other requests, in order.
/// The last part is added for each request.
using SharedParts = std::vector<std::string>;

/// Three entries with plain targets, each of which is started again soon after
/// it ended, and callers whose prompts share parts. No two requests are alike.
class PromptLoad : public Neighbours {
public:
  using Clock = std::chrono::steady_clock;
  static constexpr int Targets = 12;
  /// Time for one node's observation to reach all nodes.
  static constexpr std::chrono::milliseconds ContactTime{3000};

  PromptLoad()
      : Neighbours("revoke_bound_ms: 5000, drain_bound_ms: 2000, "
                   "config_bound_ms: 2000",
                   Targets) {}
  ~PromptLoad() { this->stop(); }

  /// Sends requests with the parts through each entry every \p Interval, until
  /// stop(). They count as sound from \p CountedFrom on if \p Counted is set.
  void send(const SharedParts &Parts, std::chrono::milliseconds Interval,
            bool Counted = false);
  /// Starts targets again that have ended, until stop().
  void restartTargets();
  /// Kills \p Count targets, one each \p Interval.
  void killTargets(int Count, std::chrono::milliseconds Interval);
  /// Counts sound requests that are sent from now on.
  void beginCount() { this->IsCounting = true; }
  void stop();

  /// Sends one request and returns its status.
  int sendOne(const std::string &Node, const SharedParts &Parts);
  /// Times, in Unix milliseconds, at which targets began to run a request with
  /// the crashing part, in order.
  std::vector<std::uint64_t> crashTimes(const std::string &Part);
  /// Requests with the part that began to run later than ContactTime after the
  /// fifth crash under it.
  int lateRuns(const std::string &Part);

  std::atomic<int> SoundSent{0};
  std::atomic<int> SoundServed{0};

private:
  static std::string target(int Number) {
    return "p-" + std::to_string(Number);
  }
  void run(std::function<void()> Body);
  bool waitFor(std::chrono::milliseconds Duration) const;

  std::atomic<bool> Stopped{false};
  std::atomic<bool> IsCounting{false};
  std::atomic<std::uint64_t> NextRequest{0};
  /// Guards the processes of targets.
  std::mutex TargetMutex;
  std::vector<std::thread> Threads;
};

} // namespace waycove::test
