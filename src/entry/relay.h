// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/attempt_runner.h"
#include "entry/failure_responder.h"

#include <thread>
#include <utility>

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
        Attempts(Board, this->Log, this->Crashes),
        Waiter(Board, this->Retries, this->Crashes, this->Log, this->Attempts,
               Buffers),
        Forwarder(Board, Pool, this->Waiter, this->Log, this->Attempts),
        Runner(Board, this->Log, this->Selector, this->Crashes, this->Connector,
               this->Attempts, this->Forwarder),
        Failures(this->Log) {}

  /// Serves \p Request and writes the response to \p Caller. Returns whether
  /// the connection may carry another request.
  bool serve(Channel &Caller, RelayRequest Request) {
    InFlightHold Counted(this->Board.InFlight);
    this->Board.RequestSeen = true;
    bool KeepAlive = Request.Head.getKeepAlive() && !this->Board.Stopping;
    CallerResponse Response(Caller, KeepAlive,
                            Request.Head.getMethod() != "HEAD");
    RelayProgress Progress;
    Progress.LastEvent = Request.Info.LastEvent;
    std::vector<RelayAttempt> Silent;
    RelayExchange Ex{Caller, Request, Progress, Response, Silent};
    absl::Status Admitted = this->admit(Request);
    if (Admitted.ok()) {
      recordDemand(this->Board, Request.Info);
      Request.PriorWait = this->recordTimeout(Request);
      this->Retries.recordRequest(Request.Service);
      try {
        this->serveAdmitted(Ex);
      } catch (const std::exception &Error) {
        this->endFaulted(Ex, Error);
      }
    } else {
      this->Failures.refuse(Ex, Admitted);
    }
    this->Log.requestEnded(Ex);
    return Response.mayReuseConnection();
  }

