// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/feed_cache.h"

#include <algorithm>
#include <optional>

namespace waycove {

/// How long what the store shows proves nothing of a configuration's keys:
/// within an era never, since the store loses nothing then.
///
/// After a restore, a configuration that took a key away may be lost, also one
/// that no node had seen. Nobody can tell that from the copy, so it proves
/// nothing until the operators have written again, or have had the time to, or
/// another node says that they have. Where a node lived when the era began, its
/// last proof of before covers most of that time.
///
/// Where the copy lacks the version in force, operators have not written again,
/// whatever time that takes them. Then a later one is unknown here only if it
/// was published in the last moment before the store went away, some 0.1 s; for
/// that they have as long as a key that was taken away may be in use anyway.
/// Without that end all requests with keys were refused until operators had
/// something new to publish, with the store sound. Used by one thread.
class RestoreWait {
public:
  explicit RestoreWait(Millis RevokeBound) : RevokeBound(RevokeBound) {}

  bool isOver(const KeyedPage &Page, TimePoint Now) {
    if (this->Era != Page.Next.Era)
      this->begin(Page.Next.Era, Now);
    // While the store cannot be read, nobody sees what operators write.
    if (Page.Versions.isLost())
      return Page.ProvenAt >= this->LostUntil;
    return Page.Versions.Settled || Page.ProvenAt >= this->Until;
  }

private:
  /// For operators to write again, as long as targets take to: the platform
  /// states no time for them. Costs nothing where the store was away for less
  /// than the bound on revoked keys leaves, 2.7 s of 5.
  static constexpr Millis WriteTime = FeedCache::RecoveryTimeout;

  void begin(StoreEra Begun, TimePoint Now) {
    // Where all nodes started after a restore, none can tell when it was: they
    // wait for as long as a key that was taken away may be in use anyway.
    Millis Wait = this->Era ? WriteTime : this->RevokeBound;
    this->Until = Now + Wait;
    this->LostUntil = Now + std::max(WriteTime, this->RevokeBound);
    this->Era = Begun;
  }

  const Millis RevokeBound;
  /// Nothing before the first page.
  std::optional<StoreEra> Era;
  TimePoint Until;
  /// The same where the copy lacks the version in force.
  TimePoint LostUntil;
};

} // namespace waycove
