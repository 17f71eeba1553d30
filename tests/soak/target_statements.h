// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "soak/soak_system.h"

#include <random>

namespace waycove::test {

/// Lets targets state limits, rests and that they leave, and checks that
/// entries follow. Used by one thread at a time.
class TargetStatements {
public:
  explicit TargetStatements(SoakSystem &System);
  /// Lets a target state one thing for some seconds; checks a stated limit.
  void stateSomething();
  /// Compares the rests and leavings with the requests that came afterwards.
  void checkRequests();

private:
  /// A request of a caller as its target logged it.
  struct Arrival {
    std::string Entry;
    std::uint64_t At = 0;
    /// "-" if the response stated nothing.
    std::string Stated;
  };
  void stateLimit(const std::string &Vm);
  /// Records that \p Vm states something for \p Duration, or until the faults
  /// are over.
  void waitForPeriod(const std::string &Vm, std::chrono::milliseconds Duration);
  std::vector<Arrival> arrivalsIn(const Period &Within);
  void checkAfter(const Arrival &Told, const std::vector<Arrival> &Rows,
                  const std::string &Vm);

  SoakSystem &System;
  std::mt19937_64 Random;
  /// When targets rested or left.
  std::vector<Period> Periods;
};

} // namespace waycove::test
