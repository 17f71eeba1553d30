// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/crash_blame.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace waycove {

namespace {

using CrashesByContent = std::map<ContentHash, std::set<TargetHash>>;
/// Sort key of a content, weakest evidence first: its number of crashes, its
/// last change and its hash.
using SortKey = std::tuple<std::size_t, TimePoint, ContentHash>;

std::size_t countUnexplained(const std::set<TargetHash> &CrashedTargets,
                             const std::set<TargetHash> &Explained) {
  return static_cast<std::size_t>(std::count_if(
      CrashedTargets.begin(), CrashedTargets.end(),
      [&](TargetHash Target) { return !Explained.contains(Target); }));
}

/// Returns the contents with the most unexplained crashes, if these are enough
/// to blame them.
template <typename F>
std::vector<ContentHash> mostLikely(const CrashesByContent &Remaining,
                                    const std::set<TargetHash> &Explained,
                                    F CrashesNeeded) {
  std::size_t Max = 0;
  std::vector<ContentHash> Likely;
  for (const auto &[Content, CrashedTargets] : Remaining) {
    std::size_t Count = countUnexplained(CrashedTargets, Explained);
    if (Count < std::max(Max, CrashesNeeded(Content)))
      continue;
    if (Count > Max)
      Likely.clear();
    Max = Count;
    Likely.push_back(Content);
  }
  return Likely;
}

} // namespace

bool CrashEvidence::merge(const CrashEvidence &Other) {
  if (Other.TimesServed < this->TimesServed)
    return false;
  CrashEvidence Before = *this;
  if (Other.TimesServed > this->TimesServed)
    *this = {Other.TimesServed, false, {}};
  this->TrialDone |= Other.TrialDone;
  this->CrashedTargets.insert(Other.CrashedTargets.begin(),
                              Other.CrashedTargets.end());
  while (this->CrashedTargets.size() > MaxCrashedTargets)
    this->CrashedTargets.erase(std::prev(this->CrashedTargets.end()));
  return *this != Before;
}

void CrashBlame::ServedMemory::add(ContentHash Content) {
  this->Newer.insert(Content);
  if (this->Newer.size() < MaxRemembered)
    return;
  this->Older = std::move(this->Newer);
  this->Newer.clear();
}

CrashBlame::Verdict CrashBlame::judge(ContentHash Content,
                                      TimePoint Now) const {
  if (!this->Blamed.contains(Content))
    return Verdict::Allow;
  return this->mayRunTrial(Content, Now) ? Verdict::Trial : Verdict::Refuse;
}

/// Returns true if a blamed content should be sent once more: it has minimal
/// evidence, or another blamed content ran at all of the same crashes.
bool CrashBlame::mayRunTrial(ContentHash Content, TimePoint Now) const {
  auto At = this->Rows.find(Content);
  if (At == this->Rows.end() || At->second.Evidence.TrialDone ||
      Now - At->second.ChangedAt < TrialDelay)
    return false;
  const std::set<TargetHash> &CrashedTargets =
      At->second.Evidence.CrashedTargets;
  auto RanAtAll = [&](ContentHash Other) {
    auto OtherAt = this->Rows.find(Other);
    return Other != Content && OtherAt != this->Rows.end() &&
           std::includes(OtherAt->second.Evidence.CrashedTargets.begin(),
                         OtherAt->second.Evidence.CrashedTargets.end(),
                         CrashedTargets.begin(), CrashedTargets.end());
  };
  return CrashedTargets.size() == CrashesToBlame ||
         std::any_of(this->Blamed.begin(), this->Blamed.end(), RanAtAll);
}

std::size_t CrashBlame::crashesNeeded(ContentHash Content) const {
  auto At = this->Rows.find(Content);
  bool WasServed =
      At != this->Rows.end() && At->second.Evidence.TimesServed > 0;
  return WasServed || this->Served.contains(Content) ? CrashesToBlameServed
                                                     : CrashesToBlame;
}

