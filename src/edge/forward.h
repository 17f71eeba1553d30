// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/board.h"
#include "edge/request.h"
#include "wire/frame.h"

namespace waycove {

/// Outcome of forwarding a request to another daemon. NotSent: it certainly did
/// not run. Unknown: it may have run.
enum class ForwardOutcome { Done, NotSent, Unknown, CallerGone };

/// Forwards requests to other daemons. Each uses a new connection, so that
/// responses cannot be mixed up.
class Forwarder {
public:
  explicit Forwarder(Board &Tables) : Tables(Tables) {}

  /// Forwards \p Request to \p Peer and its response to \p Sink. The sink is
  /// unused where the outcome is NotSent or Unknown.
  template <ResponseSink SinkT>
  ForwardOutcome forward(const CallerRequest &Request, const Endpoint &Peer,
                         SinkT &Sink) {
    auto Socket = FrameSocket::dial(Peer.Host, Peer.Port,
                                    this->Tables.Config.ConnectTimeout);
    if (!Socket.ok())
      return ForwardOutcome::NotSent;
    FrameSocket Frames(*Socket, this->Tables.Counters);
    TimePoint Now = SystemClock{}.now();
    if (!Frames.send(makeFrame(this->clock(), toForward(Request, Now))))
      return ForwardOutcome::Unknown;
    this->Tables.Counters.add(Counter::Forwards);
    bool HeadSent = false;
    while (true) {
      auto Remaining = std::chrono::duration_cast<Millis>(Request.Deadline -
                                                          SystemClock{}.now());
      // The peer responds by the deadline; allow for network latency.
      absl::StatusOr<wire::FrameT> Frame =
          Frames.receive(std::max(Remaining, Millis(0)) + Millis(500));
      if (!Frame.ok())
        return this->connectionLost(HeadSent, Sink);
      this->Tables.Clock.merge(Frame->clock);
      if (const auto *Head = Frame->message.AsForwardHead()) {
        HeadSent = true;
        if (Head->error_ran > 0)
          Sink.setRan(static_cast<Ran>(Head->error_ran - 1));
        ResponseLength Length;
        if (Head->has_length)
          Length = Head->length;
        if (!Sink.head(Head->status, Head->content_type,
                       Millis(static_cast<std::int64_t>(Head->retry_after_ms)),
                       Length))
          return ForwardOutcome::CallerGone;
      } else if (const auto *Data = Frame->message.AsForwardData()) {
        std::string_view Bytes(
            reinterpret_cast<const char *>(Data->data.data()),
            Data->data.size());
        if (!Sink.data(Bytes))
          return ForwardOutcome::CallerGone;
      } else if (const auto *EndMessage = Frame->message.AsForwardEnd()) {
        if (EndMessage->whole)
          Sink.end();
        else
          Sink.cut();
        return ForwardOutcome::Done;
      } else {
        return this->connectionLost(HeadSent, Sink);
      }
    }
  }

private:
  /// Ends a response whose connection failed.
  template <ResponseSink SinkT>
  ForwardOutcome connectionLost(bool HeadSent, SinkT &Sink) {
    if (!HeadSent)
      return ForwardOutcome::Unknown;
    Sink.cut();
    return ForwardOutcome::Done;
  }
  std::uint64_t clock() {
    return this->Tables.Clock.tick(SystemClock{}.wall());
  }

  Board &Tables;
};

/// Sends a response to the daemon that forwarded the request.
class PeerSink {
public:
  PeerSink(FrameSocket &Frames, HybridClock &Clock)
      : Frames(Frames), Clock(Clock) {}
  bool head(int Status, const std::string &Type, Millis Retry,
            ResponseLength Length);
  bool data(std::string_view Bytes);
  bool end();
  void cut();
  void setRan(Ran Outcome) { this->Error = Outcome; }

private:
  template <typename T> bool send(T Message) {
    return this->Frames.send(
        makeFrame(this->Clock.tick(SystemClock{}.wall()), std::move(Message)));
  }
  FrameSocket &Frames;
  HybridClock &Clock;
  std::optional<Ran> Error;
};

static_assert(ResponseSink<PeerSink>);

} // namespace waycove
