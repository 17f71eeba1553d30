// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/answer_wait.h"
#include "entry/target_pool.h"
#include "policy/connections.h"

namespace waycove {

/// Reads targets' answers and passes them on to callers: whole ones at once,
/// streams event by event. What is not certainly the target's own, whole and
/// in order is not passed on. Thread-safe.
template <CallerProtocol Protocol> class AnswerPass {
public:
  AnswerPass(EntryBoard &Board, TargetPool &Pool, AnswerWait &Wait,
             RelayNotes &Notes)
      : Board(Board), Pool(Pool), Wait(Wait), Notes(Notes) {}

  /// Reads the answer to the attempt's send and gives it to the caller; how the
  /// attempt ends.
  AttemptOutcome read(RelayExchange &Ex, RelayAttempt &Try) {
    std::string &Buffer = Try.Connection->buffer();
    for (unsigned Skipped = 0; Skipped <= MostSkipped;) {
      std::optional<std::size_t> Length = headLength(Buffer);
      if (!Length) {
        if (Buffer.size() > MostHeadBytes)
          break;
        if (std::optional<AttemptOutcome> End = this->Wait.forBytes(Ex, Try))
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
      TargetFacts Facts = Protocol::readTarget(*Head);
      if (Facts.Request == Ex.Request.Facts.Id)
        return this->takeAnswer(Ex, Try, *Head, Facts, *Body);
      // A late answer to a request before ours: drop it, ours follows.
      ++Skipped;
      std::string Dropped;
      if (AttemptOutcome End = this->Wait.readBody(Ex, Try, *Body, Dropped);
          End != AttemptOutcome::Done)
        return End;
    }
    Try.Reason = "what came is no answer";
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

  AttemptOutcome takeAnswer(RelayExchange &Ex, RelayAttempt &Try,
                            const Poco::Net::HTTPResponse &Head,
                            const TargetFacts &Facts, BodyDecoder &Body) {
    int Status = Head.getStatus();
    if (Facts.NotRun) {
      std::string Unused;
      if (this->Wait.readBody(Ex, Try, Body, Unused) == AttemptOutcome::Done)
        this->keepConnection(Ex, Try, Head, Facts, Body);
      Try.Reason = "not taken, status " + std::to_string(Status);
      this->Notes.suspect(Try.To.Target->life(),
                          Facts.Mistaken ? MistakenTime : FullTime, Try.Reason,
                          Ex.Request.Facts.Id);
      return AttemptOutcome::Refused;
    }
    this->noteFirstByte(Ex, Try);
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onResponseHead(Try.To.Target->life(), !Head.getKeepAlive());
    });
    bool Success = Status >= 200 && Status < 300;
    Try.Succeeds = Success;
    if (Success && (!Facts.Signed || Head.has("Content-Encoding"))) {
      Try.Reason = "a success that is not the target's own answer";
      return AttemptOutcome::Broken;
    }
    if (Success && Ex.Request.Route->Kind == RouteKind::Stream &&
        Head.getContentType().rfind("text/event-stream", 0) == 0)
      return this->passStream(Ex, Try, Head, Facts, Body);
    return this->passWhole(Ex, Try, Head, Facts, Body);
  }

  AttemptOutcome passWhole(RelayExchange &Ex, RelayAttempt &Try,
                           const Poco::Net::HTTPResponse &Head,
                           const TargetFacts &Facts, BodyDecoder &Body) {
    std::string Bytes;
    if (AttemptOutcome End = this->Wait.readBody(Ex, Try, Body, Bytes);
        End != AttemptOutcome::Done)
      return End;
    this->keepConnection(Ex, Try, Head, Facts, Body);
    if (Ex.Answer.hasBegun()) {
      Try.Reason = "status " + std::to_string(Head.getStatus()) +
                   " where a stream was to go on";
      return AttemptOutcome::Broken;
    }
    if (Head.getStatus() >= 500 && Ex.Request.Route->mayRepeat()) {
      Try.Reason =
          "the target failed, status " + std::to_string(Head.getStatus());
      Ex.Run.Failure = Head;
      Ex.Run.FailureBody = std::move(Bytes);
      return AttemptOutcome::Broken;
    }
    return Ex.deliver(Head, Bytes) ? AttemptOutcome::Done
                                   : AttemptOutcome::CallerGone;
  }

  /// Passes whole events on as they come, from where the caller is.
  AttemptOutcome passStream(RelayExchange &Ex, RelayAttempt &Try,
                            const Poco::Net::HTTPResponse &Head,
                            const TargetFacts &Facts, BodyDecoder &Body) {
    std::string Payload;
    bool FirstEvent = true;
    while (true) {
      Body.feed(Try.Connection->buffer(), Payload);
      std::string Ready;
      bool InOrder = takeEvents(Ex, Payload, FirstEvent, Ready);
      if (!Ready.empty())
        this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
          Stats.onProgress(Try.To.Target->life(), Try.LastByte);
        });
      // What came in order counts as had by the caller: it goes out first.
      if (!sendEvents(Ex, Head, Ready))
        return AttemptOutcome::CallerGone;
      if (!InOrder) {
        Try.Reason = "an event is out of order";
        return AttemptOutcome::Broken;
      }
      if (Body.isDone())
        return this->endStream(Ex, Try, Head, Facts, Body, Payload);
      if (Body.isBad()) {
        Try.Reason = "the stream's framing is damaged";
        return AttemptOutcome::Broken;
      }
      if (std::optional<AttemptOutcome> End = this->Wait.forBody(Ex, Try, Body))
        return *End;
    }
  }

  /// Moves the whole events of \p Payload to \p Ready; false where one is out
  /// of order.
  static bool takeEvents(RelayExchange &Ex, std::string &Payload,
                         bool &FirstEvent, std::string &Ready) {
    while (std::optional<StreamEvent> Event = takeEvent(Payload)) {
      if (!followsOn(Ex, *Event, FirstEvent))
        return false;
      FirstEvent = false;
      Ready += Event->Bytes;
      if (Event->Id)
        Ex.Run.LastEvent = Event->Id;
    }
    return true;
  }

  static bool followsOn(const RelayExchange &Ex, const StreamEvent &Event,
                        bool First) {
    if (!Event.Id || !Ex.Run.LastEvent)
      return true;
    // A resumed stream has to go on right behind the last event.
    return First ? *Event.Id == *Ex.Run.LastEvent + 1
                 : *Event.Id > *Ex.Run.LastEvent;
  }

  static bool sendEvents(RelayExchange &Ex, const Poco::Net::HTTPResponse &Head,
                         const std::string &Ready) {
    if (Ready.empty())
      return true;
    if (!Ex.Answer.hasBegun()) {
      Poco::Net::HTTPResponse Out(Head.getStatus(), Head.getReason());
      copyEndToEnd(Head, Out);
      if (Ex.Answer.begin(Out, Ex.writeUntil()) != IoEnd::Ok)
        return false;
    }
    return Ex.Answer.part(Ready, Ex.writeUntil()) == IoEnd::Ok;
  }

  AttemptOutcome endStream(RelayExchange &Ex, RelayAttempt &Try,
                           const Poco::Net::HTTPResponse &Head,
                           const TargetFacts &Facts, const BodyDecoder &Body,
                           const std::string &Rest) {
    if (!Rest.empty()) {
      Try.Reason = "the stream ends within an event";
      return AttemptOutcome::Broken;
    }
    this->keepConnection(Ex, Try, Head, Facts, Body);
    if (!Ex.Answer.hasBegun())
      return Ex.deliver(Head, "") ? AttemptOutcome::Done
                                  : AttemptOutcome::CallerGone;
    return Ex.Answer.end(Ex.writeUntil()) == IoEnd::Ok
               ? AttemptOutcome::Done
               : AttemptOutcome::CallerGone;
  }

  void keepConnection(const RelayExchange &Ex, RelayAttempt &Try,
                      const Poco::Net::HTTPResponse &Head,
                      const TargetFacts &Facts, const BodyDecoder &Body) {
    if (!Head.getKeepAlive() || Body.kind() == Framing::UntilClose)
      return;
    const VmLife Target = Try.To.Target->life();
    const ServiceSpec *Spec = Ex.Request.Config->service(Ex.Request.Service);
    unsigned Most = idleConnectionLimit(Spec ? Spec->MaxConnections : 1,
                                        this->Board.evenShare(),
                                        this->Board.Config.Node, Target.Id);
    this->Pool.keep(Target, std::move(*Try.Connection),
                    Facts.KeepAlive.value_or(Millis(0)), Most,
                    SystemClock{}.now());
    Try.Connection.reset();
  }

  void noteFirstByte(const RelayExchange &Ex, RelayAttempt &Try) {
    TimePoint Now = SystemClock{}.now();
    Try.FirstByteSeen = true;
    if (!Ex.Run.FirstByte)
      Ex.Run.FirstByte =
          std::chrono::duration_cast<Millis>(Now - Ex.Request.Arrived);
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onFirstByte(
          Try.To.Target->life(), Try.SentAt,
          static_cast<double>(Ex.Request.Facts.PromptTokens), Now);
    });
    this->Board.Counters.observe(Timer::FirstToken, Now - Ex.Request.Arrived);
  }

  EntryBoard &Board;
  TargetPool &Pool;
  AnswerWait &Wait;
  RelayNotes &Notes;
};

} // namespace waycove
