// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Number of loads of weights that each domain may start.
#include "policy/load_schedule.h"

#include <catch2/catch.hpp>

namespace waycove::test {

/// A store that serves two loads at full speed, and a model of two VMs.
struct ScheduleFixture {
  ScheduleFixture() {
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
    auto Target = std::make_shared<TargetInfo>();
    Target->Id = VmId(Id);
    Target->Domain = DomainId(Domain);
    if (!Staged.empty())
      Target->Staged = {Staged};
    this->Targets.push_back(Target);
    return Target;
  }
  std::string schedule() const {
    std::string Text;
    for (const auto &[Domain, Loads] :
         scheduleLoads(this->Targets, this->Engine).ByDomain)
      Text += Domain.Text + std::to_string(Loads) + " ";
    return Text;
  }
  EngineSpec Engine;
  std::vector<TargetRef> Targets;
};

TEST_CASE_METHOD(ScheduleFixture,
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
  CHECK(this->schedule() == "b1 c1 ");
  this->Engine.LoadsAtOnce = 5;
  CHECK(this->schedule() == "a1 b3 c1 ");
}

TEST_CASE_METHOD(ScheduleFixture,
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
  CHECK(this->schedule() == "b1 ");
}

TEST_CASE_METHOD(ScheduleFixture,
                 "load turns: a VM shows its weights: the next one's turn",
                 "[unit]") {
  this->add("b1", "b")->Staged = {"m"};
  this->add("b2", "b");
  this->add("d1", "d");
  this->add("d2", "d");
  CHECK(this->schedule() == "b1 d1 ");
  // b2 is ready: it and b1 form a group and are no longer free.
  this->Targets[0] = this->Targets[1];
  this->Targets.erase(this->Targets.begin(), this->Targets.begin() + 2);
  CHECK(this->schedule() == "d2 ");
}

TEST_CASE_METHOD(ScheduleFixture,
                 "load turns: loads are under way elsewhere: fewer begin",
                 "[unit]") {
  this->add("b1", "b");
  this->add("b2", "b");
  auto Loads = this->add("c1", "c");
  Loads->Group = Membership{
      {loadGroupName("m", DomainId("c"), 7), 7}, 0, MemberState::Joining};
  CHECK(this->schedule() == "b1 ");
  this->add("c2", "c")->Group = Loads->Group;
  CHECK(this->schedule().empty());
  // Its weights are staged: no load is running.
  Loads->Staged = {"m"};
  CHECK(this->schedule() == "b1 ");
}

TEST_CASE_METHOD(ScheduleFixture,
                 "load turns: one of a group loads already: the others' turn "
                 "beside it",
                 "[unit]") {
  this->add("c1", "c")->Group = Membership{
      {loadGroupName("m", DomainId("c"), 7), 7}, 0, MemberState::Joining};
  this->add("c2", "c");
  CHECK(this->schedule() == "c1 ");
}

TEST_CASE_METHOD(ScheduleFixture,
                 "load turns: nothing serves a model: it goes first, on VMs "
                 "with other weights too",
                 "[unit]") {
  ModelSpec Other;
  Other.Name = "other";
  Other.GroupSize = 2;
  Other.LoadTime = Millis(12000);
  this->Engine.Models.push_back(Other);
  this->add("a1", "a", "other");
  this->add("a2", "a");
  this->add("b1", "b", "m");
  this->add("b2", "b", "m");
  auto Head = this->add("h", "h");
  Head->Group = Membership{
      {groupName("other", DomainId("h"), 3), 3}, 0, MemberState::Open};
  this->Engine.LoadsAtOnce = 1;
  // a lacks one load for the model that serves and two for the other.
  CHECK(this->schedule() == "a1 ");
  this->Targets.erase(this->Targets.begin(), this->Targets.begin() + 2);
  // b forms a group of m without loads; the load is for a reserve.
  CHECK(this->schedule() == "b1 ");
}

TEST_CASE_METHOD(
    ScheduleFixture,
    "load turns: a group has lost its head: its members are as good "
    "as free",
    "[unit]") {
  auto Member = this->add("a1", "a", "other");
  Member->Group = Membership{
      {groupName("other", DomainId("a"), 3), 3}, 1, MemberState::Ready};
  this->add("a2", "a", "m");
  // A running load, so that no loads are granted to reserves.
  this->add("c1", "c")->Group = Membership{
      {loadGroupName("m", DomainId("c"), 7), 7}, 0, MemberState::Joining};
  CHECK(this->schedule() == "a1 ");
  this->add("a3", "a", "other")->Group =
      Membership{Member->Group->Group, 0, MemberState::Open};
  CHECK(this->schedule().empty());
}

TEST_CASE_METHOD(
    ScheduleFixture,
    "load turns: a group forms without loads: its domain waits, and "
    "takes no other's turn",
    "[unit]") {
  for (const char *Id : {"a1", "a2"})
    this->add(Id, "a", "m");
  this->add("a3", "a");
  this->add("b1", "b", "m");
  this->add("b2", "b");
  this->Engine.LoadsAtOnce = 1;
  CHECK(this->schedule() == "b1 ");
}

TEST_CASE_METHOD(ScheduleFixture,
                 "load turns: nothing is missing and nothing loads: one a "
                 "domain, for a reserve",
                 "[unit]") {
  for (const char *Domain : {"a", "b"}) {
    auto Head = this->add(std::string(Domain) + "1", Domain, "m");
    Head->Group = Membership{
        {groupName("m", DomainId(Domain), 3), 3}, 0, MemberState::Open};
  }
  CHECK(this->schedule() == "a1 b1 ");
  this->add("c1", "c", "m")->Group = Membership{
      {loadGroupName("x", DomainId("c"), 7), 7}, 0, MemberState::Joining};
  CHECK(this->schedule().empty());
}

TEST_CASE_METHOD(ScheduleFixture,
                 "load turns: VMs that drain or serve: they are passed over",
                 "[unit]") {
  this->add("a1", "a")->Draining = true;
  this->add("a2", "a")->Group = Membership{};
  CHECK(this->schedule().empty());
}

} // namespace waycove::test
