// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// How many loads an owner of domains may order.
#include "control/load_budget.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

/// A node that is dealt half of the work, with a store that takes a few loads
/// in a second.
struct BudgetFixture {
  BudgetFixture() : Board(entrySettings(), IncarnationId("i")) {
    ModelSpec Model;
    Model.Name = "m";
    Model.LoadTime = Millis(16000);
    this->Engine.Models = {Model};
    this->Engine.LoadsPerSecond = 4;
    this->Engine.LoadsAtOnce = 6;
    this->Board.PartitionShare = 0.5;
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
    "load budget: loads begin: in five seconds no more than this node's part",
    "[unit]") {
  CHECK(this->Budget.allowed(3, this->Engine, at(0)) == 3);
  for (int I = 0; I < 8; ++I)
    this->load(0);
  // Half of four a second.
  CHECK(this->Budget.allowed(6, this->Engine, at(100)) == 2);
  this->load(200);
  this->load(300);
  CHECK(this->Budget.allowed(6, this->Engine, at(400)) == 0);
  CHECK(this->Budget.allowed(6, this->Engine, at(5100)) == 6);
  // However small its part: as many as run at full speed.
  this->Board.PartitionShare = 0.01;
  CHECK(this->Budget.allowed(9, this->Engine, at(5400)) == 6);
  this->load(5400);
  CHECK(this->Budget.allowed(9, this->Engine, at(5500)) == 5);
}

TEST_CASE_METHOD(BudgetFixture,
                 "load budget: a first start, no request yet: not bounded",
                 "[unit]") {
  Settings Given = entrySettings();
  Given.Entry->FirstStart = true;
  EntryBoard First(Given, IncarnationId("i"));
  LoadBudget Free(First);
  CHECK(Free.allowed(0, this->Engine, at(0)) == FreeLoads);
  First.RequestSeen = true;
  CHECK(Free.allowed(0, this->Engine, at(0)) == 0);
}

} // namespace waycove::test
