// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/member_reports.h"

namespace waycove {

namespace {

constexpr Millis OrderRetryInterval(1000);
constexpr Millis MinFreshDuration(1000);

} // namespace

Millis MemberReports::freshDuration() const {
  return std::max(MinFreshDuration, 4 * this->Config.PollInterval);
}

bool MemberReports::beginPoll(const VmId &Vm, TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  auto [At, Added] = this->Rows.try_emplace(Vm);
  MemberRecord &Row = At->second;
  if (Added)
    Row.PolledSince = Now;
  if (Row.PollPending || Now - Row.LastPoll < this->Config.PollInterval)
    return false;
  Row.PollPending = true;
  Row.LastPoll = Now;
  return true;
}

void MemberReports::endPoll(const VmId &Vm,
                            const absl::StatusOr<MemberReport> &Report,
                            TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  auto At = this->Rows.find(Vm);
  if (At == this->Rows.end())
    return;
  At->second.PollPending = false;
  if (!Report.ok())
    return;
  At->second.Report = *Report;
  At->second.ReportedAt = Now;
  At->second.HasReport = true;
}

bool MemberReports::beginOrder(const VmId &Vm, TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  MemberRecord &Row = this->Rows[Vm];
  if (Now - Row.LastOrder < OrderRetryInterval)
    return false;
  Row.LastOrder = Now;
  return true;
}

std::optional<MemberRecord> MemberReports::find(const VmId &Vm) const {
  std::lock_guard Lock(this->Mutex);
  auto At = this->Rows.find(Vm);
  if (At == this->Rows.end())
    return std::nullopt;
  return At->second;
}

GroupReadiness MemberReports::checkReadiness(const Group &Formed,
                                             TimePoint Now) const {
  for (const VmId &Vm : Formed.Vms) {
    std::optional<MemberRecord> Row = this->find(Vm);
    if (!Row || !Row->HasReport)
      return {false, Vm, "no report yet"};
    if (Now - Row->ReportedAt > this->freshDuration())
      return {false, Vm, "silent"};
    if (Row->Report.Group != Formed.Id)
      return {false, Vm,
              "reports group " + std::to_string(Row->Report.Group.Value),
              Row->Report.AskedAt};
    if (!Row->Report.Loaded)
      return {false, Vm, "loading", Row->Report.AskedAt};
  }
  return {true, VmId(), ""};
}

bool MemberReports::isDead(const VmId &Vm, TimePoint Now) const {
  std::optional<MemberRecord> Row = this->find(Vm);
  if (!Row)
    return false;
  TimePoint Since = Row->HasReport ? std::max(Row->ReportedAt, Row->PolledSince)
                                   : Row->PolledSince;
  return Now - Since > this->Config.MemberTimeout;
}

void MemberReports::invalidate(TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  for (auto &[Vm, Row] : this->Rows) {
    Row.HasReport = false;
    Row.PolledSince = Now;
  }
}

void MemberReports::retainOnly(const std::set<VmId> &Wanted) {
  std::lock_guard Lock(this->Mutex);
  std::erase_if(this->Rows, [&](const auto &Row) {
    return !Row.second.PollPending && !Wanted.contains(Row.first);
  });
}

} // namespace waycove
