// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/board.h"
#include "edge/request.h"
#include "wire/frame.h"

namespace waycove {

/// How a request passed to another daemon went.
enum class ForwardEnd { Done, NotSent, Unknown, CallerGone };

/// Passes requests to other daemons, each over a connection of its own, so no
/// answer can be taken for another's.
class Forwarder {
public:
  explicit Forwarder(Board &Tables) : Tables(Tables) {}

  /// Passes \p Request to \p Peer and the answer to \p Into. Where nothing of
  /// the answer came, the sink is untouched and the result says what may be
  /// told to the caller.
  template <AnswerSink Sink>
  ForwardEnd pass(const CallerRequest &Request, const Endpoint &Peer,
                  Sink &Into) {
    auto Socket = FrameSocket::dial(Peer.Host, Peer.Port,
                                    this->Tables.Config.ConnectTimeout);
    if (!Socket.ok())
      return ForwardEnd::NotSent;
    FrameSocket Frames(*Socket, this->Tables.Counters);
    TimePoint Now = SystemClock{}.now();
    if (!Frames.send(makeFrame(this->clock(), toForward(Request, Now))))
      return ForwardEnd::Unknown;
    this->Tables.Counters.add(Counter::Forwards);
    bool Begun = false;
    while (true) {
      auto Left = std::chrono::duration_cast<Millis>(Request.Deadline -
                                                     SystemClock{}.now());
      // The other daemon answers at the deadline; allow for the way back.
      absl::StatusOr<wire::FrameT> Frame =
          Frames.receive(std::max(Left, Millis(0)) + Millis(500));
      if (!Frame.ok())
        return this->broken(Begun, Into);
      this->Tables.Clock.merge(Frame->clock);
      if (const auto *Head = Frame->message.AsForwardHead()) {
        Begun = true;
        if (Head->error_ran > 0)
          Into.note(static_cast<Ran>(Head->error_ran - 1));
        AnswerLength Length;
        if (Head->has_length)
          Length = Head->length;
        if (!Into.head(Head->status, Head->content_type,
                       Millis(static_cast<std::int64_t>(Head->retry_after_ms)),
                       Length))
          return ForwardEnd::CallerGone;
      } else if (const auto *Data = Frame->message.AsForwardData()) {
        std::string_view Bytes(
            reinterpret_cast<const char *>(Data->data.data()),
            Data->data.size());
        if (!Into.data(Bytes))
          return ForwardEnd::CallerGone;
      } else if (const auto *End = Frame->message.AsForwardEnd()) {
        if (End->whole)
          Into.end();
        else
          Into.cut();
        return ForwardEnd::Done;
      } else {
        return this->broken(Begun, Into);
      }
    }
  }

private:
  template <AnswerSink Sink> ForwardEnd broken(bool Begun, Sink &Into) {
    if (!Begun)
      return ForwardEnd::Unknown;
    Into.cut();
    return ForwardEnd::Done;
  }
  std::uint64_t clock() {
    return this->Tables.Clock.tick(SystemClock{}.wall());
  }

  Board &Tables;
};

/// Sends an answer back to the daemon that passed the request on.
class PeerSink {
public:
  PeerSink(FrameSocket &Frames, HybridClock &Clock)
      : Frames(Frames), Clock(Clock) {}
  bool head(int Status, const std::string &Type, Millis Retry,
            AnswerLength Length);
  bool data(std::string_view Bytes);
  bool end();
  void cut();
  void note(Ran Outcome) { this->Error = Outcome; }

private:
  template <typename T> bool send(T Message) {
    return this->Frames.send(
        makeFrame(this->Clock.tick(SystemClock{}.wall()), std::move(Message)));
  }
  FrameSocket &Frames;
  HybridClock &Clock;
  std::optional<Ran> Error;
};

static_assert(AnswerSink<PeerSink>);

} // namespace waycove
