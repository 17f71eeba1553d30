// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Bytes that a node keeps for peers that are slow to read: bounded, and those
// of requests that have run find room longest.
#include "entry/buffer_budget.h"

#include <catch2/catch.hpp>
#include <vector>

namespace waycove::test {

// Guards against slow callers whose requests leave no room for responses.
TEST_CASE("buffer budget: requests fill their part: responses still find room",
          "[unit]") {
  BufferBudget Budget(100);
  BufferBudget::Share Request(Budget, BufferBudget::Use::Request);
  CHECK(Request.growTo(50));
  CHECK_FALSE(Request.growTo(51));
  BufferBudget::Share Second(Budget, BufferBudget::Use::Request);
  CHECK_FALSE(Second.growTo(1));
  BufferBudget::Share Response(Budget, BufferBudget::Use::Response);
  CHECK(Response.growTo(50));
  CHECK_FALSE(Response.growTo(51));
  CHECK(Budget.used() == 100);
}

// Guards against shares that are never returned, after which all is refused.
TEST_CASE("buffer budget: shares end, also moved ones: their bytes are free",
          "[unit]") {
  BufferBudget Budget(100);
  {
    std::vector<BufferBudget::Share> Shares;
    for (int I = 0; I < 5; ++I) {
      Shares.emplace_back(Budget, BufferBudget::Use::Response);
      CHECK(Shares.back().growTo(20));
    }
    CHECK(Budget.used() == 100);
    Shares[0] = std::move(Shares[1]);
    CHECK(Budget.used() == 80);
    // Less than before is no reason to give anything up.
    CHECK(Shares[0].growTo(5));
    CHECK(Budget.used() == 80);
  }
  CHECK(Budget.used() == 0);
}

// Guards against a sum that overflows and so is allowed.
TEST_CASE("buffer budget: more than everything is asked for: refused",
          "[unit]") {
  BufferBudget Budget(100);
  BufferBudget::Share Response(Budget, BufferBudget::Use::Response);
  CHECK(Response.growTo(10));
  CHECK_FALSE(Response.growTo(~std::size_t{0}));
  CHECK(Budget.used() == 10);
}

} // namespace waycove::test
