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
  /// Adds a fault that has ended.
  void add(const Period &Ended);
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

/// A request and how it ended for its caller; in Unix milliseconds.
struct EndedCall {
  std::string Id;
  std::string Node;
  std::uint64_t Begin = 0;
  std::uint64_t End = 0;
  /// The connection was never opened.
  bool Refused = false;
  /// Whole events of a stream that arrived.
  int Events = 0;
  /// The response is complete.
  bool Whole = false;

  std::uint64_t durationMs() const { return this->End - this->Begin; }
};

/// The requests of all callers. Thread-safe.
class EndedCalls {
public:
  void add(const EndedCall &Call);
  std::vector<EndedCall> all();

private:
  std::mutex Mutex;
  std::vector<EndedCall> Rows;
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
  SoakSystem(std::uint64_t Seed, bool HasLongStreams)
      : Seed(Seed), HasLongStreams(HasLongStreams),
        CallerDeadline(HasLongStreams ? 11000 : 6000) {}
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
  /// Streams run for 4 s, and their callers wait accordingly.
  const bool HasLongStreams;
  /// Deadline that callers state.
  const std::chrono::milliseconds CallerDeadline;
  /// When callers leave.
  std::chrono::milliseconds callTimeout() const {
    return this->CallerDeadline + std::chrono::milliseconds(2000);
  }
  Cluster Run;
  /// IDs of all targets; constant once the system has started.
  std::vector<std::string> Vms;
  /// Set when no fault is injected any more.
  std::atomic<bool> FaultsOver{false};
  Disturbances Faults;
  /// Times in which entries did not run, or were killed.
  Disturbances Outages;
  /// Moments at which entries were killed.
  Disturbances Kills;
  /// Times in which entries stopped as they were told to.
  Disturbances Stops;
  /// Times in which targets, or their connections, did not last: killed,
  /// crashed, reset. Names one target, or linkName() for those of one entry.
  Disturbances Breaks;
  static std::string linkName(const std::string &Node, const std::string &Vm) {
    return Node + " to " + Vm;
  }
  EndedCalls Calls;
  FailedChecks Failures;
};

} // namespace waycove::test
