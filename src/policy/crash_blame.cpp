// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/crash_blame.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace waycove {

namespace {

/// Identifies the culprit, the same on all nodes.
ContentHash keyOf(const Culprit &Blamed) {
  std::uint64_t Hash = 0;
  for (const CrashSuspect &Suspect : Blamed)
    Hash = mixHash(Hash, Suspect.Content.Value);
  return ContentHash(Hash);
}

bool hasPart(const Culprit &Blamed) {
  return std::any_of(Blamed.begin(), Blamed.end(),
                     [](const CrashSuspect &Suspect) {
                       return Suspect.Kind == SuspectKind::PromptPart;
                     });
}

} // namespace

void CrashBlame::ServedMemory::add(ContentHash Content) {
  this->Newer.insert(Content);
  if (this->Newer.size() < MaxRemembered)
    return;
  this->Older = std::move(this->Newer);
  this->Newer.clear();
}

CrashBlame::Judgement CrashBlame::judge(const CrashSuspects &Request,
                                        TimePoint Now) const {
  const Culprit *Found = nullptr;
  for (const Culprit &Candidate : this->Blamed) {
    if (!containsAll(Request, Candidate))
      continue;
    // A trial of several culprits would not tell which of them is sound.
    if (Found)
      return {Verdict::Refuse, keyOf(*Found)};
    Found = &Candidate;
  }
  if (!Found)
    return {};
  return {this->mayRunTrial(*Found, Now) ? Verdict::Trial : Verdict::Refuse,
          keyOf(*Found)};
}

/// Returns true if a culprit should be sent once more. A part always is, since
/// many requests would be refused with a part that is innocent; a request only
/// on minimal evidence, or if another suspect ran at all of the same crashes.
bool CrashBlame::mayRunTrial(const Culprit &Blamed, TimePoint Now) const {
  for (const CrashSuspect &Suspect : Blamed) {
    const CrashEvidenceTable::Row *Known = this->Evidence.find(Suspect);
    if (!Known || Known->Evidence.TrialDone || Now < Known->TrialUntil ||
        Now - Known->ChangedAt < TrialDelay)
      return false;
  }
  if (hasPart(Blamed))
    return true;
  const CrashSuspect &Request = Blamed.front();
  return this->Evidence.find(Request)->Evidence.CrashedTargets.size() ==
             CrashesToBlame ||
         this->isTied(Request);
}

bool CrashBlame::isTied(const CrashSuspect &Suspect) const {
  const std::set<TargetHash> &Crashed =
      this->Evidence.find(Suspect)->Evidence.CrashedTargets;
  auto RanAtAll = [&](const CrashSuspect &Other) {
    const CrashEvidenceTable::Row *Known = this->Evidence.find(Other);
    return Other != Suspect && Known &&
           std::includes(Known->Evidence.CrashedTargets.begin(),
                         Known->Evidence.CrashedTargets.end(), Crashed.begin(),
                         Crashed.end());
  };
  return std::any_of(this->Blamed.begin(), this->Blamed.end(),
                     [&](const Culprit &Other) {
                       return std::any_of(Other.begin(), Other.end(), RanAtAll);
                     });
}

bool CrashBlame::isBlamed(const CrashSuspect &Suspect) const {
  return std::any_of(this->Blamed.begin(), this->Blamed.end(),
                     [&](const Culprit &Culprit) {
                       return std::find(Culprit.begin(), Culprit.end(),
                                        Suspect) != Culprit.end();
                     });
}

void CrashBlame::recordLost(const CrashSuspects &Request,
                            const VmIncarnation &Target, TimePoint SentAt,
                            TimePoint Now) {
  this->Losses.push_back({Request, Target, SentAt, Now});
  // Most losses are the first of their suspects, and cannot change the blame.
  bool MayBlame = std::any_of(
      Request.begin(), Request.end(), [this](const CrashSuspect &Suspect) {
        return this->crashedTargetsOf(Suspect).size() >= CrashesToBlame;
      });
  if (MayBlame)
    this->blame();
}

void CrashBlame::releaseHeldLosses() {
  this->Losses.insert(this->Losses.end(), this->Held.begin(), this->Held.end());
  this->Held.clear();
  this->blame();
}

void CrashBlame::dropLosses() {
  this->Losses.clear();
  this->Held.clear();
  this->blame();
}

void CrashBlame::recordServed(const CrashSuspects &Request, TimePoint Now) {
  bool Changed = false;
  for (const CrashSuspect &Suspect : Request) {
    this->Served.add(Suspect.Content);
    Changed |= this->Evidence.clear(Suspect, Now);
  }
  for (std::vector<Loss> *Unresolved : {&this->Losses, &this->Held}) {
    for (Loss &Lost : *Unresolved)
      Changed |= std::erase_if(Lost.Suspects, [&](const CrashSuspect &Suspect) {
                   return containsAll(Request, {Suspect});
                 }) > 0;
    std::erase_if(*Unresolved,
                  [](const Loss &Lost) { return Lost.Suspects.empty(); });
  }
  if (Changed)
    this->blame();
}

Millis CrashBlame::trialDuration(unsigned Before) {
  Millis Duration = TrialDuration;
  for (unsigned I = 0; I < std::min(Before, MaxRepeatDelays); ++I)
    Duration *= RepeatFactor;
  return Duration;
}

