// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/news_links.h"

namespace waycove {

namespace {

/// A neighbour answers at once; past this it is frozen, cut off or drowning,
/// and there is time left to read the store before a change has to be in force.
constexpr Millis AnswerTime(450);
constexpr Millis DialTime(250);
/// A connection that fails sooner was reset.
constexpr Millis ResetTime(200);

} // namespace

absl::StatusOr<wire::NewsT> NewsLinks::ask(const NodeInfo &Asked,
                                           wire::NewsWantedT Question) {
  std::uint64_t Clock = this->Board.Clock.tick(SystemClock{}.wall());
  wire::FrameT Frame = makeFrame(Clock, std::move(Question));
  Link &Over = this->Links[Asked.Node];
  if (Over.Host != Asked.Host || Over.Port != Asked.Port)
    Over = {Asked.Host, Asked.Port, nullptr};
  if (Over.Socket) {
    TimePoint SentAt = SystemClock{}.now();
    absl::StatusOr<wire::NewsT> News = tryOn(Over, Frame);
    // A process that has restarted resets the connection to its last life;
    // silence is no such thing.
    if (News.ok() || SystemClock{}.now() - SentAt >= ResetTime)
      return News;
  }
  absl::StatusOr<Poco::Net::StreamSocket> Socket =
      FrameSocket::dial(Asked.Host, Asked.Port, DialTime);
  if (!Socket.ok())
    return Socket.status();
  Over.Socket = std::make_unique<FrameSocket>(*Socket, this->Board.Counters);
  return tryOn(Over, Frame);
}

/// Sends the question on the open connection and waits for the answer; closes
/// the connection where none comes.
absl::StatusOr<wire::NewsT> NewsLinks::tryOn(Link &Over,
                                             const wire::FrameT &Question) {
  absl::StatusOr<wire::FrameT> Frame =
      makeError(ErrorKind::OutcomeUnknown, "the connection broke");
  if (Over.Socket->send(Question))
    Frame = Over.Socket->receive(AnswerTime);
  if (Frame.ok() && Frame->message.type == wire::Message::News)
    return std::move(*Frame->message.AsNews());
  Over.Socket.reset();
  if (!Frame.ok())
    return Frame.status();
  return makeError(ErrorKind::BadRequest, "the answer is no news");
}

} // namespace waycove
