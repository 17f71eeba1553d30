// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/reach_monitor.h"
#include "entry/crash_guard.h"
#include "entry/relay_log.h"

namespace waycove {

/// Records what attempts show of their targets, of this node's links and of
/// their requests, and closes the connections of those that end. Thread-safe.
class AttemptRecorder {
public:
  AttemptRecorder(EntryBoard &Board, RelayLog &Log, CrashGuard &Crashes)
      : Board(Board), Log(Log), Crashes(Crashes), Monitor(Board) {}

  /// The attempt is about to be sent.
  void start(const RelayExchange &Ex, RelayAttempt &Attempt);
  /// The attempt has ended with \p End.
  void end(const RelayExchange &Ex, RelayAttempt &Attempt, AttemptOutcome End);
  /// The attempt has ended before it was sent.
  void endUnsent(const RelayExchange &Ex, const RelayAttempt &Attempt);
  /// Ends the earlier attempts, since the request ends.
  void endSilent(const RelayExchange &Ex);
  /// The same, since a later one responds.
  void giveUpSilent(const RelayExchange &Ex);

private:
  /// Records an attempt that ended without any byte of the target. What a
  /// connection through another node shows is no evidence on this node's links.
  void recordReach(const RelayAttempt &Attempt);

  EntryBoard &Board;
  RelayLog &Log;
  CrashGuard &Crashes;
  ReachMonitor Monitor;
};

} // namespace waycove
