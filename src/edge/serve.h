// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/claim_binder.h"
#include "edge/forward.h"
#include "edge/serve_model.h"
#include "edge/serve_plain.h"

namespace waycove {

/// Decides which daemon dispatches a request's key.
template <typename T>
concept KeyBinder = requires(T &B, const ClaimId &Id, WallMs Issued,
                             TimePoint Until) {
  { B.bind(Id, Issued, Until) } -> std::same_as<absl::StatusOr<IncarnationId>>;
};

/// Interval at which a request polls for another one with the same key.
constexpr Millis KeyPollInterval(10);
/// Max daemons of one data centre that a request is forwarded to.
constexpr std::size_t MaxDaemonsPerDataCentre = 3;

/// Serves callers' requests: placement, idempotency, forwarding to other data
/// centres, and dispatch to the model or plain server. Thread-safe; each
/// request is served on the calling thread.
template <EngineService Engine, PlainService Plain, KeyBinder Binder>
class Server {
public:
  Server(Board &Tables, Engine &Models, Plain &Services, Binder &Keys,
         Forwarder &PeerForwarder)
      : Tables(Tables), Keys(Keys), PeerForwarder(PeerForwarder),
        PlacementRules(Tables), AdmissionControl(Tables, PlacementRules),
        TargetAttempts(Tables, PlacementRules),
        ModelRequests(Tables, Models, AdmissionControl, TargetAttempts),
        ServiceRequests(Tables, Services, AdmissionControl, TargetAttempts) {}

  /// Serves \p Request. The response in \p Sink is either complete or visibly
  /// incomplete.
  template <ResponseSink SinkT>
  void serve(const CallerRequest &Request, SinkT &Sink) {
    this->Tables.InFlight.fetch_add(1);
    auto Began = SystemClock{}.now();
    absl::Status Result = this->serveChecked(Request, Sink);
    this->Tables.InFlight.fetch_sub(1);
    if (Result.ok()) {
      this->Tables.Counters.add(Counter::RequestsDone);
      this->Tables.Counters.observe(Timer::WholeResponse,
                                    SystemClock{}.now() - Began);
      this->Tables.Log.emit(EventCode::RequestDone, Request.Id.Text);
      return;
    }
    this->Tables.Counters.add(Counter::RequestsRefused);
    this->Tables.Log.emit(EventCode::RequestRefused, Request.Id.Text,
                          std::string(responseFor(kindOf(Result)).Name) + ": " +
                              messageOf(Result));
  }

  /// Creates a key that only this daemon may dispatch, without using the log.
  IdempotencyKey mintTicket() {
    return makeTicket(SystemClock{}.wall(), this->Tables.Self.Incarnation,
                      this->NextTicket.fetch_add(1));
  }

private:
  /// Refuses a request before the dispatcher of its key is known. A request
  /// with a key may have run on another daemon, so its outcome is unknown.
  template <ResponseSink SinkT>
  static absl::Status refuseUnclaimed(const CallerRequest &Request, SinkT &Sink,
                                      const absl::Status &Status) {
    return refuse(Sink,
                  Request.Key.empty() ? Status : markOutcomeUnknown(Status));
  }

  /// Serves the request and returns the error that it ended with, if any.
  template <ResponseSink SinkT>
  absl::Status serveChecked(const CallerRequest &Request, SinkT &Sink) {
    // 1. Check that this daemon accepts work.
    if (this->Tables.Stopping && !Request.Forwarded)
      return this->refuseUnclaimed(Request, Sink,
                                   makeError(ErrorKind::Stopping,
                                             "this node is stopping",
                                             DefaultRetryAfter));
    if (!this->Tables.Ready)
      return this->refuseUnclaimed(Request, Sink,
                                   makeError(ErrorKind::NotReady,
                                             "no current configuration yet",
                                             DefaultRetryAfter));
    // 2. Determine the allowed targets.
    absl::StatusOr<RoutePlan> Plan = this->PlacementRules.plan(Request);
    if (!Plan.ok())
      return this->refuseUnclaimed(Request, Sink, Plan.status());
    // 3. Keyed requests are dispatched at most once, by one daemon. It waits
    // for the response while it forwards one to another data centre, so that
    // must not come back to it.
    if (!Request.Key.empty() && !Request.Repeatable && !Request.isDispatched())
      return this->serveOnce(Request, *Plan, Sink);
    return this->serveOrForward(Request, *Plan, Sink);
  }

