// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "soak/soak_system.h"

#include <functional>
#include <random>

namespace waycove::test {

/// Sends requests that share one part of their prompts, which crashes the
/// targets that run them, and nothing else. Used by one thread.
class CrashingParts {
public:
  explicit CrashingParts(SoakSystem &System);
  /// Sends until \p IsOver and checks how many targets crashed.
  void sendRepeatedly(const std::function<bool()> &IsOver);

private:
  int countCrashes();

  SoakSystem &System;
  std::mt19937_64 Random;
};

/// Lets targets end their responses with the connection, and streams inside an
/// event, for some seconds each, until the faults are over.
void respondUnframedRepeatedly(SoakSystem &System);

} // namespace waycove::test
