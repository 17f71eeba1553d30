// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/claim_binder.h"
#include "edge/forward.h"
#include "edge/serve_model.h"
#include "edge/serve_plain.h"

namespace waycove {

/// Who dispatches a request's key.
template <typename T>
concept KeyBinder = requires(T &B, const ClaimId &Id, WallMs Issued,
                             TimePoint Until) {
  { B.bind(Id, Issued, Until) } -> std::same_as<absl::StatusOr<IncarnationId>>;
};

/// Time that a keyed request waits for the one that runs under its key.
constexpr Millis OncePoll(10);
/// Daemons of one data centre that a request is offered to.
constexpr std::size_t EntriesTried = 3;

/// The life of a caller's request: where may it land, when may it run, which
/// target, what when that fails, and an honest end. Thread-safe; each request
/// is served by the thread that brought it.
template <EngineService Engine, PlainService Plain, KeyBinder Binder>
class Server {
public:
  Server(Board &Tables, Engine &Models, Plain &Services, Binder &Keys,
         Forwarder &Others)
      : Tables(Tables), Keys(Keys), Others(Others), Places(Tables),
        Doors(Tables, Places), Tries(Tables, Places),
        ForModels(Tables, Models, Doors, Tries),
        ForServices(Tables, Services, Doors, Tries) {}

