// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// The group planner against a simulated domain with lost, unanswered and late
// orders, dead and partitioned VMs, false detections of death, a lagging
// registry and changes of ownership. No VM may join a group while the head of
// its current one serves, and no group may run unless all members were ready in
// it.
#include "policy/domain_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>

namespace waycove::test {

namespace {

constexpr Millis StepTime(100);
constexpr int VmCount = 6;
constexpr int StepsUntilBroken = 50;
constexpr int StepsListedAfterDeath = 30;

struct SimulatedVm {
  VmId Id;
  /// Incremented with each restart under this id.
  std::uint64_t Incarnation = 1;
  bool Alive = true;
  int DeadFor = 0;
  /// Steps for which its registry entry is missing.
  int Unlisted = 0;
  /// Steps for which its registry entry is stale.
  int Stale = 0;
  std::uint64_t EpochSeen = 0;
  std::optional<Membership> Group;
  std::vector<VmId> Members;
  int ReadyIn = 0;
  int StalledSteps = 0;
  std::string Loaded;
};

struct DelayedOrder {
  GroupOrder Order;
  int In = 0;
};

/// Simulates the VMs of one domain, their registry and the delivery of orders.
class Simulation {
public:
  explicit Simulation(std::uint64_t Seed) : Random(Seed) {
    for (int I = 0; I < VmCount; ++I) {
      this->Vms.emplace_back();
      this->Vms.back().Id = VmId("vm-" + std::to_string(I));
    }
    this->Engine.ModelsStagedPerHost = 1;
    for (auto [Name, Size] : {std::pair{"large", 3U}, std::pair{"small", 2U}}) {
      ModelSpec Model;
      Model.Name = Name;
      Model.GroupSize = Size;
      Model.LoadFraction = 0.5;
      Model.LoadTime = Millis(1000);
      Model.StagedLoadTime = Millis(200);
      this->Engine.Models.push_back(Model);
    }
  }

  void run(int Steps) {
    for (int I = 0; I < Steps && this->Violation.empty(); ++I) {
      this->Now += StepTime;
      this->disturb();
      this->deliverDelayed();
      this->advance();
      this->recordRegistry();
      this->plan();
    }
  }

  std::string traceText() const {
    std::string Text;
    for (const std::string &Line : this->Trace)
      Text += Line;
    return Text;
  }

  /// Number of open groups that are not stalled.
  unsigned openNow() {
    unsigned Count = 0;
    for (const SimulatedVm &Vm : this->Vms)
      Count += Vm.Alive && Vm.Group && Vm.Group->Rank == 0 &&
               Vm.Group->State == MemberState::Open && Vm.StalledSteps == 0;
    return Count;
  }

  /// Latest orders and their results, newest last.
  std::deque<std::string> Trace;
  /// Description of the first violation; empty while all invariants hold.
  std::string Violation;
  unsigned OpenedGroups = 0;
  /// Probability of a disturbance per step, in thousandths.
  int DisturbanceRate = 20;
  /// Probability per step, in thousandths, that a VM restarts under its id.
  int RestartRate = 0;

private:
  int roll(int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(this->Random);
  }
  bool chance(int InThousand) { return roll(1000) < InThousand; }

  SimulatedVm *find(const VmId &Id) {
    for (SimulatedVm &Vm : this->Vms)
      if (Vm.Id == Id && Vm.Alive)
        return &Vm;
    return nullptr;
  }

  VmIncarnation incarnationOf(const SimulatedVm &Vm) const {
    return {Vm.Id, WallMs(Vm.Incarnation)};
  }

  /// Restarts a VM under its id, sometimes with a stale registry entry and
  /// sometimes already presumed dead by the owner.
  void restartVm() {
    if (this->RestartRate == 0 || !this->chance(this->RestartRate))
      return;
    SimulatedVm &Vm = this->Vms[static_cast<std::size_t>(
        roll(static_cast<int>(this->Vms.size())))];
    if (!Vm.Alive)
      return;
    if (this->chance(500))
      this->FalselyDead.insert(this->incarnationOf(Vm));
    SimulatedVm Restarted;
    Restarted.Id = Vm.Id;
    Restarted.Incarnation = Vm.Incarnation + 1;
    Restarted.Stale = this->chance(600) ? roll(50) : 0;
    Vm = Restarted;
    this->Trace.push_back(
        std::to_string(this->Now.time_since_epoch() / Millis(1)) + " " +
        Vm.Id.Text + " starts again\n");
  }

