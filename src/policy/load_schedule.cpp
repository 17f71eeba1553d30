// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/load_schedule.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace waycove {

namespace {

/// The VMs of a domain that are in no group, and those that load weights in one
/// of their own.
struct Resting {
  /// How many have the weights of a model, by model.
  std::map<std::string, std::size_t> Have;
  std::size_t Vms = 0;
  /// Those without any weights.
  std::size_t Empty = 0;
};

struct Survey {
  std::map<DomainId, Resting> Domains;
  /// Models of which a group serves.
  std::set<std::string> Served;
  std::size_t Loading = 0;
};

Survey surveyOf(const std::vector<TargetRef> &Rows, const EngineSpec &Engine) {
  Survey All;
  std::set<GroupKey> Heads;
  for (const TargetRef &Row : Rows)
    if (Row->Group && Row->Group->Rank == 0)
      Heads.insert(Row->Group->Group);
  for (const TargetRef &Row : Rows) {
    All.Loading += isLoading(*Row) ? 1 : 0;
    if (Row->Group && Row->Group->Rank == 0 &&
        Row->Group->State == MemberState::Open)
      All.Served.insert(modelOf(Row->Group->Group.Name));
    Resting &Into = All.Domains[Row->Domain];
    if (Row->Draining)
      continue;
    if (Row->Group && isLoadGroup(Row->Group->Group.Name)) {
      ++Into.Vms;
      ++Into.Have[modelOf(Row->Group->Group.Name)];
      continue;
    }
    // Members of a group whose head left or died are about to be free.
    if (Row->Group && Heads.contains(Row->Group->Group))
      continue;
    ++Into.Vms;
    Into.Empty += Row->Staged.empty() && Row->Loaded.empty() ? 1 : 0;
    for (const ModelSpec &Model : Engine.Models)
      if (Row->hasStaged(Model.Name) || Row->hasLoaded(Model.Name))
        ++Into.Have[Model.Name];
  }
  return All;
}

/// The group that puts most VMs to work for the time that it loads.
struct NextGroup {
  bool Unserved = false;
  double VmsPerLoadSecond = 0;
  /// Loads that it lacks; 0 where none can be completed by loads.
  std::size_t Lacks = 0;

  auto rank() const {
    return std::tuple(!this->Unserved, -this->VmsPerLoadSecond);
  }
};

NextGroup nextGroup(const Resting &Row, const Survey &All,
                    const EngineSpec &Engine) {
  NextGroup Best;
  for (const ModelSpec &Model : Engine.Models) {
    auto At = Row.Have.find(Model.Name);
    std::size_t Has = At == Row.Have.end() ? 0 : At->second;
    // It forms without loads; what is left then is seen afterwards.
    if (Has >= Model.GroupSize)
      return {};
    if (Row.Vms < Model.GroupSize)
      continue;
    NextGroup Next;
    Next.Unserved = !All.Served.contains(Model.Name);
    Next.Lacks = Model.GroupSize - Has;
    Next.VmsPerLoadSecond =
        Model.GroupSize /
        (std::chrono::duration<double>(Model.LoadTime).count() *
         static_cast<double>(Next.Lacks));
    if (Best.Lacks == 0 || Next.rank() < Best.rank())
      Best = Next;
  }
  return Best;
}

} // namespace

bool isLoading(const TargetInfo &Row) {
  if (!Row.Group || Row.Group->State != MemberState::Joining)
    return false;
  std::string Model = modelOf(Row.Group->Group.Name);
  return !Row.hasStaged(Model) && !Row.hasLoaded(Model);
}

LoadSchedule scheduleLoads(const std::vector<TargetRef> &Targets,
                           const EngineSpec &Engine) {
  Survey All = surveyOf(Targets, Engine);
  std::size_t Free = Engine.LoadsAtOnce -
                     std::min<std::size_t>(Engine.LoadsAtOnce, All.Loading);
  LoadSchedule Turns;
  auto Give = [&](const DomainId &Domain, std::size_t Wanted) {
    std::size_t Given = std::min(Wanted, Free);
    Free -= Given;
    if (Given > 0)
      Turns.ByDomain[Domain] += static_cast<unsigned>(Given);
  };
  std::vector<std::pair<NextGroup, DomainId>> Queue;
  for (const auto &[Domain, Row] : All.Domains)
    if (NextGroup Next = nextGroup(Row, All, Engine); Next.Lacks > 0)
      Queue.emplace_back(Next, Domain);
  std::stable_sort(Queue.begin(), Queue.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first.rank() < Right.first.rank();
                   });
  for (const auto &[Next, Domain] : Queue)
    Give(Domain, Next.Lacks);
  // Hosts of groups that serve may hold another model besides. That does not
  // show in the registry while it loads, so it has to wait until nothing else
  // does.
  bool Calm = Queue.empty() && All.Loading == 0;
  for (const auto &[Domain, Row] : All.Domains) {
    auto Given = Turns.ByDomain.find(Domain);
    std::size_t Has = Given == Turns.ByDomain.end() ? 0 : Given->second;
    Give(Domain, Row.Empty - std::min(Row.Empty, Has) + (Calm ? 1 : 0));
  }
  Turns.SpareLoads = static_cast<unsigned>(Free);
  return Turns;
}

} // namespace waycove
