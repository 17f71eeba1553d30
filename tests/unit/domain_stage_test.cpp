// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Staging of weights on the hosts of free VMs, and forming of groups of them.
#include "policy/domain_plan.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

/// A domain with one serving group of the large model, and free VMs.
struct StageFixture {
  StageFixture() {
    ModelSpec Large;
    Large.Name = "large";
    Large.GroupSize = 8;
    Large.LoadFraction = 0.5;
    Large.LoadTime = Millis(16000);
    Large.StagedLoadTime = Millis(1600);
    ModelSpec Small = Large;
    Small.Name = "small";
    Small.GroupSize = 4;
    this->Engine.ModelsStagedPerHost = 1;
    this->Engine.Models = {Large, Small};
    this->View.Domain = DomainId("d");
    this->View.Service = ServiceId("llm");
    this->View.LoadsAllowed = 20;
    this->View.ServingGroups = {{"large", 9}, {"small", 18}};
    this->View.Demand = {{"large", {1, 100, 0}}, {"small", {1, 200, 0}}};
    this->group("large", 8);
  }

  void add(const std::string &Id, const std::string &Staged,
           std::optional<Membership> Group = std::nullopt) {
    auto Target = std::make_shared<TargetInfo>();
    Target->Id = VmId(Id);
    Target->Service = ServiceId("llm");
    Target->Domain = DomainId("d");
    Target->Staged = {Staged};
    Target->Group = std::move(Group);
    this->View.Targets.push_back(Target);
  }
  void group(const std::string &Model, unsigned Size) {
    GroupKey Key{groupName(Model, DomainId("d"), 7), 7};
    for (unsigned Rank = 0; Rank < Size; ++Rank)
      this->add(Model + std::to_string(Rank), Model,
                Membership{Key, Rank,
                           Rank == 0 ? MemberState::Open : MemberState::Ready});
  }
  void addFree(int Count, const std::string &Staged) {
    for (int I = 0; I < Count; ++I)
      this->add("rest-" + Staged + std::to_string(I), Staged);
  }
  /// Whether the order loads \p Model: by staging, or by joining a load group.
  static bool isLoadOf(const GroupOrder &Order, const std::string &Model) {
    return Order.Model == Model && !Order.To->hasStaged(Model) &&
           (Order.Kind == OrderKind::Stage ||
            (Order.Kind == OrderKind::Join && Order.Members.size() == 1));
  }
  /// Number of VMs on which loads of \p Model are ordered within 2 s.
  int staged(const std::string &Model) {
    std::set<VmId> Hosts;
    for (int Ms = 0; Ms < 2000; Ms += 100) {
      this->View.Now = at(Ms);
      for (const GroupOrder &Order :
           this->Planner.step(this->View, this->Engine))
        if (isLoadOf(Order, Model))
          Hosts.insert(Order.To->Id);
    }
    return static_cast<int>(Hosts.size());
  }

  EngineSpec Engine;
  DomainView View;
  DomainPlanner Planner;
};

TEST_CASE_METHOD(StageFixture,
                 "staging: resting hosts hold the wrong weights: as many are "
                 "staged as a group lacks",
                 "[unit]") {
  this->addFree(3, "small");
  this->addFree(4, "large");
  CHECK(this->staged("small") == 1);
}

TEST_CASE_METHOD(StageFixture,
                 "staging: too few hosts rest for a group: weights are kept",
                 "[unit]") {
  this->group("small", 4);
  this->addFree(1, "small");
  this->addFree(2, "large");
  CHECK(this->staged("small") == 0);
}

TEST_CASE_METHOD(StageFixture,
                 "staging: nothing fits at all: the whole group is staged",
                 "[unit]") {
  this->addFree(4, "large");
  CHECK(this->staged("small") == 4);
}

TEST_CASE_METHOD(StageFixture,
                 "staging: a model is short of groups: staged first, nobody "
                 "waits in a group for another's load",
                 "[unit]") {
  this->View.ServingGroups = {{"large", 9}, {"small", 1}};
  this->addFree(3, "small");
  this->addFree(1, "large");
  for (int Ms = 0; Ms < 2000; Ms += 100) {
    this->View.Now = at(Ms);
    for (const GroupOrder &Order : this->Planner.step(this->View, this->Engine))
      // A load group has one member.
      CHECK((Order.Kind != OrderKind::Join || Order.Members.size() == 1));
  }
}

TEST_CASE_METHOD(StageFixture,
                 "reserves: one never ran its model: it loads it in a group of "
                 "its own, never opened, and leaves",
                 "[unit]") {
  this->addFree(1, "small");
  auto OrdersAt = [&](int Ms) {
    this->View.Now = at(Ms);
    std::vector<GroupOrder> Orders;
    for (const GroupOrder &Order : this->Planner.step(this->View, this->Engine))
      if (Order.To->Id == VmId("rest-small0") && Order.Kind != OrderKind::Stage)
        Orders.push_back(Order);
    return Orders;
  };
  // Other VMs may be listed soon and form a group with it.
  CHECK(OrdersAt(0).empty());
  CHECK(OrdersAt(600).empty());
  std::vector<GroupOrder> Join = OrdersAt(700);
  REQUIRE(Join.size() == 1);
  CHECK(Join[0].Kind == OrderKind::Join);
  CHECK(Join[0].Members == std::vector<VmId>{VmId("rest-small0")});
  auto Target = std::make_shared<TargetInfo>(*this->View.Targets.back());
  Target->Group = Membership{Join[0].Group, 0, MemberState::Joining};
  this->View.Targets.back() = Target;
  CHECK(OrdersAt(1200).empty());
  Target = std::make_shared<TargetInfo>(*Target);
  Target->Group->State = MemberState::Ready;
  Target->Loaded = {"small"};
  this->View.Targets.back() = Target;
  std::vector<GroupOrder> Leave = OrdersAt(2200);
  REQUIRE(Leave.size() == 1);
  CHECK(Leave[0].Kind == OrderKind::Leave);
  this->Planner.onLeaveConfirmed(Leave[0]);
  CHECK(OrdersAt(2300).empty());
}

