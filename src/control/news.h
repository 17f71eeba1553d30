// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "control/keyed_feed.h"
#include "policy/news_route.h"
#include "wire/frame.h"
#include "wire/news_frames.h"

#include <Poco/Net/TCPServer.h>
#include <memory>

namespace waycove {

/// Passes news between entries, so that one node reads the platform's store for
/// all, and each knows what all see of the targets. A node asks the one that
/// its place in its data centre's order gives it, a few times a second; the
/// first of a data centre asks the first one of another that is before its own;
/// whoever has nobody to ask reads the store itself. Proofs travel as ages, so
/// no two clocks are compared. Nothing here decides what must be unique.
class NewsExchange {
public:
  explicit NewsExchange(EntryBoard &Board);
  ~NewsExchange();
  NewsExchange(const NewsExchange &) = delete;
  NewsExchange &operator=(const NewsExchange &) = delete;

  /// Listens for other nodes; throws Poco::Exception where the port is taken.
  void start();
  /// One round of asking; how long to pause before the next.
  Millis step();
  /// Answers the questions on a connection until it ends.
  void serve(const Poco::Net::StreamSocket &Socket);

private:
  /// An open connection to a node that this one asks.
  struct PeerLink {
    std::string Host;
    std::uint16_t Port = 0;
    std::unique_ptr<FrameSocket> Socket;
  };

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
  absl::StatusOr<wire::NewsT> exchange(const NodeInfo &Asked,
                                       wire::NewsWantedT Question);
  absl::StatusOr<wire::NewsT> tryOn(PeerLink &Link,
                                    const wire::FrameT &Question);
  void takeNews(const wire::NewsT &News, const NodeId &From, TimePoint SentAt);
  bool isCurrent(const wire::NewsT &News) const;
  std::unique_ptr<wire::FeedNewsT> newsOf(FeedKind Kind, StorePosition From,
                                          TimePoint Now);
  std::unique_ptr<wire::FeedNewsT>
  answerFor(std::size_t Feed, const wire::NewsWantedT &Question, TimePoint Now);
  wire::NewsT answer(const wire::NewsWantedT &Question);
  LoadRows ownLoads(TimePoint Now) const;
  DemandTable ownDemand() const;
  std::vector<wire::RenewalRow> renewals(TimePoint Now) const;
  void takeRenewals(const std::vector<wire::RenewalRow> &Rows, TimePoint From);
  void publishLoads(TimePoint Now);

  EntryBoard &Board;
  std::mutex Mutex;
  /// What others told of targets; under Mutex.
  LoadBook Book;
  /// What others told of callers' requests; under Mutex.
  ReportBook<DemandTable> Demand;
  /// By FeedKind; under Mutex.
  std::array<FeedPacker, static_cast<std::size_t>(FeedKind::Count)> Packers;
  NewsRoute Route;
  std::map<NodeId, PeerLink> Links;
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
  std::unique_ptr<Poco::Net::TCPServer> Server;
};

} // namespace waycove
