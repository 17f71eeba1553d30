// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "board/feed_cache.h"

#include <algorithm>
#include <set>

namespace waycove {

/// Whether this node has a proof from the time when the store, by \p Page, was
/// away: then it was away from the one who says so, and what went has gone.
bool FeedCache::isRefuted(const KeyedPage &Page) const {
  return this->ProvenAt > Page.RetainUntil - RecoveryTimeout - OutageThreshold;
}

bool FeedCache::merge(const KeyedPage &Page, TimePoint Now) {
  {
    std::lock_guard Lock(this->Mutex);
    // Whoever is behind this node has nothing to tell it, and proves nothing.
    bool Ahead = !this->Known || Page.Next > this->Next;
    bool Proves = Page.Next == this->Next && Page.ProvenAt > this->ProvenAt;
    bool Restored = this->Known && Page.Next.Era > this->Next.Era;
    // What is known here and what changed in another era do not add up.
    if ((!this->Known || Restored) && !Page.IsSnapshot)
      return false;
    if (!Ahead && !Proves)
      return false;
    if (Restored || !this->isRefuted(Page))
      this->RetainUntil = std::max(this->RetainUntil, Page.RetainUntil);
    // Whoever asks from an earlier era is told all: the same offsets stand for
    // other records now, and which of them it has seen is not known.
    if (Restored)
      this->ForgottenBelow = {Page.Next.Era, Offset()};
    if (Ahead)
      this->advance(Page, Now);
    bool Proven = Page.ProvenAt != TimePoint();
    this->Versions.mergePage({Page.Next.Era, Page.Versions},
                             Proven ? Page.ProvenAt : Now);
    this->ProvenAt = std::max(this->ProvenAt, Page.ProvenAt);
  }
  this->Changed.notify_all();
  return true;
}

void FeedCache::mergeMarks(const EraMarks &Told, TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  this->Versions.mergeMarks(Told, Now);
}

void FeedCache::settle(StoreEra Era, TimePoint At) {
  std::lock_guard Lock(this->Mutex);
  this->Versions.settle(Era, At);
}

std::optional<StoreEra> FeedCache::settledEra() const {
  EraMarks Seen = this->marks();
  bool Settled = Seen.Versions.Settled && !Seen.Versions.isLost();
  return Settled ? std::optional(Seen.Era) : std::nullopt;
}

EraMarks FeedCache::marks() const {
  std::lock_guard Lock(this->Mutex);
  return this->Versions.marks(this->ProvenAt);
}

void FeedCache::advance(const KeyedPage &Page, TimePoint Now) {
  if (Page.IsSnapshot)
    this->addMissing(Page, Now);
  // What was dropped before the first page is not known here.
  if (!this->Known)
    this->ForgottenBelow = Page.Next;
  for (const KeyedRecord &Record : Page.Records)
    this->put(Record,
              Record.EndPosition.At == Offset() ? Page.Next
                                                : Record.EndPosition,
              Now);
  this->Next = Page.Next;
  this->Known = true;
  this->prune(Now);
}

void FeedCache::put(const KeyedRecord &Record, StorePosition EndPosition,
                    TimePoint Now) {
  // All of a feed comes anew where its history was dropped. What has not
  // changed is no news to whoever asks from before it: passed on again, 931
  // entries were too large, and each of 295 nodes read them from the store. In
  // a new era it is news all the same: others may know an older value of it.
  auto [At, New] = this->Rows.try_emplace(Record.Key);
  bool Same = !New && At->second.Value == Record.Value &&
              At->second.EndPosition.Era == EndPosition.Era;
  if (!Same)
    At->second = {Record.Value, EndPosition, Record.Value ? TimePoint() : Now};
}

void FeedCache::addMissing(const KeyedPage &Page, TimePoint Now) {
  std::set<std::string> Present;
  for (const KeyedRecord &Record : Page.Records)
    Present.insert(Record.Key);
  for (auto &[Key, Row] : this->Rows)
    if (Row.Value && !Present.contains(Key))
      Row = {std::nullopt, Page.Next, Now};
}

void FeedCache::prune(TimePoint Now) {
  std::erase_if(this->Rows, [&](const auto &Entry) {
    const Row &Dropped = Entry.second;
    if (Dropped.Value || Now - Dropped.DroppedAt < DropMemory)
      return false;
    this->ForgottenBelow = std::max(this->ForgottenBelow, Dropped.EndPosition);
    return true;
  });
}

/// What changed from \p From on, or with \p IsSnapshot all that there is.
KeyedPage FeedCache::pageFrom(StorePosition From, bool IsSnapshot) const {
  KeyedPage Page;
  Page.Next = this->Next;
  Page.Versions = this->Versions.marks(this->ProvenAt).Versions;
  Page.IsSnapshot = IsSnapshot;
  Page.ProvenAt = this->ProvenAt;
  Page.RetainUntil = this->RetainUntil;
  for (const auto &[Key, Row] : this->Rows)
    if (IsSnapshot ? Row.Value.has_value() : Row.EndPosition > From)
      Page.Records.push_back({Key, Row.Value, Row.EndPosition});
  return Page;
}

/// Leaves the records with the lowest offsets, up to \p MostBytes. Where a
/// registry of 3,000 targets changes within seconds, what a node missed is
/// larger than a link carries in a round: it has to come in parts that each
/// leave room for the other feeds, and never from the store to each node.
void FeedCache::cut(KeyedPage &Page, std::size_t MostBytes) {
  std::stable_sort(Page.Records.begin(), Page.Records.end(),
                   [](const KeyedRecord &Left, const KeyedRecord &Right) {
                     return Left.EndPosition < Right.EndPosition;
                   });
  std::size_t Bytes = 0;
  StorePosition Last;
  for (auto At = Page.Records.begin(); At != Page.Records.end(); ++At) {
    Bytes += At->Key.size() + (At->Value ? At->Value->size() : 0);
    bool Fits = Bytes <= MostBytes || Last == StorePosition() ||
                At->EndPosition == Last;
    if (!Fits) {
      Page.Records.erase(At, Page.Records.end());
      Page.Next = Last;
      Page.Partial = true;
      return;
    }
    Last = At->EndPosition;
  }
}

KeyedPage FeedCache::since(StorePosition From, std::size_t MostBytes) const {
  std::lock_guard Lock(this->Mutex);
  KeyedPage Page = this->pageFrom(From, From < this->ForgottenBelow);
  if (!Page.IsSnapshot && MostBytes != UnlimitedBytes)
    cut(Page, MostBytes);
  return Page;
}

KeyedPage FeedCache::snapshot() const {
  std::lock_guard Lock(this->Mutex);
  return this->pageFrom(StorePosition(), true);
}

std::optional<StorePosition> FeedCache::next() const {
  std::lock_guard Lock(this->Mutex);
  return this->Known ? std::optional<StorePosition>(this->Next) : std::nullopt;
}

TimePoint FeedCache::provenAt() const {
  std::lock_guard Lock(this->Mutex);
  return this->ProvenAt;
}

void FeedCache::wait(StorePosition From, TimePoint Proof, TimePoint Until) {
  std::unique_lock Lock(this->Mutex);
  waitUntil(this->Changed, Lock, Until, [&] {
    return this->Known && (this->Next > From || this->ProvenAt > Proof);
  });
}

void FeedCache::waitForWake(TimePoint Until) {
  std::unique_lock Lock(this->Mutex);
  std::uint64_t Previous = this->Wakes;
  waitUntil(this->Woken, Lock, Until, [&] { return this->Wakes != Previous; });
}

void FeedCache::wake() {
  {
    std::lock_guard Lock(this->Mutex);
    ++this->Wakes;
  }
  this->Woken.notify_all();
}

} // namespace waycove
