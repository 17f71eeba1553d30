// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/pool.h"

namespace waycove {

WorkerPool::WorkerPool(std::size_t Workers) {
  for (std::size_t I = 0; I < Workers; ++I)
    this->Threads.emplace_back(
        [this](const std::stop_token &Stop) { this->run(Stop); });
}

void WorkerPool::post(std::function<void()> Task) {
  std::lock_guard Lock(this->Mutex);
  this->Tasks.push_back(std::move(Task));
  this->Changed.notify_one();
}

void WorkerPool::run(const std::stop_token &Stop) {
  while (!Stop.stop_requested()) {
    std::function<void()> Task;
    {
      std::unique_lock Lock(this->Mutex);
      this->Changed.wait(Lock, Stop, [&] { return !this->Tasks.empty(); });
      if (Stop.stop_requested())
        return;
      Task = std::move(this->Tasks.front());
      this->Tasks.pop_front();
    }
    Task();
  }
}

} // namespace waycove
