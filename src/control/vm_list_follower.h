// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/board.h"
#include "control/vm_list.h"

namespace waycove {

/// Keeps the VM table up to date with the platform's list of the VMs in this
/// data centre, and reports leaving VMs to peers.
template <VmList List> class VmListFollower {
public:
  VmListFollower(Board &Tables, List &Platform)
      : Tables(Tables), Platform(Platform) {}

  /// Queries the list once. Returns false if there was no response.
  bool step() {
    std::uint64_t Since =
        this->Tables.Vms.read([](const VmTable &Vms) { return Vms.Version; });
    absl::StatusOr<VmPage> Page =
        this->Platform.list(this->Tables.Self.DataCentre, Since);
    // After a restore, changes since a version of an earlier era are useless:
    // get the whole list.
    if (Page.ok() && eraOf(Page->Version) > eraOf(Since) && !Page->Whole)
      Page = this->Platform.list(this->Tables.Self.DataCentre, 0);
    if (!Page.ok())
      return false;
    // A response from a replica that is further behind is ignored.
    if (Page->Version < Since)
      return true;
    this->apply(*Page);
    return true;
  }

private:
  void apply(const VmPage &Page) {
    bool Changed = false;
    std::vector<VmId> Leaving;
    WallMs Until = Board::leavingUntil(SystemClock{}.wall());
    this->Tables.Vms.write([&](VmTable &Vms) {
      if (Page.Whole)
        Changed |= this->removeAbsent(Vms, Page);
      for (const VmInfo &Row : Page.Vms) {
        Changed |= Vms.put(Row);
        if (Row.ListedLeaving &&
            Vms.recordLeaving(Row.Id, Until, this->Tables.nextLocalMark()))
          Leaving.push_back(Row.Id);
      }
      for (const VmId &Vm : Page.Removed)
        Changed |= Vms.remove(Vm);
      Vms.Version = Page.Version;
      Vms.expireNotices(SystemClock{}.wall());
    });
    this->Tables.VmsKnown = true;
    for (const VmId &Vm : Leaving)
      this->Tables.Log.emit(EventCode::VmLeaving, Vm.Text, "listed");
    if (!Leaving.empty())
      this->Tables.GossipRequested.set();
    if (Changed)
      this->Tables.RoutingVersion.fetch_add(1);
  }

  static bool isListed(const VmPage &Page, const VmId &Vm) {
    return std::any_of(Page.Vms.begin(), Page.Vms.end(),
                       [&](const VmInfo &Row) { return Row.Id == Vm; });
  }

  static bool removeAbsent(VmTable &Vms, const VmPage &Page) {
    std::vector<VmId> Absent;
    for (const auto &[Vm, Row] : Vms.rows())
      if (!isListed(Page, Vm))
        Absent.push_back(Vm);
    for (const VmId &Vm : Absent)
      Vms.remove(Vm);
    return !Absent.empty();
  }

  Board &Tables;
  List &Platform;
};

} // namespace waycove
