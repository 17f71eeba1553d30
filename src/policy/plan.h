// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fold.h"

namespace waycove {

/// A VM, as group planning sees it.
struct PlanVm {
  VmId Vm;
  DomainId Domain;
  /// Listed as live, not leaving or drained, responding, and labelled for the
  /// deployment.
  bool Usable = false;
  std::uint64_t Stamp = 0;
  Fence Group;
};

/// The VMs of one data centre, with an index of the free usable ones by domain.
class PlanPool {
public:
  explicit PlanPool(std::vector<PlanVm> Source);
  const PlanVm *find(const VmId &Vm) const;
  /// Removes \p Vm from the free ones, so that a planning round uses it only
  /// once.
  void take(const VmId &Vm);
  /// Returns the free usable VMs of \p Domain.
  std::vector<PlanVm> freeIn(const DomainId &Domain) const;
  std::size_t freeCount(const DomainId &Domain) const;
  /// Returns the domains with free VMs.
  std::vector<DomainId> domains() const;

private:
  std::unordered_map<VmId, PlanVm> Vms;
  std::map<DomainId, std::vector<VmId>> Free;
};

/// A proposed change of the group of one slot.
struct Proposal {
  SlotKey Place;
  Fence Replaces;
  DomainId Domain;
  /// Empty to dissolve the group only.
  std::vector<PlanVm> Vms;
};

/// How a group that lost members is repaired.
enum class RepairPolicy {
  /// Uses the first domain with enough free VMs and retains no members.
  Naive,
  /// Retains the live members and adds spares of their domain. If there are too
  /// few, moves the group to the domain that it fits best.
  KeepMembers,
};

/// Plans one slot, for the daemon with waycove's own interface (entries on the
/// platform use DomainPlanner). Returns nothing if its group is complete or no
/// domain has enough free VMs. A group that cannot be completed is dissolved
/// only if \p Release is set, that is, if its VMs are needed elsewhere.
std::optional<Proposal> planSlot(const SlotKey &Place, const Deployment &Spec,
                                 const Group *Present, PlanPool &Pool,
                                 RepairPolicy Policy, bool Release = false);

} // namespace waycove
