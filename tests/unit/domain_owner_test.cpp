// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// An owner of domains after the store was restored from an older copy, which
// reuses generations and may assign a domain to two nodes for one lease, and
// before targets that have seen newer fences or epochs than it knows of.
#include "control/domain_owner.h"
#include "support/times.h"

#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

constexpr std::uint64_t AllPartitions = 12;

/// A partition service that assigns everything to this node.
struct FakePartitioner {
  absl::StatusOr<PartitionAssignment> join(std::uint64_t Generation, Millis) {
    this->ReportedGeneration = Generation;
    this->IsMember = true;
    return this->Assigned;
  }
  absl::Status leave() {
    if (std::exchange(this->IsMember, false))
      ++this->Assigned.Generation;
    return absl::OkStatus();
  }

  PartitionAssignment Assigned;
  bool IsMember = false;
  std::uint64_t ReportedGeneration = 0;
};

/// Targets that accept every order, but refuse one with a smaller fence than
/// they have seen, and a join with a smaller epoch.
struct FakeControl {
  OrderOutcome order(const GroupOrder &Order, std::uint64_t Fence) {
    std::lock_guard Lock(this->Mutex);
    ++this->Sent;
    if (Fence < this->NewestFence)
      return OrderOutcome::Fenced;
    this->NewestFence = Fence;
    std::uint64_t &Known =
        this->Epochs.try_emplace(Order.To->Id, this->SeenBefore).first->second;
    if (Order.Kind == OrderKind::Join && Order.Group.Epoch < Known)
      return OrderOutcome::Fenced;
    Known = std::max(Known, Order.Group.Epoch);
    ++this->Accepted;
    if (Order.Kind == OrderKind::Join)
      this->JoinedModels[Order.To->Id] = Order.Model;
    this->Epoch = std::max(this->Epoch, Order.Group.Epoch);
    return OrderOutcome::Accepted;
  }
  absl::StatusOr<std::optional<GroupKey>> reportedGroup(const TargetInfo &) {
    return this->Reported;
  }
  MemberStatus queryStatus(const TargetInfo &) { return MemberStatus::Unknown; }
  Reachability probe(const TargetInfo &) { return Reachability::Reachable; }

  std::mutex Mutex;
  std::uint64_t NewestFence = 0;
  /// The epoch that each target has seen before the first order.
  std::uint64_t SeenBefore = 0;
  /// The newest epoch of each target; orders of two groups come in any order.
  std::map<VmId, std::uint64_t> Epochs;
  /// The newest epoch of all orders.
  std::uint64_t Epoch = 0;
  int Sent = 0;
  int Accepted = 0;
  std::map<VmId, std::string> JoinedModels;
  absl::StatusOr<std::optional<GroupKey>> Reported = std::nullopt;
};

Settings entrySettings() {
  Settings Config;
  Config.Node = NodeId("n");
  Config.DataCentre = DataCentreId("c");
  Config.Entry.emplace();
  return Config;
}

} // namespace

/// The owner of a domain with two free VMs, enough for one group.
struct OwnerFixture {
  OwnerFixture() : Board(entrySettings(), IncarnationId("i")) {
    this->addService("llm", "m");
    this->Board.Nodes.write([&](NodeRankingRef &Row) {
      Row = std::make_shared<const NodeRanking>(
          NodeTable{{this->Board.Config.Node, this->Board.nodeInfo()}});
    });
    for (std::uint64_t Partition = 0; Partition < AllPartitions; ++Partition)
      this->Partitioner.Assigned.Partitions.push_back(Partition);
  }
  /// Configures a service with one model of two VMs.
  void addService(const std::string &Id, const std::string &ModelName) {
    ServiceSpec Spec;
    Spec.Id = ServiceId(Id);
    Spec.Engine.emplace();
    ModelSpec Model;
    Model.Name = ModelName;
    Model.GroupSize = 2;
    Spec.Engine->Models.push_back(Model);
    this->Board.Routing.write([&](RoutingConfigRef &Row) {
      auto Next = Row ? std::make_shared<RoutingConfig>(*Row)
                      : std::make_shared<RoutingConfig>();
      Next->Services[Spec.Id] = Spec;
      Row = Next;
    });
  }
  /// Lists VMs in the registry, as of the store's era \p Era.
  void list(std::uint64_t Era, const std::string &Service = "llm",
            const std::vector<std::string> &Vms = {"vm1", "vm2"},
            const std::string &Staged = "m") {
    this->Board.Targets.write([&](Fleet &Rows) {
      Rows.Registry = atOffset(10, Era);
      for (const std::string &Id : Vms) {
        auto Row = std::make_shared<TargetInfo>();
        Row->Id = VmId(Id);
        Row->Service = ServiceId(Service);
        Row->Domain = DomainId("d");
        Row->DataCentre = DataCentreId("c");
        Row->Staged = {Staged};
        Rows.Targets[Row->Id] = Row;
      }
    });
    this->Board.RegistryLease.renew(SystemClock{}.now(), Millis(60000));
  }
  void deal(std::uint64_t Era, std::uint64_t Generation) {
    this->Partitioner.Assigned.Era = StoreEra(Era);
    this->Partitioner.Assigned.Generation = Generation;
    this->renewLease();
  }
  using TestedOwner = DomainOwner<FakePartitioner, FakeControl>;