void CrashBlame::recordLost(ContentHash Content, const VmIncarnation &Target,
                            TimePoint Now) {
  this->Losses.push_back({Content, Target, Now});
  // Most losses are the first of their content, and cannot change the blame.
  if (this->crashedTargetsOf(Content).size() >= CrashesToBlame)
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

void CrashBlame::recordServed(ContentHash Content, TimePoint Now) {
  this->Served.add(Content);
  auto IsOfContent = [&](const Loss &Lost) { return Lost.Content == Content; };
  std::size_t Dropped = std::erase_if(this->Losses, IsOfContent);
  std::erase_if(this->Held, IsOfContent);
  auto At = this->Rows.find(Content);
  bool Suspected =
      At != this->Rows.end() && !At->second.Evidence.CrashedTargets.empty();
  if (Suspected)
    At->second = {{At->second.Evidence.TimesServed + 1, false, {}}, Now};
  if (Suspected || Dropped > 0)
    this->blame();
}

void CrashBlame::recordTrial(ContentHash Content, TimePoint Now) {
  auto At = this->Rows.find(Content);
  if (At == this->Rows.end())
    return;
  At->second.Evidence.TrialDone = true;
  At->second.ChangedAt = Now;
}

void CrashBlame::confirm(const std::vector<Loss> &Crashes, TimePoint Now) {
  for (const Loss &Lost : Crashes) {
    Entry &Known = this->Rows[Lost.Content];
    std::uint32_t Before = this->Served.contains(Lost.Content) ? 1 : 0;
    if (Known.Evidence.merge({std::max(Known.Evidence.TimesServed, Before),
                              Known.Evidence.TrialDone,
                              {hashOf(Lost.Target)}}))
      Known.ChangedAt = Now;
  }
  this->forget();
  this->blame();
}

void CrashBlame::merge(const CrashEvidenceMap &Reported, TimePoint Now) {
  bool Changed = false;
  for (const auto &[Content, Evidence] : Reported) {
    Entry &Known = this->Rows[Content];
    if (!Known.Evidence.merge(Evidence))
      continue;
    Known.ChangedAt = Now;
    Changed = true;
  }
  if (!Changed)
    return;
  this->forget();
  this->blame();
}

template <typename F>
CrashEvidenceMap CrashBlame::pick(F IsWanted, std::size_t Max) const {
  std::vector<SortKey> Order;
  for (const auto &[Content, Known] : this->Rows)
    if (IsWanted(Content, Known))
      Order.emplace_back(Known.Evidence.CrashedTargets.size(), Known.ChangedAt,
                         Content);
  std::sort(Order.rbegin(), Order.rend());
  Order.resize(std::min(Order.size(), Max));
  CrashEvidenceMap Picked;
  for (const SortKey &Key : Order) {
    auto Content = std::get<ContentHash>(Key);
    Picked[Content] = this->Rows.at(Content).Evidence;
  }
  return Picked;
}

CrashEvidenceMap CrashBlame::recentRows(TimePoint Now) const {
  return this->pick(
      [&](ContentHash, const Entry &Known) {
        return Now - Known.ChangedAt < ReportDuration;
      },
      MaxReported);
}

CrashEvidenceMap CrashBlame::allRows() const {
  return this->pick([](ContentHash, const Entry &) { return true; },
                    MaxReported);
}

CrashEvidenceMap CrashBlame::blamedRows() const {
  return this->pick(
      [this](ContentHash Content, const Entry &) {
        return this->Blamed.contains(Content);
      },
      MaxPersisted);
}

std::set<TargetHash> CrashBlame::crashedTargetsOf(ContentHash Content) const {
  std::set<TargetHash> CrashedTargets;
  if (auto At = this->Rows.find(Content); At != this->Rows.end())
    CrashedTargets = At->second.Evidence.CrashedTargets;
  for (const Loss &Lost : this->Losses)
    if (Lost.Content == Content)
      CrashedTargets.insert(hashOf(Lost.Target));
  return CrashedTargets;
}

CrashesByContent CrashBlame::evidence() const {
  std::set<ContentHash> Likely;
  for (const auto &[Content, Known] : this->Rows)
    if (Known.Evidence.CrashedTargets.size() >= CrashesToBlame)
      Likely.insert(Content);
  for (const Loss &Lost : this->Losses)
    Likely.insert(Lost.Content);
  CrashesByContent Remaining;
  for (ContentHash Content : Likely)
    if (std::set<TargetHash> CrashedTargets = this->crashedTargetsOf(Content);
        CrashedTargets.size() >= CrashesToBlame)
      Remaining[Content] = std::move(CrashedTargets);
  return Remaining;
}

/// Blames the contents with the most crashes first; the crashes that they
/// explain do not count against the others.
void CrashBlame::blame() {
  this->Blamed.clear();
  CrashesByContent Remaining = this->evidence();
  std::set<TargetHash> Explained;
  while (true) {
    std::vector<ContentHash> Likely =
        mostLikely(Remaining, Explained, [this](ContentHash Content) {
          return this->crashesNeeded(Content);
        });
    if (Likely.empty())
      break;
    for (ContentHash Content : Likely) {
      this->Blamed.insert(Content);
      const std::set<TargetHash> &CrashedTargets = Remaining.at(Content);
      Explained.insert(CrashedTargets.begin(), CrashedTargets.end());
    }
    for (ContentHash Content : Likely)
      Remaining.erase(Content);
  }
}

/// Drops the contents with the weakest and oldest evidence above MaxContents.
void CrashBlame::forget() {
  if (this->Rows.size() <= MaxContents)
    return;
  std::vector<SortKey> Order;
  for (const auto &[Content, Known] : this->Rows)
    Order.emplace_back(Known.Evidence.CrashedTargets.size(), Known.ChangedAt,
                       Content);
  std::sort(Order.begin(), Order.end());
  for (std::size_t I = 0; I < Order.size() - MaxContents; ++I)
    this->Rows.erase(std::get<ContentHash>(Order[I]));
}

CrashBlame::Changes CrashBlame::takeChanges() {
  std::set<ContentHash> Before =
      std::exchange(this->ReportedBlamed, this->Blamed);
  Changes Found;
  for (ContentHash Content : this->Blamed)
    if (auto At = this->Rows.find(Content);
        At != this->Rows.end() && !Before.contains(Content))
      Found.Blamed[Content] = At->second.Evidence;
  std::set_difference(Before.begin(), Before.end(), this->Blamed.begin(),
                      this->Blamed.end(), std::back_inserter(Found.Cleared));
  return Found;
}

} // namespace waycove
