// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "bench/experiments.h"
#include "policy/plan.h"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <random>

namespace waycove {

namespace {

constexpr std::uint64_t Seed = 11;
constexpr std::size_t Domains = 15;
constexpr std::size_t VmsPerDomain = 16;
constexpr std::size_t VmsPerGroup = 4;
constexpr std::uint64_t Groups = 57;
constexpr std::size_t DurationHours = 240;
constexpr std::size_t StepSeconds = 10;
constexpr std::size_t Hour = 3600;
constexpr std::size_t StepsPerHour = Hour / StepSeconds;
constexpr std::size_t LoadSeconds = 120;
/// Maximum number of VMs that load weights at the same time.
constexpr std::size_t MaxConcurrentLoads = 8;
constexpr std::size_t RepairIntervalSeconds = 10;

struct RepairVariant {
  const char *Name;
  RepairPolicy Policy;
  /// Whether a group may replace members from spares of its domain while the
  /// platform's log is unavailable.
  bool Delegated = false;
};

struct RepairResults {
  double DownHours = 0;
  double StrandedHours = 0;
  std::size_t Changes = 0;
  std::size_t Loads = 0;
  /// VMs assigned to a second group.
  std::size_t DoubleAssigned = 0;
};

struct SimVm {
  bool Up = true;
  std::size_t RecoveryTime = 0;
  std::uint64_t Stamp = 0;
  std::uint64_t Group = 0;
  /// Group that the VM has loaded weights for; zero if none.
  std::uint64_t LoadedFor = 0;
  std::size_t LoadRemaining = 0;
};

struct SimGroup {
  std::uint64_t Id = 0;
  std::vector<std::size_t> Vms;
};

/// Simulates the VMs and groups of a data centre during a fixed sequence of
/// failures.
class RepairRun {
public:
  explicit RepairRun(RepairVariant Variant) : Variant(Variant) {}

  RepairResults run() {
    this->Spec.VmsPerReplica = VmsPerGroup;
    for (std::size_t Now = 0; Now < DurationHours * Hour; Now += StepSeconds) {
      this->fail(Now);
      this->load();
      if (Now % RepairIntervalSeconds == 0)
        this->repair(Now);
      // The first hour, when groups form, is not counted.
      if (Now >= Hour)
        this->count();
    }
    return this->Results;
  }

private:
  static VmId idOf(std::size_t Vm) { return VmId(std::to_string(Vm)); }
  static DomainId domainOf(std::size_t Vm) {
    return DomainId("d" + std::to_string(100 + Vm / VmsPerDomain));
  }
  /// The log is unavailable for 40 minutes every six hours.
  static bool isLogUp(std::size_t Now) {
    return Now % (6 * Hour) < 5 * Hour + 1200;
  }

  void fail(std::size_t Now) {
    for (std::size_t I = 0; I < this->Vms.size(); ++I) {
      SimVm &Vm = this->Vms[I];
      if (!Vm.Up && Vm.RecoveryTime <= Now) {
        Vm.Up = true;
        Vm.LoadedFor = 0;
        this->Dirty = true;
      }
      // A VM fails for an hour once in 2000 hours on average, and restarts
      // within a minute once in 400 hours.
      if (this->Random() % (2000 * StepsPerHour) == 0)
        this->takeDown(Vm, Now + Hour);
      else if (this->Random() % (400 * StepsPerHour) == 0)
        this->takeDown(Vm, Now + 60);
    }
    // A domain fails for four hours every five days, and once while the log is
    // unavailable.
    if (Now % (120 * Hour) == 30 * Hour || Now == 95 * Hour + 1500) {
      std::size_t Domain = this->Random() % Domains;
      for (std::size_t I = 0; I < VmsPerDomain; ++I)
        this->takeDown(this->Vms[Domain * VmsPerDomain + I], Now + 4 * Hour);
    }
  }

  void takeDown(SimVm &Vm, std::size_t RecoveryTime) {
    this->Dirty = true;
    Vm.Up = false;
    Vm.LoadedFor = 0;
    Vm.RecoveryTime = std::max(Vm.RecoveryTime, RecoveryTime);
  }

  void load() {
    std::size_t Loading = 0;
    for (SimVm &Vm : this->Vms) {
      if (!Vm.Up || Vm.Group == 0 || Vm.LoadedFor == Vm.Group)
        continue;
      if (++Loading > MaxConcurrentLoads)
        return;
      if (Vm.LoadRemaining == 0)
        Vm.LoadRemaining = LoadSeconds;
      Vm.LoadRemaining -= std::min(Vm.LoadRemaining, StepSeconds);
      if (Vm.LoadRemaining == 0) {
        Vm.LoadedFor = Vm.Group;
        ++this->Results.Loads;
      }
    }
  }