TEST_CASE_METHOD(StageFixture,
                 "forming: another model has no group anywhere: what is there "
                 "forms nevertheless",
                 "[unit]") {
  // The demand for the model without a group is so large that its loss would
  // hide the gain of another group.
  this->View.ServingGroups = {{"large", 1}};
  this->View.Demand = {{"large", {1, 100, 0}}, {"small", {900, 900000, 0}}};
  this->Engine.ReadTokensPerSecond = 46000;
  this->Engine.StepMillisPerRequest = 0.1;
  this->addFree(8, "large");
  int Joins = 0;
  for (int Ms = 0; Ms < 600; Ms += 100) {
    this->View.Now = at(Ms);
    for (const GroupOrder &Order : this->Planner.step(this->View, this->Engine))
      Joins +=
          Order.Kind == OrderKind::Join && Order.Members.size() == 8 ? 1 : 0;
  }
  CHECK(Joins == 8);
}

TEST_CASE_METHOD(
    StageFixture,
    "forming: nothing serves anywhere: a group forms of the weights "
    "that are there",
    "[unit]") {
  // All heads were lost. The planned groups would be one of each model, but
  // only the small one has all its weights.
  this->View.Targets.clear();
  this->View.ServingGroups.clear();
  this->addFree(4, "small");
  this->addFree(4, "large");
  auto Joins = [&](std::size_t Size) {
    int Count = 0;
    DomainPlanner Fresh;
    for (int Ms = 0; Ms < 1600; Ms += 100) {
      this->View.Now = at(Ms);
      for (const GroupOrder &Order : Fresh.step(this->View, this->Engine))
        Count += Order.Kind == OrderKind::Join && Order.Members.size() == Size
                     ? 1
                     : 0;
    }
    return Count;
  };
  for (std::size_t DomainIndex : {0, 1}) {
    this->View.DomainIndex = DomainIndex;
    CHECK(Joins(4) == 4);
  }
}

TEST_CASE_METHOD(StageFixture,
                 "loads: a VM shows that it loads for an earlier owner: it is "
                 "waited for",
                 "[unit]") {
  this->addFree(3, "small");
  GroupKey Key{loadGroupName("small", DomainId("d"), 5), 5};
  this->add("loading", "large", Membership{Key, 0, MemberState::Joining});
  for (int Ms = 0; Ms < 9000; Ms += 100) {
    this->View.Now = at(Ms);
    for (const GroupOrder &Order : this->Planner.step(this->View, this->Engine))
      CHECK(Order.To->Id != VmId("loading"));
  }
}

TEST_CASE_METHOD(StageFixture,
                 "members: one drains, not the head: its group serves on for a "
                 "while, and is closed then",
                 "[unit]") {
  this->View.DrainGracePeriod = Millis(1300);
  auto ClosedAt = [&](std::size_t Member) {
    auto Target = std::make_shared<TargetInfo>(*this->View.Targets[Member]);
    Target->Draining = true;
    this->View.Targets[Member] = Target;
    for (int Ms = 0; Ms < 3000; Ms += 100) {
      this->View.Now = at(Ms);
      for (const GroupOrder &Order :
           this->Planner.step(this->View, this->Engine))
        if (Order.Kind == OrderKind::Close)
          return Ms;
    }
    return -1;
  };
  CHECK(ClosedAt(3) == 1300);
  this->Planner = DomainPlanner();
  // A draining head takes no more requests.
  CHECK(ClosedAt(0) == 0);
}

// Guards against an owner that ends when a configuration takes a model away
// while a group of it serves.
TEST_CASE_METHOD(StageFixture,
                 "staging: the model of a serving group is taken out of the "
                 "configuration: the group serves on, then closes",
                 "[unit]") {
  this->addFree(4, "small");
  std::erase_if(this->Engine.Models,
                [](const ModelSpec &Model) { return Model.Name == "large"; });
  auto ClosesBy = [&](int Ms) {
    bool Closes = false;
    for (int Now = 0; Now < Ms; Now += 100) {
      this->View.Now = at(Now);
      for (const GroupOrder &Order :
           this->Planner.step(this->View, this->Engine)) {
        CHECK(Order.Model != "large");
        Closes |= Order.Kind == OrderKind::Close;
      }
    }
    return Closes;
  };
  CHECK_FALSE(ClosesBy(5000));
  CHECK(ClosesBy(8000));
}

} // namespace waycove::test
