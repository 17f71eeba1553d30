// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "board/vms.h"

#include <algorithm>

namespace waycove {

bool VmTable::put(const VmInfo &Vm) {
  auto [At, Inserted] = this->Vms.try_emplace(Vm.Id, Vm);
  if (Inserted)
    return true;
  VmInfo &Old = At->second;
  bool Same = Old.ListedLeaving == Vm.ListedLeaving &&
              Old.OwnLabels == Vm.OwnLabels && Old.Domain == Vm.Domain &&
              Old.Address.text() == Vm.Address.text();
  Old = Vm;
  return !Same;
}

bool VmTable::remove(const VmId &Vm) { return this->Vms.erase(Vm) > 0; }

bool VmTable::recordLeaving(const VmId &Vm, WallMs Until, ChangeMark Mark) {
  auto [At, Inserted] =
      this->LeavingNotices.try_emplace(Vm, LeavingNotice{Until, Mark});
  if (!Inserted && At->second.Until >= Until)
    return false;
  At->second = {Until, Mark};
  return true;
}

void VmTable::expireNotices(WallMs Now) {
  std::erase_if(this->LeavingNotices,
                [&](const auto &Notice) { return Notice.second.Until <= Now; });
}

bool VmTable::isLeaving(const VmId &Vm, WallMs Now) const {
  if (auto At = this->LeavingNotices.find(Vm);
      At != this->LeavingNotices.end() && At->second.Until > Now)
    return true;
  const VmInfo *Info = this->find(Vm);
  return Info && Info->ListedLeaving;
}

const VmInfo *VmTable::find(const VmId &Vm) const {
  auto At = this->Vms.find(Vm);
  return At == this->Vms.end() ? nullptr : &At->second;
}

Labels effectiveLabels(const VmInfo &Vm, const FoldState &State) {
  Labels Joined = Vm.OwnLabels;
  // Labels cannot override the data centre and domain of the platform's list.
  Joined.set("data_centre", Vm.DataCentre.Text);
  Joined.set("domain", Vm.Domain.Text);
  if (const auto *Centre =
          State.spec<DataCentre>(ObjectKind::DataCentre, Vm.DataCentre.Text))
    Joined.inherit(Centre->Own);
  return Joined;
}

DrainSet::DrainSet(const FoldState &State) {
  for (const auto &[Key, Entry] : State.objects())
    if (const auto *Spec = Entry->as<Drain>())
      this->Drains.push_back(Spec);
}

bool DrainSet::covers(const VmId &Vm, const Labels &VmLabels) const {
  return std::any_of(
      this->Drains.begin(), this->Drains.end(), [&](const Drain *Row) {
        bool Named =
            std::find(Row->Vms.begin(), Row->Vms.end(), Vm) != Row->Vms.end();
        return Named || (Row->Match && Row->Match->matches(VmLabels));
      });
}

} // namespace waycove
