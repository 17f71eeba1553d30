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

/// The one lock order of a daemon: a thread may take a table's lock only
/// while it holds none of the same or a later rank.
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

/// Bits of the ranks that this thread holds.
inline thread_local unsigned HeldRanks = 0;

/// Marks a rank as held while it lives; ends the process on a breach of the
/// order, since that is a deadlock waiting for its day.
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

/// One table of the blackboard: a value that is reached only under its lock.
template <typename T, LockRank Rank> class Table {
public:
  template <typename... Args>
  explicit Table(Args &&...Initial) : Value(std::forward<Args>(Initial)...) {}

  /// Runs \p Function on the value, shared with other readers.
  template <typename F> decltype(auto) read(F &&Function) const {
    RankGuard Order(Rank);
    std::shared_lock Lock(this->Mutex);
    return std::forward<F>(Function)(std::as_const(this->Value));
  }
  /// Runs \p Function on the value, alone.
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
