// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/feed_cache.h"

#include <optional>

namespace waycove {

/// Whether what the store shows of the configuration proves that no key in it
/// was taken away: within an era always, since the store loses nothing then.
///
/// After a restore, a configuration that took a key away may be lost, also one
/// that no node had seen. Nobody can tell that from the copy, so what it shows
/// proves nothing until the operators have written again what was in force, or
/// something newer, or have had the time to. Where a node lived when the era
/// began, its last proof of before covers most of that time. Used by one
/// thread.
class ConfigProof {
public:
  explicit ConfigProof(Millis RevokeBound) : RevokeBound(RevokeBound) {}

  bool proves(const KeyedPage &Page, TimePoint Now) {
    this->noteEra(Page, Now);
    if (Page.Versions.isLost())
      return false;
    if (Page.Versions.Shown > this->ShownFirst || Now >= this->WaitUntil)
      return true;
    return !this->LivedThrough && Page.Versions.BeforeKnown;
  }

private:
  /// For operators to write again, as long as targets take to: the platform
  /// states no time for them. Costs nothing where the store was away for less
  /// than the bound on revoked keys leaves, 2.7 s of 5.
  static constexpr Millis WriteTime = FeedCache::LapseTime;

  void noteEra(const KeyedPage &Page, TimePoint Now) {
    if (this->Era == Page.Next.Era)
      return;
    this->LivedThrough = this->Era.has_value();
    this->Era = Page.Next.Era;
    this->ShownFirst = Page.Versions.Shown;
    // Where all nodes started after a restore, none can tell what it lost: they
    // wait for as long as a key that was taken away may be in use anyway.
    this->WaitUntil =
        Now + (this->LivedThrough ? WriteTime : this->RevokeBound);
  }

  const Millis RevokeBound;
  /// Nothing before the first page.
  std::optional<StoreEra> Era;
  /// This node knew an earlier era.
  bool LivedThrough = false;
  /// The version on the first page of the era.
  ValueVersion ShownFirst;
  TimePoint WaitUntil;
};

} // namespace waycove
