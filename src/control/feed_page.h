// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"

namespace waycove {

/// Applies a page of a feed from \p Source, the store or another node, to the
/// cache and logs how far the feed is known.
inline void applyFeedPage(EntryBoard &Board, FeedKind Kind,
                          const KeyedPage &Page, const std::string &Source,
                          TimePoint Now) {
  FeedCache &Cache = Board.feed(Kind);
  std::optional<StorePosition> Known = Cache.next();
  StorePosition Before = Known.value_or(StorePosition());
  if (!Cache.merge(Page, Now) || Page.Next <= Before)
    return;
  if (Known && Page.Next.Era > Before.Era)
    Board.Log.emit(EventCode::StoreRestored, std::string(feedName(Kind)),
                   LogFields()
                       .add("source", Source)
                       .add("known", Before.At.Value)
                       .add("known_era", Before.Era.Value)
                       .add("offset", Page.Next.At.Value)
                       .add("era", Page.Next.Era.Value));
  Millis Hold =
      std::chrono::ceil<Millis>(std::max(Page.RetainUntil, Now) - Now);
  Board.Log.emit(
      EventCode::FeedAdvanced, std::string(feedName(Kind)),
      LogFields()
          .add("source", Source)
          .add("before", Before.At.Value)
          .add("offset", Page.Next.At.Value)
          .add("era", Page.Next.Era.Value)
          .add("records", Page.Records.size())
          .add("whole", Page.IsSnapshot)
          .add("proven_age_ms", std::chrono::ceil<Millis>(Now - Page.ProvenAt))
          .add("hold_ms", Hold));
}

} // namespace waycove
