// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/plan.h"
#include "policy/route.h"

namespace waycove {

/// A VM of the platform's list.
struct VmInfo {
  VmId Id;
  DataCentreId DataCentre;
  DomainId Domain;
  VmAddress Address;
  Labels OwnLabels;
  bool ListedLeaving = false;
};

/// Number of the local change that updated an entry, and the link that it was
/// received over (zero if it originated on this node). Each link is sent the
/// entries that changed since the last send and were not received over it.
struct ChangeMark {
  std::uint64_t Count = 0;
  std::uint64_t Link = 0;
};

/// A notice that a VM is leaving, valid until Until.
struct LeavingNotice {
  WallMs Until;
  ChangeMark Mark;
};

/// The VMs of this data centre as last listed, and notices of leaving VMs,
/// which may be newer than the list.
class VmTable {
public:
  /// Adds or updates a VM of the list. Returns true if anything changed.
  bool put(const VmInfo &Vm);
  bool remove(const VmId &Vm);
  /// Records that \p Vm is leaving, valid until \p Until. Returns true if the
  /// notice is new or extends a known one.
  bool recordLeaving(const VmId &Vm, WallMs Until, ChangeMark Mark);
  /// Removes expired leaving notices.
  void expireNotices(WallMs Now);
  bool isLeaving(const VmId &Vm, WallMs Now) const;
  const VmInfo *find(const VmId &Vm) const;
  const std::unordered_map<VmId, VmInfo> &rows() const { return this->Vms; }
  const std::unordered_map<VmId, LeavingNotice> &leavingNotices() const {
    return this->LeavingNotices;
  }
  /// Version of the platform's list that this table reflects.
  std::uint64_t Version = 0;

private:
  std::unordered_map<VmId, VmInfo> Vms;
  std::unordered_map<VmId, LeavingNotice> LeavingNotices;
};

/// Returns the labels of \p Vm, including those inherited from its data centre.
Labels effectiveLabels(const VmInfo &Vm, const FoldState &State);
/// All drains that operators published, collected once for many queries.
class DrainSet {
public:
  explicit DrainSet(const FoldState &State);
  /// Returns whether a drain covers \p Vm with effective labels \p VmLabels.
  bool covers(const VmId &Vm, const Labels &VmLabels) const;

private:
  std::vector<const Drain *> Drains;
};

} // namespace waycove