  void disturb() {
    this->restartVm();
    if (!this->chance(this->DisturbanceRate))
      return;
    SimulatedVm &Vm = this->Vms[static_cast<std::size_t>(
        roll(static_cast<int>(this->Vms.size())))];
    switch (roll(5)) {
    case 0:
      Vm.Alive = false;
      break;
    case 1:
      Vm.Unlisted = 20 + roll(40);
      break;
    case 2: {
      // A new owner, while orders of the old one may still be in flight. One
      // in three is the old owner, restarted with the same generation.
      this->Generation += static_cast<std::uint64_t>(roll(3));
      this->Planner = DomainPlanner();
      this->PriorEpochMax =
          std::max(this->Generation << 20, this->epochFloor());
      this->PlanningAllowedAt = this->Now + TakeoverDelay;
      // The new owner's view may lag more.
      this->Lag = 5;
      break;
    }
    case 3:
      this->FalselyDead.insert(this->incarnationOf(Vm));
      break;
    default:
      if (!Vm.Alive) {
        // The host returns with a new VM id.
        SimulatedVm Restarted;
        Restarted.Id = VmId(Vm.Id.Text + "'");
        Vm = Restarted;
      }
    }
    if (this->chance(300))
      this->FalselyDead.clear();
  }

  /// An epoch above all that the registry shows, with a margin for unseen ones.
  std::uint64_t epochFloor() const {
    constexpr std::uint64_t Unseen = 1024;
    std::uint64_t Seen = 0;
    if (!this->Registry.empty())
      for (const TargetRef &Target : this->Registry.back())
        if (Target->Group)
          Seen = std::max(Seen, Target->Group->Group.Epoch);
    return Seen + Unseen;
  }

  void trace(const std::string &What, const GroupOrder &Order, int Status) {
    this->Trace.push_back(
        std::to_string(this->Now.time_since_epoch() / Millis(1)) + " " + What +
        " " + std::string(orderName(Order.Kind)) + " " + Order.To->Id.Text +
        " " + Order.Group.Name + " " + std::to_string(Status) + " (" +
        Order.Reason + ")\n");
    if (this->Trace.size() > 40)
      this->Trace.pop_front();
  }
  /// Executes an order as a target does, and returns the response status.
  int execute(const GroupOrder &Order) {
    SimulatedVm *Vm = this->find(Order.To->Id);
    if (!Vm)
      return 0;
    bool Holds = Vm->Group && Vm->Group->Group == Order.Group;
    switch (Order.Kind) {
    case OrderKind::Join:
      return this->join(*Vm, Order);
    case OrderKind::Open:
      if (!Holds || Vm->Group->State != MemberState::Ready)
        return 409;
      Vm->Group->State = MemberState::Open;
      ++this->OpenedGroups;
      return 202;
    case OrderKind::Close:
      if (!Holds || Vm->Group->State != MemberState::Open)
        return 409;
      Vm->Group->State = MemberState::Closing;
      Vm->ReadyIn = 1 + roll(5);
      return 202;
    case OrderKind::Leave:
      if (!Holds)
        return 409;
      Vm->Group.reset();
      return 202;
    case OrderKind::Stage:
      break;
    }
    return 202;
  }

  int join(SimulatedVm &Vm, const GroupOrder &Order) {
    if (Order.Group.Epoch < Vm.EpochSeen)
      return 412;
    if (Vm.Group && Vm.Group->Group == Order.Group)
      return Vm.Members == Order.Members ? 200 : 412;
    if (Vm.Group)
      this->checkFree(Vm, Order);
    Vm.EpochSeen = Order.Group.Epoch;
    auto At = std::find(Order.Members.begin(), Order.Members.end(), Vm.Id);
    Vm.Group = Membership{Order.Group,
                          static_cast<unsigned>(At - Order.Members.begin()),
                          MemberState::Joining};
    Vm.Members = Order.Members;
    Vm.ReadyIn = Vm.Loaded == Order.Model ? 2 : 2 + roll(10);
    Vm.Loaded = Order.Model;
    return 202;
  }

  /// Checks that no VM leaves a group for another while its head serves.
  void checkFree(const SimulatedVm &Vm, const GroupOrder &Order) {
    SimulatedVm *Head = this->find(Vm.Members.front());
    if (Head && Head->Group && Head->Group->Group == Vm.Group->Group &&
        (Head->Group->State == MemberState::Open ||
         Head->Group->State == MemberState::Closing))
      this->Violation = Vm.Id.Text + " joins " + Order.Group.Name +
                        " while the head of " + Vm.Group->Group.Name +
                        " serves";
  }

