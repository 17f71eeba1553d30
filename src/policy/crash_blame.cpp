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

std::size_t countWithout(const std::set<TargetHash> &Ends,
                         const std::set<TargetHash> &Explained) {
  return static_cast<std::size_t>(
      std::count_if(Ends.begin(), Ends.end(),
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
  for (const auto &[Content, Ends] : Given) {
    std::size_t Count = countWithout(Ends, Explained);
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

bool CrashRow::merge(const CrashRow &Other) {
  if (Other.Served < this->Served)
    return false;
  CrashRow Before = *this;
  if (Other.Served > this->Served)
    *this = {Other.Served, false, {}};
  this->Tried |= Other.Tried;
  this->Ends.insert(Other.Ends.begin(), Other.Ends.end());
  while (this->Ends.size() > MostEnds)
    this->Ends.erase(std::prev(this->Ends.end()));
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
    return Verdict::Serve;
  return this->mayTry(Content, Now) ? Verdict::Try : Verdict::Refuse;
}

/// Whether it is to be tried once more: nothing tells it from another one, or
/// targets may have ended of themselves as it ran.
bool CrashBlame::mayTry(ContentHash Content, TimePoint Now) const {
  auto At = this->Rows.find(Content);
  if (At == this->Rows.end() || At->second.Row.Tried ||
      Now - At->second.ChangedAt < TrialAfter)
    return false;
  const std::set<TargetHash> &Ends = At->second.Row.Ends;
  auto IsAtAll = [&](ContentHash Other) {
    auto Row = this->Rows.find(Other);
    return Other != Content && Row != this->Rows.end() &&
           std::includes(Row->second.Row.Ends.begin(),
                         Row->second.Row.Ends.end(), Ends.begin(), Ends.end());
  };
  return Ends.size() == EndsToBlame ||
         std::any_of(this->Blamed.begin(), this->Blamed.end(), IsAtAll);
}

std::size_t CrashBlame::endsNeeded(ContentHash Content) const {
  auto At = this->Rows.find(Content);
  bool WasServed = At != this->Rows.end() && At->second.Row.Served > 0;
  return WasServed || this->Served.contains(Content) ? EndsToBlameServed
                                                     : EndsToBlame;
}

void CrashBlame::noteLost(ContentHash Content, const VmIncarnation &Target,
                          TimePoint Now) {
  this->Losses.push_back({Content, Target, Now});
  // All that ran at a target is lost at once, mostly for the first time.
  if (this->endsOf(Content).size() >= EndsToBlame)
    this->blame();
}

void CrashBlame::noteServed(ContentHash Content, TimePoint Now) {
  this->Served.add(Content);
  std::size_t Lost = std::erase_if(
      this->Losses, [&](const Loss &Row) { return Row.Content == Content; });
  auto At = this->Rows.find(Content);
  bool Suspected = At != this->Rows.end() && !At->second.Row.Ends.empty();
  if (Suspected)
    At->second = {{At->second.Row.Served + 1, false, {}}, Now};
  if (Suspected || Lost > 0)
    this->blame();
}

void CrashBlame::noteTrial(ContentHash Content, TimePoint Now) {
  auto At = this->Rows.find(Content);
  if (At == this->Rows.end())
    return;
  At->second.Row.Tried = true;
  At->second.ChangedAt = Now;
}

void CrashBlame::confirm(const std::vector<Loss> &Ended, TimePoint Now) {
  for (const Loss &Row : Ended) {
    Kept &Into = this->Rows[Row.Content];
    std::uint32_t Before = this->Served.contains(Row.Content) ? 1 : 0;
    if (Into.Row.merge({std::max(Into.Row.Served, Before),
                        Into.Row.Tried,
                        {hashOf(Row.Target)}}))
      Into.ChangedAt = Now;
  }
  this->forget();
  this->blame();
}

void CrashBlame::take(const CrashRows &Told, TimePoint Now) {
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
CrashRows CrashBlame::pick(F IsWanted, std::size_t Most) const {
  std::vector<Place> Order;
  for (const auto &[Content, Row] : this->Rows)
    if (IsWanted(Content, Row))
      Order.emplace_back(Row.Row.Ends.size(), Row.ChangedAt, Content);
  std::sort(Order.rbegin(), Order.rend());
  Order.resize(std::min(Order.size(), Most));
  CrashRows Picked;
  for (const Place &Row : Order) {
    auto Content = std::get<ContentHash>(Row);
    Picked[Content] = this->Rows.at(Content).Row;
  }
  return Picked;
}

CrashRows CrashBlame::recent(TimePoint Now) const {
  return this->pick(
      [&](ContentHash, const Kept &Row) {
        return Now - Row.ChangedAt < ShareTime;
      },
      MostTold);
}

CrashRows CrashBlame::whole() const {
  return this->pick([](ContentHash, const Kept &) { return true; }, MostTold);
}

CrashRows CrashBlame::lasting() const {
  return this->pick(
      [this](ContentHash Content, const Kept &) {
        return this->Blamed.contains(Content);
      },
      MostLasting);
}

std::set<TargetHash> CrashBlame::endsOf(ContentHash Content) const {
  std::set<TargetHash> Ends;
  if (auto At = this->Rows.find(Content); At != this->Rows.end())
    Ends = At->second.Row.Ends;
  for (const Loss &Row : this->Losses)
    if (Row.Content == Content)
      Ends.insert(hashOf(Row.Target));
  return Ends;
}

Evidence CrashBlame::evidence() const {
  std::set<ContentHash> Likely;
  for (const auto &[Content, Row] : this->Rows)
    if (Row.Row.Ends.size() >= EndsToBlame)
      Likely.insert(Content);
  for (const Loss &Row : this->Losses)
    Likely.insert(Row.Content);
  Evidence Given;
  for (ContentHash Content : Likely)
    if (std::set<TargetHash> Ends = this->endsOf(Content);
        Ends.size() >= EndsToBlame)
      Given[Content] = std::move(Ends);
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
      const std::set<TargetHash> &Ends = Given.at(Content);
      Explained.insert(Ends.begin(), Ends.end());
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
    Order.emplace_back(Row.Row.Ends.size(), Row.ChangedAt, Content);
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
