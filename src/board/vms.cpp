// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "board/vms.h"

#include <algorithm>

namespace waycove {

bool VmTable::put(const VmInfo &Row) {
  auto [At, Fresh] = this->Rows.try_emplace(Row.Id, Row);
  if (Fresh)
    return true;
  VmInfo &Old = At->second;
  bool Same = Old.ListedLeaving == Row.ListedLeaving &&
              Old.OwnLabels == Row.OwnLabels && Old.Domain == Row.Domain &&
              Old.Address.text() == Row.Address.text();
  Old = Row;
  return !Same;
}

bool VmTable::remove(const VmId &Vm) { return this->Rows.erase(Vm) > 0; }

bool VmTable::recordLeaving(const VmId &Vm, WallMs Until, ChangeMark Mark) {
  auto [At, Fresh] =
      this->LeavingNotices.try_emplace(Vm, LeavingNotice{Until, Mark});
  if (!Fresh && At->second.Until >= Until)
    return false;
  At->second = {Until, Mark};
  return true;
}

void VmTable::expireNotices(WallMs Now) {
  std::erase_if(this->LeavingNotices,
                [&](const auto &Row) { return Row.second.Until <= Now; });
}

bool VmTable::isLeaving(const VmId &Vm, WallMs Now) const {
  if (auto At = this->LeavingNotices.find(Vm);
      At != this->LeavingNotices.end() && At->second.Until > Now)
    return true;
  const VmInfo *Row = this->find(Vm);
  return Row && Row->ListedLeaving;
}

const VmInfo *VmTable::find(const VmId &Vm) const {
  auto At = this->Rows.find(Vm);
  return At == this->Rows.end() ? nullptr : &At->second;
}

Labels effectiveLabels(const VmInfo &Row, const FoldState &State) {
  Labels Joined = Row.OwnLabels;
  // The list's own word on place and domain cannot be overridden by a label.
  Joined.set("data_centre", Row.DataCentre.Text);
  Joined.set("domain", Row.Domain.Text);
  if (const auto *Centre =
          State.spec<DataCentre>(ObjectKind::DataCentre, Row.DataCentre.Text))
    Joined.inherit(Centre->Own);
  return Joined;
}

DrainSet::DrainSet(const FoldState &State) {
  for (const auto &[Key, Entry] : State.objects())
    if (const auto *Spec = Entry->as<Drain>())
      this->Rows.push_back(Spec);
}

bool DrainSet::covers(const VmId &Vm, const Labels &Joined) const {
  return std::any_of(
      this->Rows.begin(), this->Rows.end(), [&](const Drain *Row) {
        bool Named =
            std::find(Row->Vms.begin(), Row->Vms.end(), Vm) != Row->Vms.end();
        return Named || (Row->Match && Row->Match->matches(Joined));
      });
}

} // namespace waycove
