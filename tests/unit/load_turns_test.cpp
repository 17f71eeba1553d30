// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// In which order VMs without weights read them from the shared store.
#include "policy/load_turns.h"

#include <catch2/catch.hpp>

namespace waycove::test {

/// A store that takes two loads at full speed, for a model on two VMs.
struct TurnFixture {
  TurnFixture() {
    ModelSpec Model;
    Model.Name = "m";
    Model.GroupSize = 2;
    Model.LoadTime = Millis(12000);
    this->Engine.Models = {Model};
    this->Engine.LoadsAtOnce = 2;
  }
  std::shared_ptr<TargetInfo> add(const std::string &Id,
                                  const std::string &Domain,
                                  const std::string &Staged = "") {
    auto Row = std::make_shared<TargetInfo>();
    Row->Id = VmId(Id);
    Row->Domain = DomainId(Domain);
    if (!Staged.empty())
      Row->Staged = {Staged};
    this->Targets.push_back(Row);
    return Row;
  }
  std::string turns() const {
    std::string Text;
    for (const VmId &Id : loadTurns(this->Targets, this->Engine))
      Text += Id.Text + " ";
    return Text;
  }
  EngineSpec Engine;
  std::vector<TargetRef> Targets;
};

TEST_CASE_METHOD(TurnFixture,
                 "load turns: more VMs than loads: those first that complete a "
                 "group",
                 "[unit]") {
  this->add("a1", "a");
  this->add("b1", "b");
  this->add("b2", "b");
  this->add("b3", "b");
  this->add("c1", "c");
  this->add("c2", "c", "m");
  // One load completes a group in c, two in b, none in a.
  CHECK(this->turns() == "b1 c1 ");
  this->Engine.LoadsAtOnce = 10;
  CHECK(this->turns() == "a1 b1 b2 b3 c1 ");
}

TEST_CASE_METHOD(TurnFixture,
                 "load turns: most of a large group rests: its last load goes "
                 "before two of a small one",
                 "[unit]") {
  ModelSpec Large;
  Large.Name = "large";
  Large.GroupSize = 4;
  Large.LoadTime = Millis(16000);
  this->Engine.Models.push_back(Large);
  this->add("a1", "a");
  this->add("a2", "a");
  this->add("b1", "b");
  for (const char *Id : {"b2", "b3", "b4"})
    this->add(Id, "b", "large");
  this->Engine.LoadsAtOnce = 1;
  CHECK(this->turns() == "b1 ");
}

TEST_CASE_METHOD(TurnFixture,
                 "load turns: a VM shows its weights: the next one's turn",
                 "[unit]") {
  this->add("b1", "b")->Staged = {"m"};
  this->add("b2", "b");
  this->add("d1", "d");
  this->add("d2", "d");
  CHECK(this->turns() == "b2 d1 ");
  // It shows them, and joins a group with b1.
  this->Targets[0] = this->Targets[1];
  this->Targets.erase(this->Targets.begin(), this->Targets.begin() + 2);
  CHECK(this->turns() == "d1 d2 ");
}

TEST_CASE_METHOD(TurnFixture,
                 "load turns: VMs that drain or serve: they are passed over",
                 "[unit]") {
  this->add("a1", "a")->Draining = true;
  this->add("a2", "a")->Group = Membership{};
  CHECK(this->turns().empty());
}

} // namespace waycove::test