  /// Serves the request here, or forwards it where no local target may serve it
  /// but other data centres might.
  template <ResponseSink SinkT>
  absl::Status serveOrForward(const CallerRequest &Request,
                              const RoutePlan &Plan, SinkT &Sink) {
    bool Here =
        std::any_of(Plan.View->Targets.begin(), Plan.View->Targets.end(),
                    [&](const RouteTarget &Target) {
                      return Target.allows(Plan.Wanted) &&
                             this->PlacementRules.serves(Target);
                    });
    if (!Here && !Request.Forwarded)
      if (std::vector<DataCentreId> DataCentres =
              this->PlacementRules.otherDataCentres(Request, Plan);
          !DataCentres.empty())
        return this->forwardElsewhere(Request, DataCentres, Sink);
    if (!Here)
      return refuse(Sink, this->PlacementRules.noTargetError(Plan));
    if (Request.Target.Kind == ObjectKind::Deployment)
      return this->ModelRequests.serve(Request, Plan, Sink);
    return this->ServiceRequests.serve(Request, Plan, Sink);
  }

  /// Forwards the request to daemons of \p DataCentres in turn until one takes
  /// it.
  template <ResponseSink SinkT>
  absl::Status forwardElsewhere(const CallerRequest &Request,
                                const std::vector<DataCentreId> &DataCentres,
                                SinkT &Sink) {
    std::uint64_t Hash = hashText(Request.Id.Text);
    for (std::size_t I = 0; I < DataCentres.size() * MaxDaemonsPerDataCentre;
         ++I) {
      const DataCentreId &DataCentre =
          DataCentres[(Hash + I) % DataCentres.size()];
      std::optional<Endpoint> Address = this->PlacementRules.pickDaemon(
          DataCentre, Hash + I / DataCentres.size());
      if (!Address)
        continue;
      this->Tables.Log.emit(EventCode::RequestForwarded, Request.Id.Text,
                            DataCentre.Text);
      switch (this->PeerForwarder.forward(Request, *Address, Sink)) {
      case ForwardOutcome::Done:
        return absl::OkStatus();
      case ForwardOutcome::CallerGone:
        return makeError(ErrorKind::OutcomeUnknown, "the caller left");
      case ForwardOutcome::NotSent:
        continue;
      case ForwardOutcome::Unknown:
        if (Request.Repeatable)
          continue;
        return refuse(Sink,
                      makeError(ErrorKind::OutcomeUnknown,
                                "the data centre it was passed to does not "
                                "answer"));
      }
    }
    return refuse(Sink, makeError(ErrorKind::NoCapacity,
                                  "no allowed data centre answers",
                                  DefaultRetryAfter));
  }

  // Requests that run at most once.

  /// The daemon that may dispatch the key: its minter, or the one whose claim
  /// is first in the log.
  absl::StatusOr<IncarnationId> dispatcherOf(const CallerRequest &Request,
                                             const IdempotencyKeyParts &Parts) {
    if (!Parts.Issuer.empty())
      return Parts.Issuer;
    ClaimId Id{Request.Workspace, Request.Key};
    IncarnationId Known = this->Tables.State.read([&](const FoldState &State) {
      const Claim *Row = State.claim(Id);
      return Row ? Row->Dispatcher : IncarnationId();
    });
    if (!Known.empty())
      return Known;
    return this->Keys.bind(Id, Parts.Issued, Request.Deadline);
  }

  /// Refuses tickets that are older than the minter's record of their use.
  absl::Status checkTicket(const IdempotencyKeyParts &Parts) const {
    auto Now = SystemClock{}.wall().Value;
    auto Window = static_cast<std::uint64_t>(KeyWindow.count());
    if (Parts.Issued.Value + Window <= Now)
      return makeError(ErrorKind::KeyExpired, "the ticket is too old");
    return absl::OkStatus();
  }

  /// Serves a request with a key, here or at the key's dispatcher.
  template <ResponseSink SinkT>
  absl::Status serveOnce(const CallerRequest &Request, const RoutePlan &Plan,
                         SinkT &Sink) {
    // 1. Validate the key.
    absl::StatusOr<IdempotencyKeyParts> Parts = parseKey(Request.Key);
    if (!Parts.ok())
      return refuse(Sink, Parts.status());
    if (!Parts->Issuer.empty())
      if (absl::Status Age = this->checkTicket(*Parts); !Age.ok())
        return refuse(Sink, Age);
    // 2. Find its dispatcher.
    absl::StatusOr<IncarnationId> DispatcherId =
        this->dispatcherOf(Request, *Parts);
    if (!DispatcherId.ok())
      return this->refuseUnclaimed(Request, Sink, DispatcherId.status());
    if (*DispatcherId != this->Tables.Self.Incarnation)
      return this->forwardToDispatcher(Request, *DispatcherId, Sink);
    // 3. Dispatch here.
    return this->runOnce(Request, Plan, *Parts, Sink);
  }

