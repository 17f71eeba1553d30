// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/news.h"

#include "control/feed_page.h"
#include "control/news_server.h"
#include "wire/news_frames.h"

namespace waycove {

namespace {

/// Interval of queries; bounds how late all nodes see the progress of a head.
constexpr Millis RoundInterval(250);
/// Min interval between reads from the store of what an upstream node leaves
/// out; limits the use of a slow link by large values. One of 390 KB takes a
/// quarter of 20 Mbit/s at this interval.
constexpr Millis LeftOutReadInterval(600);
/// Interval while what this node knows is outdated: the store may be back.
constexpr Millis OutdatedRoundInterval(100);
/// Interval while a response held only a part of the changes.
constexpr Millis PartialRoundInterval(20);
/// Interval while a node that has just started knows nothing.
constexpr Millis BootstrapRoundInterval(50);
constexpr Millis MaxBootstrapInterval(400);
/// By then all nodes that started at once know the feeds.
constexpr Millis StartSourceDuration(6000);
/// How long a new upstream node is looked for before the store is read.
constexpr Millis UpstreamSearchTimeout(900);
/// Part of a feed's bound after which a node whose reads fail queries peers;
/// the rest is for a round, an unresponsive peer, and a second one.
constexpr double PeersPart = 0.5;
/// Peers queried in a round.
constexpr std::size_t PeersPerRound = 2;
/// Max interval between such rounds; limits the connections and threads that
/// peers need while the store is away: 295 nodes that query two others every
/// 0.1 s hold 100 connections each.
constexpr Millis MaxPeersInterval(2000);

} // namespace

Millis NewsExchange::step() {
  NodeRankingRef Nodes = this->Board.nodes();
  TimePoint Now = SystemClock{}.now();
  this->updateReadOrder(*Nodes);
  if (!this->hasAllFeeds())
    return this->bootstrap(*Nodes, Now);
  std::vector<NodeInfo> Before =
      this->Route.nextCandidates(*Nodes, this->Board.nodeInfo(), Now);
  if (!this->queryUntilCurrent(Before) && !this->queryStartSource(Now)) {
    if (Before.empty() || !this->awaitsNewUpstream(SystemClock{}.now()))
      this->readStoreDirectly("no upstream node has current data");
    this->queryPeers(*Nodes, SystemClock{}.now());
  }
  this->Observations.publish(SystemClock{}.now());
  if (std::exchange(this->MoreAvailable, false))
    return PartialRoundInterval;
  return this->isOutdated(SystemClock{}.now()) ? OutdatedRoundInterval
                                               : RoundInterval;
}

void NewsExchange::updateReadOrder(const NodeRanking &Nodes) {
  const std::vector<NodeInfo> &Order =
      Nodes.readers(this->Board.Config.DataCentre);
  std::size_t Count =
      std::max(Nodes.nodes().size(), this->Board.SeedNodeCount.load());
  bool First = Order.empty() ? Count <= 1
                             : Order.front().Node == this->Board.Config.Node;
  this->Board.KnownNodeCount = Count;
  this->Board.FirstInCentre = First;
}

bool NewsExchange::hasAllFeeds() const {
  for (const FeedState &Feed : this->Board.Feeds)
    if (!Feed.Cache.next())
      return false;
  return true;
}

/// Gets all feeds from another node after the start, so that nodes that restart
/// together do not each read everything from the store. The first node of each
/// data centre queries two others once, and then reads the store.
Millis NewsExchange::bootstrap(const NodeRanking &Nodes, TimePoint Now) {
  if (Nodes.nodes().empty())
    this->Guide.step(Now);
  if (!this->Board.InitialFillLease.holds(Now))
    return RoundInterval;
  for (const NodeInfo &Row : this->bootstrapSources(Nodes, Now))
    if (this->Board.InitialFillLease.holds(SystemClock{}.now()) &&
        this->bootstrapFrom(Row)) {
      this->Board.InitialFillLease.drop();
      this->Board.DirectoryFillLease.drop();
      return Millis(0);
    }
  if (!Nodes.nodes().empty() && this->Board.FirstInCentre)
    this->Board.InitialFillLease.drop();
  return this->BootstrapBackoff.next(BootstrapRoundInterval,
                                     MaxBootstrapInterval);
}

/// The nodes to get the feeds from: those before this one in order, as far as
/// the directory is known, else those that a seed names.
std::vector<NodeInfo> NewsExchange::bootstrapSources(const NodeRanking &Nodes,
                                                     TimePoint Now) {
  if (Nodes.nodes().empty())
    return this->Guide.upstream();
  NodeInfo Me = this->Board.nodeInfo();
  if (!this->Board.FirstInCentre)
    return this->Route.nextCandidates(Nodes, Me, Now);
  std::vector<NodeInfo> Sources =
      this->Route.fallbackCandidates(Nodes, Me, Now);
  Sources.resize(std::min(Sources.size(), PeersPerRound));
  return Sources;
}

bool NewsExchange::bootstrapFrom(const NodeInfo &Source) {
  TimePoint SentAt = SystemClock{}.now();
  absl::StatusOr<wire::NewsT> News = this->query(Source, SentAt);
  if (!News.ok())
    this->Guide.onUnreachable(Source.Node);
  if (!News.ok() || !this->isCurrent(*News))
    return false;
  this->applyNews(*News, Source.Node, SentAt);
  this->LastUpdateAt = SystemClock{}.now();
  this->StartSource = Source;
  this->StartedAt = this->LastUpdateAt;
  this->Board.HasUpstream = true;
  return true;
}

/// Queries the node that sent all feeds at the start. When all nodes start at
/// once, those before this one in order may get them later than it does. The
/// source may come after this node in order, but proofs never grow younger on
/// their way, so two nodes cannot confirm each other's old state for long.
bool NewsExchange::queryStartSource(TimePoint Now) {
  return this->StartSource && Now - this->StartedAt < StartSourceDuration &&
         this->queryUpstream(*this->StartSource);
}

/// Queries \p Candidates one after the other until one has current data.
bool NewsExchange::queryUntilCurrent(const std::vector<NodeInfo> &Candidates) {
  return std::any_of(
      Candidates.begin(), Candidates.end(),
      [this](const NodeInfo &Row) { return this->queryUpstream(Row); });
}

/// Whether a node that has lost its upstream node looks for another one instead
/// of reading the store itself. Once what it knows is too old, StoreReader
/// reads the store in any case.
bool NewsExchange::awaitsNewUpstream(TimePoint Now) const {
  return this->Board.HasUpstream &&
         Now - this->LastUpdateAt < UpstreamSearchTimeout &&
         !this->isOutdated(Now);
}

/// Whether what this node knows of a feed is too old, or will be soon because
/// its own reads fail.
bool NewsExchange::isOutdated(TimePoint Now) const {
  for (FeedKind Kind : {FeedKind::Config, FeedKind::Registry}) {
    Millis Most = *this->Board.maxAge(Kind);
    if (this->Board.feedState(Kind).ReadFailed)
      Most =
          EntryBoard::fractionOf(*this->Board.freshnessBound(Kind), PeersPart);
    if (Now - this->Board.feed(Kind).provenAt() >= Most)
      return true;
  }
  return false;
}

bool NewsExchange::readsFail() const {
  return this->Board.feedState(FeedKind::Config).ReadFailed ||
         this->Board.feedState(FeedKind::Registry).ReadFailed;
}

/// Queries other nodes in turn, with backoff, while this node can read neither
/// the store nor an upstream node with current data. What it learns from them
/// is not passed on (EntryBoard::canServeFeed): two nodes could confirm each
/// other's old state.
void NewsExchange::queryPeers(const NodeRanking &Nodes, TimePoint Now) {
  this->UsesPeers = this->UsesPeers && this->readsFail();
  if (!this->UsesPeers && !this->isOutdated(Now)) {
    this->PeerBackoff.reset();
    return;
  }
  if (Now < this->PeersDue)
    return;
  std::vector<NodeInfo> Others =
      this->Route.fallbackCandidates(Nodes, this->Board.nodeInfo(), Now);
  std::size_t Count = std::min(Others.size(), PeersPerRound);
  for (std::size_t I = 0; I < Count; ++I, ++this->NextPeer)
    if (this->queryPeer(Others[this->NextPeer % Others.size()])) {
      this->PeerBackoff.reset();
      this->PeersDue = Now + RoundInterval;
      return;
    }
  this->PeersDue =
      Now + this->PeerBackoff.next(RoundInterval, MaxPeersInterval);
}

/// Queries \p Peer and returns whether it had current data. If not, closes the
/// connection, which holds a thread there.
bool NewsExchange::queryPeer(const NodeInfo &Peer) {
  TimePoint SentAt = SystemClock{}.now();
  absl::StatusOr<wire::NewsT> News = this->query(Peer, SentAt);
  if (!News.ok())
    this->Route.onFailure(Peer.Node, SystemClock{}.now());
  if (!News.ok() || !this->isCurrent(*News)) {
    this->Links.close(Peer.Node);
    return false;
  }
  this->applyNews(*News, Peer.Node, SentAt);
  if (!std::exchange(this->UsesPeers, true))
    this->Board.Log.emit(EventCode::NewsFromPeer, Peer.Node.Text);
  return true;
}

/// Queries \p Source for all that is new; false if it does not respond or has
/// no current data.
bool NewsExchange::queryUpstream(const NodeInfo &Source) {
  TimePoint SentAt = SystemClock{}.now();
  absl::StatusOr<wire::NewsT> News = this->query(Source, SentAt);
  if (!News.ok()) {
    this->Route.onFailure(Source.Node, SystemClock{}.now());
    this->LastFailure = messageOf(News.status());
    return false;
  }
  if (!this->isCurrent(*News)) {
    this->Route.onStale(Source.Node, SystemClock{}.now());
    this->Links.close(Source.Node);
    this->LastFailure = "its own news are old";
    return false;
  }
  this->Route.onSuccess(Source.Node);
  this->applyNews(*News, Source.Node, SentAt);
  this->LastUpdateAt = SystemClock{}.now();
  this->setUpstream(Source.Node);
  this->readLeftOutFeeds(*News, SystemClock{}.now());
  return true;
}

/// Makes \p Chosen the upstream node.
void NewsExchange::setUpstream(const NodeId &Chosen) {
  if (this->Board.HasUpstream.exchange(true) && this->Upstream == Chosen)
    return;
  this->Board.Log.emit(EventCode::ReaderChosen, Chosen.Text,
                       LogFields().add("before", this->Upstream.Text));
  this->Upstream = Chosen;
}

/// Reads feeds from the store of which \p News left out large values, at most
/// once per LeftOutReadInterval.
void NewsExchange::readLeftOutFeeds(const wire::NewsT &News, TimePoint Now) {
  for (std::size_t I = 0; I < this->Board.Feeds.size(); ++I) {
    if (!News.feeds[I]->left_out ||
        Now - this->LastLeftOutRead[I] < LeftOutReadInterval)
      continue;
    this->LastLeftOutRead[I] = Now;
    this->Board.Log.emit(
        EventCode::FeedReadAlone, this->Upstream.Text,
        LogFields().add("feed", I).add("offset", News.feeds[I]->next));
    this->Board.Feeds[I].RecordsOmitted = true;
    this->Board.Feeds[I].Cache.wake();
  }
}

/// Gives up the upstream node; this node reads the store itself.
void NewsExchange::readStoreDirectly(const std::string &Reason) {
  if (!this->Board.HasUpstream.exchange(false))
    return;
  this->Board.Log.emit(
      EventCode::ReaderLost, this->Upstream.Text,
      LogFields().add("reason", Reason).add("last_answer", this->LastFailure));
  this->Upstream = NodeId();
  for (FeedState &Feed : this->Board.Feeds)
    Feed.Cache.wake();
}

/// Sends \p Source what this data centre observes and requests all that is new.
absl::StatusOr<wire::NewsT> NewsExchange::query(const NodeInfo &Source,
                                                TimePoint SentAt) {
  wire::NewsWantedT Request;
  Request.node = this->Board.Config.Node.Text;
  Request.data_centre = this->Board.Config.DataCentre.Text;
  bool Restored = false;
  for (const FeedState &Feed : this->Board.Feeds) {
    StorePosition Next = Feed.Cache.next().value_or(UnknownPosition);
    Request.next.push_back(Next.At.Value);
    Request.restored.push_back(packMarks(Feed.Cache.marks()));
    Restored |= Next.Era > StoreEra();
  }
  if (!Restored)
    Request.restored.clear();
  this->Observations.addTo(Request, Source, SentAt);
  return this->Links.query(Source, std::move(Request));
}

/// Whether the response is from a node that follows the store without a gap. If
/// this node's own reads of one feed fail, that part of the store may be away
/// for all nodes, and current data of the other feed is enough.
bool NewsExchange::isCurrent(const wire::NewsT &News) const {
  if (News.feeds.size() != this->Board.Feeds.size())
    return false;
  bool Any = false;
  for (FeedKind Kind : {FeedKind::Config, FeedKind::Registry}) {
    const wire::FeedNewsT &Row = *News.feeds[static_cast<std::size_t>(Kind)];
    bool Current = Row.known && Millis(Row.proven_age_ms) <=
                                    this->Board.maxAge(Kind).value();
    if (!Current && !this->Board.feedState(Kind).ReadFailed)
      return false;
    Any |= Current;
  }
  return Any;
}

/// Applies a response. Its ages count from when the request was sent, which is
/// earlier than they were taken.
void NewsExchange::applyNews(const wire::NewsT &News, const NodeId &From,
                             TimePoint SentAt) {
  TimePoint Now = SystemClock{}.now();
  for (std::size_t I = 0; I < this->Board.Feeds.size(); ++I) {
    if (!News.feeds[I]->known || News.feeds[I]->left_out)
      continue;
    this->MoreAvailable |= News.feeds[I]->partial;
    auto Kind = static_cast<FeedKind>(I);
    if (absl::StatusOr<KeyedPage> Page =
            unpackFeed(*News.feeds[I], SentAt, Now);
        Page.ok())
      applyFeedPage(this->Board, Kind, *Page, From.Text, Now);
    else
      this->Board.Log.emit(EventCode::NewsRefused, From.Text,
                           LogFields()
                               .add("feed", feedName(Kind))
                               .add("reason", messageOf(Page.status())));
  }
  this->Observations.apply(News, From, SentAt, Now);
}

} // namespace waycove
