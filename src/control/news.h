// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/keyed_feed.h"
#include "control/news_links.h"
#include "control/shared_sight.h"
#include "policy/upstream_selector.h"

#include <array>

namespace waycove {

/// Asks other entries for news, so that one node reads the platform's store for
/// all, and each knows what all see of the targets. A node asks the one that
/// its place in its data centre's order gives it, a few times a second; the
/// first of a data centre asks the first one of another that is before its own;
/// whoever has nobody to ask reads the store itself. Proofs travel as ages, so
/// no two clocks are compared. Nothing here decides what must be unique. Used
/// by one thread.
class NewsExchange {
public:
  NewsExchange(EntryBoard &Board, SharedSight &Sight)
      : Board(Board), Sight(Sight), Links(Board) {}

  /// One round of asking; how long to pause before the next.
  Millis step();

private:
  void noteOrder(const NodeTable &Nodes);
  bool isFilled() const;
  Millis fill(const NodeTable &Nodes, TimePoint Now);
  bool fillFrom(const NodeInfo &Asked);
  bool askInTurn(const std::vector<NodeInfo> &Asked);
  bool waitsForReader(TimePoint Now) const;
  bool askFrom(const NodeInfo &Asked);
  void askPeers(const NodeTable &Nodes, TimePoint Now);
  bool askPeer(const NodeInfo &Peer);
  bool isBehind(TimePoint Now) const;
  bool readsFail() const;
  void readAlone(const std::string &Reason);
  void readFrom(const NodeId &Chosen);
  void catchUp(const wire::NewsT &News, TimePoint Now);
  absl::StatusOr<wire::NewsT> ask(const NodeInfo &Asked, TimePoint SentAt);
  void takeNews(const wire::NewsT &News, const NodeId &From, TimePoint SentAt);
  bool isCurrent(const wire::NewsT &News) const;

  EntryBoard &Board;
  SharedSight &Sight;
  NewsLinks Links;
  UpstreamSelector Route;
  /// When the node that reads for this one last told news.
  TimePoint HeardAt;
  /// How the last node failed that was to read for this one.
  std::string LostBy;
  /// The node that reads for this one; empty where none does.
  NodeId Reader;
  /// Whose turn it is to be asked out of order, and whether that is done.
  std::size_t PeerTurn = 0;
  TimePoint PeersDue;
  Backoff PeerWaits;
  bool AskingPeers = false;
  /// The newest answer held a part of what changed.
  bool MoreWaits = false;
  /// By FeedKind, when this node last had to read what was left out.
  std::array<TimePoint, static_cast<std::size_t>(FeedKind::Count)> CaughtUp{};
};

} // namespace waycove
