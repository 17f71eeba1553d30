// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/clock.h"
#include "control/keyed_feed.h"

namespace waycove {

/// A feed as this node's cache has it, whoever filled that: the store's reader
/// or a neighbour. Used by one thread.
class CachedFeed {
public:
  explicit CachedFeed(FeedCache &Cache) : Cache(Cache) {}

  /// Error NotFound: nothing is known yet; it waits a while for that.
  absl::StatusOr<KeyedPage> newest() {
    this->Cache.wait(StorePosition(), TimePoint(),
                     SystemClock{}.now() + FirstWait);
    if (!this->Cache.next())
      return makeError(ErrorKind::NotFound, "nothing is known yet");
    KeyedPage Page = this->Cache.snapshot();
    this->LastProof = Page.ProvenAt;
    return Page;
  }

  /// Waits for something new, or for a newer proof that there is nothing.
  absl::StatusOr<KeyedPage> follow(StorePosition From, Millis Wait) {
    this->Cache.wait(From, this->LastProof, SystemClock{}.now() + Wait);
    KeyedPage Page = this->Cache.since(From);
    this->LastProof = Page.ProvenAt;
    return Page;
  }

private:
  static constexpr Millis FirstWait{1000};

  FeedCache &Cache;
  /// Proof that came with the last page.
  TimePoint LastProof;
};

static_assert(KeyedFeed<CachedFeed>);

} // namespace waycove
