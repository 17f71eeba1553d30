// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Calls to many targets at once, of which one fails in an unexpected way.
#include "base/parallel.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <new>

namespace waycove::test {

// Guards against a process that ends where a call in a thread of its own finds
// no memory.
TEST_CASE("parallel: a call throws: the others are made, and the caller gets "
          "the exception",
          "[unit]") {
  constexpr std::size_t Count = 100;
  std::atomic<std::size_t> Calls{0};
  auto Function = [&](std::size_t Index) {
    ++Calls;
    if (Index == 3)
      throw std::bad_alloc();
  };
  CHECK_THROWS_AS(runInParallel(Count, Function), std::bad_alloc);
  CHECK(Calls == Count);
}

} // namespace waycove::test
