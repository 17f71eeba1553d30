// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// How many loads an owner of domains may order.
#include "control/load_budget.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

/// A node that is dealt half of the work, with a store that takes a few loads
/// at a time.
struct BudgetFixture {
  BudgetFixture() : Board(entrySettings(), IncarnationId("i")) {
    ModelSpec Model;
    Model.Name = "m";
    Model.LoadTime = Millis(16000);
    this->Engine.Models = {Model};
    this->Engine.LoadsPerSecond = 4;
    this->Engine.LoadsAtOnce = 6;
    this->Board.Share = 0.5;
  }
  static Settings entrySettings() {
    Settings Given;
    Given.Entry.emplace();
    return Given;
  }
  void load(int Ms) {
    GroupOrder Order;
    Order.Kind = OrderKind::Stage;
    Order.Model = "m";
    this->Budget.count(Order, this->Engine, at(Ms));
  }
  EntryBoard Board;
  EngineSpec Engine;
  LoadBudget Budget{this->Board};
};

TEST_CASE_METHOD(
    BudgetFixture,
    "load budget: loads run: no more than this node's part at once", "[unit]") {
  CHECK(this->Budget.left(this->Engine, at(0)) == 3);
  for (int I = 0; I < 3; ++I)
    this->load(0);
  CHECK(this->Budget.left(this->Engine, at(100)) == 0);
  // Long after they began, they still run.
  CHECK(this->Budget.left(this->Engine, at(15000)) == 0);
  CHECK(this->Budget.left(this->Engine, at(17000)) == 3);
  this->Board.Share = 0.01;
  CHECK(this->Budget.left(this->Engine, at(17000)) == 2);
}

} // namespace waycove::test
