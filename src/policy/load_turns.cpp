// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/load_turns.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace waycove {

namespace {

/// The VMs of a domain that are in no group.
struct Resting {
  /// Their hosts hold weights.
  std::size_t Loaded = 0;
  /// Theirs do not; in the order of their ids.
  std::set<VmId> Empty;
};

std::map<DomainId, Resting>
restingByDomain(const std::vector<TargetRef> &Rows) {
  std::map<DomainId, Resting> Domains;
  for (const TargetRef &Row : Rows) {
    if (Row->Group || Row->Draining)
      continue;
    Resting &Into = Domains[Row->Domain];
    if (Row->Staged.empty() && Row->Loaded.empty())
      Into.Empty.insert(Row->Id);
    else
      ++Into.Loaded;
  }
  return Domains;
}

std::size_t smallestGroup(const EngineSpec &Engine) {
  std::size_t Least = std::numeric_limits<std::size_t>::max();
  for (const ModelSpec &Model : Engine.Models)
    Least = std::min<std::size_t>(Least, Model.GroupSize);
  return Least;
}

} // namespace

std::set<VmId> loadTurns(const std::vector<TargetRef> &Targets,
                         const EngineSpec &Engine) {
  std::size_t Least = smallestGroup(Engine);
  // Loads that complete no group come last; then the fewest that complete one.
  std::vector<std::tuple<bool, std::size_t, VmId>> Queue;
  for (const auto &[Domain, Row] : restingByDomain(Targets)) {
    std::size_t Lacks = Least > Row.Loaded ? Least - Row.Loaded : 0;
    std::size_t Place = 0;
    for (const VmId &Id : Row.Empty)
      Queue.emplace_back(Row.Empty.size() < Lacks || Place++ >= Lacks, Lacks,
                         Id);
  }
  std::sort(Queue.begin(), Queue.end());
  Queue.resize(std::min<std::size_t>(Queue.size(), Engine.LoadsAtOnce));
  std::set<VmId> Turns;
  for (const auto &[Extra, Lacks, Id] : Queue)
    Turns.insert(Id);
  return Turns;
}

} // namespace waycove
