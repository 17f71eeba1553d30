// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/crash_evidence.h"

#include <iterator>

namespace waycove {

bool CrashEvidence::merge(const CrashEvidence &Other) {
  CrashEvidence Before = *this;
  this->ServedBefore |= Other.ServedBefore;
  if (Other.TimesServed > this->TimesServed)
    *this = {Other.TimesServed, false, {}, this->ServedBefore, false};
  if (Other.TimesServed == this->TimesServed) {
    this->TrialDone |= Other.TrialDone;
    this->Recurred |= Other.Recurred;
    this->CrashedTargets.insert(Other.CrashedTargets.begin(),
                                Other.CrashedTargets.end());
    while (this->CrashedTargets.size() > MaxCrashedTargets)
      this->CrashedTargets.erase(std::prev(this->CrashedTargets.end()));
  }
  return *this != Before;
}

bool CrashEvidenceTable::merge(const CrashSuspect &Suspect,
                               const CrashEvidence &Evidence, TimePoint Now) {
  Row &Known = this->Rows[Suspect];
  std::uint32_t TimesServed = Known.Evidence.TimesServed;
  bool WasSuspect = !Known.Evidence.CrashedTargets.empty();
  if (!Known.Evidence.merge(Evidence))
    return false;
  Known.ChangedAt = Now;
  if (!WasSuspect || Known.Evidence.TimesServed != TimesServed)
    Known.SuspectSince = Now;
  return true;
}

bool CrashEvidenceTable::clear(const CrashSuspect &Suspect, TimePoint Now) {
  Row *Known = this->find(Suspect);
  if (!Known || Known->Evidence.CrashedTargets.empty())
    return false;
  *Known = {{Known->Evidence.TimesServed + 1, false, {}, true, false},
            Now,
            {},
            {},
            {},
            0};
  return true;
}

void CrashEvidenceTable::forget() {
  if (this->Rows.size() <= MaxRows)
    return;
  for (SuspectKind Kind : {SuspectKind::Request, SuspectKind::PromptPart}) {
    std::vector<SortKey> Order = this->order(
        Kind, [](const CrashSuspect &, const Row &) { return true; });
    for (std::size_t I = 0; I + MaxRows < Order.size(); ++I)
      this->Rows.erase(std::get<CrashSuspect>(Order[I]));
  }
}

const CrashEvidenceTable::Row *
CrashEvidenceTable::find(const CrashSuspect &Suspect) const {
  auto At = this->Rows.find(Suspect);
  return At == this->Rows.end() ? nullptr : &At->second;
}

CrashEvidenceTable::Row *CrashEvidenceTable::find(const CrashSuspect &Suspect) {
  auto At = this->Rows.find(Suspect);
  return At == this->Rows.end() ? nullptr : &At->second;
}

} // namespace waycove
