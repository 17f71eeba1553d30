// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/keyed_feed.h"
#include "control/news_links.h"
#include "control/shared_observations.h"
#include "control/start_guide.h"
#include "policy/upstream_selector.h"

#include <array>

namespace waycove {

/// Gets the feeds, and what other nodes observe of the targets, from another
/// node, so that one node reads the platform's store for all.
///
/// Each node queries its upstream node a few times a second: one before it in
/// the order of its data centre, or, for the first node of a data centre, the
/// first one of a data centre that comes earlier. A node without upstream reads
/// the store itself. Proofs are sent as ages, so that clocks of different nodes
/// are never compared. Decisions that need a single owner do not rely on this
/// exchange. Used by one thread.
class NewsExchange {
public:
  NewsExchange(EntryBoard &Board, SharedObservations &Observations,
               StartGuide::ReadSomeNodes ReadNodes)
      : Board(Board), Observations(Observations), Links(Board),
        Guide(Board, this->Links, std::move(ReadNodes)) {}

  /// Begins the start of this node. To be called once, before step().
  void begin() { this->Guide.begin(); }

  /// Queries once; returns the pause before the next step.
  Millis step();

private:
  void updateReadOrder(const NodeRanking &Nodes);
  bool hasAllFeeds() const;
  Millis bootstrap(const NodeRanking &Nodes, TimePoint Now);
  std::vector<NodeInfo> bootstrapSources(const NodeRanking &Nodes,
                                         TimePoint Now);
  bool bootstrapFrom(const NodeInfo &Source);
  bool queryStartSource(TimePoint Now);
  bool queryUntilCurrent(const std::vector<NodeInfo> &Candidates);
  bool awaitsNewUpstream(TimePoint Now) const;
  bool queryUpstream(const NodeInfo &Source);
  void queryPeers(const NodeRanking &Nodes, TimePoint Now);
  bool queryPeer(const NodeInfo &Peer);
  bool isOutdated(TimePoint Now) const;
  bool readsFail() const;
  void readStoreDirectly(const std::string &Reason);
  void setUpstream(const NodeId &Chosen);
  void readLeftOutFeeds(const wire::NewsT &News, TimePoint Now);
  absl::StatusOr<wire::NewsT> query(const NodeInfo &Source, TimePoint SentAt);
  void applyNews(const wire::NewsT &News, const NodeId &From, TimePoint SentAt);
  bool isCurrent(const wire::NewsT &News) const;

  EntryBoard &Board;
  SharedObservations &Observations;
  NewsLinks Links;
  StartGuide Guide;
  UpstreamSelector Route;
  /// When the upstream node last sent an update.
  TimePoint LastUpdateAt;
  /// How the last query of an upstream node failed.
  std::string LastFailure;
  /// The node that sent all feeds at the start, and when.
  std::optional<NodeInfo> StartSource;
  TimePoint StartedAt;
  /// The upstream node; empty if there is none.
  NodeId Upstream;
  /// Index of the next peer to query out of order.
  std::size_t NextPeer = 0;
  TimePoint PeersDue;
  Backoff PeerBackoff;
  Backoff BootstrapBackoff;
  bool UsesPeers = false;
  /// The newest response held only a part of the changes.
  bool MoreAvailable = false;
  /// By FeedKind, when this node last read from the store what a response left
  /// out.
  std::array<TimePoint, static_cast<std::size_t>(FeedKind::Count)>
      LastLeftOutRead{};
};

} // namespace waycove
