// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "soak/soak_system.h"

#include <random>

namespace waycove::test {

/// Lets all processes stand still at the same moment, as those of a busy
/// machine do. Used by one thread.
class Standstills {
public:
  explicit Standstills(SoakSystem &System);
  /// Stops the processes of running entries and targets, now and then when it
  /// is called, and returns when all run again: the entries at the same moment,
  /// the targets some time later.
  void maybeStandStill(const std::vector<std::string> &Nodes,
                       const std::vector<std::string> &Vms);

private:
  int randomBelow(int Below);

  SoakSystem &System;
  std::mt19937_64 Random;
};

} // namespace waycove::test
