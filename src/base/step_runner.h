// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/growing_pool.h"
#include "base/ids.h"
#include "base/report_error.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace waycove {

using StepId = Number<struct StepIdTag>;

/// Repeats the steps of a daemon's controllers, each after the pause that its
/// last call returned. One thread polls all of them, and a step that may block
/// runs on a thread of a pool: a daemon at rest needs few threads, and a
/// dependency that does not respond delays no other step. Runs until the
/// process ends. Thread-safe.
class StepRunner {
public:
  struct Step {
    /// Does what cannot block. Returns the pause until the next call, or
    /// nothing if Run has to be called.
    std::function<std::optional<Millis>()> Poll;
    /// Does what may block. Returns the pause until the next Poll.
    std::function<Millis()> Run;
  };
  /// Steps that may block run on \p Threads. \p OnError gets the reason if one
  /// cannot be started or ends with an exception; it is called again later.
  StepRunner(GrowingPool &Threads, ErrorHandler OnError)
      : Threads(Threads), OnError(std::move(OnError)) {}

  /// Adds a step, before start().
  StepId add(Step Work);
  /// Adds a step that never blocks and returns the pause until its next call.
  StepId add(std::function<Millis()> Work);
  void start();
  /// Ends the pause of a step. If it is being called, it is called once more.
  void wake(StepId Id);

private:
  /// Pause after a step that could not be called.
  static constexpr Millis RetryDelay{100};

  struct Entry {
    Step Work;
    TimePoint Due;
    /// It is being called.
    bool IsBusy = false;
    /// wake() was called meanwhile.
    bool WasWoken = false;
  };

  void runAll();
  Entry &awaitDue();
  /// The idle step that is due first; null if all are being called.
  Entry *findNext();
  void poll(Entry &Next);
  void startRun(Entry &Next);
  void runBlocking(Entry &Next);
  void finish(Entry &Done, Millis Pause);

  GrowingPool &Threads;
  const ErrorHandler OnError;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<Entry> Entries;
  /// Until when the polling thread waits.
  TimePoint WaitsUntil;
};

} // namespace waycove
