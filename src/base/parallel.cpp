// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "base/parallel.h"

#include <algorithm>
#include <exception>
#include <mutex>
#include <thread>
#include <vector>

namespace waycove {

namespace {

/// An unresponsive target holds up one of these threads and no other call.
constexpr std::size_t MaxThreads = 32;

/// Runs \p Function on \p Count threads and waits for them. Returns false if
/// one could not be started.
template <typename F> bool runOnThreads(std::size_t Count, const F &Function) {
  std::vector<std::jthread> Threads;
  try {
    Threads.reserve(Count);
    for (std::size_t I = 0; I < Count; ++I)
      Threads.emplace_back(Function);
    return true;
  } catch (const std::exception &) {
    // No thread or no memory for it. The caller of runInParallel() logs that.
    return false;
  }
}

} // namespace

bool runInParallel(std::size_t Count,
                   const std::function<void(std::size_t)> &Function) {
  std::atomic<std::size_t> Next{0};
  std::mutex Mutex;
  std::exception_ptr First;
  auto RunAll = [&]() noexcept {
    for (std::size_t I = Next++; I < Count; I = Next++)
      try {
        Function(I);
      } catch (...) {
        std::lock_guard Lock(Mutex);
        if (!First)
          First = std::current_exception();
      }
  };
  bool HasThreads = runOnThreads(std::min(Count, MaxThreads), RunAll);
  if (!HasThreads)
    RunAll();
  if (First)
    std::rethrow_exception(First);
  return HasThreads;
}

} // namespace waycove