  /// Answers \p Request into \p Into, whole or visibly not.
  template <AnswerSink Sink>
  void serve(const CallerRequest &Request, Sink &Into) {
    this->Tables.InFlight.fetch_add(1);
    auto Began = SystemClock{}.now();
    absl::Status Result = this->serveChecked(Request, Into);
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

  /// A key that this daemon alone may dispatch, without asking the log.
  IdempotencyKey mintTicket() {
    return makeTicket(SystemClock{}.wall(), this->Tables.Self.Incarnation,
                      this->NextTicket.fetch_add(1));
  }

private:
  /// Refuses before it is known who dispatches the request's key, if it has
  /// one: then nobody here can say that it did not run.
  template <AnswerSink Sink>
  static absl::Status refuseEarly(const CallerRequest &Request, Sink &Into,
                                  const absl::Status &Status) {
    return refuse(Into,
                  Request.Key.empty() ? Status : markOutcomeUnknown(Status));
  }

  template <AnswerSink Sink>
  absl::Status serveChecked(const CallerRequest &Request, Sink &Into) {
    // 1. May this daemon take work at all?
    if (this->Tables.Stopping && !Request.Forwarded)
      return this->refuseEarly(Request, Into,
                               makeError(ErrorKind::Stopping,
                                         "this node is stopping",
                                         ComeBackSoon));
    if (!this->Tables.Ready)
      return this->refuseEarly(Request, Into,
                               makeError(ErrorKind::NotReady,
                                         "no current configuration yet",
                                         ComeBackSoon));
    // 2. Where do the labels allow it?
    absl::StatusOr<Plan> Way = this->Places.plan(Request);
    if (!Way.ok())
      return this->refuseEarly(Request, Into, Way.status());
    // 3. Keyed requests are dispatched once, by one daemon.
    if (!Request.Key.empty() && !Request.Repeatable)
      return this->serveOnce(Request, *Way, Into);
    return this->place(Request, *Way, Into);
  }

  /// Serves here, or passes on where only other data centres are allowed.
  template <AnswerSink Sink>
  absl::Status place(const CallerRequest &Request, const Plan &Way,
                     Sink &Into) {
    bool Here =
        std::any_of(Way.View->Targets.begin(), Way.View->Targets.end(),
                    [&](const RouteTarget &Row) {
                      return Row.allows(Way.Wanted) && this->Places.serves(Row);
                    });
    if (!Here && !Request.Forwarded)
      if (std::vector<DataCentreId> Where =
              this->Places.elsewhere(Request, Way);
          !Where.empty())
        return this->passOn(Request, Where, Into);
    if (!Here)
      return refuse(Into, this->Places.whyNot(Way));
    if (Request.Target.Kind == ObjectKind::Deployment)
      return this->ForModels.serve(Request, Way, Into);
    return this->ForServices.serve(Request, Way, Into);
  }

  template <AnswerSink Sink>
  absl::Status passOn(const CallerRequest &Request,
                      const std::vector<DataCentreId> &Where, Sink &Into) {
    std::uint64_t Random = hashText(Request.Id.Text);
    for (std::size_t I = 0; I < Where.size() * EntriesTried; ++I) {
      const DataCentreId &Centre = Where[(Random + I) % Where.size()];
      std::optional<Endpoint> Entry =
          this->Places.entryIn(Centre, Random + I / Where.size());
      if (!Entry)
        continue;
      this->Tables.Log.emit(EventCode::RequestForwarded, Request.Id.Text,
                            Centre.Text);
      switch (this->Others.pass(Request, *Entry, Into)) {
      case ForwardEnd::Done:
        return absl::OkStatus();
      case ForwardEnd::CallerGone:
        return makeError(ErrorKind::OutcomeUnknown, "the caller left");
      case ForwardEnd::NotSent:
        continue;
      case ForwardEnd::Unknown:
        if (Request.Repeatable)
          continue;
        return refuse(Into,
                      makeError(ErrorKind::OutcomeUnknown,
                                "the data centre it was passed to does not "
                                "answer"));
      }
    }
    return refuse(Into,
                  makeError(ErrorKind::NoCapacity,
                            "no allowed data centre answers", ComeBackSoon));
  }

  // ---- Requests that run at most once. ----

  /// Finds who may dispatch the key: its minter, or the first whose claim is
  /// in the log.
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

  /// A ticket counts for as long as its minter remembers what it dispatched.
  absl::Status checkTicket(const IdempotencyKeyParts &Parts) const {
    auto Now = SystemClock{}.wall().Value;
    auto Window = static_cast<std::uint64_t>(KeyWindow.count());
    if (Parts.Issued.Value + Window <= Now)
      return makeError(ErrorKind::KeyExpired, "the ticket is too old");
    return absl::OkStatus();
  }

  template <AnswerSink Sink>
  absl::Status serveOnce(const CallerRequest &Request, const Plan &Way,
                         Sink &Into) {
    // 1. The key's form and age.
    absl::StatusOr<IdempotencyKeyParts> Parts = parseKey(Request.Key);
    if (!Parts.ok())
      return refuse(Into, Parts.status());
    if (!Parts->Issuer.empty())
      if (absl::Status Age = this->checkTicket(*Parts); !Age.ok())
        return refuse(Into, Age);
    // 2. Who dispatches it?
    absl::StatusOr<IncarnationId> Holder = this->dispatcherOf(Request, *Parts);
    if (!Holder.ok())
      return this->refuseEarly(Request, Into, Holder.status());
    if (*Holder != this->Tables.Self.Incarnation)
      return this->passToHolder(Request, *Holder, Into);
    // 3. This daemon: at most once, whoever asks how often.
    return this->runOnce(Request, Way, *Parts, Into);
  }

  template <AnswerSink Sink>
  absl::Status passToHolder(const CallerRequest &Request,
                            const IncarnationId &Holder, Sink &Into) {
    auto Unknown = [&](const std::string &Why) {
      return refuse(Into, makeError(ErrorKind::OutcomeUnknown, Why));
    };
    if (Request.Bound)
      return Unknown("the key's dispatcher is another one by now");
    std::optional<Endpoint> Where = this->Tables.Peers.read(
        [&](const PeerTable &Rows) -> std::optional<Endpoint> {
          const Peer *Row = Rows.findIncarnation(Holder);
          if (!Row || !Row->Known)
            return std::nullopt;
          return Endpoint{Row->Row.host, Row->Row.peer_port};
        });
    if (!Where)
      return Unknown("the daemon that holds this key is gone");
    CallerRequest Passed = Request;
    Passed.Bound = true;
    switch (this->Others.pass(Passed, *Where, Into)) {
    case ForwardEnd::Done:
      return absl::OkStatus();
    case ForwardEnd::CallerGone:
      return makeError(ErrorKind::OutcomeUnknown, "the caller left");
    case ForwardEnd::NotSent:
    case ForwardEnd::Unknown:
      break;
    }
    return Unknown("the daemon that holds this key does not answer");
  }

  template <AnswerSink Sink>
  absl::Status runOnce(const CallerRequest &Request, const Plan &Way,
                       const IdempotencyKeyParts &Parts, Sink &Into) {
    ClaimId Id{Request.Workspace, Request.Key};
    std::uint64_t Print = fingerprintOf(Request);
    // 1. First come: dispatch. Later ones: wait for what the first gets.
    while (!this->Tables.Idempotency.write([&](IdempotencyTable &Rows) {
      return Rows.begin(Id, Print, Parts.Issued);
    })) {
      IdempotencyLookup Look = this->Tables.Idempotency.read(
          [&](const IdempotencyTable &Rows) { return Rows.find(Id, Print); });
      if (Look.State == IdempotencyState::Absent)
        continue;
      if (Look.Differs)
        return refuse(Into, makeError(ErrorKind::KeyReused,
                                      "this key belongs to another request"));
      if (Look.State == IdempotencyState::Unknown)
        return refuse(Into, makeError(ErrorKind::OutcomeUnknown,
                                      "its outcome is not known"));
      if (Look.State == IdempotencyState::Done) {
        sendWhole(Into, Look.Response->HttpStatus, Look.Response->ContentType,
                  Look.Response->Body);
        return absl::OkStatus();
      }
      if (SystemClock{}.now() >= Request.Deadline)
        return refuse(Into,
                      makeError(ErrorKind::OutcomeUnknown,
                                "it still runs under this key", ComeBackSoon));
      std::this_thread::sleep_for(OncePoll);
    }
    // 2. Run, keeping the whole answer, and then hand it out.
    MemorySink Kept;
    CallerRequest Run = Request;
    Run.Stream = false;
    absl::Status Result = this->place(Run, Way, Kept);
    this->Tables.Idempotency.write([&](IdempotencyTable &Rows) {
      if (Kept.ran() == Ran::No)
        Rows.abandon(Id);
      else if (Kept.ran() == Ran::Yes)
        Rows.finish(Id, Kept.Answer);
      else
        Rows.finishUnknown(Id);
    });
    if (!Kept.Whole)
      return refuse(Into,
                    makeError(ErrorKind::OutcomeUnknown, "the answer was cut"));
    if (Kept.Error)
      Into.note(*Kept.Error);
    sendWhole(Into, Kept.Answer.HttpStatus, Kept.Answer.ContentType,
              Kept.Answer.Body, Kept.RetryAfter);
    return Result;
  }

  Board &Tables;
  Binder &Keys;
  Forwarder &Others;
  Placement Places;
  Admission Doors;
  Attempts Tries;
  ModelServer<Engine> ForModels;
  PlainServer<Plain> ForServices;
  std::atomic<std::uint64_t> NextTicket{1};
};

} // namespace waycove
