// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/feed_cache.h"

#include <algorithm>
#include <optional>

namespace waycove {

/// Decides when a restored store proves again that the configuration in force,
/// with its API keys, is current. Within an era it always does, since the store
/// loses nothing.
///
/// A restore may lose a configuration that revoked a key, and the restored copy
/// does not show that. So it proves nothing until operators have written again,
/// have had time to do so, or another node reports that they have.
///
/// If the copy lacks a version that was in force before the restore, operators
/// have not written again yet. On a node that has this version in force, the
/// wait then ends after the revocation bound or RewriteTimeout, whichever is
/// longer, so that requests with keys are not refused until the next change of
/// the configuration. A node without this version has none in force until
/// operators have written again (ConfigFollower). Used by one thread.
class RestoreWait {
public:
  explicit RestoreWait(Millis RevokeBound) : RevokeBound(RevokeBound) {}

  bool isOver(const KeyedPage &Page, TimePoint Now) {
    if (this->Era != Page.Next.Era)
      this->begin(Page.Next.Era, Now);
    // Compares the time of the proof, not the current time: the wait ends only
    // with a proof from after its end.
    if (Page.Versions.isLost())
      return Page.ProvenAt >= this->UntilIfLost;
    return Page.Versions.Settled || Page.ProvenAt >= this->Until;
  }

private:
  /// Time for operators to write again after a restore.
  static constexpr Millis RewriteTimeout = FeedCache::RecoveryTimeout;

  void begin(StoreEra NewEra, TimePoint Now) {
    // A node that started after the restore cannot tell when it happened, so it
    // waits for as long as a revoked key may be in use.
    Millis Wait = this->Era ? RewriteTimeout : this->RevokeBound;
    this->Until = Now + Wait;
    this->UntilIfLost = Now + std::max(RewriteTimeout, this->RevokeBound);
    this->Era = NewEra;
  }

  const Millis RevokeBound;
  /// Unset before the first page.
  std::optional<StoreEra> Era;
  TimePoint Until;
  /// The same if the copy lacks the version in force.
  TimePoint UntilIfLost;
};

} // namespace waycove