  void deliverDelayed() {
    std::vector<GroupOrder> Due;
    std::erase_if(this->Delayed, [&](DelayedOrder &Delayed) {
      if (--Delayed.In > 0)
        return false;
      Due.push_back(Delayed.Order);
      return true;
    });
    for (const GroupOrder &Order : Due)
      this->trace("late", Order, this->execute(Order));
  }

  void advance() {
    for (SimulatedVm &Vm : this->Vms) {
      Vm.DeadFor += Vm.Alive ? 0 : 1;
      Vm.Unlisted = std::max(0, Vm.Unlisted - 1);
      if (!Vm.Alive || !Vm.Group)
        continue;
      MemberState &State = Vm.Group->State;
      bool InTransition =
          State == MemberState::Joining || State == MemberState::Closing;
      if (InTransition && --Vm.ReadyIn <= 0) {
        State = MemberState::Ready;
        this->ReadyOnce.insert({Vm.Group->Group, Vm.Id});
      }
      if (Vm.Group->Rank == 0 && State == MemberState::Open)
        this->runGroup(Vm);
    }
  }

  /// Advances an open group: it runs, or stalls and finally breaks.
  void runGroup(SimulatedVm &Head) {
    bool AllPresent = true;
    for (const VmId &Id : Head.Members) {
      SimulatedVm *Vm = this->find(Id);
      AllPresent = AllPresent && Vm && Vm->Group &&
                   Vm->Group->Group == Head.Group->Group;
      if (!this->ReadyOnce.contains({Head.Group->Group, Id}))
        this->Violation =
            Head.Group->Group.Name +
            " runs with a member that was never ready: " + Id.Text;
    }
    const ModelSpec *Model =
        this->Engine.model(modelOf(Head.Group->Group.Name));
    if (!Model || Head.Members.size() != Model->GroupSize)
      this->Violation = Head.Group->Group.Name + " has the wrong size";
    Head.StalledSteps = AllPresent ? 0 : Head.StalledSteps + 1;
    if (Head.StalledSteps > StepsUntilBroken)
      Head.Group->State = MemberState::Broken;
  }

  TargetRef listed(const SimulatedVm &Vm) const {
    auto Info = std::make_shared<TargetInfo>();
    Info->Id = Vm.Id;
    Info->StartedAt = WallMs(Vm.Incarnation);
    Info->Domain = DomainId("d");
    Info->Group = Vm.Group;
    Info->Staged = {"large", "small"};
    if (!Vm.Loaded.empty())
      Info->Loaded = {Vm.Loaded};
    return Info;
  }

  /// Records the current registry for lagging views.
  void recordRegistry() {
    std::vector<TargetRef> Shown;
    for (SimulatedVm &Vm : this->Vms) {
      bool Listed =
          Vm.Alive ? Vm.Unlisted == 0
                   : Vm.DeadFor < StepsListedAfterDeath && Vm.Unlisted == 0;
      if (Listed && Vm.Stale > 0 && this->LastShown.contains(Vm.Id)) {
        --Vm.Stale;
        Shown.push_back(this->LastShown[Vm.Id]);
      } else if (Listed) {
        // Dead VMs stay listed with their last entry for a while.
        Shown.push_back(this->listed(Vm));
        this->Removed.erase(Vm.Id);
        this->LastShown[Vm.Id] = Shown.back();
      }
    }
    for (const auto &Entry : this->LastShown) {
      const VmId &Id = Entry.first;
      bool Listed = std::any_of(Shown.begin(), Shown.end(),
                                [&](const auto &R) { return R->Id == Id; });
      if (!Listed && !this->Removed.contains(Id))
        this->Removed[Id] = {Entry.second, this->Now};
    }
    this->Registry.push_back(Shown);
    if (this->Registry.size() > 8)
      this->Registry.pop_front();
  }

