// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/json.h"
#include "base/pool.h"
#include "control/claims.h"
#include "edge/forward.h"
#include "edge/gate.h"
#include "edge/target.h"

namespace waycove {

/// Who dispatches a request's key.
template <typename T>
concept KeyBinder = requires(T &B, const ClaimId &Id, WallMs Issued,
                             TimePoint Until) {
  { B.bind(Id, Issued, Until) } -> std::same_as<absl::StatusOr<IncarnationId>>;
};

/// Time that a keyed request waits for the one that runs under its key.
constexpr Millis OncePoll(10);
/// A session's or prompt's cost is its answer and a part of its prompt.
constexpr std::uint64_t PromptBytesPerToken = 4;
constexpr Millis ComeBackSoon(1000);
/// A stream looks this often whether its group still serves.
constexpr Millis LookEvery(100);
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
      : Tables(Tables), Models(Models), Services(Services), Keys(Keys),
        Others(Others), Admission(Tables.Config) {}

  /// Answers \p Request into \p Into, whole or visibly not.
  template <AnswerSink Sink>
  void serve(const CallerRequest &Request, Sink &Into) {
    this->Tables.InFlight.fetch_add(1);
    auto Began = SystemClock{}.now();
    absl::Status Result = this->serveChecked(Request, Into);
    this->Tables.InFlight.fetch_sub(1);
    if (Result.ok()) {
      this->Tables.Counters.add(Counter::RequestsDone);
      this->Tables.Counters.observe(Timer::Whole, SystemClock{}.now() - Began);
      this->Tables.Log.emit(EventCode::RequestDone, Request.Id.Text);
      return;
    }
    this->Tables.Counters.add(Counter::RequestsRefused);
    this->Tables.Log.emit(EventCode::RequestRefused, Request.Id.Text,
                          std::string(answerFor(kindOf(Result)).Name) + ": " +
                              messageOf(Result));
  }

  /// A key that this daemon alone may dispatch, without asking the log.
  IdempotencyKey mintTicket() {
    return makeTicket(SystemClock{}.wall(), this->Tables.Me.Incarnation,
                      this->NextTicket.fetch_add(1));
  }

private:
  /// What a request needs to know about its target object.
  struct Plan {
    ViewRef View;
    Selector Wanted;
    std::uint64_t Weight = 1;
  };

  /// Sends the error, and returns it.
  template <AnswerSink Sink>
  absl::Status refuse(Sink &Into, const absl::Status &Status) {
    sendError(Into, Status);
    return Status;
  }