  void renewLease() { renewLeaseOf(this->Owner); }
  static void renewLeaseOf(TestedOwner &Renewed) {
    if (!Renewed.pollLease())
      Renewed.renewLease();
  }
  /// Renews the lease and plans for \p Time or until targets accept an order;
  /// returns whether they did. The registry is read meanwhile unless \p Unread.
  bool plan(Millis Time, bool Unread = false) {
    return this->planWith(this->Owner, Time, Unread);
  }
  bool planWith(TestedOwner &Planner, Millis Time, bool Unread = false) {
    int Before = this->Targets.Accepted;
    for (TimePoint End = SystemClock{}.now() + Time;
         SystemClock{}.now() < End && this->Targets.Accepted == Before;) {
      if (!Unread)
        this->Board.RegistryProvenAt.raise(SystemClock{}.now());
      renewLeaseOf(Planner);
      if (!Planner.pollPlan())
        Planner.plan();
      std::this_thread::sleep_for(Millis(50));
    }
    return this->Targets.Accepted > Before;
  }

  EntryBoard Board;
  FakePartitioner Partitioner;
  FakeControl Targets;
  TestedOwner Owner{Board, Partitioner, Targets};
};

TEST_CASE_METHOD(OwnerFixture,
                 "domain owner: generations go back with a restore: its orders "
                 "go on above those of before",
                 "[unit]") {
  this->list(0);
  this->deal(0, 12);
  REQUIRE(this->plan(Millis(5000)));
  std::uint64_t Fence = this->Targets.NewestFence;
  std::uint64_t Epoch = this->Targets.Epoch;
  this->list(1);
  this->deal(1, 10);
  CHECK(this->plan(Millis(6000)));
  CHECK(this->Targets.NewestFence > Fence);
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
  // The copy may assign a domain whose previous owner still holds its lease.
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
  REQUIRE(this->Partitioner.ReportedGeneration == 12);
  KeyedPage Page;
  Page.IsSnapshot = true;
  Page.Next = atOffset(3, 1);
  this->Board.feed(FeedKind::Registry).merge(Page, SystemClock{}.now());
  this->deal(1, 10);
  CHECK(this->Partitioner.ReportedGeneration == 0);
  this->deal(1, 11);
  CHECK(this->Partitioner.ReportedGeneration == 10);
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

// Guards against epochs that are given twice, so that a late order of before
// the restart takes a target out of a group that serves.
TEST_CASE_METHOD(OwnerFixture,
                 "domain owner: its process starts again within the lease: it "
                 "orders under another fence",
                 "[unit]") {
  this->list(0);
  this->deal(0, 12);
  REQUIRE(this->plan(Millis(5000)));
  std::uint64_t Fence = this->Targets.NewestFence;
  std::uint64_t Epoch = this->Targets.Epoch;
  TestedOwner NextLife{this->Board, this->Partitioner, this->Targets};
  CHECK(this->planWith(NextLife, Millis(5000)));
  CHECK(this->Targets.NewestFence > Fence);
  CHECK(this->Targets.Epoch > Epoch);
}

// Guards against planning after a suspension with an outdated registry.
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

// Guards against two groups of one name and epoch, so that a late order to open
// the first one opens the second before it is complete.
TEST_CASE_METHOD(OwnerFixture,
                 "domain owner: all VMs of a domain go and come back under its "
                 "fence: their groups get new epochs",
                 "[unit]") {
  this->list(0);
  this->deal(0, 12);
  REQUIRE(this->plan(Millis(5000)));
  std::uint64_t Epoch = this->Targets.Epoch;
  this->Board.Targets.write([](Fleet &Rows) { Rows.Targets.clear(); });
  CHECK_FALSE(this->plan(Millis(200)));
  this->list(0);
  CHECK(this->plan(Millis(5000)));
  CHECK(this->Targets.NewestFence == 12);
  CHECK(this->Targets.Epoch > Epoch);
}

// Guards against VMs of one service that are ordered into groups of another.
TEST_CASE_METHOD(OwnerFixture,
                 "domain owner: VMs of two services share a domain: groups of "
                 "each are formed of its own VMs",
                 "[unit]") {
  this->addService("other", "k");
  this->list(0);
  this->list(0, "other", {"vm3", "vm4"}, "k");
  this->deal(0, 12);
  REQUIRE(this->plan(Millis(5000)));
  this->plan(Millis(500));
  CHECK(this->Targets.JoinedModels ==
        std::map<VmId, std::string>{{VmId("vm1"), "m"},
                                    {VmId("vm2"), "m"},
                                    {VmId("vm3"), "k"},
                                    {VmId("vm4"), "k"}});
}

/// An owner that gets its domain under fence 12.
struct RefusedOwnerFixture : OwnerFixture {
  RefusedOwnerFixture() {
    this->list(0);
    this->deal(0, Generation);
  }
  /// An epoch of a group that was formed under \p Fence.
  static std::uint64_t epochOf(std::uint64_t Fence, std::uint64_t Count) {
    return (Fence << EpochCounterBits) + Count;
  }
  static constexpr std::uint64_t Generation = 12;
  /// Each target of the domain is sent a refused order at most so often.
  static constexpr int MaxRefused = 3;
  static constexpr int Vms = 2;
};

// Guards against an owner that takes the refusal of an epoch for that of its
// fence, and sends the targets nothing until the membership changes.
TEST_CASE_METHOD(RefusedOwnerFixture,
                 "domain owner: targets have seen a newer epoch of its fence: "
                 "it orders above that",
                 "[unit]") {
  this->Targets.SeenBefore = epochOf(Generation, 500);
  CHECK(this->plan(Millis(6000)));
  CHECK(this->Targets.Epoch > epochOf(Generation, 500));
  CHECK(this->Targets.NewestFence == Generation);
}

// Guards against orders that go on under a fence that is outdated.
TEST_CASE_METHOD(RefusedOwnerFixture,
                 "domain owner: targets have seen a newer fence: few more "
                 "orders are sent under its own",
                 "[unit]") {
  this->Targets.NewestFence = Generation + 1;
  SECTION("they are in no group") {
    CHECK_FALSE(this->plan(Millis(9000)));
    CHECK(this->Targets.Sent <= Vms * MaxRefused);
  }
  SECTION("they are in a group of that fence") {
    this->Targets.Reported = GroupKey{"m,d,newer", epochOf(Generation + 1, 1)};
    CHECK_FALSE(this->plan(Millis(5000)));
    CHECK(this->Targets.Sent == Vms);
  }
  SECTION("they do not report") {
    this->Targets.Reported = makeError(ErrorKind::OutcomeUnknown, "silent");
    CHECK_FALSE(this->plan(Millis(9000)));
    CHECK(this->Targets.Sent <= Vms * MaxRefused);
  }
}

// Guards against taking a target out of a group that the registry does not show
// yet, by a join with a higher epoch.
TEST_CASE_METHOD(RefusedOwnerFixture,
                 "domain owner: targets are in a group with a newer epoch that "
                 "is not listed: none is ordered above that",
                 "[unit]") {
  this->Targets.SeenBefore = epochOf(Generation, 500);
  this->Targets.Reported = GroupKey{"m,d,late", this->Targets.SeenBefore};
  CHECK_FALSE(this->plan(Millis(6000)));
  CHECK(this->Targets.Epoch <= this->Targets.SeenBefore);
}

} // namespace waycove::test
