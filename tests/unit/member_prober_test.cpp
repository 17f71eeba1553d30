// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Detection of dead members of groups.
#include "control/member_prober.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

/// Targets that respond unless listed here.
struct FakeControl {
  OrderOutcome order(const GroupOrder &, std::uint64_t) {
    return OrderOutcome::Accepted;
  }
  MemberStatus queryStatus(const TargetInfo &) { return MemberStatus::Unknown; }
  absl::StatusOr<std::optional<GroupKey>> reportedGroup(const TargetInfo &) {
    return std::nullopt;
  }
  Reachability probe(const TargetInfo &Target) {
    if (this->Restarted.contains(Target.Id))
      return Reachability::ProcessEnded;
    return this->Unresponsive.contains(Target.Id) ? Reachability::Unresponsive
                                                  : Reachability::Reachable;
  }
  std::set<VmId> Unresponsive;
  /// Another process responds at their address.
  std::set<VmId> Restarted;
};

} // namespace

/// A domain of three VMs, where a group needs two.
struct ProberFixture {
  ProberFixture() : Board(Settings(), IncarnationId("i")) {
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
    this->View.LoadsAllowed = UnlimitedLoads;
  }
  /// Plans once at \p Ms; returns the targets that are ordered to join.
  std::vector<std::string> joins(int Ms) {
    this->View.Now = at(Ms);
    this->View.PresumedDead.clear();
    this->Prober.detectLost(this->View);
    std::vector<std::string> Ids;
    for (const GroupOrder &Row : this->Planner.step(this->View, this->Engine))
      if (Row.Kind == OrderKind::Join)
        Ids.push_back(Row.To->Id.Text);
    return Ids;
  }

  EntryBoard Board;
  FakeControl Control;
  MemberProber<FakeControl> Prober{this->Board, this->Control};
  EngineSpec Engine;
  DomainView View;
  DomainPlanner Planner;
};

TEST_CASE_METHOD(ProberFixture,
                 "members: one is not reached by its order: the next group is "
                 "formed of others at once",
                 "[unit]") {
  this->joins(0);
  REQUIRE(this->joins(800) == std::vector<std::string>{"a", "b"});
  this->Prober.markUnreachable({VmId("b"), {}}, at(900));
  // The order to the other target was delivered and shows in the registry.
  auto Joined = std::make_shared<TargetInfo>(*this->View.Targets[0]);
  Joined->Group = Membership{
      {groupName("m", DomainId("d"), 1), 1}, 0, MemberState::Joining};
  this->View.Targets[0] = Joined;
  this->joins(1000);
  GroupOrder Leave;
  Leave.Kind = OrderKind::Leave;
  Leave.To = Joined;
  Leave.Group = Joined->Group->Group;
  this->Planner.onLeaveConfirmed(Leave);
  CHECK(this->joins(1100) == std::vector<std::string>{"a", "c"});
}

TEST_CASE_METHOD(ProberFixture,
                 "members: one was not reached once: it is used again later",
                 "[unit]") {
  this->Prober.markUnreachable({VmId("b"), {}}, at(0));
  this->joins(0);
  CHECK(this->joins(800) == std::vector<std::string>{"a", "c"});
  this->View.Now = at(8000);
  this->View.PresumedDead.clear();
  this->Prober.detectLost(this->View);
  CHECK(this->View.PresumedDead.empty());
}

TEST_CASE_METHOD(ProberFixture,
                 "members: a head refuses, having started again behind a cut: "
                 "taken for dead at the first question, its new life not",
                 "[unit]") {
  auto Head = std::make_shared<TargetInfo>(*this->View.Targets[0]);
  Head->StartedAt = WallMs(100);
  Head->Group =
      Membership{{groupName("m", DomainId("d"), 1), 1}, 0, MemberState::Open};
  this->View.Targets[0] = Head;
  this->View.Now = at(0);
  this->Control.Restarted.insert(Head->Id);
  this->Prober.detectLost(this->View);
  REQUIRE(this->View.PresumedDead.empty());
  this->Board.TargetStats.write([&](TargetStatsTable &Rows) {
    Rows.suspect(Head->incarnation(), at(0), Millis(3000));
  });
  this->Prober.detectLost(this->View);
  CHECK(this->View.PresumedDead ==
        std::set<VmIncarnation>{Head->incarnation()});
  CHECK_FALSE(this->View.PresumedDead.contains({Head->Id, WallMs(200)}));
}

} // namespace waycove::test
