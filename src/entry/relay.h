// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/attempt_runner.h"
#include "entry/failure_responder.h"

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
      : Board(Board), Log(Board), Bounds(Board), Selector(Board, this->Bounds),
        Retries(Board, this->Selector), Crashes(Board),
        Places(Board, this->Crashes), Carriers(Board),
        Connector(Board, Pool, this->Carriers),
        Waiter(Board, this->Retries, this->Log, Buffers),
        Forwarder(Board, Pool, this->Waiter, this->Log),
        Runner(Board, this->Log, this->Selector, this->Crashes, this->Connector,
               this->Forwarder),
        Failures(this->Log) {}

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
    RelayExchange Ex{Caller, Request, Progress, Response};
    absl::Status Admitted = this->admit(Request);
    if (Admitted.ok()) {
      recordDemand(this->Board, Request.Info);
      Request.PriorWait = this->recordTimeout(Request);
      this->Retries.recordRequest(Request.Service);
      this->serveAdmitted(Ex);
    } else {
      this->Failures.refuse(Ex, Admitted);
    }
    this->Log.requestEnded(Ex);
    this->Board.InFlight.fetch_sub(1);
    return Response.mayReuseConnection();
  }

private:
  /// How often a request is queued again after targets rejected it. Each time
  /// costs the targets an attempt and the caller a wait.
  static constexpr unsigned MaxRequeues = 2;

  absl::Status admit(RelayRequest &Request) const {
    if (this->Board.Refusing)
      return makeError(ErrorKind::Stopping, "stopping",
                       FailureResponder<Protocol>::OtherNodeRetryAfter);
    if (Request.HasNoRoom)
      return makeError(ErrorKind::NoCapacity, "the buffers for bodies are full",
                       FailureResponder<Protocol>::OtherNodeRetryAfter);
    return admitRequest(this->Board, Request, SystemClock{}.now());
  }

  /// Returns how long the caller had waited when its request arrived.
  Millis recordTimeout(const RelayRequest &Request) {
    return this->Board.Timeouts.write([&](CallerTimeouts &Known) {
      return Known.onRequest(*Request.Route, Request.Info.Timeout);
    });
  }

  /// Sends the request to targets once it has a place in its pool.
  void serveAdmitted(RelayExchange Ex) {
    PlaceResult Entered = this->Places.enter(Ex);
    Ex.Progress.Queued += Entered.Waited;
    if (Entered.Outcome == PlaceOutcome::Granted)
      this->runAttempts(Ex, std::move(Entered.Place));
    else
      this->Failures.endWithoutPlace(Ex, Entered);
  }

  /// Whether a request that a target rejected waits for its turn again, rather
  /// than being sent to one full target after the other.
  bool mustRequeue(const RelayExchange &Ex, AttemptOutcome End) const {
    return End == AttemptOutcome::Refused &&
           this->Places.isOverloaded(poolOf(Ex.Request));
  }

  void runAttempts(RelayExchange Ex, HeldPlace Place) {
    while (true) {
      TimePoint Now = SystemClock{}.now();
      if (Now >= Ex.Request.Deadline)
        return this->Failures.fail(Ex, "the deadline passed", true);
      if (!this->Crashes.maySend(Ex.Request, Now))
        return this->Failures.failCrashing(Ex);
      std::optional<SelectedTarget> Selected =
          this->Selector.choose(Ex.Request, Ex.Progress, Now);
      if (!Selected)
        return this->Failures.failUnplaced(
            Ex, this->Selector.nextOpening(Ex.Request, Ex.Progress, Now));
      Ex.Progress.Snapshot = Selected->Snapshot;
      this->Board.Counters.observe(Timer::RegistryAge, Selected->Snapshot.Age);
      if (Ex.Progress.SentCount > 0 &&
          !this->Retries.takeRetry(Ex.Request.Service, Now))
        return this->Failures.fail(Ex, "no second sends left in this window",
                                   false);
      AttemptOutcome End = this->Runner.run(Ex, *Selected, Now);
      if (End == AttemptOutcome::Done || End == AttemptOutcome::CallerGone)
        return this->Log.requestDone(Ex, Selected->To, End);
      if (End == AttemptOutcome::Broken || End == AttemptOutcome::Stalled)
        ++Ex.Progress.MayHaveRun;
      if (Ex.Progress.HasNoWay)
        return this->Failures.fail(Ex, Ex.Progress.Reason, false);
      if (!mayRetry(*Ex.Request.Route, Ex.Progress.counts()))
        return this->Failures.fail(Ex, Ex.Progress.Reason,
                                   SystemClock{}.now() >= Ex.Request.Deadline);
      if (this->mustRequeue(Ex, End)) {
        if (++Ex.Progress.RequeueCount > MaxRequeues)
          return this->Failures.fail(Ex, Ex.Progress.Reason, false);
        PlaceResult Entered = this->Places.reenter(Ex, std::move(Place));
        Ex.Progress.Queued += Entered.Waited;
        if (Entered.Outcome != PlaceOutcome::Granted)
          return this->Failures.endWithoutPlace(Ex, Entered);
        Place = std::move(Entered.Place);
      }
    }
  }

  EntryBoard &Board;
  RelayLog Log;
  TargetBounds Bounds;
  TargetSelector Selector;
  RetryPolicy Retries;
  CrashGuard Crashes;
  PlaceGate Places;
  CarrierSelector Carriers;
  TargetConnector Connector;
  ResponseWait Waiter;
  ResponseForwarder<Protocol> Forwarder;
  AttemptRunner<Protocol> Runner;
  FailureResponder<Protocol> Failures;
};

} // namespace waycove
