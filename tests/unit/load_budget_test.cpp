// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Rate limit of the loads that an owner of domains orders.
#include "control/load_budget.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

/// A node that is assigned half of the partitions, with a platform limit of a
/// few loads per second.
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
    Settings Config;
    Config.Entry.emplace();
    return Config;
  }
  void load(int Ms) {
    GroupOrder Order;
    Order.Kind = OrderKind::Stage;
    Order.Model = "m";
    this->Budget.recordOrder(Order, this->Engine, at(Ms));
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
  // Half of four per second.
  CHECK(this->Budget.allowed(6, this->Engine, at(100)) == 2);
  this->load(200);
  this->load(300);
  CHECK(this->Budget.allowed(6, this->Engine, at(400)) == 0);
  CHECK(this->Budget.allowed(6, this->Engine, at(5100)) == 6);
  // With a small part, as many as run at full speed.
  this->Board.PartitionShare = 0.01;
  CHECK(this->Budget.allowed(9, this->Engine, at(5400)) == 6);
  this->load(5400);
  CHECK(this->Budget.allowed(9, this->Engine, at(5500)) == 5);
}

TEST_CASE_METHOD(BudgetFixture,
                 "load budget: a first start, no request yet: not bounded",
                 "[unit]") {
  Settings Config = entrySettings();
  Config.Entry->FirstStart = true;
  EntryBoard First(Config, IncarnationId("i"));
  LoadBudget Free(First);
  CHECK(Free.allowed(0, this->Engine, at(0)) == UnlimitedLoads);
  First.RequestSeen = true;
  CHECK(Free.allowed(0, this->Engine, at(0)) == 0);
}

} // namespace waycove::test
