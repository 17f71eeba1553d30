// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "support/cluster.h"

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

namespace waycove::test {

/// Requests that are under way when something changes arrive within this time.
inline constexpr std::uint64_t UnderWayMs = 500;
/// Deadline that callers state.
inline constexpr std::chrono::milliseconds CallerDeadline(6000);

/// Unix time in milliseconds, as targets log it.
std::uint64_t wallMs();

/// In Unix milliseconds; the end is 0 while it lasts.
struct Period {
  std::string Name;
  std::uint64_t Begin = 0;
  std::uint64_t End = 0;
};

/// The faults at entries, targets and their links. Thread-safe.
class Disturbances {
public:
  void begin(const std::string &Name);
  void end(const std::string &Name);
  /// Whether a fault was active at an entry, a target or its link.
  bool wasDisturbed(const std::string &Name, std::uint64_t From,
                    std::uint64_t Until);
  /// When the latest fault between \p From and \p Until ended; 0 if there was
  /// none, and \p Until if it lasts.
  std::uint64_t latestEnd(const std::string &Name, std::uint64_t From,
                          std::uint64_t Until);

private:
  std::mutex Mutex;
  std::vector<Period> Rows;
};

/// Failed checks of a run, one a line. Thread-safe.
class FailedChecks {
public:
  void add(const std::string &What);
  /// Empty if all checks passed.
  std::string text();

private:
  std::mutex Mutex;
  std::string Lines;
};

/// The system of one run, which its callers, faults and checks share.
struct SoakSystem {
  explicit SoakSystem(std::uint64_t Seed) : Seed(Seed) {}
  /// Sends a request with the usual headers. Thread-safe.
  Reply call(const std::string &Node, const std::string &Path,
             const std::string &Id, const std::string &Key = "key-1",
             const std::string &Body = "body",
             const std::string &Parts = "a1:40,b1:20,c1:5");
  /// Sets faults of a target, which may be stopped or gone.
  void setFaults(const std::string &Vm, const std::string &Json);
  /// Removes the entry of a target from the registry.
  void removeFromRegistry(const std::string &Vm);

  const std::uint64_t Seed;
  Cluster Run;
  /// IDs of all targets; constant once the system has started.
  std::vector<std::string> Vms;
  /// Set when no fault is injected any more.
  std::atomic<bool> FaultsOver{false};
  Disturbances Faults;
  /// Times in which entries did not run, or were killed.
  Disturbances Outages;
  FailedChecks Failures;
};

} // namespace waycove::test
