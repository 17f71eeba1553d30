// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/stated_limits.h"

#include <algorithm>

namespace waycove {

StatedLimits::Entry *StatedLimits::entryOf(TargetHash Target) {
  if (auto At = this->Entries.find(Target); At != this->Entries.end())
    return &At->second;
  if (this->Entries.size() >= MaxTargets)
    return nullptr;
  return &this->Entries[Target];
}

StatedLimits::Change StatedLimits::set(Entry &Known,
                                       std::optional<RequestRate> Rate,
                                       TimePoint Now) {
  if (Known.Rate == Rate)
    return Change::None;
  bool WasLimited = Known.Rate.has_value();
  if (!WasLimited) {
    Known.Since = Now;
    ++this->LimitCount;
  } else if (!Rate) {
    --this->LimitCount;
  }
  Known.Rate = Rate;
  Known.ChangedAt = Now;
  if (!Rate)
    return Change::Ended;
  return WasLimited ? Change::Adjusted : Change::Begun;
}

StatedLimits::Change StatedLimits::onResponse(const VmIncarnation &Target,
                                              const TargetStatement &Statement,
                                              TimePoint SentAt, TimePoint Now) {
  if (Statement.HasUnreadableLimit)
    return Change::None;
  if (!Statement.Limit) {
    auto At = this->Entries.find(hashOf(Target));
    bool Ends = At != this->Entries.end() && SentAt > At->second.At;
    if (!Ends)
      return Change::None;
    At->second.At = Now;
    return this->set(At->second, std::nullopt, Now);
  }
  Entry *Known = this->entryOf(hashOf(Target));
  if (!Known)
    return Change::None;
  Known->At = std::max(Known->At, Now);
  return this->set(*Known, Statement.Limit, Now);
}

std::vector<TargetHash> StatedLimits::merge(const LimitReports &Reports,
                                            TimePoint Now) {
  std::vector<TargetHash> Changed;
  for (const auto &[Target, Report] : Reports) {
    Entry *Known = this->entryOf(Target);
    if (!Known || Report.At <= Known->At)
      continue;
    Known->At = Report.At;
    if (this->set(*Known, Report.Rate, Now) != Change::None)
      Changed.push_back(Target);
  }
  return Changed;
}

std::optional<StatedLimit> StatedLimits::of(TargetHash Target) const {
  auto At = this->Entries.find(Target);
  if (At == this->Entries.end() || !At->second.Rate)
    return std::nullopt;
  return StatedLimit{*At->second.Rate, At->second.Since};
}

LimitReports StatedLimits::reports(bool All, TimePoint Now) const {
  std::vector<std::pair<TargetHash, const Entry *>> Chosen;
  for (const auto &[Target, Known] : this->Entries)
    if (All || Now - Known.ChangedAt < ReportDuration)
      Chosen.emplace_back(Target, &Known);
  if (Chosen.size() > MaxReported) {
    std::nth_element(Chosen.begin(), Chosen.begin() + MaxReported, Chosen.end(),
                     [](const auto &Left, const auto &Right) {
                       return Left.second->ChangedAt > Right.second->ChangedAt;
                     });
    Chosen.resize(MaxReported);
  }
  LimitReports Reports;
  for (const auto &[Target, Known] : Chosen)
    Reports[Target] = {Known->Rate, Known->At};
  return Reports;
}

void StatedLimits::forget(const std::function<bool(TargetHash)> &IsListed,
                          TimePoint Now) {
  std::erase_if(this->Entries, [&](const auto &Item) {
    const Entry &Known = Item.second;
    bool IsNeeded = Known.Rate && IsListed(Item.first);
    if (IsNeeded || Now - Known.At < Retention)
      return false;
    this->LimitCount -= Known.Rate ? 1 : 0;
    return true;
  });
}

} // namespace waycove