  void plan() {
    if (this->Now < this->PlanningAllowedAt)
      return;
    DomainView View;
    View.Domain = DomainId("d");
    View.Now = this->Now;
    // The lag varies, but a view never goes back in time.
    this->Lag =
        std::min<std::size_t>({this->Lag + 1, static_cast<std::size_t>(roll(6)),
                               this->Registry.size() - 1});
    View.Targets = this->Registry[this->Registry.size() - 1 - this->Lag];
    for (const auto &[Id, Target] : this->Removed)
      View.Removed.push_back(Target);
    for (const auto &[Id, Target] : this->Removed) {
      SimulatedVm *Vm = this->find(Id);
      bool Responds = Vm && Vm->Group && Target.Last->Group &&
                      Vm->Group->Group == Target.Last->Group->Group;
      // A VM that the owner cannot reach either counts as dead.
      VmIncarnation Incarnation = Target.Last->incarnation();
      View.Statuses[Incarnation] =
          Responds && this->incarnationOf(*Vm) == Incarnation &&
                  !this->FalselyDead.contains(Incarnation)
              ? MemberStatus::Alive
              : MemberStatus::Dead;
    }
    View.PresumedDead = this->FalselyDead;
    View.EpochFloor = std::max(this->Generation << 20, this->PriorEpochMax);
    View.PriorEpochMax = this->PriorEpochMax;
    View.LoadsAllowed = 100;
    for (const GroupOrder &Order : this->Planner.step(View, this->Engine))
      this->send(Order);
  }

  void send(const GroupOrder &Order) {
    int Outcome = this->DisturbanceRate > 0 ? roll(20) : 10;
    if (Outcome == 0)
      return this->trace("lost", Order, 0);
    if (Outcome <= 2) {
      // No response, and executed up to ten seconds later.
      this->Delayed.push_back({Order, 1 + roll(100)});
      return this->trace("delayed", Order, 0);
    }
    int Status = this->execute(Order);
    this->trace(Outcome > 4 ? "done" : "unanswered", Order, Status);
    bool Responded = Outcome > 4 && Status != 0;
    if (Responded && Order.Kind == OrderKind::Leave && Status != 412)
      this->Planner.onLeaveConfirmed(Order);
  }

  std::mt19937_64 Random;
  EngineSpec Engine;
  std::vector<SimulatedVm> Vms;
  DomainPlanner Planner;
  std::uint64_t Generation = 1;
  std::uint64_t PriorEpochMax = 1U << 20;
  TimePoint PlanningAllowedAt;
  std::size_t Lag = 0;
  TimePoint Now{std::chrono::seconds(1000)};
  std::deque<std::vector<TargetRef>> Registry;
  std::map<VmId, TargetRef> LastShown;
  std::map<VmId, RemovedTarget> Removed;
  std::set<VmIncarnation> FalselyDead;
  std::vector<DelayedOrder> Delayed;
  std::set<std::pair<GroupKey, VmId>> ReadyOnce;
};

} // namespace

TEST_CASE("planner: an undisturbed domain: opens all its groups",
          "[property]") {
  for (std::uint64_t Seed = 0; Seed < 50; ++Seed) {
    Simulation Run(Seed);
    Run.DisturbanceRate = 0;
    Run.run(150);
    INFO("seed " << Seed << ": " << Run.Violation);
    CHECK(Run.Violation.empty());
    CHECK(Run.OpenedGroups >= 2);
  }
}

TEST_CASE("planner: lost, late and wrong knowledge: no VM in two groups, no "
          "partial group",
          "[property]") {
  for (std::uint64_t Seed = 0; Seed < 1500; ++Seed) {
    Simulation Run(Seed);
    Run.run(500);
    INFO("seed " << Seed << ": " << Run.Violation << "\n" << Run.traceText());
    CHECK(Run.Violation.empty());
  }
}

// A restarted VM accepts orders meant for its predecessor.
TEST_CASE("planner: VMs start again under their ids: no VM in two groups, no "
          "partial group",
          "[property]") {
  for (std::uint64_t Seed = 0; Seed < 1500; ++Seed) {
    Simulation Run(Seed);
    Run.RestartRate = 30;
    Run.run(500);
    INFO("seed " << Seed << ": " << Run.Violation << "\n" << Run.traceText());
    CHECK(Run.Violation.empty());
  }
}

TEST_CASE("planner: VMs start again under their ids, then all is calm: it "
          "opens groups of them",
          "[property]") {
  for (std::uint64_t Seed = 0; Seed < 200; ++Seed) {
    Simulation Run(Seed);
    Run.DisturbanceRate = 0;
    Run.RestartRate = 60;
    Run.run(200);
    Run.RestartRate = 0;
    Run.run(150);
    INFO("seed " << Seed << ": " << Run.Violation << "\n" << Run.traceText());
    CHECK(Run.Violation.empty());
    CHECK(Run.openNow() >= 2);
  }
}

} // namespace waycove::test
