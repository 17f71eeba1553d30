// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Conversion of groups after a shift of demand, in virtual time: six domains of
// 27 VMs, each with its own planner, see the registry half a second late.
#include "control/domain_views.h"
#include "support/times.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <deque>

namespace waycove::test {

namespace {

constexpr int StepMs = 100;
constexpr int LagMs = 500;
constexpr int Domains = 6;
constexpr int VmsPerDomain = 27;
/// Period of the demand's waves.
constexpr double WaveMs = 11000;

/// Actual state of a VM; the registry shows it with a delay.
struct SimulatedVm {
  TargetInfo Info;
  std::string Loading;
  int ReadyAt = -1;
};

ModelSpec modelSpec(const std::string &Name, unsigned Size, double Factor) {
  ModelSpec Model;
  Model.Name = Name;
  Model.GroupSize = Size;
  Model.LoadFraction = 0.5;
  Model.TimeFactor = Factor;
  Model.LoadTime = Millis(Size > 6 ? 16000 : 12000);
  Model.StagedLoadTime = Millis(1600);
  return Model;
}

Settings entrySettings() {
  Settings Config;
  Config.Entry.emplace();
  return Config;
}

} // namespace

struct ConvertFixture {
  ConvertFixture() : Board(entrySettings(), IncarnationId("i")) {
    ServiceSpec Spec;
    Spec.Id = ServiceId("llm");
    Spec.Engine.emplace();
    Spec.Engine->Models = {modelSpec("large", 12, 1),
                           modelSpec("small", 6, 0.6)};
    Spec.Engine->ModelsStagedPerHost = 1;
    Spec.Engine->LoadsAtOnce = 20;
    Spec.Engine->Slots = 48;
    Spec.Engine->StepMillis = 6.45;
    Spec.Engine->StepMillisPerRequest = 0.0967;
    Spec.Engine->ReadTokensPerSecond = 56100;
    this->Config.Services[Spec.Id] = Spec;
    for (std::uint64_t Part = 0;
         Part < this->Board.Config.Entry->PartitionCount; ++Part)
      this->Assignment.Partitions.push_back(Part);
    for (int I = 0; I < Domains * VmsPerDomain; ++I)
      this->addVm(I / VmsPerDomain);
    // Before the first request, loads are not limited.
    this->UnlimitedPhase = true;
    this->run(8000);
    this->UnlimitedPhase = false;
  }

  EngineSpec &engine() {
    return *this->Config.Services[ServiceId("llm")].Engine;
  }
  void addVm(int Domain) {
    SimulatedVm Vm;
    Vm.Info.Id = VmId("vm" + std::to_string(++this->Ids));
    Vm.Info.Service = ServiceId("llm");
    Vm.Info.Domain = DomainId("d" + std::to_string(Domain));
    Vm.Info.DataCentre = DataCentreId("c" + std::to_string(Domain % 3));
    this->Vms.push_back(Vm);
  }
  /// Sets the demand to \p Large and \p Small requests per second.
  void setDemand(double Large, double Small) {
    this->Demand = {{"large", {Large, Large * 1627, Large * 102}},
                    {"small", {Small, Small * 674, Small * 150}}};
  }

  void run(int Ms) {
    for (int End = this->NowMs + Ms; this->NowMs < End;) {
      this->NowMs += StepMs;
      this->advance();
      this->publish();
      this->plan();
    }
  }

  void advance() {
    for (SimulatedVm &Vm : this->Vms) {
      if (Vm.ReadyAt < 0 || this->NowMs < Vm.ReadyAt)
        continue;
      Vm.ReadyAt = -1;
      if (!Vm.Loading.empty()) {
        Vm.Info.Staged = {Vm.Loading};
        if (Vm.Info.Group && Vm.Info.Group->State == MemberState::Joining)
          Vm.Info.Loaded = {Vm.Loading};
        Vm.Loading.clear();
      }
      if (Vm.Info.Group)
        Vm.Info.Group->State = MemberState::Ready;
    }
  }

