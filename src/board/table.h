// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <shared_mutex>
#include <utility>

namespace waycove {

/// Lock order of a daemon's tables: a thread may lock a table only while it
/// holds no lock of the same or a later rank.
enum class LockRank : unsigned {
  State = 0,
  Load = 1,
  Vms = 2,
  Views = 3,
  Health = 4,
  Peers = 5,
  Idempotency = 6,
  Tail = 7,
};

/// Bit mask of the ranks that this thread holds.
inline thread_local unsigned HeldRanks = 0;

/// Marks a rank as held during its lifetime. Aborts the process if the lock
/// order is violated, since that can lead to a deadlock.
class RankGuard {
public:
  explicit RankGuard(LockRank Rank) : Bit(1U << static_cast<unsigned>(Rank)) {
    if (HeldRanks >= this->Bit) {
      std::fprintf(stderr, "lock order breached: rank %u, held mask %u\n",
                   static_cast<unsigned>(Rank), HeldRanks);
      std::abort();
    }
    HeldRanks |= this->Bit;
  }
  ~RankGuard() { HeldRanks &= ~this->Bit; }
  RankGuard(const RankGuard &) = delete;
  RankGuard &operator=(const RankGuard &) = delete;

private:
  unsigned Bit;
};

/// A table of the blackboard: a value that is accessible only under its lock.
template <typename T, LockRank Rank> class Table {
public:
  template <typename... Args>
  explicit Table(Args &&...Initial) : Value(std::forward<Args>(Initial)...) {}

  /// Calls \p Function with the value under a shared lock.
  template <typename F> decltype(auto) read(F &&Function) const {
    RankGuard Order(Rank);
    std::shared_lock Lock(this->Mutex);
    return std::forward<F>(Function)(std::as_const(this->Value));
  }
  /// Calls \p Function with the value under an exclusive lock.
  template <typename F> decltype(auto) write(F &&Function) {
    RankGuard Order(Rank);
    std::unique_lock Lock(this->Mutex);
    return std::forward<F>(Function)(this->Value);
  }

private:
  mutable std::shared_mutex Mutex;
  T Value;
};

} // namespace waycove
