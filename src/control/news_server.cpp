// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/news_server.h"

#include <Poco/Net/TCPServerConnectionFactory.h>

namespace waycove {

namespace {

/// A node that was not asked for this long closes the connection.
constexpr Millis QuietTime(5000);
constexpr int MostConnections = 256;
/// Small: one thread for each node that reads from this one.
constexpr int StackBytes = 256 << 10;
constexpr int IdleThreadSeconds = 5;

/// What the node that asks has seen of a feed's versions; in the store's first
/// era it has nothing to tell of them.
EraMarks marksOf(const wire::NewsWantedT &Question, std::size_t Feed) {
  return Feed < Question.restored.size() ? unpackMarks(Question.restored[Feed])
                                         : EraMarks();
}

class NewsConnection : public Poco::Net::TCPServerConnection {
public:
  NewsConnection(const Poco::Net::StreamSocket &Socket, NewsServer &Owner)
      : TCPServerConnection(Socket), Owner(Owner) {}
  void run() override { this->Owner.serve(this->socket()); }

private:
  NewsServer &Owner;
};

class NewsConnections : public Poco::Net::TCPServerConnectionFactory {
public:
  explicit NewsConnections(NewsServer &Owner) : Owner(Owner) {}
  Poco::Net::TCPServerConnection *
  createConnection(const Poco::Net::StreamSocket &Socket) override {
    return new NewsConnection(Socket, this->Owner);
  }

private:
  NewsServer &Owner;
};

} // namespace

NewsServer::~NewsServer() {
  if (this->Server)
    this->Server->stop();
}

/// What came after \p From, as far as others may rely on this node for it.
std::unique_ptr<wire::FeedNewsT>
NewsServer::newsOf(FeedKind Kind, StorePosition From, TimePoint Now) {
  const FeedCache &Cache = this->Board.feed(Kind);
  if (!Cache.next() || !this->Board.canServeFeed(Kind, Now))
    return std::make_unique<wire::FeedNewsT>();
  bool Fills = From == NothingKnown;
  KeyedPage Page = Fills ? Cache.snapshot() : Cache.since(From, MaxPartBytes);
  std::size_t Most = Page.IsSnapshot ? MaxSnapshotBytes : MaxUpdateBytes;
  std::lock_guard Lock(this->Mutex);
  return this->Packers[static_cast<std::size_t>(Kind)].pack(Page, From, Now,
                                                            Most);
}

std::unique_ptr<wire::FeedNewsT>
NewsServer::responseFor(std::size_t Feed, const wire::NewsWantedT &Question,
                        TimePoint Now) {
  if (Feed >= Question.next.size())
    return std::make_unique<wire::FeedNewsT>();
  EraMarks Seen = marksOf(Question, Feed);
  this->Board.Feeds[Feed].Cache.mergeMarks(Seen, Now);
  StorePosition From(Seen.Era, Offset(Question.next[Feed]));
  return this->newsOf(static_cast<FeedKind>(Feed), From, Now);
}

wire::NewsT NewsServer::answer(const wire::NewsWantedT &Question) {
  TimePoint Now = SystemClock{}.now();
  wire::NewsT News;
  for (std::size_t I = 0; I < this->Board.Feeds.size(); ++I)
    News.feeds.push_back(this->responseFor(I, Question, Now));
  this->Sight.exchange(Question, News, Now);
  return News;
}

void NewsServer::serve(const Poco::Net::StreamSocket &Socket) {
  FrameSocket Link(Socket, this->Board.Counters);
  while (true) {
    absl::StatusOr<wire::FrameT> Frame = Link.receive(QuietTime);
    // The other end asks anew, or another node, when its connection ends.
    if (!Frame.ok() || Frame->message.type != wire::Message::NewsWanted)
      return;
    const wire::NewsWantedT &Question = *Frame->message.AsNewsWanted();
    this->Board.recordNewsRequest(SystemClock{}.now());
    if (!Link.send(makeFrame(this->Board.Clock.tick(SystemClock{}.wall()),
                             this->answer(Question))))
      return;
  }
}

void NewsServer::start() {
  const Endpoint &Where = this->Board.Config.PeerListen;
  Poco::Net::ServerSocket Socket;
  Socket.bind(Poco::Net::SocketAddress(Where.Host, Where.Port), true, false);
  Socket.listen(MostConnections);
  auto Params =
      Poco::AutoPtr<Poco::Net::TCPServerParams>(new Poco::Net::TCPServerParams);
  Params->setMaxThreads(MostConnections);
  Params->setMaxQueued(MostConnections);
  static Poco::ThreadPool Pool("news", 1, MostConnections, IdleThreadSeconds,
                               StackBytes);
  this->Server = std::make_unique<Poco::Net::TCPServer>(
      new NewsConnections(*this), Pool, Socket, Params);
  this->Server->start();
}

} // namespace waycove