  void repair(std::size_t Now) {
    // Nothing has changed since the last repair.
    bool LogUp = isLogUp(Now);
    if (!this->Dirty && LogUp == this->WasLogUp)
      return;
    this->Dirty = false;
    this->WasLogUp = LogUp;
    if (!isLogUp(Now) && !this->Variant.Delegated)
      return;
    std::vector<PlanVm> Rows;
    for (std::size_t I = 0; I < this->Vms.size(); ++I)
      Rows.push_back({idOf(I), domainOf(I), this->Vms[I].Up, this->Vms[I].Stamp,
                      Fence(this->Vms[I].Group)});
    PlanPool Pool(std::move(Rows));
    for (std::uint64_t S = 0; S < Groups; ++S) {
      SlotKey Key{DeploymentId("m"), DataCentreId("a"), Slot(S)};
      SimGroup &Current = this->Slots[S];
      Group Formed{Fence(Current.Id), Key, DomainId(), {}};
      for (std::size_t Vm : Current.Vms)
        Formed.Vms.push_back(idOf(Vm));
      if (!Current.Vms.empty())
        Formed.Domain = domainOf(Current.Vms[0]);
      auto Plan = planSlot(Key, this->Spec, Current.Id ? &Formed : nullptr,
                           Pool, this->Variant.Policy);
      // Without the log, a group may use only spares of its own domain.
      if (Plan && (isLogUp(Now) || Plan->Domain == Formed.Domain))
        this->apply(Current, *Plan);
    }
  }

  void apply(SimGroup &Current, const Proposal &Plan) {
    ++this->Results.Changes;
    this->Dirty = true;
    std::uint64_t Old = Current.Id;
    for (std::size_t Vm : Current.Vms)
      this->Vms[Vm].Group = 0;
    Current = {++this->NextId, {}};
    for (const PlanVm &Row : Plan.Vms) {
      std::size_t Index = std::stoul(Row.Vm.Text);
      SimVm &Vm = this->Vms[Index];
      if (Vm.Group != 0)
        ++this->Results.DoubleAssigned;
      // A retained member keeps its weights.
      bool IsLoaded = Vm.LoadedFor != 0 && Vm.LoadedFor == Old;
      Vm.Group = Current.Id;
      Vm.Stamp = Current.Id;
      Vm.LoadedFor = IsLoaded ? Current.Id : 0;
      Vm.LoadRemaining = 0;
      Current.Vms.push_back(Index);
    }
  }

  void count() {
    double Step = static_cast<double>(StepSeconds) / 3600;
    std::vector<bool> Serves(this->Vms.size(), false);
    for (const SimGroup &Row : this->Slots) {
      bool IsServing =
          Row.Vms.size() == VmsPerGroup &&
          std::all_of(Row.Vms.begin(), Row.Vms.end(), [&](std::size_t Vm) {
            return this->Vms[Vm].Up && this->Vms[Vm].LoadedFor == Row.Id;
          });
      if (!IsServing)
        this->Results.DownHours += Step;
      for (std::size_t Vm : Row.Vms)
        Serves[Vm] = IsServing;
    }
    for (std::size_t I = 0; I < this->Vms.size(); ++I)
      if (this->Vms[I].Up && !Serves[I])
        this->Results.StrandedHours += Step;
  }

  RepairVariant Variant;
  Deployment Spec;
  std::mt19937_64 Random{Seed};
  std::vector<SimVm> Vms{Domains * VmsPerDomain};
  std::vector<SimGroup> Slots{Groups};
  std::uint64_t NextId = 0;
  bool Dirty = true;
  bool WasLogUp = true;
  RepairResults Results;
};

} // namespace

void runRepair(std::ostream &Out) {
  Out << std::fixed << std::setprecision(1)
      << "57 groups of 4 in 15 domains of 16 VMs, 240 hours: VM deaths and "
         "restarts, domains dark, log outages\n"
      << "rule                                      group down h  stranded VM "
         "h  changes  loads  VM in two groups\n";
  for (const RepairVariant &Variant :
       {RepairVariant{"first domain with room, from nothing    ",
                      RepairPolicy::Naive, false},
        RepairVariant{"keep members, best fit (waycove)        ",
                      RepairPolicy::KeepMembers, false},
        RepairVariant{"the same, spares delegated for outages  ",
                      RepairPolicy::KeepMembers, true}}) {
    RepairResults Row = RepairRun(Variant).run();
    Out << Variant.Name << std::setw(14) << Row.DownHours << std::setw(15)
        << Row.StrandedHours << std::setw(9) << Row.Changes << std::setw(7)
        << Row.Loads << std::setw(18) << Row.DoubleAssigned << "\n";
  }
}

} // namespace waycove
