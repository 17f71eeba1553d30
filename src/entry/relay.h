// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/response_forwarder.h"
#include "entry/target_connector.h"
#include "policy/urgency.h"

namespace waycove {

/// Forwards callers' requests to targets and the responses back, byte for
/// byte. One object serves all connections. Each call handles one request from
/// admission to its single response, with further attempts at other targets
/// where the route and the retry limit allow it.
///
/// A request is reported as "not run" only if each attempt that reached a
/// target was declined by that target.
template <CallerProtocol Protocol> class Relay {
public:
  Relay(EntryBoard &Board, TargetConnectionPool &Pool, BufferBudget &Buffers)
      : Board(Board), Log(Board), Policy(Board),
        Connector(Board, Pool, this->Policy), Monitor(Board),
        Waiter(Board, this->Policy, this->Log, Buffers),
        Forwarder(Board, Pool, this->Waiter, this->Log) {}

  /// Serves \p Request and writes the response to \p Caller. Returns whether
  /// the connection may carry another request.
  bool serve(Channel &Caller, RelayRequest Request) {
    this->Board.InFlight.fetch_add(1);
    this->Board.RequestSeen = true;
    bool KeepAlive = Request.Head.getKeepAlive() && !this->Board.Stopping;
    CallerResponse Response(Caller, KeepAlive,
                            Request.Head.getMethod() != "HEAD");
    RelayProgress Progress;
    Progress.LastEvent = Request.Info.LastEvent;
    absl::Status Admitted = this->admit(Request);
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
  /// A target selection that is older is made again before the request is
  /// sent.
  static constexpr Millis MaxSelectionAge{250};
  /// Retry-After of a node that stops or has no room: another node accepts the
  /// request at once.
  static constexpr Millis OtherNodeRetryAfter{20};
  /// Retry-After of a request that is refused because targets crash under it.
  static constexpr Millis BlamedRetryAfter{5000};
  /// An unreachable target is avoided for about as long as the registry needs
  /// to remove it.
  static constexpr Millis UnreachableDuration{3000};

  absl::Status admit(RelayRequest &Request) const {
    if (this->Board.Refusing)
      return makeError(ErrorKind::Stopping, "stopping", OtherNodeRetryAfter);
    if (Request.HasNoRoom)
      return makeError(ErrorKind::NoCapacity, "the buffers for bodies are full",
                       OtherNodeRetryAfter);
    return admitRequest(this->Board, Request, SystemClock{}.now());
  }

  void runAttempts(RelayExchange Ex) {
    while (true) {
      TimePoint Now = SystemClock{}.now();
      if (Now >= Ex.Request.Deadline)
        return this->fail(Ex, "the deadline passed", true);
      if (!this->Policy.maySend(Ex.Request, Now))
        return this->failCrashing(Ex);
      std::optional<SelectedTarget> Selected =
          this->Policy.choose(Ex.Request, Ex.Progress, Now);
      if (!Selected)
        return this->failUnplaced(Ex, Now);
      Ex.Progress.Snapshot = Selected->Snapshot;
      this->Board.Counters.observe(Timer::RegistryAge, Selected->Snapshot.Age);
      if (Ex.Progress.SentCount > 0 &&
          !this->Policy.takeRetry(Ex.Request.Service, Now))
        return this->fail(Ex, "no second sends left in this window", false);
      AttemptOutcome End = this->attempt(Ex, *Selected, Now);
      if (End == AttemptOutcome::Done || End == AttemptOutcome::CallerGone)
        return this->Log.requestDone(Ex, Selected->To, End);
      if (End == AttemptOutcome::Broken || End == AttemptOutcome::Stalled)
        ++Ex.Progress.MayHaveRun;
      if (Ex.Progress.HasNoWay)
        return this->fail(Ex, Ex.Progress.Reason, false);
      if (!RelayPolicy::mayRetry(Ex.Request, Ex.Progress))
        return this->fail(Ex, Ex.Progress.Reason,
                          SystemClock{}.now() >= Ex.Request.Deadline);
    }
  }

  AttemptOutcome attempt(RelayExchange &Ex, SelectedTarget &Selected,
                         TimePoint SelectedAt) {
    RelayAttempt Attempt;
    Attempt.To = Selected.To;
    const VmIncarnation Target = Selected.To.Target->incarnation();
    Ex.Progress.Tried.push_back(Target.Id);
    ConnectOutcome Connection = this->Connector.connect(Ex, Attempt);
    Ex.Progress.HasNoWay = Connection == ConnectOutcome::NoWay;
    if (Connection == ConnectOutcome::NoTarget)
      this->Log.suspectTarget(Target, UnreachableDuration, Attempt.Reason,
                              Ex.Request.Info.Id);
    if (Connection != ConnectOutcome::Connected)
      return this->endAttempt(Ex, Attempt, AttemptOutcome::NotSent);
    Attempt.SentAt = SystemClock{}.now();
    // The target may have left, or asked for fewer requests, since: select
    // again. It stays eligible.
    if (Attempt.SentAt - SelectedAt > MaxSelectionAge)
      Attempt.Reason = "this machine stood still";
    else if (!this->Policy.confirm(Ex.Request, Selected, Attempt.SentAt))
      Attempt.Reason = "the target takes no request by now";
    if (!Attempt.Reason.empty()) {
      Ex.Progress.Tried.pop_back();
      return this->endAttempt(Ex, Attempt, AttemptOutcome::NotSent);
    }
    auto Prompt = static_cast<double>(Ex.Request.Info.PromptTokens);
    Attempt.LastByte = Attempt.SentAt;
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onStart(Target, Prompt, Attempt.SentAt);
    });
    AttemptOutcome End = this->exchange(Ex, Attempt);
    this->recordReach(Attempt);
    this->Policy.recordOutcome(Ex.Request, Attempt, End, SystemClock{}.now());
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onEnd(Target, Attempt.SentAt, Attempt.FirstByteSeen, Prompt);
      if (End != AttemptOutcome::CallerGone)
        Stats.onOutcome(Target, End == AttemptOutcome::Broken,
                        SystemClock{}.now());
    });
    // Bytes that were not delivered must not reach the target later, when it
    // may have left the registry. Only a reset discards them.
    if (End != AttemptOutcome::Done && Attempt.Connection)
      Attempt.Connection->abort();
    return this->endAttempt(Ex, Attempt, End);
  }

  /// Records an attempt that ended without any byte of the target. What a
  /// connection through another node shows is no evidence on this node's links.
  void recordReach(const RelayAttempt &Attempt) {
    bool IsDirect = Attempt.Connection && Attempt.Connection->isDirect();
    if (IsDirect && Attempt.ConnectionLost &&
        Attempt.LastByte == Attempt.SentAt)
      this->Monitor.onNoBytes(Attempt.To.Target->incarnation());
  }

  /// Sends the request over the open connection and forwards the response.
  AttemptOutcome exchange(RelayExchange &Ex, RelayAttempt &Attempt) {
    std::string Bytes = serializeRequest(Ex, Attempt);
    ++Ex.Progress.SentCount;
    this->Board.Counters.add(Counter::Attempts);
    if (Attempt.Connection->send(Bytes, Ex.Request.Deadline) != IoStatus::Ok) {
      Attempt.ConnectionLost = true;
      Attempt.Reason = "the connection broke while sending";
      return AttemptOutcome::Broken;
    }
    return this->Forwarder.forward(Ex, Attempt);
  }

  /// The bytes of the request as this attempt sends it to its target.
  static std::string serializeRequest(const RelayExchange &Ex,
                                      const RelayAttempt &Attempt) {
    const RelayRequest &Request = Ex.Request;
    Millis Waited =
        priorWait(*Request.Route, Request.Info.Timeout) +
        std::chrono::duration_cast<Millis>(Attempt.SentAt - Request.ArrivedAt);
    AttemptParams Params{
        Attempt.To.Target->Id, Request.Workspace,
        std::chrono::duration_cast<Millis>(Request.Deadline - Attempt.SentAt),
        urgencyOf(*Request.Route, Request.Owner, Waited),
        Ex.Progress.LastEvent};
    Poco::Net::HTTPRequest Head =
        Protocol::makeTargetRequest(Request.Head, Params);
    if (!Request.Body.Bytes.empty() || Request.Head.hasContentLength() ||
        Request.Head.getChunkedTransferEncoding())
      Head.setContentLength64(
          static_cast<Poco::Int64>(Request.Body.Bytes.size()));
    std::ostringstream Out;
    Head.write(Out);
    return Out.str() + Request.Body.Bytes;
  }

  AttemptOutcome endAttempt(const RelayExchange &Ex,
                            const RelayAttempt &Attempt, AttemptOutcome End) {
    Ex.Progress.Reason = Attempt.Reason;
    if (End != AttemptOutcome::Done)
      this->Log.attemptEnded(Ex, Attempt);
    return End;
  }

  /// The error for a caller whose request got no response from a target. It
  /// claims no more than is certain.
  static ErrorKind errorKindFor(const RelayProgress &Progress,
                                bool DeadlinePassed) {
    if (DeadlinePassed)
      return Progress.MayHaveRun ? ErrorKind::DeadlineAfterRun
                                 : ErrorKind::DeadlineBeforeRun;
    if (Progress.MayHaveRun)
      return ErrorKind::OutcomeUnknown;
    return Progress.SentCount ? ErrorKind::TargetBusy : ErrorKind::NoCapacity;
  }

  /// Ends a request for which there is no target.
  void failUnplaced(RelayExchange Ex, TimePoint Now) {
    std::optional<Millis> Opening =
        this->Policy.nextOpening(Ex.Request, Ex.Progress, Now);
    this->fail(Ex,
               Opening ? "all targets take no more requests now"
                       : "no target serves",
               false, Opening);
  }

  /// Ends a request for which no further attempt is allowed or possible. \p
  /// RetryAfter is told to the caller, or else an estimate.
  void fail(RelayExchange Ex, const std::string &Reason, bool DeadlinePassed,
            std::optional<Millis> RetryAfter = std::nullopt) {
    if (Ex.Response.hasStarted()) {
      Ex.Response.abort();
      return this->Log.requestCut(Ex, Reason);
    }
    if (Ex.Progress.Failure) {
      Ex.deliver(*Ex.Progress.Failure, Ex.Progress.FailureBody->Bytes);
      return this->Log.requestFailed(Ex, Reason);
    }
    this->refuse(Ex,
                 makeError(errorKindFor(Ex.Progress, DeadlinePassed), Reason,
                           RetryAfter.value_or(suggestRetryAfter(Ex.Request))));
  }

  /// Ends a request that is blamed for crashes of targets.
  void failCrashing(RelayExchange Ex) {
    const std::string Reason = "targets ended under it";
    if (Ex.Progress.MayHaveRun > 0)
      return this->fail(Ex, Reason, false);
    this->refuse(
        Ex, makeError(ErrorKind::CrashesTargets, Reason, BlamedRetryAfter));
  }

  void refuse(RelayExchange Ex, const absl::Status &Error) {
    const ErrorResponse &Template = responseFor(kindOf(Error));
    Poco::Net::HTTPResponse Out(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Template.HttpStatus));
    Out.setContentType("application/json");
    Protocol::setResponseHeaders(
        Out, Ex.Request.Info.Id,
        Template.RequestRan == Ran::No ? retryAfterOf(Error) : Millis(0));
    Ex.Response.sendWhole(Out, errorJson(Error),
                          SystemClock{}.now() + RelayExchange::WriteGrace);
    this->Log.requestRefused(Ex, Error);
  }

  EntryBoard &Board;
  RelayLog Log;
  RelayPolicy Policy;
  TargetConnector Connector;
  ReachMonitor Monitor;
  ResponseWait Waiter;
  ResponseForwarder<Protocol> Forwarder;
};

} // namespace waycove
