// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace waycove {

/// A fixed-size thread pool. Tasks start in FIFO order; destroying the pool
/// drops those that have not started. Thread-safe.
class WorkerPool {
public:
  explicit WorkerPool(std::size_t Workers);
  void post(std::function<void()> Task);

private:
  void run(const std::stop_token &Stop);

  std::mutex Mutex;
  std::condition_variable_any Changed;
  std::deque<std::function<void()>> Tasks;
  std::vector<std::jthread> Threads;
};

} // namespace waycove
