// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fold.h"

namespace waycove {

/// What group planning knows of one VM.
struct PlanVm {
  VmId Vm;
  DomainId Domain;
  /// Listed as live, not leaving or drained, answering, and labelled for the
  /// deployment.
  bool Usable = false;
  std::uint64_t Stamp = 0;
  Fence Group;
};

/// The VMs of one data centre, indexed for planning: free usable ones by
/// domain.
class PlanPool {
public:
  explicit PlanPool(std::vector<PlanVm> Rows);
  const PlanVm *find(const VmId &Vm) const;
  /// Takes \p Vm out, so that one planning round gives it once only.
  void take(const VmId &Vm);
  /// Free usable VMs of \p Domain.
  std::vector<PlanVm> freeIn(const DomainId &Domain) const;
  std::size_t freeCount(const DomainId &Domain) const;
  /// Domains with free VMs.
  std::vector<DomainId> domains() const;

private:
  std::unordered_map<VmId, PlanVm> Rows;
  std::map<DomainId, std::vector<VmId>> Free;
};

struct Proposal {
  SlotKey Place;
  Fence Replaces;
  DomainId Domain;
  /// Empty: dissolve only.
  std::vector<PlanVm> Vms;
};

/// How a group that lost members is repaired.
enum class RepairPolicy {
  /// Takes the first domain with room, and starts from nothing.
  Naive,
  /// Keeps the members that still live and takes spares from their domain; if
  /// it has none, moves to the domain that it fills best.
  KeepMembers,
};

/// What to do about one slot; nothing where its group is whole, or where no
/// domain has room. A group that cannot be made whole keeps its VMs only if no
/// other use for them exists, so it is dissolved when \p Release says so.
std::optional<Proposal> planSlot(const SlotKey &Place, const Deployment &Spec,
                                 const Group *Present, PlanPool &Pool,
                                 RepairPolicy Policy, bool Release = false);

} // namespace waycove
