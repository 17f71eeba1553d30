// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"
#include "board/feed_cache.h"

#include <algorithm>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace waycove {

/// A stream of keyed records on the platform, which keeps the newest of each
/// key. follow() waits up to \p Wait for a record; error NotFound says that
/// the history behind \p From is gone and the whole has to be read again.
template <typename F>
concept KeyedFeed = requires(F &Feed, StorePosition From, Millis Wait) {
  { Feed.newest() } -> std::same_as<absl::StatusOr<KeyedPage>>;
  { Feed.follow(From, Wait) } -> std::same_as<absl::StatusOr<KeyedPage>>;
};

/// How far a feed was read. It reads the whole first, and again where the
/// history behind it is gone, and else what came since. Those that follow a
/// feed differ in what they make of its records alone. Used by one thread.
template <KeyedFeed Feed> class FeedCursor {
public:
  explicit FeedCursor(Feed &Source) : Source(Source) {}

  /// One read; waits up to \p Wait for something new. After error NotFound
  /// the next one reads the whole.
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

private:
  Feed &Source;
  /// Nothing before the whole was read.
  std::optional<StorePosition> Next;
};

/// Where a node announces itself to the others, under its own key.
template <typename D>
concept NodeDirectory = requires(D &Directory, const std::string &Text) {
  { Directory.put(Text, Text) } -> std::same_as<absl::Status>;
};

/// What a node holds of work that the platform deals out.
struct PartitionAssignment {
  /// Of the store that dealt it: generations go back with a restore, and are
  /// given out again.
  StoreEra Era;
  std::uint64_t Generation = 0;
  std::vector<std::uint64_t> Partitions;

  /// What orders under this share are fenced with. It rises with each change of
  /// the shares, also over a restore: targets refuse an owner whose fence is
  /// below one that they have seen, and after a restore the generation alone is
  /// below that for as long as it takes to grow back.
  std::uint64_t fence() const {
    return (this->Era.Value << GenerationBits) | this->Generation;
  }

private:
  /// For 16 million changes within an era. A million eras fit above.
  static constexpr unsigned GenerationBits = 24;
};

/// Shared work. An owner holds its parts until the lease that it asked for
/// ends, counted from when it sent the question.
template <typename S>
concept PartitionService = requires(S &Shares, std::uint64_t Generation,
                                    Millis Time) {
  {
    Shares.join(Generation, Time)
    } -> std::same_as<absl::StatusOr<PartitionAssignment>>;
  Shares.leave();
};

/// Grows the pause between two tries while a dependency does not answer.
class Backoff {
public:
  Millis next() { return this->next(Least, Most); }
  /// The same from \p Least to \p Most.
  Millis next(Millis Least, Millis Most) {
    Millis Pause = std::clamp(this->Pause, Least, Most);
    this->Pause = std::min(2 * Pause, Most);
    return Pause;
  }
  void reset() { this->Pause = Millis(0); }

private:
  /// Short enough that a dependency that is back is noticed within a second;
  /// each call has a price, also one that is refused.
  static constexpr Millis Least{100};
  static constexpr Millis Most{800};
  Millis Pause{0};
};

} // namespace waycove
