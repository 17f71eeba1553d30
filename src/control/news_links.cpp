// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/news_links.h"

namespace waycove {

namespace {

/// Leaves time to read the store instead before a change has to be in force.
constexpr Millis ResponseTimeout(450);
constexpr Millis ConnectTimeout(250);
/// A connection that fails sooner was reset rather than unresponsive.
constexpr Millis ResetTimeout(200);

} // namespace

absl::StatusOr<wire::NewsT> NewsLinks::query(const NodeInfo &Source,
                                             wire::NewsWantedT Request) {
  std::uint64_t Clock = this->Board.Clock.tick(SystemClock{}.wall());
  wire::FrameT Frame = makeFrame(Clock, std::move(Request));
  Link &Connection = this->Links[Source.Node];
  if (Connection.Host != Source.Host || Connection.Port != Source.Port)
    Connection = {Source.Host, Source.Port, nullptr};
  if (Connection.Socket) {
    TimePoint SentAt = SystemClock{}.now();
    absl::StatusOr<wire::NewsT> News = sendOver(Connection, Frame);
    // A process that restarted resets connections to its last incarnation, so
    // a reset is worth another attempt and a timeout is not.
    if (News.ok() || SystemClock{}.now() - SentAt >= ResetTimeout)
      return News;
  }
  absl::StatusOr<Poco::Net::StreamSocket> Socket =
      FrameSocket::dial(Source.Host, Source.Port, ConnectTimeout);
  if (!Socket.ok())
    return Socket.status();
  Connection.Socket =
      std::make_unique<FrameSocket>(*Socket, this->Board.Counters);
  return sendOver(Connection, Frame);
}

absl::StatusOr<wire::JoinAnswerT> NewsLinks::join(const Endpoint &Seed,
                                                  wire::JoinT Request,
                                                  Millis ConnectTimeout,
                                                  Millis ResponseTimeout) {
  absl::StatusOr<Poco::Net::StreamSocket> Socket =
      FrameSocket::dial(Seed.Host, Seed.Port, ConnectTimeout);
  if (!Socket.ok())
    return Socket.status();
  FrameSocket Connection(*Socket, this->Board.Counters);
  std::uint64_t Clock = this->Board.Clock.tick(SystemClock{}.wall());
  if (!Connection.send(makeFrame(Clock, std::move(Request))))
    return makeError(ErrorKind::OutcomeUnknown, "the connection broke");
  absl::StatusOr<wire::FrameT> Frame = Connection.receive(ResponseTimeout);
  if (!Frame.ok())
    return Frame.status();
  if (Frame->message.type != wire::Message::JoinAnswer)
    return makeError(ErrorKind::BadRequest,
                     "the response is not a JoinAnswer message");
  return std::move(*Frame->message.AsJoinAnswer());
}

/// Sends the request over the open connection and waits for the response;
/// closes the connection if there is none.
absl::StatusOr<wire::NewsT> NewsLinks::sendOver(Link &Connection,
                                                const wire::FrameT &Request) {
  absl::StatusOr<wire::FrameT> Frame =
      makeError(ErrorKind::OutcomeUnknown, "the connection broke");
  if (Connection.Socket->send(Request))
    Frame = Connection.Socket->receive(ResponseTimeout);
  if (Frame.ok() && Frame->message.type == wire::Message::News)
    return std::move(*Frame->message.AsNews());
  Connection.Socket.reset();
  if (!Frame.ok())
    return Frame.status();
  return makeError(ErrorKind::BadRequest, "the response is not a News message");
}

} // namespace waycove
