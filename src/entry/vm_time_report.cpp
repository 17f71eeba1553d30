// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/vm_time_report.h"

#include <utility>

namespace waycove {

void VmTimeReport::update(TimePoint Now) {
  RoutingConfigRef Config =
      this->Board.Routing.read([](const RoutingConfigRef &Row) { return Row; });
  if (!Config)
    return;
  Evacuations Evacuated =
      this->Board.Evacuated.read([](const Evacuations &Row) { return Row; });
  this->Board.Targets.read([&](const Fleet &Known) {
    this->Times.update(*Config, Known, Evacuated, Now);
  });
  this->exportTotals();
}

void VmTimeReport::log() {
  std::map<ServiceId, VmDuration> Listed = this->Times.listedTime();
  if (this->Board.FirstInCentre)
    for (const auto &[Service, Time] : Listed)
      if (this->Logged[Service] != Time)
        this->Board.Log.emit(EventCode::VmTimeSpent, Service.Text,
                             this->fieldsOf(Service));
  this->Logged = std::move(Listed);
}

void VmTimeReport::exportTotals() {
  std::map<VmSeconds::Row, double> Rows;
  for (const auto &[Use, Time] : this->Times.totals())
    Rows[{Use.Service.Text, std::string(stateName(Use.State)), Use.Model}] =
        std::chrono::duration<double>(Time).count();
  this->Board.Counters.VmTimes.set(std::move(Rows));
}

LogFields VmTimeReport::fieldsOf(const ServiceId &Service) const {
  std::map<VmState, unsigned> ByState;
  std::string Staged;
  for (const auto &[Use, Count] : this->Times.counts()) {
    if (Use.Service != Service)
      continue;
    ByState[Use.State] += Count;
    if (!Use.Model.empty())
      Staged += Use.Model + "=" + std::to_string(Count) + " ";
  }
  LogFields Fields;
  for (const auto &[State, Count] : ByState)
    Fields.add(stateName(State), Count);
  if (!Staged.empty())
    Fields.add("loading_staged", Staged);
  return Fields;
}

} // namespace waycove
