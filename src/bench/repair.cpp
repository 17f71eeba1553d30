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
constexpr std::size_t Hours = 240;
constexpr std::size_t StepSeconds = 10;
constexpr std::size_t Hour = 3600;
constexpr std::size_t StepsPerHour = Hour / StepSeconds;
constexpr std::size_t LoadSeconds = 120;
/// The weight store gives this many VMs their weights at a time.
constexpr std::size_t LoadsAtOnce = 8;
constexpr std::size_t DetectSeconds = 10;

struct RepairRule {
  const char *Name;
  RepairPolicy Policy;
  /// What a group does while the platform's log is away: wait for it, or take
  /// a spare that was set aside for its domain by an earlier record.
  bool Delegated = false;
};

struct RepairFigures {
  double DownHours = 0;
  double StrandedHours = 0;
  std::size_t Changes = 0;
  std::size_t Loads = 0;
  std::size_t Twice = 0;
};

struct SimVm {
  bool Up = true;
  std::size_t BackAt = 0;
  std::uint64_t Stamp = 0;
  std::uint64_t Group = 0;
  /// Loaded for this group; zero for none.
  std::uint64_t LoadedFor = 0;
  std::size_t LoadLeft = 0;
};

struct SimGroup {
  std::uint64_t Id = 0;
  std::vector<std::size_t> Vms;
};

/// A data centre's VMs and groups through a fixed script of failures.
class RepairRun {
public:
  explicit RepairRun(RepairRule Rule) : Rule(Rule) {}

  RepairFigures run() {
    this->Spec.VmsPerReplica = VmsPerGroup;
    for (std::size_t Now = 0; Now < Hours * Hour; Now += StepSeconds) {
      this->fail(Now);
      this->load();
      if (Now % DetectSeconds == 0)
        this->repair(Now);
      // The first hour is for forming, and is not counted.
      if (Now >= Hour)
        this->count();
    }
    return this->Figures;
  }

private:
  static VmId idOf(std::size_t Vm) { return VmId(std::to_string(Vm)); }
  static DomainId domainOf(std::size_t Vm) {
    return DomainId("d" + std::to_string(100 + Vm / VmsPerDomain));
  }
  /// The log is away for forty minutes, every six hours.
  static bool logUp(std::size_t Now) {
    return Now % (6 * Hour) < 5 * Hour + 1200;
  }

  void fail(std::size_t Now) {
    for (std::size_t I = 0; I < this->Vms.size(); ++I) {
      SimVm &Vm = this->Vms[I];
      if (!Vm.Up && Vm.BackAt <= Now) {
        Vm.Up = true;
        Vm.LoadedFor = 0;
        this->Dirty = true;
      }
      // A VM dies every 2000 hours of its own, and is back after an hour;
      // now and then one only restarts.
      if (this->Random() % (2000 * StepsPerHour) == 0)
        this->down(Vm, Now + Hour);
      else if (this->Random() % (400 * StepsPerHour) == 0)
        this->down(Vm, Now + 60);
    }
    // A domain goes dark every five days, for four hours; once in the script
    // that happens while the log is away.
    if (Now % (120 * Hour) == 30 * Hour || Now == 95 * Hour + 1500) {
      std::size_t Domain = this->Random() % Domains;
      for (std::size_t I = 0; I < VmsPerDomain; ++I)
        this->down(this->Vms[Domain * VmsPerDomain + I], Now + 4 * Hour);
    }
  }

  void down(SimVm &Vm, std::size_t BackAt) {
    this->Dirty = true;
    Vm.Up = false;
    Vm.LoadedFor = 0;
    Vm.BackAt = std::max(Vm.BackAt, BackAt);
  }

  void load() {
    std::size_t Busy = 0;
    for (SimVm &Vm : this->Vms) {
      if (!Vm.Up || Vm.Group == 0 || Vm.LoadedFor == Vm.Group)
        continue;
      if (++Busy > LoadsAtOnce)
        return;
      if (Vm.LoadLeft == 0)
        Vm.LoadLeft = LoadSeconds;
      Vm.LoadLeft -= std::min(Vm.LoadLeft, StepSeconds);
      if (Vm.LoadLeft == 0) {
        Vm.LoadedFor = Vm.Group;
        ++this->Figures.Loads;
      }
    }
  }

