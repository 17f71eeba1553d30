// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <absl/status/status.h>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <vector>

namespace waycove {

/// A pool that starts threads as tasks need them, up to a limit, and lets idle
/// ones end. post() waits for no thread: Poco::ThreadPool waits until a new
/// thread runs and until idle ones have ended, in the thread that hands over a
/// task. Thread-safe.
class GrowingPool {
public:
  /// Must not throw.
  using Task = std::function<void()>;
  struct Limits {
    std::size_t MaxThreads = 0;
    /// An idle thread ends after this time.
    Millis IdleTime{0};
    /// Of each thread.
    std::size_t StackBytes = 0;
  };

  explicit GrowingPool(const Limits &Bounds) : Bounds(Bounds) {
    // A thread that becomes idle must find memory to say so.
    this->Idle.reserve(Bounds.MaxThreads);
  }
  /// Waits until all tasks have ended.
  ~GrowingPool();
  GrowingPool(const GrowingPool &) = delete;
  GrowingPool &operator=(const GrowingPool &) = delete;

  /// Runs \p Next on a thread of its own. Errors: NoCapacity if all threads are
  /// busy and no further one may or can be started.
  absl::Status post(Task Next);
  /// Threads that exist, and those of them that run a task.
  std::size_t size() const;
  std::size_t busy() const;

private:
  /// A thread that waits for its next task.
  struct Worker {
    std::condition_variable Woken;
    Task Next;
  };

  /// Whether a thread could be started that runs \p First.
  bool startThread(Task First);
  /// Runs on each thread.
  void run(Task Next);
  /// Waits for a task; empty if the thread is to end. Requires Mutex, which
  /// \p Lock holds.
  Task awaitTask(std::unique_lock<std::mutex> &Lock);

  const Limits Bounds;
  mutable std::mutex Mutex;
  /// The one that became idle last is used first, so that the others can end.
  std::vector<Worker *> Idle;
  std::size_t Threads = 0;
  bool Stopping = false;
  /// Signalled when the last thread ends.
  std::condition_variable Ended;
};

} // namespace waycove