private:
  /// Counts a request as in flight for as long as it is served.
  class InFlightHold {
  public:
    explicit InFlightHold(std::atomic<std::uint32_t> &Count) : Count(Count) {
      ++this->Count;
    }
    ~InFlightHold() { --this->Count; }
    InFlightHold(const InFlightHold &) = delete;
    InFlightHold &operator=(const InFlightHold &) = delete;

  private:
    std::atomic<std::uint32_t> &Count;
  };

  /// How often a request is queued again after targets rejected it. Each time
  /// costs the targets an attempt and the caller a wait.
  static constexpr unsigned MaxRequeues = 2;
  /// How often a started response that has no target, no retry or no way looks
  /// for one.
  static constexpr Millis LookInterval{100};

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
    std::optional<RelayAttempt> Attempt = this->nextAttempt(Ex);
    while (Attempt) {
      AttemptOutcome End = this->run(Ex, *Attempt);
      if (End == AttemptOutcome::Done || End == AttemptOutcome::CallerGone) {
        this->Attempts.endSilent(Ex);
        return this->Log.requestDone(Ex, Attempt->to(), End);
      }
      this->countRun(Ex, *Attempt, End);
      // Others may be waiting for what it holds.
      if (End != AttemptOutcome::Silent)
        Attempt->release();
      Attempt = this->attemptAfter(Ex, std::move(*Attempt), End, Place);
    }
  }

  /// Makes an attempt or goes on with it. Ends it if it throws.
  AttemptOutcome run(RelayExchange &Ex, RelayAttempt &Attempt) {
    try {
      return this->Runner.run(Ex, Attempt);
    } catch (const std::exception &) {
      // It says nothing about the target.
      if (Attempt.IsOpen)
        this->Attempts.end(Ex, Attempt, AttemptOutcome::Stalled);
      throw;
    }
  }

  /// Ends a request that this node cannot go on with.
  void endFaulted(RelayExchange &Ex, const std::exception &Error) {
    this->Attempts.endSilent(Ex);
    if (Ex.Response.hasStarted())
      return this->Failures.cut(Ex, CutCause::Fault, Error.what());
    this->Failures.refuse(Ex, makeError(ErrorKind::Internal, Error.what()));
  }

  /// Counts an attempt that may have run, once.
  static void countRun(RelayExchange &Ex, RelayAttempt &Attempt,
                       AttemptOutcome End) {
    bool MayHaveRun =
        End != AttemptOutcome::NotSent && End != AttemptOutcome::Refused;
    if (MayHaveRun && !std::exchange(Attempt.IsCountedAsRun, true))
      ++Ex.Progress.MayHaveRun;
  }

  /// The attempt to make after \p Last ended with \p End: its successor, an
  /// earlier one that goes on, or a new one. Ends the request and returns
  /// nothing if there is none.
  std::optional<RelayAttempt> attemptAfter(RelayExchange &Ex, RelayAttempt Last,
                                           AttemptOutcome End,
                                           HeldPlace &Place) {
    if (End == AttemptOutcome::Silent) {
      RelayAttempt Next;
      Next.Selected = std::move(Last.Next->To);
      Next.SelectedAt = SystemClock{}.now();
      Next.Retry = std::move(Last.Next->Retry);
      Last.Next.reset();
      Ex.Silent.push_back(std::move(Last));
      return Next;
    }
    if (End == AttemptOutcome::Stalled) {
      this->Attempts.endSilent(Ex);
      this->endUnserved(Ex, Last.Reason);
      return std::nullopt;
    }
    if (!Ex.Silent.empty()) {
      if (End == AttemptOutcome::Overtaken)
        Ex.Progress.Pacer.onSilentWentOn();
      else
        Ex.Progress.Pacer.onSuccessorFailed(SystemClock{}.now());
      RelayAttempt Earlier = std::move(Ex.Silent.back());
      Ex.Silent.pop_back();
      return Earlier;
    }
    if (Ex.Response.hasStarted())
      return this->attemptToGoOn(Ex, End);
    if (Ex.Progress.HasNoWay || !mayRetry(*Ex.Request.Route, Ex.counts())) {
      this->endUnserved(Ex, Last.Reason);
      return std::nullopt;
    }
    if (this->mustRequeue(Ex, End) && !this->requeue(Ex, Last.Reason, Place))
      return std::nullopt;
    return this->nextAttempt(Ex);
  }

  /// Waits for another place after a target rejected the request. Ends the
  /// request and returns false if it gets none.
  bool requeue(RelayExchange &Ex, const std::string &Reason, HeldPlace &Place) {
    if (++Ex.Progress.RequeueCount > MaxRequeues) {
      this->Failures.fail(Ex, Reason, false);
      return false;
    }
    PlaceResult Entered = this->Places.reenter(Ex, std::move(Place));
    Ex.Progress.Queued += Entered.Waited;
    if (Entered.Outcome != PlaceOutcome::Granted) {
      this->Failures.endWithoutPlace(Ex, Entered);
      return false;
    }
    Place = std::move(Entered.Place);
    return true;
  }

  /// Whether another attempt of a started response is allowed. Waits a while to
  /// learn that targets have ended, if that may allow one. Otherwise ends the
  /// response.
  bool mayGoOn(RelayExchange &Ex) {
    while (auto Cause =
               causeToCut(*Ex.Request.Route, this->Retries.countsOf(Ex))) {
      TimePoint Now = SystemClock{}.now();
      if (*Cause != CutCause::AttemptsUsed ||
          !this->Retries.mayExcuseMore(Ex, Now)) {
        this->Failures.cut(Ex, *Cause, Ex.Progress.Reason);
        return false;
      }
      if (Now >= Ex.Request.Deadline) {
        this->endUnserved(Ex, Ex.Progress.Reason);
        return false;
      }
      if (!this->pause(Ex, LookInterval, Ex.Progress.Reason))
        return false;
    }
    return true;
  }

  /// The attempt with which a started response goes on after one has ended. It
  /// keeps its place, and may return to targets that declined it. Pauses if
  /// several have ended shortly after each other: their targets may be ending
  /// together, or this node may be losing its links.
  std::optional<RelayAttempt> attemptToGoOn(RelayExchange &Ex,
                                            AttemptOutcome End) {
    if (!this->mayGoOn(Ex))
      return std::nullopt;
    Millis Pause =
        End == AttemptOutcome::NotSent
            ? LookInterval
            : Ex.Progress.Pacer.pauseAfterFailure(SystemClock{}.now());
    if (Pause > Millis(0) && !this->pause(Ex, Pause, Ex.Progress.Reason,
                                          End == AttemptOutcome::Refused))
      return std::nullopt;
    return this->nextAttempt(Ex);
  }

  /// A new attempt at a target that takes the request, with its retry. Without
  /// them, a started response waits until its deadline; others end, and nothing
  /// is returned.
  std::optional<RelayAttempt> nextAttempt(RelayExchange &Ex) {
    while (true) {
      TimePoint Now = SystemClock{}.now();
      if (Now >= Ex.Request.Deadline) {
        this->endUnserved(Ex, "the deadline passed");
        return std::nullopt;
      }
      std::string Missing;
      std::optional<Millis> Opening;
      std::optional<RelayAttempt> Next;
      bool IsBlamed = Ex.Response.hasStarted()
                          ? !this->Crashes.isCleared(Ex.Request, Now)
                          : this->Crashes.isBlamed(Ex.Request, Now);
      if (!IsBlamed) {
        Ex.Progress.Pacer.onCleared();
        Next = this->prepareAttempt(Ex, Now, Missing, Opening);
      }
      if (Next && this->Crashes.maySend(Ex.Request, Now))
        return Next;
      if (Next || IsBlamed) {
        Next.reset();
        if (!this->awaitClearing(Ex, Now))
          return std::nullopt;
        continue;
      }
      if (!Ex.Response.hasStarted()) {
        this->Failures.fail(Ex, Missing, false, Opening);
        return std::nullopt;
      }
      if (!this->pause(Ex, LookInterval, Missing))
        return std::nullopt;
      this->allowAgain(Ex);
    }
  }

  /// Lets a started response that is blamed for crashes of targets wait until
  /// it is cleared. Others, and those for which that takes too long, end, and
  /// false is returned.
  bool awaitClearing(RelayExchange &Ex, TimePoint Now) {
    if (Ex.Response.hasStarted() && Ex.Progress.Pacer.mayAwaitClearing(Now))
      return this->pause(Ex, LookInterval, "targets ended under it");
    this->Failures.failCrashing(Ex);
    return false;
  }

  /// Lets a started response go to a target again rather than to none, but for
  /// those that may have ended.
  void allowAgain(RelayExchange &Ex) {
    RelayProgress &Progress = Ex.Progress;
    TimePoint Now = SystemClock{}.now();
    Progress.Tried.clear();
    for (const LostTarget &Row : Progress.Lost)
      if (this->Selector.mayHaveEnded(Row, Now))
        Progress.Tried.push_back(Row.Target.Id);
  }

  /// Selects a target and takes a retry, if the request needs one. Returns
  /// nothing, and tells in \p Missing and \p Opening what is missing and about
  /// how long until there is one, if either is not to be had.
  std::optional<RelayAttempt> prepareAttempt(RelayExchange &Ex, TimePoint Now,
                                             std::string &Missing,
                                             std::optional<Millis> &Opening) {
    bool NeedsRetry = Ex.Progress.SentCount > 0;
    const std::string NoRetry = "no second sends left in this window";
    // Before the target, whose rate the selection may count against.
    if (NeedsRetry && Ex.Response.hasStarted() &&
        !this->Retries.hasLeft(Ex.Request.Service, Now)) {
      Missing = NoRetry;
      return std::nullopt;
    }
    std::optional<SelectedTarget> Selected =
        this->Selector.choose(Ex.Request, Ex.Progress, Now);
    if (!Selected) {
      Opening = this->Selector.nextOpening(Ex.Request, Ex.Progress, Now);
      Missing = Opening ? "all targets take no more requests now"
                        : "no target serves";
      return std::nullopt;
    }
    Ex.Progress.Snapshot = Selected->Snapshot;
    this->Board.Counters.observe(Timer::RegistryAge, Selected->Snapshot.Age);
    RelayAttempt Next;
    Next.Selected = std::move(*Selected);
    Next.SelectedAt = Now;
    if (NeedsRetry &&
        !(Next.Retry = this->Retries.take(Ex.Request.Service, Now))) {
      Missing = NoRetry;
      return std::nullopt;
    }
    return Next;
  }

  /// Lets a started response wait for \p Duration, since \p Missing; if targets
  /// are \p Full, less if another request ends after the first interval. Ends
  /// it and returns false if its caller leaves or this node ends.
  bool pause(RelayExchange &Ex, Millis Duration, const std::string &Missing,
             bool Full = false) {
    if (!std::exchange(Ex.Progress.HasWaited, true))
      this->Log.requestWaits(Ex, Missing);
    Ex.Progress.Reason = Missing;
    std::uint64_t Releases = this->Places.releases();
    TimePoint Begin = SystemClock{}.now();
    TimePoint End = std::min(Ex.Request.Deadline, Begin + Duration);
    bool HasRoom = false;
    for (TimePoint Now = Begin; Now < End && !HasRoom;
         Now = SystemClock{}.now()) {
      TimePoint Until = std::min<TimePoint>(End, Now + LookInterval);
      if (Full && Now > Begin)
        HasRoom = this->Places.waitForRelease(Releases, Until);
      else
        std::this_thread::sleep_for(Until - Now);
      if (Ex.Caller.isClosedByPeer()) {
        this->Failures.cut(Ex, CutCause::CallerLeft, "the caller left");
        return false;
      }
      if (this->Board.Ending) {
        this->Failures.cut(Ex, CutCause::Stopping, Missing);
        return false;
      }
    }
    return true;
  }

  /// Ends a request for which no further attempt is possible, or whose time has
  /// passed.
  void endUnserved(RelayExchange &Ex, const std::string &Reason) {
    bool DeadlinePassed = SystemClock{}.now() >= Ex.Request.Deadline;
    if (!Ex.Response.hasStarted())
      return this->Failures.fail(Ex, Reason, DeadlinePassed);
    this->Failures.cut(
        Ex, DeadlinePassed ? CutCause::Timeout : CutCause::Stopping, Reason);
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
  AttemptRecorder Attempts;
  ResponseWait Waiter;
  ResponseForwarder<Protocol> Forwarder;
  AttemptRunner<Protocol> Runner;
  FailureResponder<Protocol> Failures;
};

} // namespace waycove
