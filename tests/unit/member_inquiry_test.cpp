// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// What an owner of domains concludes of members that do not answer.
#include "control/member_inquiry.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

/// Targets of which only those named answer.
struct FakeControl {
  OrderEnd order(const GroupOrder &, std::uint64_t) { return OrderEnd::Taken; }
  MemberFate ask(const TargetInfo &) { return MemberFate::Unknown; }
  Reach reach(const TargetInfo &Target) {
    if (this->Ended.contains(Target.Id))
      return Reach::Ended;
    return this->Silent.contains(Target.Id) ? Reach::Silent : Reach::Answers;
  }
  std::set<VmId> Silent;
  /// In their place, another process answers.
  std::set<VmId> Ended;
};

} // namespace

/// A domain of three VMs, of which two make a group.
struct InquiryFixture {
  InquiryFixture() : Board(Settings(), IncarnationId("i")) {
    ModelSpec Model;
    Model.Name = "m";
    Model.GroupSize = 2;
    Model.StagedLoadTime = Millis(1000);
    this->Engine.Models = {Model};
    this->View.Domain = DomainId("d");
    for (const char *Id : {"a", "b", "c"}) {
      auto Row = std::make_shared<TargetInfo>();
      Row->Id = VmId(Id);
      Row->Domain = DomainId("d");
      Row->Loaded = {"m"};
      this->View.Targets.push_back(Row);
    }
    this->View.LoadsAllowed = FreeLoads;
  }
  /// A planning step at \p Ms; who is told to join.
  std::vector<std::string> joins(int Ms) {
    this->View.Now = at(Ms);
    this->View.Lost.clear();
    this->Members.findLost(this->View);
    std::vector<std::string> Ids;
    for (const GroupOrder &Row : this->Planner.step(this->View, this->Engine))
      if (Row.Kind == OrderKind::Join)
        Ids.push_back(Row.To->Id.Text);
    return Ids;
  }

  EntryBoard Board;
  FakeControl Control;
  MemberInquiry<FakeControl> Members{this->Board, this->Control};
  EngineSpec Engine;
  DomainView View;
  DomainPlanner Planner;
};

TEST_CASE_METHOD(InquiryFixture,
                 "members: one is not reached by its order: the next group is "
                 "formed of others at once",
                 "[unit]") {
  this->joins(0);
  REQUIRE(this->joins(800) == std::vector<std::string>{"a", "b"});
  this->Members.noteUnreached({VmId("b"), {}}, at(900));
  // The order to the other one got through, and shows in the registry.
  auto Joined = std::make_shared<TargetInfo>(*this->View.Targets[0]);
  Joined->Group = Membership{
      {groupName("m", DomainId("d"), 1), 1}, 0, MemberState::Joining};
  this->View.Targets[0] = Joined;
  this->joins(1000);
  GroupOrder Leave;
  Leave.Kind = OrderKind::Leave;
  Leave.To = Joined;
  Leave.Group = Joined->Group->Group;
  this->Planner.onLeft(Leave);
  CHECK(this->joins(1100) == std::vector<std::string>{"a", "c"});
}

TEST_CASE_METHOD(InquiryFixture,
                 "members: one was not reached once: it is used again later",
                 "[unit]") {
  this->Members.noteUnreached({VmId("b"), {}}, at(0));
  this->joins(0);
  CHECK(this->joins(800) == std::vector<std::string>{"a", "c"});
  this->View.Now = at(8000);
  this->View.Lost.clear();
  this->Members.findLost(this->View);
  CHECK(this->View.Lost.empty());
}

TEST_CASE_METHOD(InquiryFixture,
                 "members: a head refuses, having started again behind a cut: "
                 "taken for dead at the first question, its new life not",
                 "[unit]") {
  auto Head = std::make_shared<TargetInfo>(*this->View.Targets[0]);
  Head->Born = WallMs(100);
  Head->Group =
      Membership{{groupName("m", DomainId("d"), 1), 1}, 0, MemberState::Open};
  this->View.Targets[0] = Head;
  this->View.Now = at(0);
  this->Control.Ended.insert(Head->Id);
  this->Members.findLost(this->View);
  REQUIRE(this->View.Lost.empty());
  this->Board.TargetStats.write([&](TargetStatsTable &Rows) {
    Rows.suspect(Head->life(), at(0), Millis(3000));
  });
  this->Members.findLost(this->View);
  CHECK(this->View.Lost == std::set<VmLife>{Head->life()});
  CHECK_FALSE(this->View.Lost.contains({Head->Id, WallMs(200)}));
}

} // namespace waycove::test
