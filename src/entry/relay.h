// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/answer_pass.h"
#include "policy/urgency.h"

namespace waycove {

/// Passes callers' requests on to targets, and answers back, byte for byte.
/// One object serves all connections; each call is one request's whole life:
/// admitted, offered to a target, offered to another where that is allowed and
/// within the shared allowance, and answered exactly once.
///
/// What may be told: a request is "not run" only while no send of it reached a
/// target that did not itself say so.
template <CallerProtocol Protocol> class Relay {
public:
  Relay(EntryBoard &Board, TargetPool &Pool)
      : Board(Board), Pool(Pool), Notes(Board), Choice(Board),
        Wait(Board, this->Choice, this->Notes),
        Answers(Board, Pool, this->Wait, this->Notes) {}

  /// Serves \p Request and answers on \p Caller. Whether the connection may be
  /// used for another request.
  bool serve(Channel &Caller, RelayRequest Request) {
    this->Board.InFlight.fetch_add(1);
    this->Board.Requested = true;
    bool Keep = Request.Head.getKeepAlive() && !this->Board.Stopping;
    CallerAnswer Answer(Caller, Keep, Request.Head.getMethod() != "HEAD");
    RelayRun Run;
    Run.LastEvent = Request.Facts.LastEvent;
    absl::Status Admitted =
        this->Board.Refusing
            ? makeError(ErrorKind::Stopping, "stopping", ComeBackElsewhere)
            : admitRequest(this->Board, Request, SystemClock{}.now());
    if (Admitted.ok()) {
      this->Choice.noteRequest(Request);
      this->run({Caller, Request, Run, Answer});
    } else {
      this->refuse({Caller, Request, Run, Answer}, Admitted);
    }
    this->Board.InFlight.fetch_sub(1);
    return Answer.keepsAlive();
  }

private:
  /// For a connection: data centres are some ms apart, and the tightest
  /// objective leaves little time for a host that is dark. An opening packet
  /// that was lost is sent again only after a second.
  static constexpr Millis DialTime{100};
  /// A choice that is older is made again: connecting takes DialTime at most.
  static constexpr Millis ChoiceTime{250};
  /// For a host to acknowledge what was sent: a lost packet is sent again
  /// after 200 ms.
  static constexpr Millis AcknowledgeTime{300};
  /// Another node takes the request at once.
  static constexpr Millis ComeBackElsewhere{20};
  /// What is blamed stays so, but where its trial clears it.
  static constexpr Millis BlamedTime{5000};
  /// A target that cannot be reached is left for this time: about as long as
  /// the registry needs to take it off the list.
  static constexpr Millis UnreachableTime{3000};

  void run(RelayExchange Ex) {
    while (true) {
      TimePoint Now = SystemClock{}.now();
      if (Now >= Ex.Request.Deadline)
        return this->giveUp(Ex, "the deadline passed", true);
      if (!this->Choice.maySend(Ex.Request, Now))
        return this->giveUpBlamed(Ex);
      std::optional<ChosenTarget> Chosen =
          this->Choice.choose(Ex.Request, Ex.Run, Now);
      if (!Chosen)
        return this->giveUp(Ex, "no target serves", false);
      Ex.Run.Basis = Chosen->Basis;
      this->Board.Counters.observe(Timer::RegistryAge, Chosen->Basis.Age);
      if (Ex.Run.Sent > 0 && !this->Choice.spend(Ex.Request.Service, Now))
        return this->giveUp(Ex, "no second sends left in this window", false);
      AttemptOutcome End = this->attempt(Ex, Chosen->To, Now);
      if (End == AttemptOutcome::Done || End == AttemptOutcome::CallerGone)
        return this->Notes.done(Ex, Chosen->To, End);
      if (End == AttemptOutcome::Broken || End == AttemptOutcome::Stalled)
        ++Ex.Run.MayHaveRun;
      if (!RelayChoice::mayGoOn(Ex.Request, Ex.Run))
        return this->giveUp(Ex, Ex.Run.Reason,
                            SystemClock{}.now() >= Ex.Request.Deadline);
    }
  }

  AttemptOutcome attempt(RelayExchange &Ex, const Serving &To,
                         TimePoint ChosenAt) {
    RelayAttempt Try;
    Try.To = To;
    const VmLife Life = To.Target->life();
    Ex.Run.Tried.push_back(Life.Id);
    if (!this->connect(Ex, Try)) {
      this->Notes.suspect(Life, UnreachableTime, Try.Reason,
                          Ex.Request.Facts.Id);
      return this->noteAttempt(Ex, Try, AttemptOutcome::NotSent);
    }
    Try.SentAt = SystemClock{}.now();
    if (Try.SentAt - ChosenAt > ChoiceTime) {
      // The target may have left since; it is chosen anew, and may be again.
      Ex.Run.Tried.pop_back();
      Try.Reason = "this machine stood still";
      return this->noteAttempt(Ex, Try, AttemptOutcome::NotSent);
    }
    auto Prompt = static_cast<double>(Ex.Request.Facts.PromptTokens);
    Try.LastByte = Try.SentAt;
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onStart(Life, Prompt, Try.SentAt);
    });
    AttemptOutcome End = this->exchange(Ex, Try);
    this->Choice.noteEnd(Ex.Request, Try, End, SystemClock{}.now());
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onEnd(Life, Try.SentAt, Try.FirstByteSeen, Prompt);
      if (End != AttemptOutcome::CallerGone)
        Stats.onOutcome(Life, End == AttemptOutcome::Broken,
                              SystemClock{}.now());
    });
    // What a cut still holds up must not be delivered seconds later, to a
    // target that has left by then: a reset takes it back, an end in good order
    // not.
    if (End != AttemptOutcome::Done && Try.Connection)
      Try.Connection->abort();
    return this->noteAttempt(Ex, Try, End);
  }

  bool connect(const RelayExchange &Ex, RelayAttempt &Try) {
    TimePoint Now = SystemClock{}.now();
    // A kept connection may just be closing; what cannot be repeated is not
    // put at that risk.
    if (Ex.Request.Route->mayRepeat())
      Try.Connection = this->Pool.take(Try.To.Target->life(), Now);
    if (Try.Connection)
      return true;
    IoEnd End = Channel::dial(Try.To.Target->Address,
                              std::min(Ex.Request.Deadline, Now + DialTime),
                              Try.Connection);
    if (End == IoEnd::Ok && Ex.Request.Route->mayRepeat())
      Try.Connection->giveUpUnacknowledged(AcknowledgeTime);
    if (End != IoEnd::Ok)
      Try.Reason = End == IoEnd::Timeout ? "no connection in time"
                                         : "connection refused";
    return End == IoEnd::Ok;
  }

  /// Sends the request over the open connection and deals with the answer.
  AttemptOutcome exchange(RelayExchange &Ex, RelayAttempt &Try) {
    std::string Bytes = sendBytes(Ex, Try);
    ++Ex.Run.Sent;
    this->Board.Counters.add(Counter::Attempts);
    if (Try.Connection->send(Bytes, Ex.Request.Deadline) != IoEnd::Ok) {
      Try.Lost = true;
      Try.Reason = "the connection broke while sending";
      return AttemptOutcome::Broken;
    }
    return this->Answers.read(Ex, Try);
  }

  /// The request as this send of it goes to its target.
  static std::string sendBytes(const RelayExchange &Ex,
                               const RelayAttempt &Try) {
    const RelayRequest &Request = Ex.Request;
    Millis Waited =
        waitedBefore(*Request.Route, Request.Facts.Deadline) +
        std::chrono::duration_cast<Millis>(Try.SentAt - Request.Arrived);
    SendFacts Facts{
        Try.To.Target->Id, Request.Workspace,
        std::chrono::duration_cast<Millis>(Request.Deadline - Try.SentAt),
        urgencyOf(*Request.Route, Request.Owner, Waited), Ex.Run.LastEvent};
    Poco::Net::HTTPRequest Head = Protocol::makeSend(Request.Head, Facts);
    if (!Request.Body.empty() || Request.Head.hasContentLength() ||
        Request.Head.getChunkedTransferEncoding())
      Head.setContentLength64(static_cast<Poco::Int64>(Request.Body.size()));
    std::ostringstream Out;
    Head.write(Out);
    return Out.str() + Request.Body;
  }

  AttemptOutcome noteAttempt(const RelayExchange &Ex, const RelayAttempt &Try,
                             AttemptOutcome End) {
    Ex.Run.Reason = Try.Reason;
    if (End != AttemptOutcome::Done)
      this->Notes.attemptEnded(Ex, Try);
    return End;
  }

  /// What a caller is told that gets no answer: only what is certain.
  static ErrorKind refusalOf(const RelayRun &Run, bool DeadlinePassed) {
    if (DeadlinePassed)
      return Run.MayHaveRun ? ErrorKind::DeadlineAfterRun
                            : ErrorKind::DeadlineBeforeRun;
    if (Run.MayHaveRun)
      return ErrorKind::OutcomeUnknown;
    return Run.Sent ? ErrorKind::TargetBusy : ErrorKind::NoCapacity;
  }

  /// Ends a request for which no further send is allowed or possible.
  void giveUp(RelayExchange Ex, const std::string &Reason,
              bool DeadlinePassed) {
    if (Ex.Answer.hasBegun()) {
      Ex.Answer.cut();
      return this->Notes.cut(Ex, Reason);
    }
    if (Ex.Run.Failure) {
      Ex.deliver(*Ex.Run.Failure, Ex.Run.FailureBody);
      return this->Notes.failed(Ex, Reason);
    }
    this->refuse(Ex, makeError(refusalOf(Ex.Run, DeadlinePassed), Reason,
                               comeBackAfter(Ex.Request)));
  }

  /// Ends a request under which targets ended: nothing known will serve it.
  void giveUpBlamed(RelayExchange Ex) {
    const std::string Reason = "targets ended under it";
    if (Ex.Run.MayHaveRun > 0)
      return this->giveUp(Ex, Reason, false);
    this->refuse(Ex, makeError(ErrorKind::CrashesTargets, Reason, BlamedTime));
  }

  void refuse(RelayExchange Ex, const absl::Status &Why) {
    const ErrorAnswer &Row = answerFor(kindOf(Why));
    Poco::Net::HTTPResponse Out(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Row.HttpStatus));
    Out.setContentType("application/json");
    Protocol::markAnswer(Out, Ex.Request.Facts.Id,
                         Row.RequestRan == Ran::No ? retryAfterOf(Why)
                                                   : Millis(0));
    Ex.Answer.whole(Out, errorJson(Why),
                    SystemClock{}.now() + RelayExchange::WriteGrace);
    this->Notes.refused(Ex, Why);
  }

  EntryBoard &Board;
  TargetPool &Pool;
  RelayNotes Notes;
  RelayChoice Choice;
  AnswerWait Wait;
  AnswerPass<Protocol> Answers;
};

} // namespace waycove
