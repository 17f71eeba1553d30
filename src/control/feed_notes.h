// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"

namespace waycove {

/// Takes a page of a feed that came from \p Source, the store or a neighbour,
/// and logs where what this node knows goes on.
inline void takePage(EntryBoard &Board, FeedKind Kind, const KeyedPage &Page,
                     const std::string &Source, TimePoint Now) {
  FeedCache &Cache = Board.feed(Kind);
  Offset Before = Cache.next().value_or(Offset());
  if (!Cache.take(Page, Now) || Page.Next <= Before)
    return;
  Millis Hold = std::chrono::ceil<Millis>(std::max(Page.HoldUntil, Now) - Now);
  Board.Log.emit(
      EventCode::FeedAdvanced, std::string(feedName(Kind)),
      LogFields()
          .add("source", Source)
          .add("before", Before.Value)
          .add("offset", Page.Next.Value)
          .add("era", Page.Era.Value)
          .add("records", Page.Records.size())
          .add("whole", Page.Whole)
          .add("proven_age_ms", std::chrono::ceil<Millis>(Now - Page.ProvenAt))
          .add("hold_ms", Hold));
}

} // namespace waycove
