// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/response_wait.h"
#include "entry/target_connection_pool.h"
#include "policy/connections.h"

namespace waycove {

/// Reads targets' answers and passes them on to callers: whole ones at once,
/// streams event by event. What is not certainly the target's own, whole and
/// in order is not passed on. Thread-safe.
template <CallerProtocol Protocol> class ResponseForwarder {
public:
  ResponseForwarder(EntryBoard &Board, TargetConnectionPool &Pool,
                    ResponseWait &Waiter, RelayLog &Log)
      : Board(Board), Pool(Pool), Waiter(Waiter), Log(Log) {}

  /// Reads the answer to the attempt's send and gives it to the caller; how the
  /// attempt ends.
  AttemptOutcome read(RelayExchange &Ex, RelayAttempt &Attempt) {
    std::string &Buffer = Attempt.Connection->buffer();
    for (unsigned Skipped = 0; Skipped <= MostSkipped;) {
      std::optional<std::size_t> Length = headLength(Buffer);
      if (!Length) {
        if (Buffer.size() > MostHeadBytes)
          break;
        if (std::optional<AttemptOutcome> End =
                this->Waiter.waitForBytes(Ex, Attempt))
          return *End;
        continue;
      }
      auto Head =
          parseResponseHead(std::string_view(Buffer).substr(0, *Length));
      if (!Head)
        break;
      Buffer.erase(0, *Length);
      if (Head->getStatus() < 200)
        continue;
      auto Body = responseBody(*Head, Ex.Request.Head.getMethod());
      if (!Body)
        break;
      TargetResponseInfo Info = Protocol::readResponseInfo(*Head);
      if (Info.Id == Ex.Request.Info.Id)
        return this->forwardResponse(Ex, Attempt, *Head, Info, *Body);
      // A late answer to a request before ours: drop it, ours follows.
      ++Skipped;
      std::string Dropped;
      if (AttemptOutcome End =
              this->Waiter.readBody(Ex, Attempt, *Body, Dropped);
          End != AttemptOutcome::Done)
        return End;
    }
    Attempt.Reason = "what came is no answer";
    return AttemptOutcome::Broken;
  }

private:
  /// A target that takes no more for now.
  static constexpr Millis FullTime{300};
  /// A target that is no head of a group, against what the registry says: a VM
  /// that started again behind a cut from the registry is listed as before
  /// until the cut ends, or three heartbeats passed. Asked again each 0.3 s,
  /// such heads used up the second sends of all others. What the registry shows
  /// anew ends it (RegistryFollower).
  static constexpr Millis MistakenTime{3600};
  static constexpr std::size_t MostHeadBytes = 64 << 10;
  /// Late answers to requests before ours that are skipped on a connection.
  static constexpr unsigned MostSkipped = 3;

  AttemptOutcome forwardResponse(RelayExchange &Ex, RelayAttempt &Attempt,
                                 const Poco::Net::HTTPResponse &Head,
                                 const TargetResponseInfo &Info,
                                 BodyDecoder &Body) {
    int Status = Head.getStatus();
    if (Info.NotRun) {
      std::string Unused;
      if (this->Waiter.readBody(Ex, Attempt, Body, Unused) ==
          AttemptOutcome::Done)
        this->keepConnection(Ex, Attempt, Head, Info, Body);
      Attempt.Reason = "not taken, status " + std::to_string(Status);
      this->Log.suspectTarget(Attempt.To.Target->incarnation(),
                              Info.WrongTarget ? MistakenTime : FullTime,
                              Attempt.Reason, Ex.Request.Info.Id);
      return AttemptOutcome::Refused;
    }
    this->recordFirstByte(Ex, Attempt);
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onResponseHead(Attempt.To.Target->incarnation(),
                           !Head.getKeepAlive());
    });
    bool Success = Status >= 200 && Status < 300;
    Attempt.Succeeded = Success;
    if (Success && (!Info.Signed || Head.has("Content-Encoding"))) {
      Attempt.Reason = "a success that is not the target's own answer";
      return AttemptOutcome::Broken;
    }
    if (Success && Ex.Request.Route->Kind == RouteKind::Stream &&
        Head.getContentType().rfind("text/event-stream", 0) == 0)
      return this->forwardStream(Ex, Attempt, Head, Info, Body);
    return this->forwardWhole(Ex, Attempt, Head, Info, Body);
  }

  AttemptOutcome forwardWhole(RelayExchange &Ex, RelayAttempt &Attempt,
                              const Poco::Net::HTTPResponse &Head,
                              const TargetResponseInfo &Info,
                              BodyDecoder &Body) {
    std::string Bytes;
    if (AttemptOutcome End = this->Waiter.readBody(Ex, Attempt, Body, Bytes);
        End != AttemptOutcome::Done)
      return End;
    this->keepConnection(Ex, Attempt, Head, Info, Body);
    if (Ex.Response.hasStarted()) {
      Attempt.Reason = "status " + std::to_string(Head.getStatus()) +
                       " where a stream was to go on";
      return AttemptOutcome::Broken;
    }
    if (Head.getStatus() >= 500 && Ex.Request.Route->mayRepeat()) {
      Attempt.Reason =
          "the target failed, status " + std::to_string(Head.getStatus());
      Ex.Progress.Failure = Head;
      Ex.Progress.FailureBody = std::move(Bytes);
      return AttemptOutcome::Broken;
    }
    return Ex.deliver(Head, Bytes) ? AttemptOutcome::Done
                                   : AttemptOutcome::CallerGone;
  }

  /// Passes whole events on as they come, from where the caller is.
  AttemptOutcome forwardStream(RelayExchange &Ex, RelayAttempt &Attempt,
                               const Poco::Net::HTTPResponse &Head,
                               const TargetResponseInfo &Info,
                               BodyDecoder &Body) {
    std::string Payload;
    bool FirstEvent = true;
    while (true) {
      Body.feed(Attempt.Connection->buffer(), Payload);
      std::string Ready;
      bool InOrder = takeEvents(Ex, Payload, FirstEvent, Ready);
      if (!Ready.empty())
        this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
          Stats.onProgress(Attempt.To.Target->incarnation(), Attempt.LastByte);
        });
      // What came in order counts as had by the caller: it goes out first.
      if (!forwardEvents(Ex, Head, Ready))
        return AttemptOutcome::CallerGone;
      if (!InOrder) {
        Attempt.Reason = "an event is out of order";
        return AttemptOutcome::Broken;
      }
      if (Body.isDone())
        return this->endStream(Ex, Attempt, Head, Info, Body, Payload);
      if (Body.isMalformed()) {
        Attempt.Reason = "the stream's framing is damaged";
        return AttemptOutcome::Broken;
      }
      if (std::optional<AttemptOutcome> End =
              this->Waiter.waitForBody(Ex, Attempt, Body))
        return *End;
    }
  }

  /// Moves the whole events of \p Payload to \p Ready; false where one is out
  /// of order.
  static bool takeEvents(RelayExchange &Ex, std::string &Payload,
                         bool &FirstEvent, std::string &Ready) {
    while (std::optional<StreamEvent> Event = takeEvent(Payload)) {
      if (!isInOrder(Ex, *Event, FirstEvent))
        return false;
      FirstEvent = false;
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
    // A resumed stream has to go on right behind the last event.
    return First ? *Event.Id == *Ex.Progress.LastEvent + 1
                 : *Event.Id > *Ex.Progress.LastEvent;
  }

  static bool forwardEvents(RelayExchange &Ex,
                            const Poco::Net::HTTPResponse &Head,
                            const std::string &Ready) {
    if (Ready.empty())
      return true;
    if (!Ex.Response.hasStarted()) {
      Poco::Net::HTTPResponse Out(Head.getStatus(), Head.getReason());
      copyEndToEnd(Head, Out);
      if (Ex.Response.beginStream(Out, Ex.writeUntil()) != IoStatus::Ok)
        return false;
    }
    return Ex.Response.sendChunk(Ready, Ex.writeUntil()) == IoStatus::Ok;
  }

  AttemptOutcome endStream(RelayExchange &Ex, RelayAttempt &Attempt,
                           const Poco::Net::HTTPResponse &Head,
                           const TargetResponseInfo &Info,
                           const BodyDecoder &Body, const std::string &Rest) {
    if (!Rest.empty()) {
      Attempt.Reason = "the stream ends within an event";
      return AttemptOutcome::Broken;
    }
    this->keepConnection(Ex, Attempt, Head, Info, Body);
    if (!Ex.Response.hasStarted())
      return Ex.deliver(Head, "") ? AttemptOutcome::Done
                                  : AttemptOutcome::CallerGone;
    return Ex.Response.endStream(Ex.writeUntil()) == IoStatus::Ok
               ? AttemptOutcome::Done
               : AttemptOutcome::CallerGone;
  }

  void keepConnection(const RelayExchange &Ex, RelayAttempt &Attempt,
                      const Poco::Net::HTTPResponse &Head,
                      const TargetResponseInfo &Info, const BodyDecoder &Body) {
    if (!Head.getKeepAlive() || Body.kind() == Framing::UntilClose)
      return;
    const VmIncarnation Target = Attempt.To.Target->incarnation();
    const ServiceSpec *Spec = Ex.Request.Config->service(Ex.Request.Service);
    unsigned Most = idleConnectionLimit(Spec ? Spec->MaxConnections : 1,
                                        this->Board.perNodeShare(),
                                        this->Board.Config.Node, Target.Id);
    this->Pool.put(Target, std::move(*Attempt.Connection),
                   Info.KeepAlive.value_or(Millis(0)), Most,
                   SystemClock{}.now());
    Attempt.Connection.reset();
  }

  void recordFirstByte(const RelayExchange &Ex, RelayAttempt &Attempt) {
    TimePoint Now = SystemClock{}.now();
    Attempt.FirstByteSeen = true;
    if (!Ex.Progress.FirstByte)
      Ex.Progress.FirstByte =
          std::chrono::duration_cast<Millis>(Now - Ex.Request.ArrivedAt);
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onFirstByte(Attempt.To.Target->incarnation(), Attempt.SentAt,
                        static_cast<double>(Ex.Request.Info.PromptTokens), Now);
    });
    this->Board.Counters.observe(Timer::FirstToken, Now - Ex.Request.ArrivedAt);
  }

  EntryBoard &Board;
  TargetConnectionPool &Pool;
  ResponseWait &Waiter;
  RelayLog &Log;
};

} // namespace waycove
