// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/era_versions.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace waycove {

/// The newest value of a key, or a tombstone if the key was removed.
struct KeyedRecord {
  std::string Key;
  std::optional<std::string> Value;
  /// Position after the newest record of the key in its page; zero if only the
  /// end of the page is known.
  StorePosition EndPosition{};
  ValueVersion Version{};
};

/// A part of a feed, and how current it is. Times are on this machine's clock.
struct KeyedPage {
  std::vector<KeyedRecord> Records;
  /// Position of the next read.
  StorePosition Next;
  VersionMarks Versions;
  /// The records are the complete feed; other keys do not exist.
  bool IsSnapshot = false;
  /// The sender has more records after Next.
  bool Partial = false;
  /// The store had no records after Next at this time or later.
  TimePoint ProvenAt;
  /// Missing keys are retained until then, because the store was unavailable
  /// and they may be written again.
  TimePoint RetainUntil;
  /// Number of calls to the store that the page took.
  unsigned Calls = 1;
};

/// The feeds that entries read and relay to each other.
enum class FeedKind { Config, Registry, Nodes, Count };

/// Returns the name of a feed in logs.
constexpr std::string_view feedName(FeedKind Kind) {
  switch (Kind) {
  case FeedKind::Config:
    return "config";
  case FeedKind::Registry:
    return "registry";
  default:
    return "directory";
  }
}

/// This node's copy of a feed: the newest record of each key, received from the
/// store or an upstream node, and how current the copy is. It serves the node
/// itself and, from any position, its downstream nodes. Thread-safe.
class FeedCache {
public:
  /// Entries that lapsed during an outage of the store are written again within
  /// about two seconds after it ends, as documented by the platform.
  static constexpr Millis RecoveryTimeout{2300};
  /// The store is considered unavailable if no proof arrived for longer than
  /// this. Shorter than the silence after which entries lapse.
  static constexpr Millis OutageThreshold{2000};
  static constexpr std::size_t UnlimitedBytes =
      std::numeric_limits<std::size_t>::max();

  /// Merges \p Page; returns false if it has neither newer records nor a newer
  /// proof.
  bool merge(const KeyedPage &Page, TimePoint Now);
  /// As EraVersions::mergeMarks().
  void mergeMarks(const EraMarks &Received, TimePoint Now);
  /// As EraVersions::settle().
  void settle(StoreEra Era, TimePoint At);
  /// Returns the current era if it is settled and no version is lost.
  std::optional<StoreEra> settledEra() const;
  EraMarks marks() const;
  /// Returns the records changed since \p From, in order, up to \p MaxBytes but
  /// at least those of one position; a snapshot if the history since \p From is
  /// incomplete.
  KeyedPage since(StorePosition From,
                  std::size_t MaxBytes = UnlimitedBytes) const;
  KeyedPage snapshot() const;
  /// Returns the position of the next read; unset before the first snapshot.
  std::optional<StorePosition> next() const;
  TimePoint provenAt() const;
  /// Waits until there are records after \p From, a proof newer than \p Proof,
  /// or \p Until has passed.
  void wait(StorePosition From, TimePoint Proof, TimePoint Until);
  /// Functions called without a lock: OnChange where wait() would end, OnWake
  /// by wake(). To be set before the cache is shared.
  struct Observers {
    std::function<void()> OnChange;
    std::function<void()> OnWake;
  };
  void observe(Observers Functions) { this->Listeners = std::move(Functions); }
  /// Signals that the source of the feed has changed.
  void wake() const;

private:
  /// Followers are woken for a proof alone if it is this much newer than the
  /// last one that they were woken for.
  static constexpr Millis ProofStep{300};
  /// How long tombstones of removed keys are stored.
  static constexpr Millis TombstoneRetention{60000};

  struct Entry {
    std::optional<std::string> Value;
    /// As in KeyedRecord.
    StorePosition EndPosition;
    TimePoint RemovedAt;
  };
  bool isRefuted(const KeyedPage &Page) const;
  void advance(const KeyedPage &Page, TimePoint Now);
  void put(const KeyedRecord &Record, StorePosition EndPosition, TimePoint Now);
  void addTombstones(const KeyedPage &Page, TimePoint Now);
  void prune(TimePoint Now);
  KeyedPage pageFrom(StorePosition From, bool IsSnapshot) const;
  static void truncate(KeyedPage &Page, std::size_t MaxBytes);

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  Observers Listeners;
  std::map<std::string, Entry> Entries;
  bool Known = false;
  StorePosition Next;
  EraVersions Versions;
  /// Tombstones before this position may have been pruned.
  StorePosition HistoryStart;
  TimePoint ProvenAt;
  /// The proof that followers were last woken for.
  TimePoint NotifiedProof;
  TimePoint RetainUntil;
};

} // namespace waycove
