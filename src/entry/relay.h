// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/response_forwarder.h"
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
  Relay(EntryBoard &Board, TargetConnectionPool &Pool)
      : Board(Board), Pool(Pool), Log(Board), Policy(Board),
        Waiter(Board, this->Policy, this->Log),
        Forwarder(Board, Pool, this->Waiter, this->Log) {}

  /// Serves \p Request and answers on \p Caller. Whether the connection may be
  /// used for another request.
  bool serve(Channel &Caller, RelayRequest Request) {
    this->Board.InFlight.fetch_add(1);
    this->Board.RequestSeen = true;
    bool Keep = Request.Head.getKeepAlive() && !this->Board.Stopping;
    CallerResponse Response(Caller, Keep, Request.Head.getMethod() != "HEAD");
    RelayProgress Progress;
    Progress.LastEvent = Request.Info.LastEvent;
    absl::Status Admitted =
        this->Board.Refusing
            ? makeError(ErrorKind::Stopping, "stopping", ComeBackElsewhere)
            : admitRequest(this->Board, Request, SystemClock{}.now());
    if (Admitted.ok()) {
      this->Policy.recordRequest(Request);
      this->runAttempts({Caller, Request, Progress, Response});
    } else {
      this->refuse({Caller, Request, Progress, Response}, Admitted);
    }
    this->Board.InFlight.fetch_sub(1);
    return Response.mayReuseConnection();
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

  void runAttempts(RelayExchange Ex) {
    while (true) {
      TimePoint Now = SystemClock{}.now();
      if (Now >= Ex.Request.Deadline)
        return this->fail(Ex, "the deadline passed", true);
      if (!this->Policy.maySend(Ex.Request, Now))
        return this->failCrashing(Ex);
      std::optional<ChosenTarget> Chosen =
          this->Policy.choose(Ex.Request, Ex.Progress, Now);
      if (!Chosen)
        return this->fail(Ex, "no target serves", false);
      Ex.Progress.Snapshot = Chosen->Snapshot;
      this->Board.Counters.observe(Timer::RegistryAge, Chosen->Snapshot.Age);
      if (Ex.Progress.SentCount > 0 &&
          !this->Policy.takeRetry(Ex.Request.Service, Now))
        return this->fail(Ex, "no second sends left in this window", false);
      AttemptOutcome End = this->attempt(Ex, Chosen->To, Now);
      if (End == AttemptOutcome::Done || End == AttemptOutcome::CallerGone)
        return this->Log.requestDone(Ex, Chosen->To, End);
      if (End == AttemptOutcome::Broken || End == AttemptOutcome::Stalled)
        ++Ex.Progress.MayHaveRun;
      if (!RelayPolicy::mayRetry(Ex.Request, Ex.Progress))
        return this->fail(Ex, Ex.Progress.Reason,
                          SystemClock{}.now() >= Ex.Request.Deadline);
    }
  }

  AttemptOutcome attempt(RelayExchange &Ex, const ServingTarget &To,
                         TimePoint ChosenAt) {
    RelayAttempt Attempt;
    Attempt.To = To;
    const VmIncarnation Life = To.Target->incarnation();
    Ex.Progress.Tried.push_back(Life.Id);
    if (!this->connect(Ex, Attempt)) {
      this->Log.suspectTarget(Life, UnreachableTime, Attempt.Reason,
                              Ex.Request.Info.Id);
      return this->endAttempt(Ex, Attempt, AttemptOutcome::NotSent);
    }
    Attempt.SentAt = SystemClock{}.now();
    if (Attempt.SentAt - ChosenAt > ChoiceTime) {
      // The target may have left since; it is chosen anew, and may be again.
      Ex.Progress.Tried.pop_back();
      Attempt.Reason = "this machine stood still";
      return this->endAttempt(Ex, Attempt, AttemptOutcome::NotSent);
    }
    auto Prompt = static_cast<double>(Ex.Request.Info.PromptTokens);
    Attempt.LastByte = Attempt.SentAt;
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onStart(Life, Prompt, Attempt.SentAt);
    });
    AttemptOutcome End = this->exchange(Ex, Attempt);
    this->Policy.recordOutcome(Ex.Request, Attempt, End, SystemClock{}.now());
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onEnd(Life, Attempt.SentAt, Attempt.FirstByteSeen, Prompt);
      if (End != AttemptOutcome::CallerGone)
        Stats.onOutcome(Life, End == AttemptOutcome::Broken,
                        SystemClock{}.now());
    });
    // What a cut still holds up must not be delivered seconds later, to a
    // target that has left by then: a reset takes it back, an end in good order
    // not.
    if (End != AttemptOutcome::Done && Attempt.Connection)
      Attempt.Connection->abort();
    return this->endAttempt(Ex, Attempt, End);
  }

  bool connect(const RelayExchange &Ex, RelayAttempt &Attempt) {
    TimePoint Now = SystemClock{}.now();
    // A kept connection may just be closing; what cannot be repeated is not
    // put at that risk.
    if (Ex.Request.Route->mayRepeat())
      Attempt.Connection =
          this->Pool.take(Attempt.To.Target->incarnation(), Now);
    if (Attempt.Connection)
      return true;
    IoStatus End = Channel::connect(
        Attempt.To.Target->Address,
        std::min(Ex.Request.Deadline, Now + DialTime), Attempt.Connection);
    if (End == IoStatus::Ok && Ex.Request.Route->mayRepeat())
      Attempt.Connection->setAckTimeout(AcknowledgeTime);
    if (End != IoStatus::Ok)
      Attempt.Reason = End == IoStatus::Timeout ? "no connection in time"
                                                : "connection refused";
    return End == IoStatus::Ok;
  }

  /// Sends the request over the open connection and deals with the answer.
  AttemptOutcome exchange(RelayExchange &Ex, RelayAttempt &Attempt) {
    std::string Bytes = serializeRequest(Ex, Attempt);
    ++Ex.Progress.SentCount;
    this->Board.Counters.add(Counter::Attempts);
    if (Attempt.Connection->send(Bytes, Ex.Request.Deadline) != IoStatus::Ok) {
      Attempt.ConnectionLost = true;
      Attempt.Reason = "the connection broke while sending";
      return AttemptOutcome::Broken;
    }
    return this->Forwarder.read(Ex, Attempt);
  }

  /// The request as this send of it goes to its target.
  static std::string serializeRequest(const RelayExchange &Ex,
                                      const RelayAttempt &Attempt) {
    const RelayRequest &Request = Ex.Request;
    Millis Waited =
        priorWait(*Request.Route, Request.Info.Timeout) +
        std::chrono::duration_cast<Millis>(Attempt.SentAt - Request.ArrivedAt);
    AttemptParams Info{
        Attempt.To.Target->Id, Request.Workspace,
        std::chrono::duration_cast<Millis>(Request.Deadline - Attempt.SentAt),
        urgencyOf(*Request.Route, Request.Owner, Waited),
        Ex.Progress.LastEvent};
    Poco::Net::HTTPRequest Head =
        Protocol::makeTargetRequest(Request.Head, Info);
    if (!Request.Body.empty() || Request.Head.hasContentLength() ||
        Request.Head.getChunkedTransferEncoding())
      Head.setContentLength64(static_cast<Poco::Int64>(Request.Body.size()));
    std::ostringstream Out;
    Head.write(Out);
    return Out.str() + Request.Body;
  }

  AttemptOutcome endAttempt(const RelayExchange &Ex,
                            const RelayAttempt &Attempt, AttemptOutcome End) {
    Ex.Progress.Reason = Attempt.Reason;
    if (End != AttemptOutcome::Done)
      this->Log.attemptEnded(Ex, Attempt);
    return End;
  }

  /// What a caller is told that gets no answer: only what is certain.
  static ErrorKind errorKindFor(const RelayProgress &Progress,
                                bool DeadlinePassed) {
    if (DeadlinePassed)
      return Progress.MayHaveRun ? ErrorKind::DeadlineAfterRun
                                 : ErrorKind::DeadlineBeforeRun;
    if (Progress.MayHaveRun)
      return ErrorKind::OutcomeUnknown;
    return Progress.SentCount ? ErrorKind::TargetBusy : ErrorKind::NoCapacity;
  }

  /// Ends a request for which no further send is allowed or possible.
  void fail(RelayExchange Ex, const std::string &Reason, bool DeadlinePassed) {
    if (Ex.Response.hasStarted()) {
      Ex.Response.abort();
      return this->Log.requestCut(Ex, Reason);
    }
    if (Ex.Progress.Failure) {
      Ex.deliver(*Ex.Progress.Failure, Ex.Progress.FailureBody);
      return this->Log.requestFailed(Ex, Reason);
    }
    this->refuse(Ex, makeError(errorKindFor(Ex.Progress, DeadlinePassed),
                               Reason, comeBackAfter(Ex.Request)));
  }

  /// Ends a request under which targets ended: nothing known will serve it.
  void failCrashing(RelayExchange Ex) {
    const std::string Reason = "targets ended under it";
    if (Ex.Progress.MayHaveRun > 0)
      return this->fail(Ex, Reason, false);
    this->refuse(Ex, makeError(ErrorKind::CrashesTargets, Reason, BlamedTime));
  }

  void refuse(RelayExchange Ex, const absl::Status &Why) {
    const ErrorResponse &Row = responseFor(kindOf(Why));
    Poco::Net::HTTPResponse Out(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Row.HttpStatus));
    Out.setContentType("application/json");
    Protocol::setResponseHeaders(Out, Ex.Request.Info.Id,
                                 Row.RequestRan == Ran::No ? retryAfterOf(Why)
                                                           : Millis(0));
    Ex.Response.sendWhole(Out, errorJson(Why),
                          SystemClock{}.now() + RelayExchange::WriteGrace);
    this->Log.requestRefused(Ex, Why);
  }

  EntryBoard &Board;
  TargetConnectionPool &Pool;
  RelayLog Log;
  RelayPolicy Policy;
  ResponseWait Waiter;
  ResponseForwarder<Protocol> Forwarder;
};

} // namespace waycove
