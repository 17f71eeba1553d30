// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/keyed_feed.h"
#include "control/news_links.h"
#include "control/seed_service.h"

#include <functional>
#include <set>

namespace waycove {

/// Guides a node from its start until it knows all feeds:
///
/// 1. It asks a seed, which announces it to the directory together with other
///    nodes that start, and names the nodes to get the feeds from.
/// 2. It asks those nodes (NewsExchange). One that has no data yet is asked
///    again, and one that does not respond is reported to the seed, which names
///    others.
/// 3. Where the seed names none, this node is the first: it reads the store.
/// 4. If no seed answers, it waits for its turn and reads a few announcements
///    from the store, whose nodes it asks as seeds. If there are none, it
///    announces itself, for the nodes whose turn comes later, and reads the
///    store.
///
/// A seed answers itself in the same way. Without configured seeds, a node
/// reads the directory at once. Used by one thread.
class StartGuide {
public:
  /// Reads a few of the announcements that the store keeps.
  using ReadSomeNodes = std::function<absl::StatusOr<std::vector<NodeInfo>>()>;

  StartGuide(EntryBoard &Board, NewsLinks &Links, ReadSomeNodes ReadNodes);

  /// Sets how long the store is not read. Called once, at the start.
  void begin();
  /// Asks a seed if it is time to.
  void step(TimePoint Now);
  /// The nodes to get the feeds from, as named by a seed.
  const std::vector<NodeInfo> &upstream() const { return this->Upstream; }
  /// The upstream node did not respond.
  void onUnreachable(const NodeId &Node) { this->Failed.insert(Node); }

private:
  /// Spreads the requests of nodes that start at once.
  static constexpr Millis MaxFirstDelay{100};
  static constexpr Millis SeedConnectTimeout{400};
  /// Long, since a seed may have many nodes to answer; a request that it has
  /// received counts even if its answer comes too late.
  static constexpr Millis SeedResponseTimeout{1500};
  /// How long to wait for a seed before the first answer.
  static constexpr Millis FirstAnswerTimeout{4000};
  /// How long the store is not read after an answer.
  static constexpr Millis AnswerValidity{2000};
  /// By then the directory lists a node that has joined.
  static constexpr Millis ListingTimeout{5000};
  static constexpr Millis MaxListingDelay{3000};
  /// Seeds from the store that are asked.
  static constexpr std::size_t MaxStoreSeeds = 4;
  /// If the nodes that the store names do not answer so often, it is read.
  static constexpr unsigned MaxStoreTries = 3;
  /// Interval at which a seed answers itself.
  static constexpr Millis OwnAnswerInterval{100};
  /// All nodes of a first start have announced themselves after this time.
  static constexpr Millis StartSpread{400};
  /// How long a node waits for others' data before it reads the store, and how
  /// long at the first start, when there are no callers yet.
  static constexpr Millis FillTimeout{1000};
  static constexpr Millis FirstFillTimeout{2000};

  bool isSeed() const;
  absl::StatusOr<JoinAnswer> ask(TimePoint Now);
  void apply(const JoinAnswer &Answer, TimePoint Now);
  void onSeedFailure(const absl::Status &Why, TimePoint Now);
  /// Waits for the turn to look for other seeds in the store.
  void awaitTurn(const absl::Status &Why, TimePoint Now);
  /// Replaces the seeds by nodes that the store names.
  void findSeeds(TimePoint Now);
  void readStore();
  void holdBack(TimePoint Now, Millis Duration);
  /// A delay of up to \p Most that differs between nodes.
  Millis ownDelay(Millis Most) const;

  EntryBoard &Board;
  NewsLinks &Links;
  SeedService OwnService;
  ReadSomeNodes ReadNodes;
  std::vector<Endpoint> Seeds;
  std::vector<NodeInfo> Upstream;
  /// Upstream nodes that did not respond.
  std::set<NodeId> Failed;
  /// Index of the seed to ask; differs between nodes at first.
  std::size_t NextSeed = 0;
  std::size_t FailuresInRow = 0;
  /// When the store may be asked for seeds; unset while seeds may answer.
  std::optional<TimePoint> TurnAt;
  /// How often the store was asked for seeds.
  unsigned StoreTries = 0;
  /// The last answer was to read the store.
  bool ToldToRead = false;
  TimePoint DueAt;
  Backoff RetryBackoff;
};

} // namespace waycove
