// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/news_server.h"

namespace waycove {

namespace {

constexpr std::size_t MaxConnections = 256;

/// What the requesting node knows of a feed's versions; empty in the store's
/// first era.
EraMarks marksOf(const wire::NewsWantedT &Request, std::size_t Feed) {
  return Feed < Request.restored.size() ? unpackMarks(Request.restored[Feed])
                                        : EraMarks();
}

} // namespace

NewsServer::NewsServer(EntryBoard &Board, SharedObservations &Observations,
                       ConnectionResources Shared, WayHandler OnWayWanted)
    : Board(Board), Observations(Observations),
      OnWayWanted(std::move(OnWayWanted)), Seed(Board),
      Connections(
          Shared, MaxConnections,
          [this](const Poco::Net::StreamSocket &Socket) {
            return std::make_unique<Connection>(*this, Socket);
          },
          [this](const std::string &Reason) {
            this->Board.Log.emit(EventCode::NewsRefused, "connection",
                                 LogFields().add("reason", Reason));
          }) {}

/// Changes after \p From, as far as others may rely on this node for them.
std::unique_ptr<wire::FeedNewsT>
NewsServer::feedNews(FeedKind Kind, StorePosition From, TimePoint Now) {
  const FeedCache &Cache = this->Board.feed(Kind);
  if (!Cache.next() || !this->Board.canServeFeed(Kind, Now))
    return std::make_unique<wire::FeedNewsT>();
  bool KnowsNothing = From == UnknownPosition;
  KeyedPage Page =
      KnowsNothing ? Cache.snapshot() : Cache.since(From, MaxPartBytes);
  std::size_t MaxBytes = Page.IsSnapshot ? MaxSnapshotBytes : MaxUpdateBytes;
  std::lock_guard Lock(this->Mutex);
  return this->Packers[static_cast<std::size_t>(Kind)].pack(Page, From, Now,
                                                            MaxBytes);
}

std::unique_ptr<wire::FeedNewsT>
NewsServer::feedResponse(std::size_t Feed, const wire::NewsWantedT &Request,
                         TimePoint Now) {
  if (Feed >= Request.next.size())
    return std::make_unique<wire::FeedNewsT>();
  EraMarks Known = marksOf(Request, Feed);
  this->Board.Feeds[Feed].Cache.mergeMarks(Known, Now);
  StorePosition From(Known.Era, Offset(Request.next[Feed]));
  return this->feedNews(static_cast<FeedKind>(Feed), From, Now);
}

wire::NewsT NewsServer::respond(const wire::NewsWantedT &Request) {
  TimePoint Now = SystemClock{}.now();
  wire::NewsT News;
  for (std::size_t I = 0; I < this->Board.Feeds.size(); ++I)
    News.feeds.push_back(this->feedResponse(I, Request, Now));
  this->Observations.exchange(Request, News, Now);
  return News;
}

bool NewsServer::Connection::serve(TimePoint /*ReadableSince*/) {
  absl::StatusOr<wire::FrameT> Frame = this->Link.receive(RequestTimeout);
  if (!Frame.ok())
    return false;
  if (const auto *Wanted = Frame->message.AsForward();
      Wanted && this->Owner.OnWayWanted) {
    this->Owner.OnWayWanted(this->Link, *Wanted);
    return false;
  }
  std::optional<wire::FrameT> Response = this->Owner.responseTo(*Frame);
  return Response && this->Link.send(*Response);
}

std::optional<wire::FrameT> NewsServer::responseTo(const wire::FrameT &Frame) {
  std::uint64_t Clock = this->Board.Clock.tick(SystemClock{}.wall());
  switch (Frame.message.type) {
  case wire::Message::NewsWanted:
    this->Board.recordNewsRequest(SystemClock{}.now());
    return makeFrame(Clock, this->respond(*Frame.message.AsNewsWanted()));
  case wire::Message::Join:
    return makeFrame(Clock, this->Seed.respond(*Frame.message.AsJoin()));
  default:
    return std::nullopt;
  }
}

void NewsServer::start() {
  this->Connections.start(this->Board.Config.PeerListen);
}

} // namespace waycove
