// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

// Internal to the files that implement DomainPlanner.

#include "policy/domain_plan.h"

namespace waycove {

/// Working state of one planning step.
struct DomainPlanner::Step {
  const DomainView &View;
  const EngineSpec &Engine;
  std::map<GroupKey, AnnouncedGroup> Groups{};
  /// VMs that must not be used for new groups.
  std::set<VmIncarnation> Busy{};
  /// Groups of this domain per model that serve or are forming.
  std::map<std::string, unsigned> OwnCounts{};
  /// Target group counts from planGroupCounts().
  std::vector<unsigned> Wanted{};
  std::vector<GroupOrder> Orders{};
  unsigned RemainingLoads = 0;
  unsigned RemainingSpareLoads = 0;
  DemandTable Demand{};

  /// OwnCounts as GroupCounts.
  GroupCounts ownGroups() const;
  /// Service loss if the domain has \p Own groups, as serviceLoss() computes it
  /// over all domains, plus the expected loss of models that have no group in
  /// this data centre while it is partitioned from the others.
  double lossOf(const GroupCounts &Own) const;
  /// Load of the groups of \p Model over all domains.
  double loadOf(const ModelSpec &Model, const GroupCounts &Own) const;
  /// How much one more group of \p Model reduces the loss.
  double gainOf(const ModelSpec &Model, const GroupCounts &Own) const;
  /// Like lossOf(), assuming the trades of DomainView::EarlierTrades.
  double lossAfterTrades(const GroupCounts &Own) const;
  /// Whether any group serves in any domain.
  bool anyServes() const;
  /// Whether the VM neither drains nor is presumed dead.
  bool isUsable(const TargetInfo &Target) const;
  /// Whether the model has fewer groups than Wanted.
  bool isShort(const ModelSpec &Model) const;
  /// Whether weights have to be on the hosts before a group forms. Weight loads
  /// from the shared store take long; meanwhile the other VMs can serve, and a
  /// VM that dies while loading does not break a group.
  bool loadsBeforeForming() const;
  /// Usable VMs that are not busy.
  std::vector<TargetRef> freeVms() const;
  double lossWith(const GroupCounts &OtherGroups, const GroupCounts &Own) const;
  double cutOffLoss(const ModelDemand &Requested) const;
  /// Marks all members of the group busy for this step.
  void markBusy(const AnnouncedGroup &Group);
};

/// Minimum reduction of the loss, as a fraction, for forming a group that
/// replaces loaded weights of another model or another group.
inline constexpr double MinGain = 0.15;

/// An order to join that the registry does not show after this time is treated
/// as lost.
inline constexpr Millis OrderVisibilityTimeout{1500};

/// The models of \p Engine, sorted by group size, largest first.
std::vector<const ModelSpec *> modelsLargestFirst(const EngineSpec &Engine);

/// Maximum time for a group to form whose weights load in \p LoadTime.
Millis formTimeout(Millis LoadTime);

} // namespace waycove
