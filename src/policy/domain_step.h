// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

// Shared by the files that define DomainPlanner, and by nobody else.

#include "policy/domain_plan.h"

namespace waycove {

/// One planning step under way: how the domain looks, what was found out and
/// decided so far. It ends with the step.
struct DomainPlanner::Step {
  const DomainView &View;
  const EngineSpec &Engine;
  std::map<GroupKey, AnnouncedGroup> Groups{};
  /// VMs that must not be taken.
  std::set<VmIncarnation> Busy{};
  /// Groups per model that serve or will.
  std::map<std::string, unsigned> OwnCounts{};
  /// Groups per model that the domain's VMs make, as planGroupCounts() says.
  std::vector<unsigned> Wanted{};
  std::vector<GroupOrder> Orders{};
  unsigned RemainingLoads = 0;
  unsigned RemainingSpareLoads = 0;
  DemandTable Demand{};

  /// Groups of the domain that serve or will.
  GroupCounts ownGroups() const;
  /// What callers lose where the domain has \p Own groups: as serviceLoss()
  /// says with those of all domains, and for models without any group in this
  /// data centre, which may be cut off and has to serve its callers alone then.
  double lossOf(const GroupCounts &Own) const;
  /// How loaded the groups of \p Model are, over all domains.
  double loadOf(const ModelSpec &Model, const GroupCounts &Own) const;
  /// How much of it one more group of \p Model saves.
  double gainOf(const ModelSpec &Model, const GroupCounts &Own) const;
  /// The same as lossOf() where the domains before this one trade groups.
  double lossAfterTrades(const GroupCounts &Own) const;
  /// Whether any model is served anywhere.
  bool anyServes() const;
  bool isUsable(const TargetInfo &Row) const;
  /// Whether the model has fewer groups than the domain's VMs make.
  bool isShort(const ModelSpec &Model) const;
  /// Whether weights are to be on the hosts before a group forms. Loads from
  /// the shared store take many seconds: meanwhile the others may serve, and
  /// one that dies takes no others with it.
  bool loadsBeforeForming() const;
  std::vector<TargetRef> freeVms() const;
  double lossWith(const GroupCounts &OtherGroups, const GroupCounts &Own) const;
  double cutOffLoss(const ModelDemand &Asked) const;
  /// Keeps the group's members from being taken in this step.
  void markBusy(const AnnouncedGroup &Row);
};

/// A group of VMs that hold another model's weights loaded, or one in place of
/// another group, has to save at least this part of what callers lose: the VMs
/// lose weights that take many seconds to load again.
inline constexpr double MinGain = 0.15;

/// A member shows a join within about 0.6 s; past this the order is taken for
/// lost and outbid.
inline constexpr Millis OrderVisibilityTimeout{1500};

/// The models of \p Engine, those with the largest groups first.
std::vector<const ModelSpec *> modelsLargestFirst(const EngineSpec &Engine);

/// How long a group may take to form where its weights load in \p LoadTime.
Millis formTimeout(Millis LoadTime);

} // namespace waycove
