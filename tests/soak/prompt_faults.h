// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "soak/soak_system.h"

#include <functional>
#include <random>

namespace waycove::test {

/// Requests that crash each target that runs them.
struct CrashSeries {
  std::uint64_t SeedOffset;
  /// What a target logs when one of them ends it.
  std::string LogLine;
  /// Crashes after which they must be blocked.
  int CrashesToBlock;
  /// Sends the request with this number through an entry.
  std::function<void(SoakSystem &System, const std::string &Node,
                     const std::string &Path, int Number)>
      Send;
};

/// The same request, again and again.
CrashSeries sameRequest();
/// Requests that share one part of their prompts, and nothing else.
CrashSeries sharedPart();

/// Sends such requests and checks how many targets crash. Used by one thread.
class CrashingRequests {
public:
  CrashingRequests(SoakSystem &System, CrashSeries Series);
  /// Sends until \p IsOver.
  void sendRepeatedly(const std::function<bool()> &IsOver);

private:
  int countCrashes();

  SoakSystem &System;
  const CrashSeries Series;
  std::mt19937_64 Random;
};

/// Lets targets end their responses with the connection, and streams inside an
/// event, for some seconds each, until the faults are over.
void respondUnframedRepeatedly(SoakSystem &System);

} // namespace waycove::test
