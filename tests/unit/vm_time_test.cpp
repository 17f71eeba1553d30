// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// What the VMs of a service with groups of three spend their time on.
#include "policy/vm_time.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

struct VmTimeFixture {
  VmTimeFixture() {
    this->Config.Services[this->Gen].Engine.emplace().Models = {{"large", 3}};
    this->Config.Services[ServiceId("web")];
  }
  TargetInfo &add(const std::string &Id, std::optional<unsigned> Rank = {},
                  MemberState State = MemberState::Ready,
                  const std::string &Group = "large,d,1") {
    auto Vm = std::make_shared<TargetInfo>();
    Vm->Id = VmId(Id);
    Vm->Service = this->Gen;
    if (Rank)
      Vm->Group = Membership{{Group, 1}, *Rank, State};
    this->Rows.Targets[Vm->Id] = Vm;
    return *Vm;
  }
  void addGroup(MemberState HeadState) {
    this->add("v0", 0, HeadState);
    this->add("v1", 1);
    this->add("v2", 2);
  }
  void remove(const VmId &Id) {
    this->Rows.Removed[Id].Last = this->Rows.Targets.extract(Id).mapped();
  }
  /// Returns "state=count " of each state, in their order.
  std::string update(int Ms = 0) {
    ++this->Rows.Version;
    this->Times.update(this->Config, this->Rows, this->Evacuated, at(Ms));
    std::string Out;
    for (const auto &[Use, Count] : this->Times.counts())
      Out.append(stateName(Use.State)).append(Use.Model) +=
          "=" + std::to_string(Count) + " ";
    return Out;
  }
  const ServiceId Gen{"gen"};
  RoutingConfig Config;
  Fleet Rows;
  Evacuations Evacuated;
  VmTime Times;
};

// Guards against a state that hides why a VM serves nobody.
TEST_CASE_METHOD(VmTimeFixture, "VM time: a group: each state", "[unit]") {
  this->add("v1", 1, MemberState::Joining).Staged = {"large"};
  this->add("v2", 2);
  this->add("v3");
  this->add("v4", 0, MemberState::Ready, "large,d,2,load");
  CHECK(this->update() == "forming=1 loading=1 loadinglarge=1 reserve=1 ");
  this->Rows.Targets.clear();
  this->addGroup(MemberState::Open);
  CHECK(this->update() == "serving=3 ");
  this->add("v2", 2).Draining = true;
  CHECK(this->update() == "serving=3 ");
  this->add("v0", 0, MemberState::Open).Draining = true;
  CHECK(this->update() == "draining=3 ");
  this->addGroup(MemberState::Closing);
  CHECK(this->update() == "closing=3 ");
  this->addGroup(MemberState::Open);
  this->Evacuated.begin(DataCentreId());
  CHECK(this->update() == "evacuated=3 ");
}

// Guards against lost members that count as not joined yet.
TEST_CASE_METHOD(VmTimeFixture, "VM time: lost members: told", "[unit]") {
  this->addGroup(MemberState::Open);
  this->remove(VmId("v2"));
  CHECK(this->update() == "serving=2 ");
  this->add("v2", 2, MemberState::Broken);
  this->Rows.Removed.clear();
  CHECK(this->update() == "incomplete=3 ");
  this->add("v2", 0, MemberState::Joining, "large,d,3");
  CHECK(this->update() == "loading=1 incomplete=2 ");
  this->add("v0", 0, MemberState::Broken);
  CHECK(this->update() == "loading=1 headless=2 ");
  this->Times = {};
  this->remove(VmId("v0"));
  CHECK(this->update() == "loading=1 headless=1 ");
}

// Guards against time that is lost or counted twice when a VM changes.
TEST_CASE_METHOD(VmTimeFixture, "VM time: a restart: sum kept", "[unit]") {
  this->addGroup(MemberState::Open);
  this->update();
  this->add("v0").StartedAt = WallMs(7);
  CHECK(this->update(1000) == "headless=2 reserve=1 ");
  this->remove(VmId("v1"));
  for (int Ms : {1500, 1400, 4000})
    this->update(Ms);
  const auto &Totals = this->Times.totals();
  CHECK(Totals.at({this->Gen, VmState::Serving, ""}) == Millis(3000));
  CHECK(Totals.at({this->Gen, VmState::Headless, ""}) == Millis(3500));
  CHECK(Totals.at({this->Gen, VmState::Reserve, ""}) == Millis(3000));
  CHECK(this->Times.listedTime()[this->Gen] == Millis(9500));
}

// Guards against rows that are left out or that no group can use.
TEST_CASE_METHOD(VmTimeFixture, "VM time: bad rows: one state each", "[unit]") {
  this->add("plain").Service = ServiceId("web");
  this->add("unknown").Service = ServiceId("none");
  this->add("name", 0, MemberState::Open, "nonsense");
  this->add("model", 1, MemberState::Ready, "gone,d,1");
  this->add("rank", 3, MemberState::Ready, "large,d,4");
  for (const char *Twice : {"twice1", "twice2"})
    this->add(Twice, 0, MemberState::Open, "large,d,5");
  CHECK(this->update() == "incomplete=5 ");
}

} // namespace waycove::test
