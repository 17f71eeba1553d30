// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/load_turns.h"

#include <algorithm>
#include <tuple>

namespace waycove {

namespace {

/// The VMs of a domain that are in no group.
struct Resting {
  /// How many have the weights of a model, by model.
  std::map<std::string, std::size_t> Have;
  /// Those without any, in the order of their ids.
  std::set<VmId> Empty;
};

std::map<DomainId, Resting> restingByDomain(const std::vector<TargetRef> &Rows,
                                            const EngineSpec &Engine) {
  std::map<DomainId, Resting> Domains;
  for (const TargetRef &Row : Rows) {
    if (Row->Group || Row->Draining)
      continue;
    Resting &Into = Domains[Row->Domain];
    if (Row->Staged.empty() && Row->Loaded.empty())
      Into.Empty.insert(Row->Id);
    for (const ModelSpec &Model : Engine.Models)
      if (Row->hasStaged(Model.Name) || Row->hasLoaded(Model.Name))
        ++Into.Have[Model.Name];
  }
  return Domains;
}

/// The group that puts most VMs to work for the time that it loads.
struct NextGroup {
  double VmsPerLoadSecond = 0;
  /// Loads that it lacks; 0 where no group can be completed.
  std::size_t Lacks = 0;
};

NextGroup nextGroup(const Resting &Row, const EngineSpec &Engine) {
  NextGroup Best;
  for (const ModelSpec &Model : Engine.Models) {
    auto At = Row.Have.find(Model.Name);
    std::size_t Has = At == Row.Have.end() ? 0 : At->second;
    std::size_t Lacks = Model.GroupSize > Has ? Model.GroupSize - Has : 0;
    if (Lacks == 0 || Lacks > Row.Empty.size())
      continue;
    double Seconds = std::chrono::duration<double>(Model.LoadTime).count();
    double Rate = Model.GroupSize / (Seconds * static_cast<double>(Lacks));
    if (Rate > Best.VmsPerLoadSecond)
      Best = {Rate, Lacks};
  }
  return Best;
}

} // namespace

std::set<VmId> loadTurns(const std::vector<TargetRef> &Targets,
                         const EngineSpec &Engine) {
  // Loads that complete no group come last. Those of one domain stay together,
  // so that a group is complete before the next one begins.
  std::vector<std::tuple<bool, double, DomainId, VmId>> Queue;
  for (const auto &[Domain, Row] : restingByDomain(Targets, Engine)) {
    NextGroup Next = nextGroup(Row, Engine);
    std::size_t Place = 0;
    for (const VmId &Id : Row.Empty)
      Queue.emplace_back(Place++ >= Next.Lacks, -Next.VmsPerLoadSecond, Domain,
                         Id);
  }
  std::sort(Queue.begin(), Queue.end());
  Queue.resize(std::min<std::size_t>(Queue.size(), Engine.LoadsAtOnce));
  std::set<VmId> Turns;
  for (const auto &[Extra, Rate, Domain, Id] : Queue)
    Turns.insert(Id);
  return Turns;
}

} // namespace waycove