  /// Publishes the registry as it was LagMs ago.
  void publish() {
    std::vector<TargetRef> Targets;
    for (const SimulatedVm &Vm : this->Vms)
      Targets.push_back(std::make_shared<const TargetInfo>(Vm.Info));
    this->RegistryHistory.push_back(std::move(Targets));
    if (this->RegistryHistory.size() > LagMs / StepMs)
      this->RegistryHistory.pop_front();
    this->Board.Targets.write([&](Fleet &Fleet) {
      Fleet.Targets.clear();
      for (const TargetRef &Target : this->RegistryHistory.front())
        Fleet.Targets[Target->Id] = Target;
    });
  }

  void plan() {
    std::map<std::string, unsigned> ServingGroups;
    for (const char *Model : {"large", "small"})
      if (unsigned Count = this->open(Model); Count > 0)
        ServingGroups[Model] = Count;
    std::vector<GroupOrder> Orders;
    for (auto &[Key, View] : ownedDomains(this->Board, this->Config,
                                          this->Assignment, at(this->NowMs))) {
      View.ServingGroups = ServingGroups;
      View.Demand = this->Demand;
      View.EpochFloor = 1;
      if (this->UnlimitedPhase)
        View.LoadsAllowed = UnlimitedLoads;
      for (GroupOrder &Order :
           this->Planners[Key.Domain].step(View, this->engine()))
        Orders.push_back(std::move(Order));
    }
    for (const GroupOrder &Order : Orders)
      this->execute(Order);
  }

  SimulatedVm *find(const VmId &Id) {
    auto At =
        std::find_if(this->Vms.begin(), this->Vms.end(),
                     [&](const SimulatedVm &Vm) { return Vm.Info.Id == Id; });
    return At == this->Vms.end() ? nullptr : &*At;
  }

  void execute(const GroupOrder &Order) {
    SimulatedVm *Vm = this->find(Order.To->Id);
    if (!Vm)
      return;
    std::optional<Membership> &Group = Vm->Info.Group;
    bool Holds = Group && Group->Group == Order.Group;
    if (Order.Kind == OrderKind::Join)
      return this->join(*Vm, Order);
    if (Order.Kind == OrderKind::Stage) {
      Vm->Loading = Order.Model;
      Vm->ReadyAt = this->NowMs + this->loadMs(Order.Model);
      ++this->LoadCount;
      return;
    }
    if (Order.Kind == OrderKind::Leave) {
      if (Holds)
        Group.reset();
      return this->Planners[Order.To->Domain].onLeaveConfirmed(Order);
    }
    if (!Holds)
      return;
    bool Opens = Order.Kind == OrderKind::Open;
    if (Opens != (Group->State == MemberState::Ready))
      return;
    Group->State = Opens ? MemberState::Open : MemberState::Closing;
    if (Opens)
      return;
    Vm->ReadyAt = this->NowMs + 600;
    if (Order.Reason.starts_with("its VMs are to serve"))
      ++this->Conversions;
  }

  int loadMs(const std::string &Model) {
    return static_cast<int>(this->engine().model(Model)->LoadTime.count());
  }

  void join(SimulatedVm &Vm, const GroupOrder &Order) {
    auto Rank =
        std::find(Order.Members.begin(), Order.Members.end(), Vm.Info.Id) -
        Order.Members.begin();
    Vm.Info.Group = Membership{Order.Group, static_cast<unsigned>(Rank),
                               MemberState::Joining};
    bool Warm = Vm.Info.hasStaged(Order.Model);
    bool Loaded = Vm.Info.hasLoaded(Order.Model);
    Vm.Loading = Order.Model;
    Vm.ReadyAt = this->NowMs + (Loaded ? 200
                                : Warm ? 1600
                                       : this->loadMs(Order.Model) /
                                             (this->UnlimitedPhase ? 10 : 1));
    this->LoadCount += !Loaded && !Warm;
  }

