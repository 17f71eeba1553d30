// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/held_entries.h"

namespace waycove {

std::optional<StaleReason> HeldEntries::staleReasonOf(const TargetInfo &Read,
                                                      const Fleet &Known) {
  if (auto Gone = Known.Removed.find(Read.Id); Gone != Known.Removed.end())
    return Gone->second.Last->StartedAt == Read.StartedAt
               ? std::optional(StaleReason::TargetRemoved)
               : std::nullopt;
  auto Listed = Known.Targets.find(Read.Id);
  if (Listed == Known.Targets.end() ||
      Listed->second->StartedAt != Read.StartedAt)
    return std::nullopt;
  if (Listed->second->Draining && !Read.Draining)
    return StaleReason::TargetLeaving;
  if (Read.Sequence < Listed->second->Sequence)
    return StaleReason::OlderSequence;
  return std::nullopt;
}

void HeldEntries::hold(TargetRef Read, std::uint64_t Hash, StaleReason Reason,
                       TimePoint Now) {
  VmId Id = Read->Id;
  HeldEntry Stale{std::move(Read), Hash, Reason, this->holdEnd(Reason, Now)};
  if (auto At = this->Held.find(Id); At != this->Held.end() &&
                                     Reason == StaleReason::EarlierLife &&
                                     At->second.Reason == Reason)
    Stale.Until = At->second.Until;
  this->Held.insert_or_assign(Id, std::move(Stale));
}

std::optional<TimePoint> HeldEntries::holdEnd(StaleReason Reason,
                                              TimePoint Now) const {
  switch (Reason) {
  case StaleReason::TargetLeaving:
    return std::nullopt;
  case StaleReason::EarlierLife:
    // Without a restore, the store may have had it for a while longer.
    return Now + this->HoldDuration + this->Heartbeat;
  default:
    return Now + this->HoldDuration;
  }
}

bool HeldEntries::holds(const VmId &Id, std::uint64_t Hash) const {
  auto At = this->Held.find(Id);
  return At != this->Held.end() && At->second.Hash == Hash;
}

void HeldEntries::retainOnly(const std::set<VmId> &Listed) {
  std::erase_if(this->Held, [&](const auto &Entry) {
    return !Listed.contains(Entry.first);
  });
}

std::vector<TargetRef> HeldEntries::takeDue(TimePoint Now) {
  std::vector<TargetRef> Due;
  std::erase_if(this->Held, [&](const auto &Entry) {
    const HeldEntry &Stale = Entry.second;
    if (!Stale.Until || Now < *Stale.Until)
      return false;
    Due.push_back(Stale.Entry);
    return true;
  });
  return Due;
}

} // namespace waycove
