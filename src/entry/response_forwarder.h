// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/response_wait.h"
#include "entry/target_connection_pool.h"
#include "policy/connections.h"

namespace waycove {

/// Reads targets' responses and forwards them to callers, streams event by
/// event and other responses whole. Only forwards what provably comes from the
/// target and is complete and in order. Thread-safe.
template <CallerProtocol Protocol> class ResponseForwarder {
public:
  ResponseForwarder(EntryBoard &Board, TargetConnectionPool &Pool,
                    ResponseWait &Waiter, RelayLog &Log,
                    AttemptRecorder &Attempts)
      : Board(Board), Pool(Pool), Waiter(Waiter), Log(Log), Attempts(Attempts),
        Monitor(Board) {}

  /// Reads the response to an attempt and forwards it to the caller, from where
  /// it was left if the attempt has been silent. Returns how the attempt ends.
  AttemptOutcome forward(RelayExchange &Ex, RelayAttempt &Attempt) {
    if (!Attempt.Received) {
      if (std::optional<AttemptOutcome> End = this->receiveHead(Ex, Attempt))
        return *End;
      if (std::optional<AttemptOutcome> End = this->acceptHead(Ex, Attempt))
        return *End;
    }
    return isEventStream(Ex, *Attempt.Received)
               ? this->forwardStream(Ex, Attempt)
               : this->forwardWhole(Ex, Attempt);
  }

private:
  /// For how long a target is avoided that is not what the registry says. A VM
  /// that restarted while cut off from the registry stays listed for up to
  /// three heartbeats, and retries at it would use up the retry limit. A change
  /// of its registry entry ends this early (RegistryFollower).
  static constexpr Millis WrongTargetDuration{3600};
  static constexpr std::size_t MaxEventBytes = 1 << 20;
  /// Targets end a response that stays unread for some seconds.
  static constexpr Millis UnreadDuration{1000};
  /// Late responses to earlier requests that are skipped on a connection.
  static constexpr unsigned MaxSkipped = 3;

  /// Reads up to the head of the response. Returns how the attempt ends, if it
  /// ends before.
  std::optional<AttemptOutcome> receiveHead(RelayExchange &Ex,
                                            RelayAttempt &Attempt) {
    std::string &Buffer = Attempt.Connection->buffer();
    for (unsigned Skipped = 0; Skipped <= MaxSkipped;) {
      std::optional<Poco::Net::HTTPResponse> Head;
      ResponseHeadReader::Result Read = Attempt.Heads.take(Buffer, Head);
      if (Read == ResponseHeadReader::Result::Incomplete) {
        if (std::optional<AttemptOutcome> End =
                this->Waiter.waitForBytes(Ex, Attempt))
          return *End;
        continue;
      }
      if (Read == ResponseHeadReader::Result::Invalid)
        break;
      auto Body = responseBody(*Head, Ex.Request.Head.getMethod());
      if (!Body)
        break;
      TargetResponseInfo Info = Protocol::readResponseInfo(*Head);
      if (Attempt.Connection->isDirect())
        this->Monitor.onContact();
      if (Info.Id == Ex.Request.Info.Id) {
        Attempt.Answer.onProgress();
        if (Info.Statement)
          this->Log.recordStatement(
              {Attempt.target(), Attempt.SentAt, Ex.Request.Info.Id},
              *Info.Statement);
        Attempt.Received.emplace(
            TargetResponse{std::move(*Head), std::move(Info), *Body});
        return std::nullopt;
      }
      // A late response to an earlier request: discard it, ours follows.
      ++Skipped;
      if (AttemptOutcome End = this->Waiter.skipBody(Ex, Attempt, *Body);
          End != AttemptOutcome::Done) {
        // Where the next response begins is no longer known.
        Attempt.Next.reset();
        return End == AttemptOutcome::Silent ? AttemptOutcome::Broken : End;
      }
    }
    return this->Waiter.endOverBounds(Ex, Attempt, "what came is no answer");
  }

  static bool isEventStream(const RelayExchange &Ex,
                            const TargetResponse &Received) {
    int Status = Received.Head.getStatus();
    return Status >= 200 && Status < 300 &&
           Ex.Request.Route->Kind == RouteKind::Stream &&
           Received.Head.getContentType().rfind("text/event-stream", 0) == 0;
  }

  /// Records what the head of the response shows. Returns how the attempt ends
  /// if the response is not forwarded.
  std::optional<AttemptOutcome> acceptHead(RelayExchange &Ex,
                                           RelayAttempt &Attempt) {
    const TargetResponse &Received = *Attempt.Received;
    if (Received.Info.NotRun)
      return this->endDeclined(Ex, Attempt);
    this->recordFirstByte(Ex, Attempt);
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onResponseHead(Attempt.target(), !Received.Head.getKeepAlive());
    });
    int Status = Received.Head.getStatus();
    Attempt.Succeeded = Status >= 200 && Status < 300;
    if (Attempt.Succeeded &&
        (!Received.Info.Signed || Received.Head.has("Content-Encoding"))) {
      Attempt.Reason = "a success that is not the target's own answer";
      return AttemptOutcome::Broken;
    }
    return std::nullopt;
  }

  /// Ends an attempt whose target states that it did not run the request.
  AttemptOutcome endDeclined(RelayExchange &Ex, RelayAttempt &Attempt) {
    TargetResponse &Received = *Attempt.Received;
    if (this->Waiter.skipDeclinedBody(Ex, Attempt, Received.Body))
      this->returnConnection(Ex, Attempt);
    Attempt.Reason =
        "not taken, status " + std::to_string(Received.Head.getStatus());
    this->Log.suspectTarget(Attempt.target(),
                            Received.Info.WrongTarget
                                ? WrongTargetDuration
                                : this->recordRejection(Ex, Attempt),
                            Attempt.Reason, Ex.Request.Info.Id);
    return AttemptOutcome::Refused;
  }

  AttemptOutcome forwardWhole(RelayExchange &Ex, RelayAttempt &Attempt) {
    TargetResponse &Received = *Attempt.Received;
    const Poco::Net::HTTPResponse &Head = Received.Head;
    if (!Received.Whole)
      Received.Whole = std::make_shared<BufferedBody>();
    if (AttemptOutcome End =
            this->Waiter.readBody(Ex, Attempt, Received.Body, *Received.Whole);
        End != AttemptOutcome::Done)
      return End;
    this->returnConnection(Ex, Attempt);
    if (Ex.Response.hasStarted()) {
      Attempt.Reason = "status " + std::to_string(Head.getStatus()) +
                       " where a stream was to go on";
      return AttemptOutcome::Broken;
    }
    if (Head.getStatus() >= 500 && Ex.Request.Route->mayRepeat()) {
      Attempt.Reason =
          "the target failed, status " + std::to_string(Head.getStatus());
      Ex.Progress.Failure = Head;
      Ex.Progress.FailureBody = Received.Whole;
      return AttemptOutcome::Broken;
    }
    this->Attempts.giveUpSilent(Ex);
    return Ex.deliver(Head, Received.Whole->Bytes) ? AttemptOutcome::Done
                                                   : callerGone(Ex, Attempt);
  }

  /// Forwards whole events as they arrive, starting after the last event that
  /// the caller has.
  AttemptOutcome forwardStream(RelayExchange &Ex, RelayAttempt &Attempt) {
    TargetResponse &Received = *Attempt.Received;
    while (true) {
      Received.Body.feed(Attempt.Connection->buffer(), Received.Payload);
      std::string Ready;
      bool InOrder = extractEvents(Ex, Received, Ready);
      if (!Ready.empty()) {
        Attempt.Answer.onProgress();
        this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
          Stats.onProgress(Attempt.target(), Attempt.LastByte);
        });
      }
      // LastEvent already includes these events, so they are sent even if the
      // next one is out of order.
      if (!this->forwardEvents(Ex, Attempt, Ready))
        return callerGone(Ex, Attempt);
      if (!InOrder) {
        Attempt.Reason = "an event is out of order";
        return AttemptOutcome::Broken;
      }
      if (Received.Body.isDone())
        return this->endStream(Ex, Attempt);
      if (Received.Body.isMalformed() ||
          Received.Payload.size() > MaxEventBytes)
        return this->Waiter.endOverBounds(Ex, Attempt,
                                          "the stream's framing is damaged");
      if (std::optional<AttemptOutcome> End =
              this->Waiter.waitForBody(Ex, Attempt, Received.Body))
        return endUnread(Ex, Attempt, *End);
    }
  }

  /// Ends an attempt whose response could not be written to the caller.
  static AttemptOutcome callerGone(const RelayExchange &Ex,
                                   RelayAttempt &Attempt) {
    Ex.Progress.CallerIsSlow = Ex.Response.hasTimedOut();
    Attempt.Reason = Ex.Progress.CallerIsSlow
                         ? "the caller did not read in time"
                         : "the caller's connection broke";
    return AttemptOutcome::CallerGone;
  }

  /// Returns how an attempt ends whose stream ended with \p End. If the caller
  /// held it up for long, the target ended it for that reason, and another
  /// attempt would not fare better.
  static AttemptOutcome endUnread(const RelayExchange &Ex,
                                  RelayAttempt &Attempt, AttemptOutcome End) {
    if (!Attempt.ConnectionLost || Attempt.HeldUpFor < UnreadDuration)
      return End;
    Attempt.ConnectionLost = false;
    Ex.Progress.CallerIsSlow = true;
    Attempt.Reason = "the caller did not read for " +
                     std::to_string(Attempt.HeldUpFor.count()) + " ms";
    Ex.Response.abort();
    return AttemptOutcome::CallerGone;
  }

  /// Moves the whole events that have arrived to \p Ready. Returns false if one
  /// is out of order.
  static bool extractEvents(RelayExchange &Ex, TargetResponse &Received,
                            std::string &Ready) {
    while (std::optional<StreamEvent> Event = takeEvent(Received.Payload)) {
      if (!isInOrder(Ex, *Event, Received.FirstEvent))
        return false;
      Received.FirstEvent = false;
      Ready += Event->Bytes;
      if (Event->Id)
        Ex.Progress.LastEvent = Event->Id;
    }
    return true;
  }

  static bool isInOrder(const RelayExchange &Ex, const StreamEvent &Event,
                        bool First) {
    if (!Event.Id || !Ex.Progress.LastEvent)
      return true;
    // A resumed stream has to continue directly after the last event.
    return First ? *Event.Id == *Ex.Progress.LastEvent + 1
                 : *Event.Id > *Ex.Progress.LastEvent;
  }

  /// Sends events to the caller, after the head if they are the first. Returns
  /// false if the caller has left. While the caller does not read, nothing is
  /// read from the target either, which is no sign of a stalled target.
  bool forwardEvents(RelayExchange &Ex, RelayAttempt &Attempt,
                     const std::string &Ready) {
    if (Ready.empty())
      return true;
    // They could not continue after these events.
    this->Attempts.giveUpSilent(Ex);
    if (!Ex.Response.hasStarted()) {
      const Poco::Net::HTTPResponse &Head = Attempt.Received->Head;
      Poco::Net::HTTPResponse Out(Head.getStatus(), Head.getReason());
      copyEndToEnd(Head, Out);
      if (Ex.Response.beginStream(Out, Ex.writeUntil()) != IoStatus::Ok)
        return false;
    }
    const VmIncarnation Target = Attempt.target();
    std::optional<TimePoint> HeldUpSince;
    IoStatus Status = Ex.Response.sendChunk(Ready, Ex.writeUntil(), [&] {
      HeldUpSince = SystemClock{}.now();
      this->Board.TargetStats.write(
          [&](TargetStatsTable &Stats) { Stats.onHeldUp(Target); });
    });
    if (HeldUpSince) {
      TimePoint Now = SystemClock{}.now();
      Attempt.HeldUpFor +=
          std::chrono::duration_cast<Millis>(Now - *HeldUpSince);
      Attempt.LastByte = Now;
      Attempt.Answer = AnswerProgress(Now);
      this->Board.TargetStats.write(
          [&](TargetStatsTable &Stats) { Stats.onReleased(Target, Now); });
    }
    return Status == IoStatus::Ok;
  }

  /// Ends the response after the last event.
  AttemptOutcome endStream(RelayExchange &Ex, RelayAttempt &Attempt) {
    if (!Attempt.Received->Payload.empty()) {
      Attempt.Reason = "the stream ends within an event";
      return AttemptOutcome::Broken;
    }
    this->returnConnection(Ex, Attempt);
    this->Attempts.giveUpSilent(Ex);
    bool IsWhole = Ex.Response.hasStarted()
                       ? Ex.Response.endStream(Ex.writeUntil()) == IoStatus::Ok
                       : Ex.deliver(Attempt.Received->Head, "");
    return IsWhole ? AttemptOutcome::Done : callerGone(Ex, Attempt);
  }

  /// Returns the connection to the pool if it can carry another request.
  void returnConnection(const RelayExchange &Ex, RelayAttempt &Attempt) {
    const TargetResponse &Received = *Attempt.Received;
    if (!Received.Head.getKeepAlive() ||
        Received.Body.kind() == Framing::UntilClose)
      return;
    const ServiceSpec *Spec = Ex.Request.Config->service(Ex.Request.Service);
    unsigned Max = idleConnectionLimit(
        Spec ? Spec->MaxConnections : 1, this->Board.perNodeShare(),
        this->Board.Config.Node, Attempt.to().Target->Id);
    Channel *Direct = Attempt.Connection->direct();
    if (!Direct)
      return;
    this->Pool.put(Attempt.target(), std::move(*Direct),
                   Received.Info.KeepAlive.value_or(Millis(0)), Max,
                   SystemClock{}.now());
    Attempt.Connection.reset();
  }

  /// Returns for how long the target of the rejected attempt is avoided.
  Millis recordRejection(const RelayExchange &Ex, const RelayAttempt &Attempt) {
    if (Ex.Progress.SentCount == 1)
      this->Board.Counters.add(Counter::FirstAttemptsRejected);
    return this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      return Stats.onRejected(Attempt.target(), SystemClock{}.now());
    });
  }

  void recordFirstByte(const RelayExchange &Ex, RelayAttempt &Attempt) {
    TimePoint Now = SystemClock{}.now();
    Attempt.FirstByteSeen = true;
    if (!Ex.Progress.FirstByte)
      Ex.Progress.FirstByte =
          std::chrono::duration_cast<Millis>(Now - Ex.Request.ArrivedAt);
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onFirstByte(Attempt.target(), Attempt.SentAt,
                        static_cast<double>(Ex.Request.Info.PromptTokens), Now);
    });
    this->Board.Counters.observe(Timer::FirstToken, Now - Ex.Request.ArrivedAt);
  }

  EntryBoard &Board;
  TargetConnectionPool &Pool;
  ResponseWait &Waiter;
  RelayLog &Log;
  AttemptRecorder &Attempts;
  ReachMonitor Monitor;
};

} // namespace waycove
