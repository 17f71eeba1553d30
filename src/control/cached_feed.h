// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/clock.h"
#include "control/keyed_feed.h"

namespace waycove {

/// A feed as this node's cache holds it, whether filled from the store or by an
/// upstream node. Used by one thread.
class CachedFeed {
public:
  explicit CachedFeed(FeedCache &Cache) : Cache(Cache) {}

  /// Does not wait. Error NotFound: nothing is known yet.
  absl::StatusOr<KeyedPage> newest() {
    if (!this->Cache.next())
      return makeError(ErrorKind::NotFound, "nothing is known yet");
    KeyedPage Page = this->Cache.snapshot();
    this->LastProof = Page.ProvenAt;
    return Page;
  }

  /// Waits for a change, or for a newer proof that there is none.
  absl::StatusOr<KeyedPage> follow(StorePosition From, Millis Wait) {
    this->Cache.wait(From, this->LastProof, SystemClock{}.now() + Wait);
    KeyedPage Page = this->Cache.since(From);
    this->LastProof = Page.ProvenAt;
    return Page;
  }

private:
  FeedCache &Cache;
  /// Time of the proof that came with the last page.
  TimePoint LastProof;
};

static_assert(KeyedFeed<CachedFeed>);

} // namespace waycove