  /// Forwards the request to the dispatcher of its key, which is not this
  /// daemon.
  template <ResponseSink SinkT>
  absl::Status forwardToDispatcher(const CallerRequest &Request,
                                   const IncarnationId &DispatcherId,
                                   SinkT &Sink) {
    auto Unknown = [&](const std::string &Why) {
      return refuse(Sink, makeError(ErrorKind::OutcomeUnknown, Why));
    };
    if (Request.Bound)
      return Unknown("the key's dispatcher is another one by now");
    std::optional<Endpoint> Address = this->Tables.Peers.read(
        [&](const PeerTable &Rows) -> std::optional<Endpoint> {
          const Peer *Row = Rows.findIncarnation(DispatcherId);
          if (!Row || !Row->Known)
            return std::nullopt;
          return Endpoint{Row->Row.host, Row->Row.peer_port};
        });
    if (!Address)
      return Unknown("the daemon that holds this key is gone");
    CallerRequest Passed = Request;
    Passed.Bound = true;
    switch (this->PeerForwarder.forward(Passed, *Address, Sink)) {
    case ForwardOutcome::Done:
      return absl::OkStatus();
    case ForwardOutcome::CallerGone:
      return makeError(ErrorKind::OutcomeUnknown, "the caller left");
    case ForwardOutcome::NotSent:
    case ForwardOutcome::Unknown:
      break;
    }
    return Unknown("the daemon that holds this key does not answer");
  }

  /// Runs the request unless one with the same key has run or is running; then
  /// sends the response of that one.
  template <ResponseSink SinkT>
  absl::Status runOnce(const CallerRequest &Request, const RoutePlan &Plan,
                       const IdempotencyKeyParts &Parts, SinkT &Sink) {
    ClaimId Id{Request.Workspace, Request.Key};
    std::uint64_t Fingerprint = fingerprintOf(Request);
    // 1. The first request with the key is dispatched; others wait for its
    // response.
    while (!this->Tables.Idempotency.write([&](IdempotencyTable &Rows) {
      return Rows.begin(Id, Fingerprint, Parts.Issued);
    })) {
      IdempotencyLookup Look =
          this->Tables.Idempotency.read([&](const IdempotencyTable &Rows) {
            return Rows.find(Id, Fingerprint);
          });
      if (Look.State == IdempotencyState::Absent)
        continue;
      if (Look.Differs)
        return refuse(Sink, makeError(ErrorKind::KeyReused,
                                      "this key belongs to another request"));
      if (Look.State == IdempotencyState::Unknown)
        return refuse(Sink, makeError(ErrorKind::OutcomeUnknown,
                                      "its outcome is not known"));
      if (Look.State == IdempotencyState::Done) {
        sendWhole(Sink, Look.Response->HttpStatus, Look.Response->ContentType,
                  Look.Response->Body);
        return absl::OkStatus();
      }
      if (SystemClock{}.now() >= Request.Deadline)
        return refuse(Sink, makeError(ErrorKind::OutcomeUnknown,
                                      "it still runs under this key",
                                      DefaultRetryAfter));
      std::this_thread::sleep_for(KeyPollInterval);
    }
    // 2. Run with a buffered response, store it, then send it.
    MemorySink Buffered;
    CallerRequest Run = Request;
    Run.Stream = false;
    // As the dispatcher of the key, this daemon decides where it runs.
    Run.Forwarded = false;
    Run.Bound = false;
    absl::Status Result = this->serveOrForward(Run, Plan, Buffered);
    this->Tables.Idempotency.write([&](IdempotencyTable &Rows) {
      if (Buffered.ran() == Ran::No)
        Rows.abandon(Id);
      else if (Buffered.ran() == Ran::Yes)
        Rows.finish(Id, Buffered.Answer);
      else
        Rows.finishUnknown(Id);
    });
    if (!Buffered.Whole)
      return refuse(Sink,
                    makeError(ErrorKind::OutcomeUnknown, "the answer was cut"));
    if (Buffered.Error)
      Sink.setRan(*Buffered.Error);
    sendWhole(Sink, Buffered.Answer.HttpStatus, Buffered.Answer.ContentType,
              Buffered.Answer.Body, Buffered.RetryAfter);
    return Result;
  }

  Board &Tables;
  Binder &Keys;
  Forwarder &PeerForwarder;
  Placement PlacementRules;
  Admission AdmissionControl;
  Attempts TargetAttempts;
  ModelServer<Engine> ModelRequests;
  PlainServer<Plain> ServiceRequests;
  std::atomic<std::uint64_t> NextTicket{1};
};

} // namespace waycove