  /// Number of complete, open groups.
  unsigned open(const std::string &Model) const {
    std::map<GroupKey, std::pair<unsigned, bool>> Groups;
    for (const SimulatedVm &Vm : this->Vms)
      if (Vm.Info.Group && modelOf(Vm.Info.Group->Group.Name) == Model) {
        auto &[Members, Open] = Groups[Vm.Info.Group->Group];
        ++Members;
        Open |= Vm.Info.Group->Rank == 0 &&
                Vm.Info.Group->State == MemberState::Open;
      }
    unsigned Size = Model == "large" ? 12 : 6;
    return static_cast<unsigned>(
        std::count_if(Groups.begin(), Groups.end(), [&](const auto &Entry) {
          return Entry.second.first == Size && Entry.second.second;
        }));
  }
  double load(const std::string &Model) {
    return groupLoad(this->engine(), *this->engine().model(Model),
                     this->Demand[Model], this->open(Model));
  }

  EntryBoard Board;
  RoutingConfig Config;
  PartitionAssignment Assignment;
  std::map<DomainId, DomainPlanner> Planners;
  std::vector<SimulatedVm> Vms;
  std::deque<std::vector<TargetRef>> RegistryHistory;
  DemandTable Demand;
  bool UnlimitedPhase = false;
  int NowMs = 0;
  int Ids = 0;
  int LoadCount = 0;
  int Conversions = 0;
};

TEST_CASE_METHOD(
    ConvertFixture,
    "groups follow the demand: four of five requests ask the small "
    "model of half of the VMs: it gets VMs, once",
    "[unit]") {
  REQUIRE(this->open("large") == 6);
  REQUIRE(this->open("small") == 12);
  this->setDemand(57, 380);
  CHECK(this->load("small") > 0.85);
  this->run(40000);
  INFO("large " << this->open("large") << ", small " << this->open("small"));
  CHECK(this->load("small") < 0.78);
  CHECK(this->load("large") < 0.78);
  int Conversions = this->Conversions;
  CHECK(Conversions <= 3);
  this->run(60000);
  CHECK(this->Conversions == Conversions);
}

TEST_CASE_METHOD(ConvertFixture,
                 "groups follow the demand: it waves by a fifth: groups rest",
                 "[unit]") {
  for (int Ms = 0; Ms < 120000; Ms += 1000) {
    // The waves of the two models are out of phase.
    double Phase = 2 * M_PI * Ms / WaveMs;
    this->setDemand(48 * (1 + 0.2 * std::sin(Phase)),
                    240 * (1 + 0.2 * std::sin(Phase + 2)));
    this->run(1000);
  }
  CHECK(this->Conversions == 0);
}

TEST_CASE_METHOD(ConvertFixture,
                 "groups follow the demand: it turns round: so do the groups, "
                 "small ones giving way to large ones",
                 "[unit]") {
  this->setDemand(57, 380);
  this->run(40000);
  unsigned Before = this->open("large");
  this->setDemand(105, 100);
  this->run(60000);
  INFO("large " << Before << " then " << this->open("large") << ", small "
                << this->open("small"));
  CHECK(this->open("large") > Before);
  CHECK(this->load("large") < 1);
  CHECK(this->Conversions <= 12);
}

TEST_CASE_METHOD(ConvertFixture,
                 "groups follow the demand: two VMs are lost each three "
                 "seconds and others come: few changes, each load of use",
                 "[unit]") {
  this->setDemand(48, 330);
  for (int Round = 0; Round < 20; ++Round) {
    for (int Lost = 0; Lost < 2; ++Lost) {
      std::size_t Index = mixHash(static_cast<std::uint64_t>(Round), 7 + Lost) %
                          this->Vms.size();
      int Domain = std::stoi(this->Vms[Index].Info.Domain.Text.substr(1));
      this->Vms.erase(this->Vms.begin() + static_cast<std::ptrdiff_t>(Index));
      this->addVm(Domain);
    }
    this->run(3000);
  }
  INFO("large " << this->open("large") << ", small " << this->open("small")
                << ", loads " << this->LoadCount);
  CHECK(this->Conversions <= 6);
  CHECK(this->load("small") < 1);
  CHECK(this->load("large") < 1);
}

} // namespace waycove::test
