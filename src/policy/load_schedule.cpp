// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/load_schedule.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace waycove {

namespace {

/// The VMs of a domain that are in no group or in a load group.
struct IdleVms {
  /// Number of VMs that have or load the weights, by model.
  std::map<std::string, std::size_t> CountByModel;
  std::size_t Count = 0;
  /// VMs without any weights.
  std::size_t WithoutWeights = 0;
};

/// State of all VMs of the service.
struct ServiceState {
  std::map<DomainId, IdleVms> Domains;
  /// Models that an open group serves.
  std::set<std::string> ServedModels;
  /// VMs that are loading from the shared store.
  std::size_t Loading = 0;
};

ServiceState surveyTargets(const std::vector<TargetRef> &Targets,
                           const EngineSpec &Engine) {
  ServiceState State;
  std::set<GroupKey> Heads;
  for (const TargetRef &Target : Targets)
    if (Target->Group && Target->Group->Rank == 0)
      Heads.insert(Target->Group->Group);
  for (const TargetRef &Target : Targets) {
    State.Loading += isLoading(*Target) ? 1 : 0;
    if (Target->Group && Target->Group->Rank == 0 &&
        Target->Group->State == MemberState::Open)
      State.ServedModels.insert(modelOf(Target->Group->Group.Name));
    IdleVms &Idle = State.Domains[Target->Domain];
    if (Target->Draining)
      continue;
    if (Target->Group && isLoadGroup(Target->Group->Group.Name)) {
      ++Idle.Count;
      ++Idle.CountByModel[modelOf(Target->Group->Group.Name)];
      continue;
    }
    // Members of a group whose head left or died will soon be free.
    if (Target->Group && Heads.contains(Target->Group->Group))
      continue;
    ++Idle.Count;
    Idle.WithoutWeights +=
        Target->Staged.empty() && Target->Loaded.empty() ? 1 : 0;
    for (const ModelSpec &Model : Engine.Models)
      if (Target->hasStaged(Model.Name) || Target->hasLoaded(Model.Name))
        ++Idle.CountByModel[Model.Name];
  }
  return State;
}

/// The next group that a domain needs loads for.
struct NextGroup {
  bool Unserved = false;
  double VmsPerLoadSecond = 0;
  /// Number of missing loads; 0 if no group can be completed by loads.
  std::size_t MissingLoads = 0;

  /// Smaller ranks go first.
  auto rank() const {
    return std::tuple(!this->Unserved, -this->VmsPerLoadSecond);
  }
};

/// The group that puts the most VMs into service per load time, with models
/// that no group serves first.
NextGroup nextGroup(const IdleVms &Idle, const ServiceState &State,
                    const EngineSpec &Engine) {
  NextGroup Best;
  for (const ModelSpec &Model : Engine.Models) {
    auto At = Idle.CountByModel.find(Model.Name);
    std::size_t Has = At == Idle.CountByModel.end() ? 0 : At->second;
    // The group forms without loads; the other VMs are considered after that.
    if (Has >= Model.GroupSize)
      return {};
    if (Idle.Count < Model.GroupSize)
      continue;
    NextGroup Next;
    Next.Unserved = !State.ServedModels.contains(Model.Name);
    Next.MissingLoads = Model.GroupSize - Has;
    Next.VmsPerLoadSecond =
        Model.GroupSize /
        (std::chrono::duration<double>(Model.LoadTime).count() *
         static_cast<double>(Next.MissingLoads));
    if (Best.MissingLoads == 0 || Next.rank() < Best.rank())
      Best = Next;
  }
  return Best;
}

} // namespace

bool isLoading(const TargetInfo &Target) {
  if (!Target.Group || Target.Group->State != MemberState::Joining)
    return false;
  std::string Model = modelOf(Target.Group->Group.Name);
  return !Target.hasStaged(Model) && !Target.hasLoaded(Model);
}

LoadSchedule scheduleLoads(const std::vector<TargetRef> &Targets,
                           const EngineSpec &Engine) {
  ServiceState State = surveyTargets(Targets, Engine);
  std::size_t Available =
      Engine.LoadsAtOnce -
      std::min<std::size_t>(Engine.LoadsAtOnce, State.Loading);
  LoadSchedule Schedule;
  auto Grant = [&](const DomainId &Domain, std::size_t Wanted) {
    std::size_t Granted = std::min(Wanted, Available);
    Available -= Granted;
    if (Granted > 0)
      Schedule.ByDomain[Domain] += static_cast<unsigned>(Granted);
  };
  std::vector<std::pair<NextGroup, DomainId>> Queue;
  for (const auto &[Domain, Idle] : State.Domains)
    if (NextGroup Next = nextGroup(Idle, State, Engine); Next.MissingLoads > 0)
      Queue.emplace_back(Next, Domain);
  std::stable_sort(Queue.begin(), Queue.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first.rank() < Right.first.rank();
                   });
  for (const auto &[Next, Domain] : Queue)
    Grant(Domain, Next.MissingLoads);
  // Hosts of serving groups may stage another model as well. The registry does
  // not show such loads, so they wait until no other load is needed or running.
  bool NoOtherLoads = Queue.empty() && State.Loading == 0;
  for (const auto &[Domain, Idle] : State.Domains) {
    auto Granted = Schedule.ByDomain.find(Domain);
    std::size_t Has = Granted == Schedule.ByDomain.end() ? 0 : Granted->second;
    Grant(Domain, Idle.WithoutWeights - std::min(Idle.WithoutWeights, Has) +
                      (NoOtherLoads ? 1 : 0));
  }
  Schedule.SpareLoads = static_cast<unsigned>(Available);
  return Schedule;
}

} // namespace waycove