  template <AnswerSink Sink>
  absl::Status serveChecked(const CallerRequest &Request, Sink &Into) {
    // 1. May this daemon take work at all?
    if (this->Tables.Stopping && !Request.Forwarded)
      return this->refuse(Into,
                          makeError(ErrorKind::Stopping,
                                    "this node is stopping", ComeBackSoon));
    if (!this->Tables.Ready)
      return this->refuse(Into, makeError(ErrorKind::NotReady,
                                          "no current configuration yet",
                                          ComeBackSoon));
    // 2. Where do the labels allow it?
    absl::StatusOr<Plan> Way = this->plan(Request);
    if (!Way.ok())
      return this->refuse(Into, Way.status());
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
                      return Row.allows(Way.Wanted) && this->serves(Row);
                    });
    if (!Here && !Request.Forwarded)
      if (std::vector<DataCentreId> Where = this->elsewhere(Request, Way);
          !Where.empty())
        return this->passOn(Request, Where, Into);
    if (!Here)
      return this->refuse(Into, this->whyNot(Way));
    if (Request.Target.Kind == ObjectKind::Deployment)
      return this->serveModel(Request, Way, Into);
    return this->serveService(Request, Way, Into);
  }

  /// Joins all that says where the request may land. Denies where any part of
  /// it is unknown.
  absl::StatusOr<Plan> plan(const CallerRequest &Request) {
    return this->Tables.State.read([&](const FoldState &State)
                                       -> absl::StatusOr<Plan> {
      const auto *Owner =
          State.spec<Workspace>(ObjectKind::Workspace, Request.Workspace.Text);
      if (!Owner)
        return makeError(ErrorKind::NotAllowed, "unknown workspace");
      ObjectRef Target = State.object(Request.Target);
      if (!Target)
        return makeError(ErrorKind::NotFound,
                         "there is no " + Request.Target.text());
      const auto *Model = Target->as<Deployment>();
      const auto *Endpoint = Target->as<Service>();
      const Selector &Who = Model ? Model->Workspaces : Endpoint->Workspaces;
      if (!Who.matches(Owner->Own))
        return makeError(ErrorKind::NotAllowed, "not open to this workspace");
      std::optional<Selector> Own =
          Model ? State.resolve(Model->Match, Model->Selectors)
                : State.resolve(Endpoint->Match, Endpoint->Selectors);
      std::optional<Selector> Allow =
          State.resolve(Owner->Allow, Owner->Selectors);
      if (!Own || !Allow)
        return makeError(ErrorKind::NotAllowed,
                         "a selector that it names does not exist");
      Plan Result;
      Result.Wanted = Request.Wanted;
      Result.Wanted.narrow(*Own);
      Result.Wanted.narrow(*Allow);
      Result.Weight = Owner->Weight;
      Result.View = this->Tables.Views.read(
          [&](const ViewTable &Views) { return Views.find(Target->Key); });
      if (!Result.View)
        Result.View = std::make_shared<RouteView>();
      return Result;
    });
  }

  /// Whether \p Target may be sent work right now, labels aside.
  bool serves(const RouteTarget &Target) const {
    WallMs Now = SystemClock{}.wall();
    bool Leaving = this->Tables.Vms.read([&](const VmTable &Vms) {
      return std::any_of(
          Target.Members.begin(), Target.Members.end(),
          [&](const VmId &Vm) { return Vms.isLeaving(Vm, Now); });
    });
    if (Leaving)
      return false;
    return Target.Group == Fence() ||
           this->Tables.groupServes(Target.Group, SystemClock{}.now());
  }

  absl::Status whyNot(const Plan &Way) const {
    bool Any = std::any_of(
        Way.View->Targets.begin(), Way.View->Targets.end(),
        [&](const RouteTarget &Row) { return Row.allows(Way.Wanted); });
    if (Any || Way.View->Targets.empty())
      return makeError(ErrorKind::NoCapacity, "no target is serving",
                       ComeBackSoon);
    return makeError(ErrorKind::NotAllowed, "the labels allow no target");
  }

  /// Other data centres that may hold an allowed target, as far as their own
  /// labels say; they check again.
  std::vector<DataCentreId> elsewhere(const CallerRequest &Request,
                                      const Plan &Way) const {
    std::vector<DataCentreId> Known = this->knownCentres(Request);
    return this->Tables.State.read([&](const FoldState &State) {
      std::vector<DataCentreId> Found;
      for (const DataCentreId &Centre : Known) {
        Labels Own;
        if (const auto *Row =
                State.spec<DataCentre>(ObjectKind::DataCentre, Centre.Text))
          Own = Row->Own;
        Own.set("data_centre", Centre.Text);
        bool Possible =
            std::all_of(Way.Wanted.rows().begin(), Way.Wanted.rows().end(),
                        [&](const Requirement &Row) {
                          Selector One;
                          One.require(Row);
                          return !Own.find(Row.Key) || One.matches(Own);
                        });
        if (Possible)
          Found.push_back(Centre);
      }
      return Found;
    });
  }

  std::vector<DataCentreId> knownCentres(const CallerRequest &Request) const {
    std::set<DataCentreId> Found;
    this->Tables.State.read([&](const FoldState &State) {
      ObjectRef Row = State.object(Request.Target);
      const auto *Spec = Row ? Row->template as<Deployment>() : nullptr;
      if (Spec)
        for (const ReplicaCount &Count : Spec->Replicas)
          if (Count.Replicas > 0)
            Found.insert(Count.DataCentre);
    });
    if (Request.Target.Kind == ObjectKind::Service)
      for (const Member &Row : this->Tables.members(SystemClock{}.now()))
        Found.insert(Row.DataCentre);
    Found.erase(this->Tables.Me.DataCentre);
    return {Found.begin(), Found.end()};
  }

  std::optional<Endpoint> entryIn(const DataCentreId &Centre,
                                  std::uint64_t Random) const {
    return this->Tables.Peers.read(
        [&](const PeerTable &Rows) -> std::optional<Endpoint> {
          std::vector<NodeHash> Live =
              Rows.servingIn(Centre, SystemClock{}.now());
          if (Live.empty())
            return std::nullopt;
          const Peer *Row = Rows.find(Live[Random % Live.size()]);
          return Endpoint{Row->Row.host, Row->Row.peer_port};
        });
  }

  template <AnswerSink Sink>
  absl::Status passOn(const CallerRequest &Request,
                      const std::vector<DataCentreId> &Where, Sink &Into) {
    std::uint64_t Random = hashText(Request.Id.Text);
    for (std::size_t I = 0; I < Where.size() * EntriesTried; ++I) {
      const DataCentreId &Centre = Where[(Random + I) % Where.size()];
      std::optional<Endpoint> Entry =
          this->entryIn(Centre, Random + I / Where.size());
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
        return this->refuse(
            Into, makeError(ErrorKind::OutcomeUnknown,
                            "the data centre it was passed to does not "
                            "answer"));
      }
    }
    return this->refuse(Into, makeError(ErrorKind::NoCapacity,
                                        "no allowed data centre answers",
                                        ComeBackSoon));
  }

  // ---- Requests that run at most once. ----

  /// Finds who may dispatch the key: its minter, or the first whose claim is
  /// in the log.
  absl::StatusOr<IncarnationId> dispatcherOf(const CallerRequest &Request,
                                             const KeyParts &Parts) {
    if (!Parts.Minter.empty())
      return Parts.Minter;
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
  absl::Status checkTicket(const KeyParts &Parts) const {
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
    absl::StatusOr<KeyParts> Parts = parseKey(Request.Key);
    if (!Parts.ok())
      return this->refuse(Into, Parts.status());
    if (!Parts->Minter.empty())
      if (absl::Status Age = this->checkTicket(*Parts); !Age.ok())
        return this->refuse(Into, Age);
    // 2. Who dispatches it?
    absl::StatusOr<IncarnationId> Holder = this->dispatcherOf(Request, *Parts);
    if (!Holder.ok())
      return this->refuse(Into, Holder.status());
    if (*Holder != this->Tables.Me.Incarnation)
      return this->passToHolder(Request, *Holder, Into);
    // 3. This daemon: at most once, whoever asks how often.
    return this->runOnce(Request, Way, *Parts, Into);
  }

  template <AnswerSink Sink>
  absl::Status passToHolder(const CallerRequest &Request,
                            const IncarnationId &Holder, Sink &Into) {
    auto Unknown = [&](const std::string &Why) {
      return this->refuse(Into, makeError(ErrorKind::OutcomeUnknown, Why));
    };
    if (Request.Bound)
      return Unknown("the key's dispatcher is another one by now");
    std::optional<Endpoint> Where = this->Tables.Peers.read(
        [&](const PeerTable &Rows) -> std::optional<Endpoint> {
          const Peer *Row = Rows.byIncarnation(Holder);
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
                       const KeyParts &Parts, Sink &Into) {
    ClaimId Id{Request.Workspace, Request.Key};
    std::uint64_t Print = fingerprintOf(Request);
    // 1. First come: dispatch. Later ones: wait for what the first gets.
    while (!this->Tables.Once.write(
        [&](OnceTable &Rows) { return Rows.begin(Id, Print, Parts.Issued); })) {
      OnceLook Look = this->Tables.Once.read(
          [&](const OnceTable &Rows) { return Rows.look(Id, Print); });
      if (Look.State == OnceState::Absent)
        continue;
      if (Look.Differs)
        return this->refuse(Into,
                            makeError(ErrorKind::KeyReused,
                                      "this key belongs to another request"));
      if (Look.State == OnceState::Unknown)
        return this->refuse(Into, makeError(ErrorKind::OutcomeUnknown,
                                            "its outcome is not known"));
      if (Look.State == OnceState::Done) {
        sendWhole(Into, Look.Answer->HttpStatus, Look.Answer->ContentType,
                  Look.Answer->Body);
        return absl::OkStatus();
      }
      if (SystemClock{}.now() >= Request.Deadline)
        return this->refuse(Into, makeError(ErrorKind::OutcomeUnknown,
                                            "it still runs under this key",
                                            ComeBackSoon));
      std::this_thread::sleep_for(OncePoll);
    }
    // 2. Run, keeping the whole answer, and then hand it out.
    MemorySink Kept;
    CallerRequest Run = Request;
    Run.Stream = false;
    absl::Status Result = this->place(Run, Way, Kept);
    this->Tables.Once.write([&](OnceTable &Rows) {
      if (Kept.ran() == Ran::No)
        Rows.abandon(Id);
      else if (Kept.ran() == Ran::Yes)
        Rows.finish(Id, Kept.Answer);
      else
        Rows.finishUnknown(Id);
    });
    if (!Kept.Whole)
      return this->refuse(
          Into, makeError(ErrorKind::OutcomeUnknown, "the answer was cut"));
    if (Kept.Error)
      Into.note(*Kept.Error);
    sendWhole(Into, Kept.Answer.HttpStatus, Kept.Answer.ContentType,
              Kept.Answer.Body, Kept.RetryAfter);
    return Result;
  }

  // ---- Admission. ----

  /// Slots that this daemon's share of the serving targets gives.
  std::size_t slotsFor(const Plan &Way) const {
    std::size_t Serving = 0;
    for (const RouteTarget &Row : Way.View->Targets)
      Serving += this->serves(Row) ? 1 : 0;
    std::size_t Daemons = std::max<std::size_t>(
        this->Tables.controllers(SystemClock{}.now()).size(), 1);
    std::size_t All = Serving * Way.View->SlotsPerReplica;
    return std::max<std::size_t>((All + Daemons - 1) / Daemons, 1);
  }

  std::shared_ptr<Gate> gateFor(const CallerRequest &Request, const Plan &Way) {
    std::shared_ptr<Gate> Found = this->Admission.find(Request.Target);
    if (Found->slotsAreDue(SystemClock{}.now()))
      Found->setSlots(Request.Target.Kind == ObjectKind::Deployment
                          ? this->slotsFor(Way)
                          : this->Tables.Config.MaxStreams);
    return Found;
  }

  FairOffer offerFor(const CallerRequest &Request, const Plan &Way) const {
    std::uint64_t Cost = 1;
    if (Request.Target.Kind == ObjectKind::Deployment)
      Cost = Request.MaxTokens + Request.Prompt.size() / PromptBytesPerToken;
    return {Request.Workspace, Way.Weight,
            Tokens(std::max<std::uint64_t>(Cost, 1)), Request.Deadline,
            Request.Priority};
  }

  // ---- Attempts. ----

  /// One request's attempts at targets.
  struct Course {
    std::vector<VmId> Avoid;
    unsigned Attempts = 0;
    bool MayHaveRun = false;
    std::string Reason;
  };

  const RouteTarget *choose(const Plan &Way, const CallerRequest &Request,
                            const Course &Run, std::uint64_t Affinity) {
    TimePoint Began = SystemClock{}.now();
    RouteQuery Query{Way.Wanted, Affinity,
                     mixHash(hashText(Request.Id.Text), Run.Attempts),
                     Run.Avoid, Began};
    const RouteTarget *Found =
        this->Tables.Load.read([&](const LoadTable &Load) {
          return pickTarget(
              *Way.View, Load, Query,
              [&](const RouteTarget &Row) { return this->serves(Row); });
        });
    if (Found)
      this->Tables.Load.write(
          [&](LoadTable &Load) { Load.onStart(Found->Head); });
    this->Tables.Counters.observe(Timer::Route, SystemClock{}.now() - Began);
    return Found;
  }

  /// Notes how an attempt ended, and ejects a target that keeps failing.
  void noteEnd(const RouteTarget &Target, AttemptEnd End, std::size_t Known) {
    bool Failed = End == AttemptEnd::NotSent || End == AttemptEnd::Broken ||
                  End == AttemptEnd::Stalled;
    bool Ejected = this->Tables.Load.write([&](LoadTable &Load) {
      TimePoint Now = SystemClock{}.now();
      Load.onEnd(Target.Head, Failed, Now);
      return Failed && Load.ejectIfFailing(Target.Head, Known, Now);
    });
    if (Ejected)
      this->Tables.Log.emit(EventCode::TargetEjected, Target.Head.Text);
  }

  /// A target that says that it leaves is believed, here and by all peers.
  void noteLeaving(const RouteTarget &Target) {
    WallMs Now = SystemClock{}.wall();
    bool News = this->Tables.Vms.write([&](VmTable &Vms) {
      return !Vms.isLeaving(Target.Head, Now) &&
             Vms.noteLeaving(Target.Head, Board::leavingUntil(Now),
                             this->Tables.markHere());
    });
    if (!News)
      return;
    this->Tables.Log.emit(EventCode::VmLeaving, Target.Head.Text,
                          "its own word");
    this->Tables.Urgent.set();
  }

  RetryDecision decide(const CallerRequest &Request, Course &Run,
                       AttemptEnd End) {
    AttemptFacts Facts{End, Request.Repeatable, Run.Attempts,
                       SystemClock{}.now() >= Request.Deadline, Run.MayHaveRun};
    std::lock_guard Lock(this->BudgetMutex);
    RetryDecision Next = decideRetry(Facts, this->Budget);
    Run.MayHaveRun |= End != AttemptEnd::NotSent && End != AttemptEnd::Refused;
    return Next;
  }

  void noteFirstAttempt() {
    std::lock_guard Lock(this->BudgetMutex);
    this->Budget.onFirstAttempt();
  }

  // ---- Model answers. ----

  /// What the caller has of a model's answer so far.
  struct Progress {
    std::string Text;
    std::uint64_t Count = 0;
    bool HeadSent = false;
    unsigned Resumes = 0;
    TimePoint Began;
    TimePoint LastToken;
    TimePoint LastLook;
  };

  template <AnswerSink Sink>
  absl::Status serveModel(const CallerRequest &Request, const Plan &Way,
                          Sink &Into) {
    Progress Have;
    Have.Began = SystemClock{}.now();
    // 1. Wait for a turn.
    std::shared_ptr<Gate> Door = this->gateFor(Request, Way);
    absl::StatusOr<TicketId> Ticket = Door->enter(this->offerFor(Request, Way));
    if (!Ticket.ok())
      return this->refuse(Into, Ticket.status());
    GatePass Pass(Door, *Ticket);
    this->Tables.Counters.observe(Timer::QueueWait,
                                  SystemClock{}.now() - Have.Began);
    // 2. Attempts, each going on from where the last one broke.
    std::uint64_t Affinity =
        affinityOf(Request.Workspace.Text, Request.Session, Request.Prompt);
    Course Run;
    this->noteFirstAttempt();
    while (true) {
      const RouteTarget *Target = this->choose(Way, Request, Run, Affinity);
      AttemptEnd End = AttemptEnd::NotSent;
      if (Target)
        End = this->attempt(Request, Way, *Target, Run, Have, Into);
      else
        Run.Reason = "no other target is serving";
      Pass.Spent = Tokens(std::max<std::uint64_t>(Have.Count, 1));
      RetryDecision Next = this->decide(Request, Run, End);
      if (Next.Choice == RetryChoice::Finish)
        return this->finishModel(Request, Have, Into);
      if (Next.Choice == RetryChoice::GiveUp || !Target)
        return this->giveUpModel(makeError(Next.Kind, Run.Reason, ComeBackSoon),
                                 Have, Into);
      this->noteAgain(Request, *Target, Have, Run);
    }
  }

  void noteAgain(const CallerRequest &Request, const RouteTarget &Target,
                 Progress &Have, Course &Run) {
    Run.Avoid.push_back(Target.Head);
    bool Resumed = Have.Count > 0;
    Have.Resumes += Resumed ? 1 : 0;
    this->Tables.Counters.add(Resumed ? Counter::Resumes : Counter::Retries);
    this->Tables.Log.emit(
        Resumed ? EventCode::RequestResumed : EventCode::RequestRetried,
        Request.Id.Text, "after " + Target.Head.Text + ": " + Run.Reason);
  }

  /// One attempt at one group. Tokens are passed on only if they are the next
  /// ones, of this group under this fence, made by all of its members.
  template <AnswerSink Sink>
  AttemptEnd attempt(const CallerRequest &Request, const Plan &Way,
                     const RouteTarget &Target, Course &Run, Progress &Have,
                     Sink &Into) {
    ++Run.Attempts;
    this->Tables.Counters.add(Counter::Attempts);
    EngineCall Call{
        Target.Address,
        RequestId(Request.Id.Text + "." + std::to_string(Run.Attempts)),
        Target.Group,
        Request.Prompt,
        Request.MaxTokens,
        Have.Count,
        Have.Text,
        Request.Priority,
        this->Tables.Config.TokenStall,
        Request.Deadline};
    EngineDone Done;
    AttemptEnd End = this->Models.generate(
        Call,
        [&](const EngineToken &Token) {
          return this->takeToken(Request, Way, Target, Token, Have, Into);
        },
        Done);
    if (End == AttemptEnd::Done && Done.Tokens != Have.Count) {
      End = AttemptEnd::Broken;
      Done.Reason = "tokens are missing";
    }
    Run.Reason = Done.Reason.empty() ? "the target broke off" : Done.Reason;
    if (Done.Leaving)
      this->noteLeaving(Target);
    if (End == AttemptEnd::Done)
      this->Tables.Load.write([&](LoadTable &Load) {
        Load.onReport(Target.Head, Done.Queue, SystemClock{}.now());
      });
    this->noteEnd(Target, End, Way.View->Targets.size());
    // An engine that still works on what nobody waits for is told to stop.
    if (End != AttemptEnd::Done && End != AttemptEnd::NotSent &&
        End != AttemptEnd::Refused)
      this->Cancels.post([this, At = Target.Address, Id = Call.Request] {
        this->Models.cancel(At, Id);
      });
    return End;
  }

  template <AnswerSink Sink>
  TokenVerdict takeToken(const CallerRequest &Request, const Plan &Way,
                         const RouteTarget &Target, const EngineToken &Token,
                         Progress &Have, Sink &Into) {
    // 1. Is it of this group, whole?
    if (Token.Group != Target.Group || Token.Members != Way.View->VmsPerReplica)
      return TokenVerdict::Distrust;
    TimePoint Now = SystemClock{}.now();
    if (Now - Have.LastLook > LookEvery) {
      Have.LastLook = Now;
      if (this->Tables.groupIsBroken(Target.Group))
        return TokenVerdict::Distrust;
    }
    // 2. Is it the next one?
    if (Token.Index < Have.Count)
      return TokenVerdict::Ignore;
    if (Token.Index > Have.Count)
      return TokenVerdict::Distrust;
    this->noteTokenTime(Have, Now);
    Have.Text += Token.Text;
    ++Have.Count;
    // 3. On to the caller.
    if (!Request.Stream)
      return TokenVerdict::Go;
    bool Sent = true;
    if (!Have.HeadSent)
      Sent = Into.head(200, "text/event-stream", Millis(0));
    Have.HeadSent = true;
    Poco::JSON::Object Row;
    Row.set("index", Token.Index);
    Row.set("text", Token.Text);
    Sent = Sent && Into.data("data: " + dumpJson(Row) + "\n\n");
    return Sent ? TokenVerdict::Go : TokenVerdict::CallerGone;
  }

  void noteTokenTime(Progress &Have, TimePoint Now) {
    if (Have.Count == 0)
      this->Tables.Counters.observe(Timer::FirstToken, Now - Have.Began);
    else
      this->Tables.Counters.observe(Timer::BetweenTokens, Now - Have.LastToken);
    Have.LastToken = Now;
    this->Tables.Counters.add(Counter::TokensOut);
  }

  template <AnswerSink Sink>
  absl::Status finishModel(const CallerRequest &Request, const Progress &Have,
                           Sink &Into) {
    Poco::JSON::Object Row;
    Row.set("request", Request.Id.Text);
    Row.set("tokens", Have.Count);
    Row.set("resumes", Have.Resumes);
    bool Sent = false;
    if (Request.Stream) {
      Sent = Have.HeadSent || Into.head(200, "text/event-stream", Millis(0));
      Sent = Sent &&
             Into.data("event: done\ndata: " + dumpJson(Row) + "\n\n") &&
             Into.end();
    } else {
      Row.set("text", Have.Text);
      Sent = sendWhole(Into, 200, "application/json", dumpJson(Row));
    }
    if (Sent)
      return absl::OkStatus();
    return makeError(ErrorKind::OutcomeUnknown, "the caller left");
  }

  /// The honest end of an answer that cannot be made whole: an error where
  /// nothing went out yet, else an error event and a visible cut.
  template <AnswerSink Sink>
  absl::Status giveUpModel(const absl::Status &Status, const Progress &Have,
                           Sink &Into) {
    if (!Have.HeadSent)
      return this->refuse(Into, Status);
    this->Tables.Counters.add(Counter::RequestsCut);
    Into.data("event: error\ndata: " + errorJson(Status) + "\n\n");
    Into.cut();
    return Status;
  }

  // ---- Plain services. ----

  template <AnswerSink Sink>
  absl::Status serveService(const CallerRequest &Request, const Plan &Way,
                            Sink &Into) {
    std::shared_ptr<Gate> Door = this->gateFor(Request, Way);
    absl::StatusOr<TicketId> Ticket = Door->enter(this->offerFor(Request, Way));
    if (!Ticket.ok())
      return this->refuse(Into, Ticket.status());
    GatePass Pass(Door, *Ticket);
    Course Run;
    this->noteFirstAttempt();
    while (true) {
      const RouteTarget *Target = this->choose(Way, Request, Run, 0);
      HttpReply Reply;
      AttemptEnd End = AttemptEnd::NotSent;
      if (Target)
        End = this->callOnce(Request, Way, *Target, Run, Reply);
      else
        Run.Reason = "no other target is serving";
      RetryDecision Next = this->decide(Request, Run, End);
      if (Next.Choice == RetryChoice::Finish) {
        sendWhole(Into, Reply.Status, Reply.ContentType, Reply.Body);
        return absl::OkStatus();
      }
      if (Next.Choice == RetryChoice::GiveUp || !Target)
        return this->refuse(Into,
                            makeError(Next.Kind, Run.Reason, ComeBackSoon));
      Progress Nothing;
      this->noteAgain(Request, *Target, Nothing, Run);
    }
  }

  AttemptEnd callOnce(const CallerRequest &Request, const Plan &Way,
                      const RouteTarget &Target, Course &Run,
                      HttpReply &Reply) {
    ++Run.Attempts;
    this->Tables.Counters.add(Counter::Attempts);
    PlainCall Call;
    Call.Address = Target.Address;
    Call.Request =
        RequestId(Request.Id.Text + "." + std::to_string(Run.Attempts));
    Call.Http = {
        Request.Method, Request.Path, Request.Body, Request.ContentType, {}};
    Call.Http.Headers.push_back(
        {"X-Waycove-Workspace", Request.Workspace.Text});
    if (!Request.Key.empty())
      Call.Http.Headers.push_back({"Idempotency-Key", Request.Key.Text});
    Call.Timeout =
        std::max(Millis(1), std::chrono::duration_cast<Millis>(
                                Request.Deadline - SystemClock{}.now()));
    AttemptEnd End = this->Services.call(Call, Reply);
    Run.Reason = "the target broke off or did not answer";
    if (Reply.Leaving)
      this->noteLeaving(Target);
    this->noteEnd(Target, End, Way.View->Targets.size());
    return End;
  }

  Board &Tables;
  Engine &Models;
  Plain &Services;
  Binder &Keys;
  Forwarder &Others;
  Gates Admission;
  std::mutex BudgetMutex;
  RetryBudget Budget;
  std::atomic<std::uint64_t> NextTicket{1};
  WorkerPool Cancels{2};
};

} // namespace waycove