  void repair(std::size_t Now) {
    // Nothing changed since the last look that found nothing to do.
    bool Up = logUp(Now);
    if (!this->Dirty && Up == this->WasUp)
      return;
    this->Dirty = false;
    this->WasUp = Up;
    if (!logUp(Now) && !this->Rule.Delegated)
      return;
    std::vector<PlanVm> Rows;
    for (std::size_t I = 0; I < this->Vms.size(); ++I)
      Rows.push_back({idOf(I), domainOf(I), this->Vms[I].Up, this->Vms[I].Stamp,
                      Fence(this->Vms[I].Group)});
    PlanPool Pool(std::move(Rows));
    for (std::uint64_t S = 0; S < Groups; ++S) {
      SlotKey Place{DeploymentId("m"), DataCentreId("a"), Slot(S)};
      SimGroup &Present = this->Slots[S];
      Group Formed{Fence(Present.Id), Place, DomainId(), {}};
      for (std::size_t Vm : Present.Vms)
        Formed.Vms.push_back(idOf(Vm));
      if (!Present.Vms.empty())
        Formed.Domain = domainOf(Present.Vms[0]);
      auto Plan = planSlot(Place, this->Spec, Present.Id ? &Formed : nullptr,
                           Pool, this->Rule.Policy);
      // Without the log only spares of the group's own domain are its own.
      if (Plan && (logUp(Now) || Plan->Domain == Formed.Domain))
        this->apply(Present, *Plan);
    }
  }

  void apply(SimGroup &Present, const Proposal &Plan) {
    ++this->Figures.Changes;
    this->Dirty = true;
    std::uint64_t Old = Present.Id;
    for (std::size_t Vm : Present.Vms)
      this->Vms[Vm].Group = 0;
    Present = {++this->NextId, {}};
    for (const PlanVm &Row : Plan.Vms) {
      std::size_t Index = std::stoul(Row.Vm.Text);
      SimVm &Vm = this->Vms[Index];
      if (Vm.Group != 0)
        ++this->Figures.Twice;
      // A member that stays has its weights.
      bool Has = Vm.LoadedFor != 0 && Vm.LoadedFor == Old;
      Vm.Group = Present.Id;
      Vm.Stamp = Present.Id;
      Vm.LoadedFor = Has ? Present.Id : 0;
      Vm.LoadLeft = 0;
      Present.Vms.push_back(Index);
    }
  }

  void count() {
    double Step = static_cast<double>(StepSeconds) / 3600;
    std::vector<bool> Serves(this->Vms.size(), false);
    for (const SimGroup &Row : this->Slots) {
      bool Whole =
          Row.Vms.size() == VmsPerGroup &&
          std::all_of(Row.Vms.begin(), Row.Vms.end(), [&](std::size_t Vm) {
            return this->Vms[Vm].Up && this->Vms[Vm].LoadedFor == Row.Id;
          });
      if (!Whole)
        this->Figures.DownHours += Step;
      for (std::size_t Vm : Row.Vms)
        Serves[Vm] = Whole;
    }
    for (std::size_t I = 0; I < this->Vms.size(); ++I)
      if (this->Vms[I].Up && !Serves[I])
        this->Figures.StrandedHours += Step;
  }

  RepairRule Rule;
  Deployment Spec;
  std::mt19937_64 Random{Seed};
  std::vector<SimVm> Vms{Domains * VmsPerDomain};
  std::vector<SimGroup> Slots{Groups};
  std::uint64_t NextId = 0;
  bool Dirty = true;
  bool WasUp = true;
  RepairFigures Figures;
};

} // namespace

void runRepair(std::ostream &Out) {
  Out << std::fixed << std::setprecision(1)
      << "57 groups of 4 in 15 domains of 16 VMs, 240 hours: VM deaths and "
         "restarts, domains dark, log outages\n"
      << "rule                                      group down h  stranded VM "
         "h  changes  loads  VM in two groups\n";
  for (const RepairRule &Rule :
       {RepairRule{"first domain with room, from nothing    ",
                   RepairPolicy::Naive, false},
        RepairRule{"keep members, best fit (waycove)        ",
                   RepairPolicy::KeepMembers, false},
        RepairRule{"the same, spares delegated for outages  ",
                   RepairPolicy::KeepMembers, true}}) {
    RepairFigures Row = RepairRun(Rule).run();
    Out << Rule.Name << std::setw(14) << Row.DownHours << std::setw(15)
        << Row.StrandedHours << std::setw(9) << Row.Changes << std::setw(7)
        << Row.Loads << std::setw(18) << Row.Twice << "\n";
  }
}

} // namespace waycove
