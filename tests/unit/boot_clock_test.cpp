// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "support/times.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <thread>

namespace waycove::test {

struct WaitFixture {
  std::mutex Mutex;
  std::condition_variable Changed;
  bool IsSet = false;
};

// waitUntil() must not return after the first of its internal wait intervals.
TEST_CASE_METHOD(WaitFixture,
                 "wait: nothing comes: it ends at its time and not before",
                 "[unit]") {
  std::unique_lock Lock(this->Mutex);
  TimePoint Until = BootClock::now() + Millis(450);
  CHECK_FALSE(
      waitUntil(this->Changed, Lock, Until, [this] { return this->IsSet; }));
  CHECK(BootClock::now() >= Until);
}

TEST_CASE_METHOD(WaitFixture, "wait: what it waits for comes: it ends at once",
                 "[unit]") {
  std::thread Setter([this] {
    std::lock_guard Lock(this->Mutex);
    this->IsSet = true;
    this->Changed.notify_all();
  });
  std::unique_lock Lock(this->Mutex);
  CHECK(waitUntil(this->Changed, Lock, BootClock::now() + Millis(10000),
                  [this] { return this->IsSet; }));
  Lock.unlock();
  Setter.join();
}

} // namespace waycove::test
