// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"
#include "board/feed_cache.h"
#include "policy/join_table.h"

#include <algorithm>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace waycove {

/// A compacted stream of keyed records on the platform: it retains the newest
/// record of each key. newest() reads all of them; it sets ProvenAt if that
/// took several calls. follow() waits up to \p Wait for records from \p From
/// on; error NotFound: the history from there on is truncated and everything
/// has to be read again.
template <typename F>
concept KeyedFeed = requires(F &Feed, StorePosition From, Millis Wait) {
  { Feed.newest() } -> std::same_as<absl::StatusOr<KeyedPage>>;
  { Feed.follow(From, Wait) } -> std::same_as<absl::StatusOr<KeyedPage>>;
};

/// Read position in a feed. The first read, and one after the history was
/// truncated, returns all records; other reads return what changed since.
/// Used by one thread.
template <KeyedFeed Feed> class FeedCursor {
public:
  explicit FeedCursor(Feed &Source) : Source(Source) {}

  /// Reads once and waits up to \p Wait for a change. After error NotFound the
  /// next call reads everything.
  absl::StatusOr<KeyedPage> read(Millis Wait) {
    absl::StatusOr<KeyedPage> Page =
        this->Next ? this->Source.follow(*this->Next, Wait)
                   : this->Source.newest();
    if (Page.ok())
      this->Next = Page->Next;
    else if (kindOf(Page.status()) == ErrorKind::NotFound)
      this->Next.reset();
    return Page;
  }
  /// The next read returns all records, e.g. since the last page could not be
  /// applied.
  void reset() { this->Next.reset(); }

private:
  Feed &Source;
  /// Unset until everything was read.
  std::optional<StorePosition> Next;
};

/// Reads once from \p Source without waiting, and calls \p Apply with the page,
/// if there is one. If that throws, for want of memory for example, the next
/// read returns all records, so that none is lost, and the exception is passed
/// on. Returns whether there was a page.
template <typename Reader, typename F>
bool applyNewPage(Reader &Source, F &&Apply) {
  absl::StatusOr<KeyedPage> Page = Source.read(Millis(0));
  try {
    if (Page.ok())
      Apply(*Page);
  } catch (const std::exception &) {
    Source.reset();
    throw;
  }
  return Page.ok();
}

/// Directory in which each node is announced under its own key. putAll()
/// announces several nodes in one call; oldest() returns up to that many of the
/// records that the store still has in its history.
template <typename D>
concept NodeDirectory = requires(D &Directory, const std::string &Text,
                                 const JoinTable::Announcements &Rows,
                                 std::size_t Count) {
  {
    Directory.oldest(Count)
    } -> std::same_as<absl::StatusOr<std::vector<KeyedRecord>>>;
  { Directory.put(Text, Text) } -> std::same_as<absl::Status>;
  { Directory.putAll(Rows) } -> std::same_as<absl::Status>;
};

/// Partitions of the shared work that the platform assigned to a node.
struct PartitionAssignment {
  /// Era of the store that made the assignment. Generations are reused after
  /// the store was restored.
  StoreEra Era;
  std::uint64_t Generation = 0;
  std::vector<std::uint64_t> Partitions;

  /// Fencing token of orders under this assignment. It combines era and
  /// generation, since it has to grow with each change of assignments and
  /// across a restore, which sets the generation back.
  std::uint64_t fence() const {
    return (this->Era.Value << GenerationBits) | this->Generation;
  }

private:
  /// Low bits of the fence; the era is in the bits above.
  static constexpr unsigned GenerationBits = 24;
};

/// Assigns partitions of the shared work to members. A member holds its
/// partitions until the lease ends that it requested, which counts from when it
/// sent the request.
template <typename S>
concept PartitionService = requires(S &Service, std::uint64_t Generation,
                                    Millis Time) {
  {
    Service.join(Generation, Time)
    } -> std::same_as<absl::StatusOr<PartitionAssignment>>;
  { Service.leave() } -> std::same_as<absl::Status>;
};

/// Exponential backoff between attempts to reach a dependency.
class Backoff {
public:
  Millis next() { return this->next(Min, Max); }
  /// The same with explicit bounds.
  Millis next(Millis Min, Millis Max) {
    Millis Pause = std::clamp(this->Pause, Min, Max);
    this->Pause = std::min(2 * Pause, Max);
    return Pause;
  }
  void reset() { this->Pause = Millis(0); }

private:
  /// A dependency that recovers is noticed within a second.
  static constexpr Millis Min{100};
  static constexpr Millis Max{800};
  Millis Pause{0};
};

} // namespace waycove
