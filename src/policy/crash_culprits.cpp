// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/crash_culprits.h"

#include <algorithm>

namespace waycove {

namespace {

using Targets = std::set<TargetHash>;

std::size_t countMissing(const Targets &In, const Targets &From) {
  return static_cast<std::size_t>(
      std::count_if(In.begin(), In.end(),
                    [&](TargetHash Target) { return !From.contains(Target); }));
}

std::size_t crashesNeeded(const CrashSuspect &Suspect,
                          const SuspectRecord &Record) {
  if (!Record.ServedBefore)
    return CrashesToBlame;
  return Suspect.Kind == SuspectKind::Request ? CrashesToBlameServedRequest
                                              : CrashesToBlameServedPart;
}

bool mayBeBlamed(const CrashSuspect &Suspect, const SuspectRecord &Record) {
  bool IsOfOneMoment = Suspect.Kind == SuspectKind::PromptPart &&
                       Record.ServedBefore && !Record.Recurred;
  return !IsOfOneMoment &&
         Record.CrashedTargets.size() >= crashesNeeded(Suspect, Record);
}

/// Finds culprits among suspects of equal prior evidence.
class CulpritSearch {
public:
  /// Adds to \p Found, and to \p Explained the crashes that these explain.
  CulpritSearch(SuspectRecords Remaining, Targets &Explained,
                std::vector<Culprit> &Found)
      : Remaining(std::move(Remaining)), Explained(Explained), Found(Found) {}

  void run() {
    while (true) {
      CrashSuspects Likely = this->mostLikely();
      if (Likely.empty())
        return;
      if (Likely.back().Kind == SuspectKind::PromptPart)
        this->blamePart(Likely.back());
      else
        this->blameRequests(Likely);
    }
  }

private:
  /// The suspects with the most unexplained crashes, if these are enough.
  CrashSuspects mostLikely() const {
    std::size_t Max = 0;
    CrashSuspects Likely;
    for (const auto &[Suspect, Record] : this->Remaining) {
      std::size_t Count = countMissing(Record.CrashedTargets, this->Explained);
      if (Count < std::max(Max, crashesNeeded(Suspect, Record)))
        continue;
      if (Count > Max)
        Likely.clear();
      Max = Count;
      Likely.push_back(Suspect);
    }
    return Likely;
  }

  /// Blames the requests, each by itself.
  void blameRequests(const CrashSuspects &Requests) {
    for (const CrashSuspect &Suspect : Requests)
      this->blame(Suspect, {Suspect});
  }

  /// Blames the part, with those that no crashes tell apart from it. A request
  /// that ran at all of the same crashes explains them as well, and fewer are
  /// refused with it; but several that did only ran beside the part.
  void blamePart(const CrashSuspect &Part) {
    Targets Own;
    for (TargetHash Target : this->Remaining.at(Part).CrashedTargets)
      if (!this->Explained.contains(Target))
        Own.insert(Target);
    CrashSuspects Requests;
    Culprit Together;
    for (const auto &[Suspect, Record] : this->Remaining) {
      std::size_t Apart = countMissing(Own, Record.CrashedTargets);
      if (Suspect.Kind == SuspectKind::Request && Apart == 0)
        Requests.push_back(Suspect);
      if (Suspect.Kind == SuspectKind::PromptPart && Apart < MinSeparateCrashes)
        Together.push_back(Suspect);
    }
    if (Requests.size() == 1)
      this->blameRequests(Requests);
    else
      this->blame(Part, Together);
  }

  void blame(const CrashSuspect &Main, const Culprit &Together) {
    const Targets &Crashed = this->Remaining.at(Main).CrashedTargets;
    this->Explained.insert(Crashed.begin(), Crashed.end());
    this->Found.push_back(Together);
    for (const CrashSuspect &Suspect : Together)
      this->Remaining.erase(Suspect);
  }

  SuspectRecords Remaining;
  Targets &Explained;
  std::vector<Culprit> &Found;
};

} // namespace

std::vector<Culprit> findCulprits(const SuspectRecords &Records) {
  std::vector<Culprit> Found;
  Targets Explained;
  for (bool ServedBefore : {false, true}) {
    SuspectRecords Candidates;
    for (const auto &[Suspect, Record] : Records)
      if (Record.ServedBefore == ServedBefore && mayBeBlamed(Suspect, Record))
        Candidates.emplace(Suspect, Record);
    CulpritSearch(std::move(Candidates), Explained, Found).run();
  }
  return Found;
}

} // namespace waycove