void CrashBlame::recordTrial(const CrashSuspects &Request, TimePoint Now) {
  for (const Culprit &Candidate : this->Blamed)
    if (containsAll(Request, Candidate))
      for (const CrashSuspect &Suspect : Candidate)
        if (CrashEvidenceTable::Row *Known = this->Evidence.find(Suspect)) {
          Known->TrialSince = Now;
          Known->TrialUntil = Now + trialDuration(Known->Trials++);
        }
}

void CrashBlame::confirm(const std::vector<Loss> &Crashes, TimePoint Now) {
  for (const Loss &Lost : Crashes)
    for (const CrashSuspect &Suspect : Lost.Suspects) {
      CrashEvidence New;
      New.CrashedTargets = {hashOf(Lost.Target)};
      New.ServedBefore = this->Served.contains(Suspect.Content);
      if (const auto *Known = this->Evidence.find(Suspect)) {
        New.TimesServed = Known->Evidence.TimesServed;
        New.TrialDone =
            Lost.SentAt >= Known->TrialSince && Lost.SentAt < Known->TrialUntil;
        New.Recurred = !Known->Evidence.CrashedTargets.empty() &&
                       Lost.SentAt > Known->SuspectSince;
      }
      this->Evidence.merge(Suspect, New, Now);
    }
  this->Evidence.forget();
  this->blame();
}

void CrashBlame::resolveEnded(TimePoint Now) {
  std::vector<Loss> Completed;
  std::erase_if(this->Ended, [&](const Loss &Response) {
    if (Now - Response.At < EndedDelay)
      return false;
    if (!this->hasCrashed(hashOf(Response.Target)))
      Completed.push_back(Response);
    return true;
  });
  for (const Loss &Response : Completed)
    this->recordServed(Response.Suspects, Now);
}

/// Whether any request is known to have been lost when the target crashed.
bool CrashBlame::hasCrashed(TargetHash Target) const {
  return std::any_of(this->Evidence.rows().begin(), this->Evidence.rows().end(),
                     [&](const auto &Known) {
                       return Known.second.Evidence.CrashedTargets.contains(
                           Target);
                     }) ||
         std::any_of(
             this->Losses.begin(), this->Losses.end(),
             [&](const Loss &Lost) { return hashOf(Lost.Target) == Target; });
}

void CrashBlame::merge(const CrashEvidenceMap &Reported, TimePoint Now) {
  bool Changed = false;
  for (const auto &[Suspect, Found] : Reported)
    Changed |= this->Evidence.merge(Suspect, Found, Now);
  if (!Changed)
    return;
  this->Evidence.forget();
  this->blame();
}

CrashEvidenceMap CrashBlame::recentRows(TimePoint Now) const {
  return this->Evidence.pick(
      [&](const CrashSuspect &, const CrashEvidenceTable::Row &Known) {
        return Now - Known.ChangedAt < ReportDuration;
      },
      MaxReported);
}

CrashEvidenceMap CrashBlame::allRows() const {
  return this->Evidence.pick(
      [](const CrashSuspect &, const CrashEvidenceTable::Row &) {
        return true;
      },
      MaxReported);
}

CrashEvidenceMap CrashBlame::blamedRows() const {
  return this->Evidence.pick(
      [this](const CrashSuspect &Suspect, const CrashEvidenceTable::Row &) {
        return this->isBlamed(Suspect);
      },
      MaxPersisted);
}

std::set<TargetHash>
CrashBlame::crashedTargetsOf(const CrashSuspect &Suspect) const {
  std::set<TargetHash> Crashed;
  if (const auto *Known = this->Evidence.find(Suspect))
    Crashed = Known->Evidence.CrashedTargets;
  for (const Loss &Lost : this->Losses)
    if (containsAll(Lost.Suspects, {Suspect}))
      Crashed.insert(hashOf(Lost.Target));
  return Crashed;
}

SuspectRecords CrashBlame::records() const {
  SuspectRecords Records;
  for (const Loss &Lost : this->Losses)
    for (const CrashSuspect &Suspect : Lost.Suspects) {
      SuspectRecord &Record = Records[Suspect];
      Record.CrashedTargets.insert(hashOf(Lost.Target));
      Record.ServedBefore = this->Served.contains(Suspect.Content);
    }
  for (const auto &[Suspect, Known] : this->Evidence.rows()) {
    const CrashEvidence &Found = Known.Evidence;
    if (Found.CrashedTargets.size() < CrashesToBlame &&
        !Records.contains(Suspect))
      continue;
    SuspectRecord &Record = Records[Suspect];
    Record.CrashedTargets.insert(Found.CrashedTargets.begin(),
                                 Found.CrashedTargets.end());
    Record.ServedBefore |=
        Found.wasServed() || this->Served.contains(Suspect.Content);
    Record.Recurred = Found.Recurred;
  }
  std::erase_if(Records, [](const auto &Record) {
    return Record.second.CrashedTargets.size() < CrashesToBlame;
  });
  return Records;
}

CrashBlame::Changes CrashBlame::takeChanges() {
  std::set<Culprit> Current(this->Blamed.begin(), this->Blamed.end());
  std::set<Culprit> Before = std::exchange(this->ReportedBlamed, Current);
  Changes Found;
  for (const Culprit &Blamed : Current)
    if (const auto *Known = this->Evidence.find(Blamed.front());
        Known && !Before.contains(Blamed))
      Found.Blamed.push_back({Blamed, Known->Evidence});
  std::set_difference(Before.begin(), Before.end(), Current.begin(),
                      Current.end(), std::back_inserter(Found.Cleared));
  return Found;
}

} // namespace waycove
