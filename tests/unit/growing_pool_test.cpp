// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// A pool of threads that must neither hold up who hands over a task nor grow
// without bound.
#include "base/growing_pool.h"
#include "support/cluster.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <semaphore>

namespace waycove::test {

namespace {

constexpr std::size_t MaxThreads = 4;
constexpr Millis IdleTime(100);

} // namespace

struct GrowingPoolFixture {
  /// Posts a task that runs until release().
  absl::Status hold() {
    return this->Pool.post([this] {
      ++this->Started;
      this->Released.acquire();
    });
  }
  void release() { this->Released.release(MaxThreads); }

  std::counting_semaphore<> Released{0};
  std::atomic<std::size_t> Started{0};
  GrowingPool Pool{{MaxThreads, IdleTime, 256 << 10}};
};

// Guards against tasks without bound that wait behind busy threads.
TEST_CASE_METHOD(GrowingPoolFixture,
                 "growing pool: all threads are busy: further tasks are "
                 "refused until one ends",
                 "[unit]") {
  for (std::size_t I = 0; I < MaxThreads; ++I)
    REQUIRE(this->hold().ok());
  CHECK_FALSE(this->hold().ok());
  CHECK(eventually([&] { return this->Started == MaxThreads; }));
  CHECK(this->Pool.busy() == MaxThreads);
  this->release();
  CHECK(eventually([&] { return this->hold().ok(); }));
  this->release();
}

// Guards against threads that are kept after a burst, with their memory.
TEST_CASE_METHOD(GrowingPoolFixture,
                 "growing pool: idle for long: all threads end, and the next "
                 "task starts another",
                 "[unit]") {
  for (std::size_t I = 0; I < MaxThreads; ++I)
    REQUIRE(this->hold().ok());
  this->release();
  CHECK(eventually([&] { return this->Pool.size() == 0; }));
  REQUIRE(this->hold().ok());
  CHECK(eventually([&] { return this->Started == MaxThreads + 1; }));
  this->release();
}

// Guards against a thread for each task, one after the other.
TEST_CASE_METHOD(GrowingPoolFixture,
                 "growing pool: tasks follow one another: one thread runs "
                 "them all",
                 "[unit]") {
  std::atomic<int> Count{0};
  for (int I = 0; I < 50; ++I) {
    REQUIRE(this->Pool.post([&] { ++Count; }).ok());
    REQUIRE(eventually([&] { return Count == I + 1 && Pool.busy() == 0; }));
  }
  CHECK(this->Pool.size() == 1);
}

} // namespace waycove::test
