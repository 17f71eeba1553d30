// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/members.h"

namespace waycove {

namespace {

constexpr Millis OrderAgainAfter(1000);
constexpr Millis LeastFresh(1000);

} // namespace

Millis MemberBook::freshFor() const {
  return std::max(LeastFresh, 4 * this->Config.PollInterval);
}

bool MemberBook::beginPoll(const VmId &Vm, TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  auto [At, Fresh] = this->Rows.try_emplace(Vm);
  MemberState &Row = At->second;
  if (Fresh)
    Row.AskedSince = Now;
  if (Row.Busy || Now - Row.LastAsked < this->Config.PollInterval)
    return false;
  Row.Busy = true;
  Row.LastAsked = Now;
  return true;
}

void MemberBook::endPoll(const VmId &Vm,
                         const absl::StatusOr<MemberReport> &Report,
                         TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  auto At = this->Rows.find(Vm);
  if (At == this->Rows.end())
    return;
  At->second.Busy = false;
  if (!Report.ok())
    return;
  At->second.Report = *Report;
  At->second.Heard = Now;
  At->second.EverHeard = true;
}

bool MemberBook::beginOrder(const VmId &Vm, TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  MemberState &Row = this->Rows[Vm];
  if (Now - Row.LastOrder < OrderAgainAfter)
    return false;
  Row.LastOrder = Now;
  return true;
}

std::optional<MemberState> MemberBook::find(const VmId &Vm) const {
  std::lock_guard Lock(this->Mutex);
  auto At = this->Rows.find(Vm);
  if (At == this->Rows.end())
    return std::nullopt;
  return At->second;
}

GroupVerdict MemberBook::judge(const Group &Formed, TimePoint Now) const {
  for (const VmId &Vm : Formed.Vms) {
    std::optional<MemberState> Row = this->find(Vm);
    if (!Row || !Row->EverHeard)
      return {false, Vm, "not heard yet"};
    if (Now - Row->Heard > this->freshFor())
      return {false, Vm, "silent"};
    if (Row->Report.Group != Formed.Id)
      return {false, Vm,
              "reports group " + std::to_string(Row->Report.Group.Value)};
    if (!Row->Report.Loaded)
      return {false, Vm, "loading"};
  }
  return {true, VmId(), ""};
}

bool MemberBook::isDead(const VmId &Vm, TimePoint Now) const {
  std::optional<MemberState> Row = this->find(Vm);
  if (!Row)
    return false;
  TimePoint Since =
      Row->EverHeard ? std::max(Row->Heard, Row->AskedSince) : Row->AskedSince;
  return Now - Since > this->Config.MemberDeadAfter;
}

void MemberBook::restart(TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  for (auto &[Vm, Row] : this->Rows) {
    Row.EverHeard = false;
    Row.AskedSince = Now;
  }
}

void MemberBook::keep(const std::set<VmId> &Wanted) {
  std::lock_guard Lock(this->Mutex);
  std::erase_if(this->Rows, [&](const auto &Row) {
    return !Row.second.Busy && !Wanted.contains(Row.first);
  });
}

} // namespace waycove
