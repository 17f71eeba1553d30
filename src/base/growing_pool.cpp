// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/growing_pool.h"

#include "base/crash_log.h"
#include "base/errors.h"

#include <algorithm>
#include <boost/thread/thread.hpp>
#include <exception>
#include <utility>

namespace waycove {

GrowingPool::~GrowingPool() {
  std::unique_lock Lock(this->Mutex);
  this->Stopping = true;
  for (Worker *Waiting : this->Idle)
    Waiting->Woken.notify_one();
  this->Ended.wait(Lock, [this] { return this->Threads == 0; });
}

absl::Status GrowingPool::post(Task Next) {
  {
    std::lock_guard Lock(this->Mutex);
    if (!this->Idle.empty()) {
      Worker *Chosen = this->Idle.back();
      this->Idle.pop_back();
      Chosen->Next = std::move(Next);
      Chosen->Woken.notify_one();
      return absl::OkStatus();
    }
    if (this->Threads >= this->Bounds.MaxThreads)
      return makeError(ErrorKind::NoCapacity, "all threads are busy");
    ++this->Threads;
  }
  if (this->startThread(std::move(Next)))
    return absl::OkStatus();
  std::lock_guard Lock(this->Mutex);
  --this->Threads;
  return makeError(ErrorKind::NoCapacity, "no thread could be started");
}

bool GrowingPool::startThread(Task First) {
  boost::thread::attributes Attributes;
  Attributes.set_stack_size(this->Bounds.StackBytes);
  try {
    boost::thread(Attributes, [this, First = std::move(First)]() mutable {
      this->run(std::move(First));
    }).detach();
    return true;
  } catch (const std::exception &) {
    // No thread or no memory for it. The caller of post() logs that.
    return false;
  }
}

void GrowingPool::run(Task Next) {
  SignalStack OfThisThread;
  while (Next) {
    Next();
    // Ends what the task holds before the thread counts as idle.
    Next = nullptr;
    std::unique_lock Lock(this->Mutex);
    Next = this->awaitTask(Lock);
    if (!Next && --this->Threads == 0)
      this->Ended.notify_all();
  }
}

GrowingPool::Task GrowingPool::awaitTask(std::unique_lock<std::mutex> &Lock) {
  Worker Self;
  this->Idle.push_back(&Self);
  Self.Woken.wait_for(Lock, this->Bounds.IdleTime,
                      [&] { return Self.Next || this->Stopping; });
  if (!Self.Next)
    std::erase(this->Idle, &Self);
  return std::move(Self.Next);
}

std::size_t GrowingPool::size() const {
  std::lock_guard Lock(this->Mutex);
  return this->Threads;
}

std::size_t GrowingPool::busy() const {
  std::lock_guard Lock(this->Mutex);
  return this->Threads - this->Idle.size();
}

} // namespace waycove
