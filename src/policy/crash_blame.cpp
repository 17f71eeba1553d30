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

using Evidence = std::map<ContentHash, std::set<TargetHash>>;
/// A row's ends, its last change and its content: what says more comes later.
using Place = std::tuple<std::size_t, TimePoint, ContentHash>;

std::size_t countWithout(const std::set<TargetHash> &CrashedTargets,
                         const std::set<TargetHash> &Explained) {
  return static_cast<std::size_t>(
      std::count_if(CrashedTargets.begin(), CrashedTargets.end(),
                    [&](TargetHash End) { return !Explained.contains(End); }));
}

/// The contents with the most ends that nothing explains yet, where these are
/// enough to blame them.
template <typename F>
std::vector<ContentHash> mostLikely(const Evidence &Given,
                                    const std::set<TargetHash> &Explained,
                                    F EndsNeeded) {
  std::size_t Most = 0;
  std::vector<ContentHash> Likely;
  for (const auto &[Content, CrashedTargets] : Given) {
    std::size_t Count = countWithout(CrashedTargets, Explained);
    if (Count < std::max(Most, EndsNeeded(Content)))
      continue;
    if (Count > Most)
      Likely.clear();
    Most = Count;
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
  while (this->CrashedTargets.size() > MostEnds)
    this->CrashedTargets.erase(std::prev(this->CrashedTargets.end()));
  return *this != Before;
}

void CrashBlame::ServedMemory::add(ContentHash Content) {
  this->Newer.insert(Content);
  if (this->Newer.size() < MostRemembered)
    return;
  this->Older = std::move(this->Newer);
  this->Newer.clear();
}

CrashBlame::Verdict CrashBlame::judge(ContentHash Content,
                                      TimePoint Now) const {
  if (!this->Blamed.contains(Content))
    return Verdict::Allow;
  return this->mayTry(Content, Now) ? Verdict::Trial : Verdict::Refuse;
}

/// Whether it is to be tried once more: nothing tells it from another one, or
/// targets may have ended of themselves as it ran.
bool CrashBlame::mayTry(ContentHash Content, TimePoint Now) const {
  auto At = this->Rows.find(Content);
  if (At == this->Rows.end() || At->second.Row.TrialDone ||
      Now - At->second.ChangedAt < TrialAfter)
    return false;
  const std::set<TargetHash> &CrashedTargets = At->second.Row.CrashedTargets;
  auto IsAtAll = [&](ContentHash Other) {
    auto Row = this->Rows.find(Other);
    return Other != Content && Row != this->Rows.end() &&
           std::includes(Row->second.Row.CrashedTargets.begin(),
                         Row->second.Row.CrashedTargets.end(),
                         CrashedTargets.begin(), CrashedTargets.end());
  };
  return CrashedTargets.size() == CrashesToBlame ||
         std::any_of(this->Blamed.begin(), this->Blamed.end(), IsAtAll);
}

std::size_t CrashBlame::endsNeeded(ContentHash Content) const {
  auto At = this->Rows.find(Content);
  bool WasServed = At != this->Rows.end() && At->second.Row.TimesServed > 0;
  return WasServed || this->Served.contains(Content) ? CrashesToBlameServed
                                                     : CrashesToBlame;
}

void CrashBlame::recordLost(ContentHash Content, const VmIncarnation &Target,
                            TimePoint Now) {
  this->Losses.push_back({Content, Target, Now});
  // All that ran at a target is lost at once, mostly for the first time.
  if (this->endsOf(Content).size() >= CrashesToBlame)
    this->blame();
}

void CrashBlame::recordServed(ContentHash Content, TimePoint Now) {
  this->Served.add(Content);
  std::size_t Lost = std::erase_if(
      this->Losses, [&](const Loss &Row) { return Row.Content == Content; });
  auto At = this->Rows.find(Content);
  bool Suspected =
      At != this->Rows.end() && !At->second.Row.CrashedTargets.empty();
  if (Suspected)
    At->second = {{At->second.Row.TimesServed + 1, false, {}}, Now};
  if (Suspected || Lost > 0)
    this->blame();
}

void CrashBlame::recordTrial(ContentHash Content, TimePoint Now) {
  auto At = this->Rows.find(Content);
  if (At == this->Rows.end())
    return;
  At->second.Row.TrialDone = true;
  At->second.ChangedAt = Now;
}

void CrashBlame::confirm(const std::vector<Loss> &Ended, TimePoint Now) {
  for (const Loss &Row : Ended) {
    Kept &Into = this->Rows[Row.Content];
    std::uint32_t Before = this->Served.contains(Row.Content) ? 1 : 0;
    if (Into.Row.merge({std::max(Into.Row.TimesServed, Before),
                        Into.Row.TrialDone,
                        {hashOf(Row.Target)}}))
      Into.ChangedAt = Now;
  }
  this->forget();
  this->blame();
}

void CrashBlame::merge(const CrashEvidenceMap &Told, TimePoint Now) {
  bool Changed = false;
  for (const auto &[Content, Row] : Told) {
    Kept &Into = this->Rows[Content];
    if (!Into.Row.merge(Row))
      continue;
    Into.ChangedAt = Now;
    Changed = true;
  }
  if (!Changed)
    return;
  this->forget();
  this->blame();
}

template <typename F>
CrashEvidenceMap CrashBlame::pick(F IsWanted, std::size_t Most) const {
  std::vector<Place> Order;
  for (const auto &[Content, Row] : this->Rows)
    if (IsWanted(Content, Row))
      Order.emplace_back(Row.Row.CrashedTargets.size(), Row.ChangedAt, Content);
  std::sort(Order.rbegin(), Order.rend());
  Order.resize(std::min(Order.size(), Most));
  CrashEvidenceMap Picked;
  for (const Place &Row : Order) {
    auto Content = std::get<ContentHash>(Row);
    Picked[Content] = this->Rows.at(Content).Row;
  }
  return Picked;
}

CrashEvidenceMap CrashBlame::recentRows(TimePoint Now) const {
  return this->pick(
      [&](ContentHash, const Kept &Row) {
        return Now - Row.ChangedAt < ReportDuration;
      },
      MaxReported);
}

CrashEvidenceMap CrashBlame::allRows() const {
  return this->pick([](ContentHash, const Kept &) { return true; },
                    MaxReported);
}

CrashEvidenceMap CrashBlame::blamedRows() const {
  return this->pick(
      [this](ContentHash Content, const Kept &) {
        return this->Blamed.contains(Content);
      },
      MaxPersisted);
}

std::set<TargetHash> CrashBlame::endsOf(ContentHash Content) const {
  std::set<TargetHash> CrashedTargets;
  if (auto At = this->Rows.find(Content); At != this->Rows.end())
    CrashedTargets = At->second.Row.CrashedTargets;
  for (const Loss &Row : this->Losses)
    if (Row.Content == Content)
      CrashedTargets.insert(hashOf(Row.Target));
  return CrashedTargets;
}

Evidence CrashBlame::evidence() const {
  std::set<ContentHash> Likely;
  for (const auto &[Content, Row] : this->Rows)
    if (Row.Row.CrashedTargets.size() >= CrashesToBlame)
      Likely.insert(Content);
  for (const Loss &Row : this->Losses)
    Likely.insert(Row.Content);
  Evidence Given;
  for (ContentHash Content : Likely)
    if (std::set<TargetHash> CrashedTargets = this->endsOf(Content);
        CrashedTargets.size() >= CrashesToBlame)
      Given[Content] = std::move(CrashedTargets);
  return Given;
}

/// Blames the likeliest first; what ended under those excuses all others.
void CrashBlame::blame() {
  this->Blamed.clear();
  Evidence Given = this->evidence();
  std::set<TargetHash> Explained;
  while (true) {
    std::vector<ContentHash> Likely =
        mostLikely(Given, Explained, [this](ContentHash Content) {
          return this->endsNeeded(Content);
        });
    if (Likely.empty())
      break;
    for (ContentHash Content : Likely) {
      this->Blamed.insert(Content);
      const std::set<TargetHash> &CrashedTargets = Given.at(Content);
      Explained.insert(CrashedTargets.begin(), CrashedTargets.end());
    }
    for (ContentHash Content : Likely)
      Given.erase(Content);
  }
}

/// Of what is over the bound, that goes which says least, the oldest first.
void CrashBlame::forget() {
  if (this->Rows.size() <= MostRows)
    return;
  std::vector<Place> Order;
  for (const auto &[Content, Row] : this->Rows)
    Order.emplace_back(Row.Row.CrashedTargets.size(), Row.ChangedAt, Content);
  std::sort(Order.begin(), Order.end());
  for (std::size_t I = 0; I < Order.size() - MostRows; ++I)
    this->Rows.erase(std::get<ContentHash>(Order[I]));
}

CrashBlame::Changes CrashBlame::takeChanges() {
  std::set<ContentHash> Before = std::exchange(this->ToldBlamed, this->Blamed);
  Changes Found;
  for (ContentHash Content : this->Blamed)
    if (auto At = this->Rows.find(Content);
        At != this->Rows.end() && !Before.contains(Content))
      Found.Blamed[Content] = At->second.Row;
  std::set_difference(Before.begin(), Before.end(), this->Blamed.begin(),
                      this->Blamed.end(), std::back_inserter(Found.Cleared));
  return Found;
}

} // namespace waycove
