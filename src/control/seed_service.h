// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "wire/wire_generated.h"

namespace waycove {

/// Answers nodes that start, as one of the seeds.
class SeedService {
public:
  explicit SeedService(EntryBoard &Board) : Board(Board) {}

  /// Records that the node joins and tells it where to get the feeds.
  wire::JoinAnswerT respond(const wire::JoinT &Request);
  JoinAnswer answer(const NodeInfo &Who, const std::string &Announcement,
                    const std::vector<NodeId> &Failed, TimePoint Now);

private:
  /// All nodes of a system that starts for the first time have asked a seed
  /// after this time.
  static constexpr Millis StartSpread{500};
  /// A seed that cannot read the directory answers by the nodes that joined.
  static constexpr Millis DirectoryTimeout{2000};

  /// Min interval between two rankings of the nodes. Shorter than that at which
  /// a node asks again.
  static constexpr Millis RankInterval{100};

  bool isComplete(TimePoint Now) const;
  NodeRankingRef rank(bool HasNew, TimePoint Now);

  EntryBoard &Board;
  /// Guards the members below.
  std::mutex Mutex;
  NodeRankingRef Ranked;
  /// The directory that Ranked was made of.
  NodeRankingRef RankedListed;
  TimePoint RankedAt;
  /// Nodes have joined or left since.
  bool HasChanged = false;
};

} // namespace waycove
