// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/plan.h"
#include "policy/route.h"

namespace waycove {

/// One VM of the platform's list.
struct VmInfo {
  VmId Id;
  DataCentreId DataCentre;
  DomainId Domain;
  VmAddress Address;
  Labels OwnLabels;
  bool ListedLeaving = false;
};

/// Which local change a row came with, and over which link (zero: made here).
/// A link is sent the rows that changed since it was last sent any and did not
/// come over it.
struct ChangeMark {
  std::uint64_t Count = 0;
  std::uint64_t Link = 0;
};

/// News that a VM leaves.
struct LeavingNotice {
  WallMs Until;
  ChangeMark Mark;
};

/// The VMs of this data centre as last listed, and news of leaving ones, which
/// may be ahead of the list.
class VmTable {
public:
  /// Takes in one row of the list. Returns true if anything changed.
  bool put(const VmInfo &Row);
  bool remove(const VmId &Vm);
  /// Somebody learned that \p Vm leaves; believed until \p Until. Returns true
  /// if that is news.
  bool recordLeaving(const VmId &Vm, WallMs Until, ChangeMark Mark);
  /// Forgets news that is no longer believed.
  void expireNotices(WallMs Now);
  bool isLeaving(const VmId &Vm, WallMs Now) const;
  const VmInfo *find(const VmId &Vm) const;
  const std::unordered_map<VmId, VmInfo> &rows() const { return this->Rows; }
  const std::unordered_map<VmId, LeavingNotice> &leavingNotices() const {
    return this->LeavingNotices;
  }
  /// Position in the platform's list up to which rows are known.
  std::uint64_t Version = 0;

private:
  std::unordered_map<VmId, VmInfo> Rows;
  std::unordered_map<VmId, LeavingNotice> LeavingNotices;
};

/// Labels of \p Row with those that its data centre gives.
Labels effectiveLabels(const VmInfo &Row, const FoldState &State);
/// All drains that operators published, gathered once for many questions.
class DrainSet {
public:
  explicit DrainSet(const FoldState &State);
  /// Whether a drain covers \p Vm, whose effective labels are \p Joined.
  bool covers(const VmId &Vm, const Labels &Joined) const;

private:
  std::vector<const Drain *> Rows;
};

} // namespace waycove
