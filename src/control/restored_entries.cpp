// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/restored_entries.h"

namespace waycove {

std::optional<EntryDoubt> RestoredEntries::doubtOf(const TargetInfo &Read,
                                                   const Fleet &Known) {
  if (auto Gone = Known.Gone.find(Read.Id); Gone != Known.Gone.end())
    return Gone->second.Last->StartedAt == Read.StartedAt
               ? std::optional(EntryDoubt::Gone)
               : std::nullopt;
  auto Listed = Known.Targets.find(Read.Id);
  if (Listed == Known.Targets.end() ||
      Listed->second->StartedAt != Read.StartedAt)
    return std::nullopt;
  if (Listed->second->Draining && !Read.Draining)
    return EntryDoubt::Leaving;
  if (Read.Sequence < Listed->second->Sequence)
    return EntryDoubt::Older;
  return std::nullopt;
}

void RestoredEntries::hold(TargetRef Read, std::uint64_t Hash, EntryDoubt Doubt,
                           TimePoint Now) {
  Row Held{std::move(Read), Hash, std::nullopt};
  if (Doubt != EntryDoubt::Leaving)
    Held.Until = Now + this->HoldTime;
  VmId Id = Held.Entry->Id;
  this->Rows.insert_or_assign(Id, std::move(Held));
}

bool RestoredEntries::holds(const VmId &Id, std::uint64_t Hash) const {
  auto At = this->Rows.find(Id);
  return At != this->Rows.end() && At->second.Hash == Hash;
}

void RestoredEntries::keepOnly(const std::set<VmId> &Listed) {
  std::erase_if(this->Rows, [&](const auto &Entry) {
    return !Listed.contains(Entry.first);
  });
}

std::vector<TargetRef> RestoredEntries::takeDue(TimePoint Now) {
  std::vector<TargetRef> Due;
  std::erase_if(this->Rows, [&](const auto &Entry) {
    const Row &Held = Entry.second;
    if (!Held.Until || Now < *Held.Until)
      return false;
    Due.push_back(Held.Entry);
    return true;
  });
  return Due;
}

} // namespace waycove
