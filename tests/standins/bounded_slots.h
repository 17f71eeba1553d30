// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <algorithm>
#include <condition_variable>
#include <mutex>

namespace waycove::standin {

/// Runs a fixed number of requests at once and queues some more in order of
/// arrival. Thread-safe.
class BoundedSlots {
public:
  struct Counts {
    unsigned Running = 0;
    /// Requests that run or are queued, and the most of them at once.
    unsigned Present = 0;
    unsigned Peak = 0;
    unsigned Rejected = 0;
  };

  /// \p Slots of 0 means that no request is queued or rejected.
  BoundedSlots(unsigned Slots, unsigned QueueSize)
      : Slots(Slots), QueueSize(QueueSize) {}

  /// Waits for a slot; returns false if the queue is full.
  bool enter() {
    std::unique_lock Lock(this->Mutex);
    unsigned Present = this->Current.Running + this->waiting();
    if (this->Slots > 0 && Present >= this->Slots + this->QueueSize) {
      ++this->Current.Rejected;
      return false;
    }
    this->Current.Peak = std::max(this->Current.Peak, Present + 1);
    unsigned Own = this->Arrived++;
    this->Freed.wait(Lock, [&] {
      bool HasSlot = this->Slots == 0 || this->Current.Running < this->Slots;
      return Own == this->Started && HasSlot;
    });
    ++this->Started;
    ++this->Current.Running;
    this->Freed.notify_all();
    return true;
  }
  void leave() {
    std::lock_guard Lock(this->Mutex);
    --this->Current.Running;
    this->Freed.notify_all();
  }
  Counts counts() {
    std::lock_guard Lock(this->Mutex);
    Counts Out = this->Current;
    Out.Present = Out.Running + this->waiting();
    return Out;
  }

private:
  unsigned waiting() const { return this->Arrived - this->Started; }

  const unsigned Slots;
  const unsigned QueueSize;
  std::mutex Mutex;
  std::condition_variable Freed;
  /// Numbers of the next request to arrive and the next to start.
  unsigned Arrived = 0;
  unsigned Started = 0;
  Counts Current;
};

/// A slot that a request holds until the end of the scope.
class HeldSlot {
public:
  explicit HeldSlot(BoundedSlots &Slots)
      : Slots(Slots), IsHeld(Slots.enter()) {}
  ~HeldSlot() {
    if (this->IsHeld)
      this->Slots.leave();
  }
  HeldSlot(const HeldSlot &) = delete;
  HeldSlot &operator=(const HeldSlot &) = delete;
  explicit operator bool() const { return this->IsHeld; }

private:
  BoundedSlots &Slots;
  const bool IsHeld;
};

} // namespace waycove::standin
