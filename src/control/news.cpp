// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/news.h"

#include "control/feed_notes.h"
#include "control/news_server.h"
#include "wire/news_frames.h"

namespace waycove {

namespace {

/// How often a node asks for news: what a head does shows to all within about
/// two rounds, and a round costs some 50 us on each side.
constexpr Millis RoundTime(250);
/// Between two reads of what a neighbour leaves out: a value of 390 KB takes
/// a quarter of a link of 20 Mbit/s then, and bounds on changes are 2 s and
/// more.
constexpr Millis CatchUpPause(600);
/// A round while what this node knows is old: the store may just be back.
constexpr Millis BehindRound(100);
/// Where a part of what changed came and more waits: what the answer holds has
/// been on its way meanwhile, so this bounds questions and not bytes.
constexpr Millis PartRound(20);
/// While a node that has just started knows nothing.
constexpr Millis FillRound(50);
/// For another node to be found that reads for this one: three are tried in a
/// round.
constexpr Millis SearchTime(900);
/// Part of a feed's bound after which a node whose reads fail asks others: of 2
/// s it leaves one, for a round, a first one that does not answer, and a
/// second.
constexpr double PeersPart = 0.5;
/// How many it asks in a round.
constexpr std::size_t PeersAsked = 2;
/// Between two such rounds where nobody has news, at most: on a day of eight
/// seconds without the store, 295 nodes that asked two others every 0.1 s held
/// 100 connections each, and a thread for each.
constexpr Millis PeersPause(2000);

} // namespace

Millis NewsExchange::step() {
  NodeTable Nodes =
      this->Board.Nodes.read([](const NodeTable &Rows) { return Rows; });
  TimePoint Now = SystemClock{}.now();
  this->noteOrder(Nodes);
  if (!this->isFilled())
    return this->fill(Nodes, Now);
  std::vector<NodeInfo> Before =
      this->Route.nextCandidates(Nodes, this->Board.self(), Now);
  if (!this->askInTurn(Before)) {
    if (Before.empty() || !this->waitsForReader(SystemClock{}.now()))
      this->readAlone("no node reads for this one");
    this->askPeers(Nodes, SystemClock{}.now());
  }
  this->Sight.publish(SystemClock{}.now());
  if (std::exchange(this->MoreWaits, false))
    return PartRound;
  return this->isBehind(SystemClock{}.now()) ? BehindRound : RoundTime;
}

void NewsExchange::noteOrder(const NodeTable &Nodes) {
  std::vector<NodeInfo> Order =
      readerOrder(Nodes, this->Board.Config.DataCentre);
  bool First = Order.empty() || Order.front().Node == this->Board.Config.Node;
  this->Board.NodesKnown = Nodes.size();
  this->Board.FirstOfCentre = First;
}

bool NewsExchange::isFilled() const {
  for (const FeedState &Feed : this->Board.Feeds)
    if (!Feed.Cache.next())
      return false;
  return true;
}

/// Has another node tell what this one, which has just started, does not know
/// yet: one before it, which may be starting as well. The first of each data
/// centre asks two others once, and then reads the store. Where all nodes
/// restart at once, the registry otherwise goes from the store to each of them,
/// 100 MB at 80 MB/s for 295: half of them knew no targets for 1.8 s. A start
/// costs two calls a node so, and not seven.
Millis NewsExchange::fill(const NodeTable &Nodes, TimePoint Now) {
  if (!this->Board.FillAwaited.holds(Now))
    return RoundTime;
  if (!Nodes.contains(this->Board.Config.Node))
    return FillRound;
  NodeInfo Me = this->Board.self();
  std::vector<NodeInfo> Asked = this->Route.nextCandidates(Nodes, Me, Now);
  bool First = this->Board.FirstOfCentre;
  if (First) {
    Asked = this->Route.fallbackCandidates(Nodes, Me, Now);
    Asked.resize(std::min(Asked.size(), PeersAsked));
  }
  for (const NodeInfo &Row : Asked)
    if (this->Board.FillAwaited.holds(SystemClock{}.now()) &&
        this->fillFrom(Row)) {
      this->Board.FillAwaited.drop();
      return Millis(0);
    }
  if (First)
    this->Board.FillAwaited.drop();
  return FillRound;
}

bool NewsExchange::fillFrom(const NodeInfo &Asked) {
  TimePoint SentAt = SystemClock{}.now();
  absl::StatusOr<wire::NewsT> News = this->ask(Asked, SentAt);
  if (!News.ok() || !this->isCurrent(*News))
    return false;
  this->takeNews(*News, Asked.Node, SentAt);
  this->HeardAt = SystemClock{}.now();
  this->Board.Relayed = true;
  return true;
}

/// Asks \p Asked until one has current news.
bool NewsExchange::askInTurn(const std::vector<NodeInfo> &Asked) {
  return std::any_of(Asked.begin(), Asked.end(), [this](const NodeInfo &Row) {
    return this->askFrom(Row);
  });
}

/// Whether a node that has lost the one that reads for it looks for another
/// one, instead of reading the store itself: what it knows is young, and if it
/// ages the store's reader asks whatever this says.
bool NewsExchange::waitsForReader(TimePoint Now) const {
  return this->Board.Relayed && Now - this->HeardAt < SearchTime &&
         !this->isBehind(Now);
}

/// Whether what this node knows of a feed is older than its own reads let it
/// become, or will be, since these fail.
bool NewsExchange::isBehind(TimePoint Now) const {
  for (FeedKind Kind : {FeedKind::Config, FeedKind::Registry}) {
    Millis Most = *this->Board.mostAge(Kind);
    if (this->Board.state(Kind).ReadFailed)
      Most = EntryBoard::partOf(*this->Board.boundOf(Kind), PeersPart);
    if (Now - this->Board.feed(Kind).provenAt() >= Most)
      return true;
  }
  return false;
}

bool NewsExchange::readsFail() const {
  return this->Board.state(FeedKind::Config).ReadFailed ||
         this->Board.state(FeedKind::Registry).ReadFailed;
}

/// Where this node has lost the store and nobody before it has current news, it
/// asks others, each in turn, ever more rarely while none has any. What it
/// learns so is not told on (EntryBoard::mayTell): two nodes would each take
/// the other's word for the store's.
void NewsExchange::askPeers(const NodeTable &Nodes, TimePoint Now) {
  this->AskingPeers = this->AskingPeers && this->readsFail();
  if (!this->AskingPeers && !this->isBehind(Now)) {
    this->PeerWaits.reset();
    return;
  }
  if (Now < this->PeersDue)
    return;
  std::vector<NodeInfo> Others =
      this->Route.fallbackCandidates(Nodes, this->Board.self(), Now);
  std::size_t Count = std::min(Others.size(), PeersAsked);
  for (std::size_t I = 0; I < Count; ++I, ++this->PeerTurn)
    if (this->askPeer(Others[this->PeerTurn % Others.size()])) {
      this->PeerWaits.reset();
      this->PeersDue = Now + RoundTime;
      return;
    }
  this->PeersDue = Now + this->PeerWaits.next(RoundTime, PeersPause);
}

/// Whether \p Peer had something current. Where it had not, the connection is
/// closed: each holds a thread there, and all nodes ask all others in turn.
bool NewsExchange::askPeer(const NodeInfo &Peer) {
  TimePoint SentAt = SystemClock{}.now();
  absl::StatusOr<wire::NewsT> News = this->ask(Peer, SentAt);
  if (!News.ok())
    this->Route.onFailure(Peer.Node, SystemClock{}.now());
  if (!News.ok() || !this->isCurrent(*News)) {
    this->Links.close(Peer.Node);
    return false;
  }
  this->takeNews(*News, Peer.Node, SentAt);
  if (!std::exchange(this->AskingPeers, true))
    this->Board.Log.emit(EventCode::NewsFromPeer, Peer.Node.Text);
  return true;
}

/// Asks \p Asked for all that is new; false where it does not answer or has
/// nothing current.
bool NewsExchange::askFrom(const NodeInfo &Asked) {
  TimePoint SentAt = SystemClock{}.now();
  absl::StatusOr<wire::NewsT> News = this->ask(Asked, SentAt);
  if (!News.ok()) {
    this->Route.onFailure(Asked.Node, SystemClock{}.now());
    this->LostBy = messageOf(News.status());
    return false;
  }
  if (!this->isCurrent(*News)) {
    this->Route.onStale(Asked.Node, SystemClock{}.now());
    this->Links.close(Asked.Node);
    this->LostBy = "its own news are old";
    return false;
  }
  this->Route.onSuccess(Asked.Node);
  this->takeNews(*News, Asked.Node, SentAt);
  this->HeardAt = SystemClock{}.now();
  this->readFrom(Asked.Node);
  this->catchUp(*News, SystemClock{}.now());
  return true;
}

/// \p Chosen reads the store for this node from here on.
void NewsExchange::readFrom(const NodeId &Chosen) {
  if (this->Board.Relayed.exchange(true) && this->Reader == Chosen)
    return;
  this->Board.Log.emit(EventCode::ReaderChosen, Chosen.Text,
                       LogFields().add("before", this->Reader.Text));
  this->Reader = Chosen;
}

/// Has the feeds read from the store of which \p News left out what is large.
/// Where versions come in quick succession, not each of them is read.
void NewsExchange::catchUp(const wire::NewsT &News, TimePoint Now) {
  for (std::size_t I = 0; I < this->Board.Feeds.size(); ++I) {
    if (!News.feeds[I]->left_out || Now - this->CaughtUp[I] < CatchUpPause)
      continue;
    this->CaughtUp[I] = Now;
    this->Board.Log.emit(
        EventCode::FeedReadAlone, this->Reader.Text,
        LogFields().add("feed", I).add("offset", News.feeds[I]->next));
    this->Board.Feeds[I].LeftOut = true;
    this->Board.Feeds[I].Cache.wake();
  }
}

/// Reads the store itself from here on.
void NewsExchange::readAlone(const std::string &Reason) {
  if (!this->Board.Relayed.exchange(false))
    return;
  this->Board.Log.emit(
      EventCode::ReaderLost, this->Reader.Text,
      LogFields().add("reason", Reason).add("last_answer", this->LostBy));
  this->Reader = NodeId();
  for (FeedState &Feed : this->Board.Feeds)
    Feed.Cache.wake();
}

/// Tells \p Asked what this data centre sees, and asks for all that is new.
absl::StatusOr<wire::NewsT> NewsExchange::ask(const NodeInfo &Asked,
                                              TimePoint SentAt) {
  wire::NewsWantedT Question;
  Question.node = this->Board.Config.Node.Text;
  Question.data_centre = this->Board.Config.DataCentre.Text;
  bool Restored = false;
  for (const FeedState &Feed : this->Board.Feeds) {
    StorePosition Next = Feed.Cache.next().value_or(NothingKnown);
    Question.next.push_back(Next.At.Value);
    Question.restored.push_back(packMarks(Feed.Cache.marks()));
    Restored |= Next.Era > StoreEra();
  }
  if (!Restored)
    Question.restored.clear();
  this->Sight.addTo(Question, Asked, SentAt);
  return this->Links.ask(Asked, std::move(Question));
}

/// Whether the answer is from a node that follows the store without a gap.
/// Where this node's own reads of one feed fail, the part of the store that
/// holds it may be away from all: the other feed's news are worth having.
/// Before that, on a site of 89 nodes, 45 read the registry themselves for four
/// seconds, 600 calls, because the configuration was away.
bool NewsExchange::isCurrent(const wire::NewsT &News) const {
  if (News.feeds.size() != this->Board.Feeds.size())
    return false;
  bool Any = false;
  for (FeedKind Kind : {FeedKind::Config, FeedKind::Registry}) {
    const wire::FeedNewsT &Row = *News.feeds[static_cast<std::size_t>(Kind)];
    bool Current = Row.known && Millis(Row.proven_age_ms) <=
                                    this->Board.mostAge(Kind).value();
    if (!Current && !this->Board.state(Kind).ReadFailed)
      return false;
    Any |= Current;
  }
  return Any;
}

/// Ages count from when the question was sent: the answer was made later.
void NewsExchange::takeNews(const wire::NewsT &News, const NodeId &From,
                            TimePoint SentAt) {
  TimePoint Now = SystemClock{}.now();
  for (std::size_t I = 0; I < this->Board.Feeds.size(); ++I) {
    if (!News.feeds[I]->known || News.feeds[I]->left_out)
      continue;
    this->MoreWaits |= News.feeds[I]->partial;
    auto Kind = static_cast<FeedKind>(I);
    if (absl::StatusOr<KeyedPage> Page = readFeed(*News.feeds[I], SentAt, Now);
        Page.ok())
      takePage(this->Board, Kind, *Page, From.Text, Now);
    else
      this->Board.Log.emit(EventCode::NewsRefused, From.Text,
                           LogFields()
                               .add("feed", feedName(Kind))
                               .add("reason", messageOf(Page.status())));
  }
  this->Sight.take(News, From, SentAt, Now);
}

} // namespace waycove
