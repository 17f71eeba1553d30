// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// An owner of domains where the store comes back from an older copy: the
// generations of shared work go back and are dealt out again, and the copy may
// give a domain to two nodes for as long as a lease runs.
#include "control/domain_owner.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

constexpr std::uint64_t AllParts = 12;

/// Shared work of which this node is dealt everything.
struct FakeShares {
  absl::StatusOr<WorkShare> join(std::uint64_t Generation, Millis) {
    this->Heard = Generation;
    return this->Dealt;
  }
  void leave() {}

  WorkShare Dealt;
  std::uint64_t Heard = 0;
};

/// Targets that take every order; one of a smaller fence than they have seen
/// is refused, as the platform's do.
struct FakeControl {
  OrderEnd order(const GroupOrder &Order, std::uint64_t Fence) {
    std::lock_guard Lock(this->Mutex);
    if (Fence < this->Newest)
      return OrderEnd::Fenced;
    this->Newest = Fence;
    ++this->Taken;
    this->Epoch = std::max(this->Epoch, Order.Group.Epoch);
    return OrderEnd::Taken;
  }
  MemberFate ask(const TargetInfo &) { return MemberFate::Unknown; }
  Reach reach(const TargetInfo &) { return Reach::Answers; }

  std::mutex Mutex;
  std::uint64_t Newest = 0;
  std::uint64_t Epoch = 0;
  int Taken = 0;
};

Settings entrySettings() {
  Settings Given;
  Given.Node = NodeId("n");
  Given.DataCentre = DataCentreId("c");
  Given.Entry.emplace();
  return Given;
}

} // namespace

/// The owner of a domain of two free VMs, which make one group.
struct OwnerFixture {
  OwnerFixture() : Board(entrySettings(), IncarnationId("i")) {
    auto Config = std::make_shared<RoutingConfig>();
    ServiceSpec Spec;
    Spec.Id = ServiceId("llm");
    Spec.Engine.emplace();
    ModelSpec Model;
    Model.Name = "m";
    Model.GroupSize = 2;
    Spec.Engine->Models.push_back(Model);
    Config->Services[Spec.Id] = Spec;
    this->Board.Routing.write([&](RoutingConfigRef &Row) { Row = Config; });
    this->Board.Nodes.write([&](NodeTable &Rows) {
      Rows[this->Board.Config.Node] = this->Board.nodeInfo();
    });
    for (std::uint64_t Part = 0; Part < AllParts; ++Part)
      this->Shares.Dealt.Parts.push_back(Part);
  }
  /// The registry, as of the store's era \p Era.
  void list(std::uint64_t Era) {
    this->Board.Targets.write([&](Fleet &Rows) {
      Rows.Registry = atOffset(10, Era);
      for (const char *Id : {"vm1", "vm2"}) {
        auto Row = std::make_shared<TargetInfo>();
        Row->Id = VmId(Id);
        Row->Service = ServiceId("llm");
        Row->Domain = DomainId("d");
        Row->DataCentre = DataCentreId("c");
        Row->Staged = {"m"};
        Rows.Targets[Row->Id] = Row;
      }
    });
    this->Board.RegistryLease.renew(SystemClock{}.now(), Millis(60000));
  }
  void deal(std::uint64_t Era, std::uint64_t Generation) {
    this->Shares.Dealt.Era = StoreEra(Era);
    this->Shares.Dealt.Generation = Generation;
    this->Owner.renew();
  }
  /// Renews the lease and plans for \p Time, or until targets took an order;
  /// whether they did. Meanwhile the registry is read, or \p NothingRead.
  bool plan(Millis Time, bool NothingRead = false) {
    int Before = this->Targets.Taken;
    for (TimePoint End = SystemClock{}.now() + Time;
         SystemClock{}.now() < End && this->Targets.Taken == Before;) {
      if (!NothingRead)
        this->Board.RegistryProvenAt.raise(SystemClock{}.now());
      this->Owner.renew();
      this->Owner.step();
      std::this_thread::sleep_for(Millis(50));
    }
    return this->Targets.Taken > Before;
  }

  EntryBoard Board;
  FakeShares Shares;
  FakeControl Targets;
  DomainOwner<FakeShares, FakeControl> Owner{Board, Shares, Targets};
};

TEST_CASE_METHOD(OwnerFixture,
                 "domain owner: generations go back with a restore: its orders "
                 "go on above those of before",
                 "[unit]") {
  this->list(0);
  this->deal(0, 12);
  REQUIRE(this->plan(Millis(5000)));
  std::uint64_t Fence = this->Targets.Newest;
  std::uint64_t Epoch = this->Targets.Epoch;
  this->list(1);
  this->deal(1, 10);
  CHECK(this->plan(Millis(6000)));
  CHECK(this->Targets.Newest > Fence);
  CHECK(this->Targets.Epoch > Epoch);
}

TEST_CASE_METHOD(OwnerFixture,
                 "domain owner: dealt by a restored store: nothing is ordered "
                 "while another's lease of before may run",
                 "[unit]") {
  this->list(0);
  this->deal(0, 12);
  REQUIRE(this->plan(Millis(5000)));
  this->list(1);
  // The copy may have given this domain to another node, or this one's to it.
  this->deal(1, 13);
  CHECK_FALSE(this->plan(Millis(1700)));
}

TEST_CASE_METHOD(OwnerFixture,
                 "domain owner: it learned of a restore: the generation of "
                 "before is not named to the store",
                 "[unit]") {
  this->list(0);
  this->deal(0, 12);
  REQUIRE(this->plan(Millis(5000)));
  REQUIRE(this->Shares.Heard == 12);
  KeyedPage Page;
  Page.IsSnapshot = true;
  Page.Next = atOffset(3, 1);
  this->Board.feed(FeedKind::Registry).merge(Page, SystemClock{}.now());
  this->deal(1, 10);
  CHECK(this->Shares.Heard == 0);
  this->deal(1, 11);
  CHECK(this->Shares.Heard == 10);
}

TEST_CASE_METHOD(OwnerFixture,
                 "domain owner: its registry is of another era than its share: "
                 "nothing is ordered",
                 "[unit]") {
  this->list(0);
  this->deal(1, 10);
  CHECK_FALSE(this->plan(Millis(5000)));
  this->list(1);
  CHECK(this->plan(Millis(3000)));
}

// After a suspension time has passed, and no news of the last owner's orders
// came.
TEST_CASE_METHOD(OwnerFixture,
                 "domain owner: nothing was read since it got the domain: "
                 "nothing is ordered until then",
                 "[unit]") {
  this->list(0);
  this->Board.RegistryProvenAt.raise(SystemClock{}.now());
  this->deal(0, 12);
  CHECK_FALSE(this->plan(Millis(3000), true));
  CHECK(this->plan(Millis(5000)));
}

} // namespace waycove::test
