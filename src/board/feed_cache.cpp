// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "board/feed_cache.h"

#include <algorithm>
#include <set>

namespace waycove {

/// Returns whether this node has a proof from the time of the outage reported
/// by \p Page. Then only the sender lost the store, and missing keys are not
/// retained.
bool FeedCache::isRefuted(const KeyedPage &Page) const {
  return this->ProvenAt > Page.RetainUntil - RecoveryTimeout - OutageThreshold;
}

bool FeedCache::merge(const KeyedPage &Page, TimePoint Now) {
  bool Notifies = false;
  {
    std::lock_guard Lock(this->Mutex);
    // A page that ends before this node's position proves nothing.
    bool Ahead = !this->Known || Page.Next > this->Next;
    bool Proves = Page.Next == this->Next && Page.ProvenAt > this->ProvenAt;
    bool Restored = this->Known && Page.Next.Era > this->Next.Era;
    // Changes cannot be merged into an empty cache or across eras.
    if ((!this->Known || Restored) && !Page.IsSnapshot)
      return false;
    if (!Ahead && !Proves)
      return false;
    if (Restored || !this->isRefuted(Page))
      this->RetainUntil = std::max(this->RetainUntil, Page.RetainUntil);
    // The offsets of an earlier era refer to other records now, so reads from
    // it get a snapshot.
    if (Restored)
      this->HistoryStart = {Page.Next.Era, Offset()};
    if (Ahead)
      this->advance(Page, Now);
    bool Proven = Page.ProvenAt != TimePoint();
    this->Versions.mergePage({Page.Next.Era, Page.Versions},
                             Proven ? Page.ProvenAt : Now);
    this->ProvenAt = std::max(this->ProvenAt, Page.ProvenAt);
    Notifies = Ahead || this->ProvenAt - this->NotifiedProof >= ProofStep;
    if (Notifies)
      this->NotifiedProof = this->ProvenAt;
  }
  if (!Notifies)
    return true;
  this->Changed.notify_all();
  if (this->Listeners.OnChange)
    this->Listeners.OnChange();
  return true;
}

void FeedCache::mergeMarks(const EraMarks &Received, TimePoint Now) {
  std::lock_guard Lock(this->Mutex);
  this->Versions.mergeMarks(Received, Now);
}

void FeedCache::settle(StoreEra Era, TimePoint At) {
  std::lock_guard Lock(this->Mutex);
  this->Versions.settle(Era, At);
}

std::optional<StoreEra> FeedCache::settledEra() const {
  EraMarks Marks = this->marks();
  bool Settled = Marks.Versions.Settled && !Marks.Versions.isLost();
  return Settled ? std::optional(Marks.Era) : std::nullopt;
}

EraMarks FeedCache::marks() const {
  std::lock_guard Lock(this->Mutex);
  return this->Versions.marks(this->ProvenAt);
}

void FeedCache::advance(const KeyedPage &Page, TimePoint Now) {
  if (Page.IsSnapshot)
    this->addTombstones(Page, Now);
  // Keys removed before the first page are unknown.
  if (!this->Known)
    this->HistoryStart = Page.Next;
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
  // Unchanged records of a snapshot keep their position, so that they are not
  // sent to downstream nodes again. In a new era they are, because downstream
  // nodes may have an older value.
  auto [At, Inserted] = this->Entries.try_emplace(Record.Key);
  bool Same = !Inserted && At->second.Value == Record.Value &&
              At->second.EndPosition.Era == EndPosition.Era;
  if (!Same)
    At->second = {Record.Value, EndPosition, Record.Value ? TimePoint() : Now};
}

void FeedCache::addTombstones(const KeyedPage &Page, TimePoint Now) {
  std::set<std::string> Present;
  for (const KeyedRecord &Record : Page.Records)
    Present.insert(Record.Key);
  for (auto &[Key, Stored] : this->Entries)
    if (Stored.Value && !Present.contains(Key))
      Stored = {std::nullopt, Page.Next, Now};
}

void FeedCache::prune(TimePoint Now) {
  std::erase_if(this->Entries, [&](const auto &Item) {
    const Entry &Removed = Item.second;
    if (Removed.Value || Now - Removed.RemovedAt < TombstoneRetention)
      return false;
    this->HistoryStart = std::max(this->HistoryStart, Removed.EndPosition);
    return true;
  });
}

/// Returns the records changed since \p From, or all records if \p IsSnapshot.
KeyedPage FeedCache::pageFrom(StorePosition From, bool IsSnapshot) const {
  KeyedPage Page;
  Page.Next = this->Next;
  Page.Versions = this->Versions.marks(this->ProvenAt).Versions;
  Page.IsSnapshot = IsSnapshot;
  Page.ProvenAt = this->ProvenAt;
  Page.RetainUntil = this->RetainUntil;
  for (const auto &[Key, Stored] : this->Entries)
    if (IsSnapshot ? Stored.Value.has_value() : Stored.EndPosition > From)
      Page.Records.push_back({Key, Stored.Value, Stored.EndPosition});
  return Page;
}

/// Truncates \p Page to the records with the lowest positions, up to
/// \p MaxBytes. Large updates are sent in parts so that they neither delay the
/// other feeds nor make every node read from the store: when 3,000 targets
/// change within seconds, what a node missed exceeds what a link carries in a
/// round.
void FeedCache::truncate(KeyedPage &Page, std::size_t MaxBytes) {
  std::stable_sort(Page.Records.begin(), Page.Records.end(),
                   [](const KeyedRecord &Left, const KeyedRecord &Right) {
                     return Left.EndPosition < Right.EndPosition;
                   });
  std::size_t Bytes = 0;
  StorePosition Last;
  for (auto At = Page.Records.begin(); At != Page.Records.end(); ++At) {
    Bytes += At->Key.size() + (At->Value ? At->Value->size() : 0);
    bool Fits =
        Bytes <= MaxBytes || Last == StorePosition() || At->EndPosition == Last;
    if (!Fits) {
      Page.Records.erase(At, Page.Records.end());
      Page.Next = Last;
      Page.Partial = true;
      return;
    }
    Last = At->EndPosition;
  }
}

KeyedPage FeedCache::since(StorePosition From, std::size_t MaxBytes) const {
  std::lock_guard Lock(this->Mutex);
  KeyedPage Page = this->pageFrom(From, From < this->HistoryStart);
  if (!Page.IsSnapshot && MaxBytes != UnlimitedBytes)
    truncate(Page, MaxBytes);
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

void FeedCache::wake() const {
  if (this->Listeners.OnWake)
    this->Listeners.OnWake();
}

} // namespace waycove
