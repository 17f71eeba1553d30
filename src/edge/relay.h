// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "edge/caller_answer.h"
#include "edge/relay_request.h"
#include "edge/target_pool.h"
#include "policy/retry.h"

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
  Relay(EntryBoard &Board, TargetPool &Pool) : Board(Board), Pool(Pool) {}

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
      this->noteRequest(Request);
      this->run({Caller, Request, Run, Answer});
    } else {
      this->refuse({Caller, Request, Run, Answer}, Admitted);
    }
    this->Board.InFlight.fetch_sub(1);
    return Answer.keepsAlive();
  }

private:
  struct Exchange {
    Channel &Caller;
    RelayRequest &Request;
    RelayRun &Run;
    CallerAnswer &Answer;
  };

  /// One send: the target, the connection, and what is known of the answer.
  struct Attempt {
    Serving To;
    std::optional<Channel> Connection;
    TimePoint SentAt;
    TimePoint LastByte;
    bool FirstByteSeen = false;
    bool WatchCaller = true;
    std::string Reason;
  };

  /// For a connection, and for a host to acknowledge what was sent: data
  /// centres are some ms apart, and a lost packet is sent again after 200 ms.
  static constexpr Millis DialTime{300};
  /// Another node takes the request at once.
  static constexpr Millis ComeBackElsewhere{20};
  /// An answer's token costs an engine about as much as ten of a prompt.
  static constexpr double AnswerTokenWeight = 10;
  /// Sends of one request, with those that targets did not take.
  static constexpr unsigned MostSends = 5;
  /// A target that cannot be reached is left for this time: about as long as
  /// the registry needs to take it off the list.
  static constexpr Millis UnreachableTime{3000};
  /// A head that stands still is left for this time: one that lost a member
  /// stands for 5 s and is then broken for good.
  static constexpr Millis SilentTime{4000};
  /// A target that takes no more for now.
  static constexpr Millis FullTime{300};
  /// Least silence that counts as standing still. Measured: events come up to
  /// 180 ms apart on a busy engine.
  static constexpr Millis LeastPatience{500};
  /// When a wait first looks at how the target does otherwise, and again.
  static constexpr Millis FirstLook{340};
  static constexpr Millis LookAgain{120};
  /// A first byte may take this many times what it usually takes there.
  static constexpr double SlowFactor = 4;
  /// Error bodies and answers of plain services are held whole up to this.
  static constexpr std::size_t MostHeld = 16 << 20;
  static constexpr std::size_t MostHeadBytes = 64 << 10;
  /// Late answers to requests before ours that are skipped on a connection.
  static constexpr unsigned MostSkipped = 3;
  /// For writing an answer that a caller is slow to read, beyond the deadline.
  static constexpr Millis WriteGrace{250};

  void run(Exchange Ex) {
    while (true) {
      TimePoint Now = SystemClock{}.now();
      if (Now >= Ex.Request.Deadline)
        return this->giveUp(Ex, "the deadline passed", true);
      std::optional<Serving> To = this->choose(Ex, Now);
      if (!To)
        return this->giveUp(Ex, "no target serves", false);
      if (Ex.Run.Sent > 0 && !this->spend(Ex.Request.Service, Now))
        return this->giveUp(Ex, "no second sends left in this window", false);
      AttemptEnd End = this->attempt(Ex, *To);
      if (End == AttemptEnd::Done || End == AttemptEnd::CallerGone)
        return this->logDone(Ex, *To, End);
      if (End == AttemptEnd::Broken || End == AttemptEnd::Stalled)
        ++Ex.Run.MayHaveRun;
      if (!this->mayGoOn(Ex))
        return this->giveUp(Ex, Ex.Run.Reason,
                            SystemClock{}.now() >= Ex.Request.Deadline);
    }
  }

  /// Whether one more send is allowed after one that did not end well.
  bool mayGoOn(const Exchange &Ex) const {
    const HttpRoute &Route = *Ex.Request.Route;
    if (Ex.Run.Tried.size() >= MostSends)
      return false;
    return Ex.Run.MayHaveRun == 0 ||
           (Route.mayRepeat() && Ex.Run.MayHaveRun < Route.MaxAttempts);
  }

  std::optional<Serving> choose(const Exchange &Ex, TimePoint Now) {
    ServingViewRef View =
        this->Board.Serving.read([](const ServingViewRef &Row) { return Row; });
    auto Rows = View->ByService.find(Ex.Request.Service);
    if (Rows == View->ByService.end())
      return std::nullopt;
    ChoiceQuery Query{Ex.Request.Facts.Model,
                      this->Board.Config.DataCentre,
                      Ex.Run.Tried,
                      Now,
                      mixHash(Ex.Request.Random, Ex.Run.Tried.size()),
                      1};
    const ServiceSpec *Spec = Ex.Request.Config->service(Ex.Request.Service);
    if (!Spec || !Spec->Engine)
      Query.Model.clear();
    return this->Board.Vitals.read(
        [&](const VitalsTable &Vitals) -> std::optional<Serving> {
          const Serving *Row = chooseTarget(Rows->second, Vitals, Query);
          return Row ? std::optional<Serving>(*Row) : std::nullopt;
        });
  }

  /// Whether a send that shows no progress should be left for another target:
  /// one must be there that is not under suspicion itself.
  bool mayLeave(const Exchange &Ex, TimePoint Now) {
    RelayRun After = Ex.Run;
    ++After.MayHaveRun;
    Exchange Next{Ex.Caller, Ex.Request, After, Ex.Answer};
    if (!Ex.Request.Route->mayRepeat() || !this->mayGoOn(Next))
      return false;
    std::optional<Serving> To = this->choose(Next, Now);
    return To && this->maySpend(Ex.Request.Service, Now) &&
           this->Board.Vitals.read([&](const VitalsTable &Vitals) {
             const TargetVitals &Seen = Vitals.of(To->Target->Id);
             return Seen.SuspectUntil <= Now && !Seen.standsStill(Now);
           });
  }

  AttemptEnd attempt(Exchange &Ex, const Serving &To) {
    Attempt Try{To, {}, {}, {}, false, true, ""};
    const VmId &Id = To.Target->Id;
    Ex.Run.Tried.push_back(Id);
    if (!this->connect(Ex, Try)) {
      this->suspect(Id, UnreachableTime, Try.Reason, Ex.Request.Facts.Id);
      return this->endAttempt(Ex, Try, AttemptEnd::NotSent);
    }
    auto Prompt = static_cast<double>(Ex.Request.Facts.PromptTokens);
    Try.SentAt = SystemClock{}.now();
    Try.LastByte = Try.SentAt;
    this->Board.Vitals.write(
        [&](VitalsTable &Vitals) { Vitals.onStart(Id, Prompt, Try.SentAt); });
    AttemptEnd End = this->exchange(Ex, Try);
    this->Board.Vitals.write([&](VitalsTable &Vitals) {
      Vitals.onEnd(Id, Try.SentAt, Try.FirstByteSeen, Prompt);
      if (End != AttemptEnd::CallerGone)
        Vitals.onOutcome(Id, End == AttemptEnd::Broken, SystemClock{}.now());
    });
    return this->endAttempt(Ex, Try, End);
  }

  bool connect(const Exchange &Ex, Attempt &Try) {
    TimePoint Now = SystemClock{}.now();
    // A kept connection may just be closing; what cannot be repeated is not
    // put at that risk.
    if (Ex.Request.Route->mayRepeat())
      Try.Connection = this->Pool.take(Try.To.Target->Id, Now);
    if (Try.Connection)
      return true;
    IoEnd End = Channel::dial(Try.To.Target->Address,
                              std::min(Ex.Request.Deadline, Now + DialTime),
                              Try.Connection);
    if (End == IoEnd::Ok && Ex.Request.Route->mayRepeat())
      Try.Connection->giveUpUnacknowledged(DialTime);
    if (End != IoEnd::Ok)
      Try.Reason = End == IoEnd::Timeout ? "no connection in time"
                                         : "connection refused";
    return End == IoEnd::Ok;
  }

  /// Sends the request over the open connection and deals with the answer.
  AttemptEnd exchange(Exchange &Ex, Attempt &Try) {
    SendFacts Facts{
        Try.To.Target->Id, Ex.Request.Workspace,
        std::chrono::duration_cast<Millis>(Ex.Request.Deadline - Try.SentAt),
        Ex.Run.LastEvent};
    Poco::Net::HTTPRequest Head = Protocol::makeSend(Ex.Request.Head, Facts);
    if (!Ex.Request.Body.empty() || Ex.Request.Head.hasContentLength() ||
        Ex.Request.Head.getChunkedTransferEncoding())
      Head.setContentLength64(static_cast<Poco::Int64>(Ex.Request.Body.size()));
    std::ostringstream Out;
    Head.write(Out);
    ++Ex.Run.Sent;
    this->Board.Counters.add(Counter::Attempts);
    if (Try.Connection->send(Out.str() + Ex.Request.Body,
                             Ex.Request.Deadline) != IoEnd::Ok) {
      Try.Reason = "the connection broke while sending";
      return AttemptEnd::Broken;
    }
    return this->readAnswer(Ex, Try);
  }

  AttemptEnd readAnswer(Exchange &Ex, Attempt &Try) {
    std::string &Buffer = Try.Connection->buffer();
    for (unsigned Skipped = 0; Skipped <= MostSkipped;) {
      std::optional<std::size_t> Length = headLength(Buffer);
      if (!Length) {
        if (Buffer.size() > MostHeadBytes)
          break;
        if (std::optional<AttemptEnd> End = this->await(Ex, Try))
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
      if (AttemptEnd End = this->readBody(Ex, Try, *Body, Dropped);
          End != AttemptEnd::Done)
        return End;
    }
    Try.Reason = "what came is no answer";
    return AttemptEnd::Broken;
  }

  AttemptEnd takeAnswer(Exchange &Ex, Attempt &Try,
                        const Poco::Net::HTTPResponse &Head,
                        const TargetFacts &Facts, BodyDecoder &Body) {
    this->noteFirstByte(Ex, Try);
    int Status = Head.getStatus();
    if (Facts.NotRun) {
      std::string Unused;
      if (this->readBody(Ex, Try, Body, Unused) == AttemptEnd::Done)
        this->keepConnection(Try, Head, Facts, Body);
      Try.Reason = "not taken, status " + std::to_string(Status);
      this->suspect(Try.To.Target->Id, FullTime, Try.Reason,
                    Ex.Request.Facts.Id);
      return AttemptEnd::Refused;
    }
    bool Success = Status >= 200 && Status < 300;
    if (Success && (!Facts.Signed || Head.has("Content-Encoding"))) {
      Try.Reason = "a success that is not the target's own answer";
      return AttemptEnd::Broken;
    }
    if (Success && Ex.Request.Route->Kind == RouteKind::Stream &&
        Head.getContentType().rfind("text/event-stream", 0) == 0)
      return this->passStream(Ex, Try, Head, Facts, Body);
    return this->passWhole(Ex, Try, Head, Facts, Body);
  }

  AttemptEnd passWhole(Exchange &Ex, Attempt &Try,
                       const Poco::Net::HTTPResponse &Head,
                       const TargetFacts &Facts, BodyDecoder &Body) {
    std::string Bytes;
    if (AttemptEnd End = this->readBody(Ex, Try, Body, Bytes);
        End != AttemptEnd::Done)
      return End;
    this->keepConnection(Try, Head, Facts, Body);
    if (Ex.Answer.hasBegun()) {
      Try.Reason = "status " + std::to_string(Head.getStatus()) +
                   " where a stream was to go on";
      return AttemptEnd::Broken;
    }
    if (Head.getStatus() >= 500 && Ex.Request.Route->mayRepeat()) {
      Try.Reason =
          "the target failed, status " + std::to_string(Head.getStatus());
      Ex.Run.Failure = Head;
      Ex.Run.FailureBody = std::move(Bytes);
      return AttemptEnd::Broken;
    }
    return this->deliver(Ex, Head, Bytes) ? AttemptEnd::Done
                                          : AttemptEnd::CallerGone;
  }

  bool deliver(Exchange &Ex, const Poco::Net::HTTPResponse &Head,
               const std::string &Bytes) {
    Poco::Net::HTTPResponse Out(Head.getStatus(), Head.getReason());
    copyEndToEnd(Head, Out);
    return Ex.Answer.whole(std::move(Out), Bytes, this->writeUntil(Ex)) ==
           IoEnd::Ok;
  }

  /// Passes whole events on as they come, from where the caller is.
  AttemptEnd passStream(Exchange &Ex, Attempt &Try,
                        const Poco::Net::HTTPResponse &Head,
                        const TargetFacts &Facts, BodyDecoder &Body) {
    std::string Payload;
    bool FirstEvent = true;
    while (true) {
      Body.feed(Try.Connection->buffer(), Payload);
      std::string Ready;
      while (std::optional<StreamEvent> Event = takeEvent(Payload)) {
        if (!this->followsOn(Ex, *Event, FirstEvent)) {
          Try.Reason = "an event is out of order";
          return AttemptEnd::Broken;
        }
        FirstEvent = false;
        Ready += Event->Bytes;
        if (Event->Id)
          Ex.Run.LastEvent = Event->Id;
      }
      if (!Ready.empty())
        this->Board.Vitals.write([&](VitalsTable &Vitals) {
          Vitals.onProgress(Try.To.Target->Id, Try.LastByte);
        });
      if (!this->sendEvents(Ex, Head, Ready))
        return AttemptEnd::CallerGone;
      if (Body.isDone())
        return this->endStream(Ex, Try, Head, Facts, Body, Payload);
      if (Body.isBad()) {
        Try.Reason = "the stream's framing is damaged";
        return AttemptEnd::Broken;
      }
      std::optional<AttemptEnd> End = this->await(Ex, Try);
      if (End == AttemptEnd::Broken && Body.kind() == Framing::UntilClose &&
          Try.Reason == ClosedReason)
        Body.close();
      else if (End)
        return *End;
    }
  }

  bool followsOn(const Exchange &Ex, const StreamEvent &Event,
                 bool First) const {
    if (!Event.Id || !Ex.Run.LastEvent)
      return true;
    // A resumed stream has to go on right behind the last event.
    return First ? *Event.Id == *Ex.Run.LastEvent + 1
                 : *Event.Id > *Ex.Run.LastEvent;
  }

  bool sendEvents(Exchange &Ex, const Poco::Net::HTTPResponse &Head,
                  const std::string &Ready) {
    if (Ready.empty())
      return true;
    if (!Ex.Answer.hasBegun()) {
      Poco::Net::HTTPResponse Out(Head.getStatus(), Head.getReason());
      copyEndToEnd(Head, Out);
      if (Ex.Answer.begin(std::move(Out), this->writeUntil(Ex)) != IoEnd::Ok)
        return false;
    }
    return Ex.Answer.part(Ready, this->writeUntil(Ex)) == IoEnd::Ok;
  }

  AttemptEnd endStream(Exchange &Ex, Attempt &Try,
                       const Poco::Net::HTTPResponse &Head,
                       const TargetFacts &Facts, const BodyDecoder &Body,
                       const std::string &Rest) {
    if (!Rest.empty()) {
      Try.Reason = "the stream ends within an event";
      return AttemptEnd::Broken;
    }
    this->keepConnection(Try, Head, Facts, Body);
    if (!Ex.Answer.hasBegun())
      return this->deliver(Ex, Head, "") ? AttemptEnd::Done
                                         : AttemptEnd::CallerGone;
    return Ex.Answer.end(this->writeUntil(Ex)) == IoEnd::Ok
               ? AttemptEnd::Done
               : AttemptEnd::CallerGone;
  }

  AttemptEnd readBody(Exchange &Ex, Attempt &Try, BodyDecoder &Body,
                      std::string &Into) {
    while (true) {
      Body.feed(Try.Connection->buffer(), Into);
      if (Body.isDone())
        return AttemptEnd::Done;
      if (Body.isBad() || Into.size() > MostHeld) {
        Try.Reason = "the answer's framing is damaged";
        return AttemptEnd::Broken;
      }
      std::optional<AttemptEnd> End = this->await(Ex, Try);
      if (End == AttemptEnd::Broken && Body.kind() == Framing::UntilClose &&
          Try.Reason == ClosedReason)
        Body.close();
      else if (End)
        return *End;
    }
  }

  /// Waits for more from the target. Nothing where bytes came; else how the
  /// attempt ends.
  std::optional<AttemptEnd> await(Exchange &Ex, Attempt &Try) {
    TimePoint Until = std::min(Ex.Request.Deadline, Try.LastByte + FirstLook);
    while (true) {
      Side News = waitEither(*Try.Connection,
                             Try.WatchCaller ? &Ex.Caller : nullptr, Until);
      TimePoint Now = SystemClock{}.now();
      if (News == Side::Target)
        return this->takeBytes(Try, Now);
      if (News == Side::Caller) {
        if (Ex.Caller.isGone()) {
          Try.Reason = "the caller left";
          return AttemptEnd::CallerGone;
        }
        Try.WatchCaller = false;
        continue;
      }
      if (Now >= Ex.Request.Deadline) {
        Try.Reason = "the deadline passed";
        return AttemptEnd::Stalled;
      }
      if (this->isSilentTooLong(Ex, Try, Now) && this->mayLeave(Ex, Now)) {
        this->suspect(Try.To.Target->Id, SilentTime, Try.Reason,
                      Ex.Request.Facts.Id);
        return AttemptEnd::Stalled;
      }
      // Look again in a while: others may show that the target stands still.
      Until = std::min(Ex.Request.Deadline, Now + LookAgain);
    }
  }

  /// Whether the target has to be taken for standing still. A slow answer
  /// alone does not show it: a busy target gives its other answers meanwhile.
  bool isSilentTooLong(const Exchange &Ex, Attempt &Try, TimePoint Now) {
    const HttpRoute &Route = *Ex.Request.Route;
    TargetVitals Seen = this->Board.Vitals.read(
        [&](const VitalsTable &Rows) { return Rows.of(Try.To.Target->Id); });
    Millis Goal = Try.FirstByteSeen ? Route.PauseGoal : Route.Goal;
    Millis Patience = std::max(LeastPatience, 2 * Goal);
    if (!Try.FirstByteSeen)
      Patience = std::max(Patience, Millis(static_cast<std::int64_t>(
                                        SlowFactor * Seen.FirstByteMs)));
    bool Still = Seen.standsStill(Now) && !Try.FirstByteSeen;
    bool TooLong = Now - Try.LastByte >= Patience &&
                   Now - Seen.LastProgress >= LeastPatience;
    if (Still)
      Try.Reason = "none of its answers moves";
    else if (TooLong)
      Try.Reason = "silent for " + std::to_string(Patience.count()) + " ms";
    return Still || TooLong;
  }

  std::optional<AttemptEnd> takeBytes(Attempt &Try, TimePoint Now) {
    IoEnd End = Try.Connection->fillNow();
    if (End == IoEnd::Ok || End == IoEnd::Timeout) {
      Try.LastByte = Now;
      return std::nullopt;
    }
    Try.Reason = End == IoEnd::Closed ? ClosedReason : "the connection broke";
    return AttemptEnd::Broken;
  }

  void keepConnection(Attempt &Try, const Poco::Net::HTTPResponse &Head,
                      const TargetFacts &Facts, const BodyDecoder &Body) {
    if (Head.getKeepAlive() && Body.kind() != Framing::UntilClose)
      this->Pool.keep(Try.To.Target->Id, std::move(*Try.Connection),
                      Facts.KeepAlive.value_or(Millis(0)), SystemClock{}.now());
  }

  void noteFirstByte(const Exchange &Ex, Attempt &Try) {
    TimePoint Now = SystemClock{}.now();
    Try.FirstByteSeen = true;
    this->Board.Vitals.write([&](VitalsTable &Vitals) {
      Vitals.onFirstByte(Try.To.Target->Id, Try.SentAt,
                         static_cast<double>(Ex.Request.Facts.PromptTokens),
                         Now);
    });
    this->Board.Counters.observe(Timer::FirstToken, Now - Ex.Request.Arrived);
  }

  void noteRequest(const RelayRequest &Request) {
    const CallerFacts &Facts = Request.Facts;
    if (!Facts.Model.empty())
      this->Board.Demand.write([&](DemandTable &Rows) {
        Rows[Facts.Model] +=
            static_cast<double>(Facts.PromptTokens) +
            AnswerTokenWeight * static_cast<double>(Facts.AnswerTokens);
      });
    const ServiceId &Service = Request.Service;
    const EntrySettings &Given = *this->Board.Config.Entry;
    this->Board.Spend.write([&](SpendTable &Rows) {
      Rows.try_emplace(Service,
                       RetryAllowance{Given.RetryRatio, Given.RetrySlack,
                                      Given.RetryWindow})
          .first->second.onRequest(SystemClock{}.now());
    });
  }

  bool maySpend(const ServiceId &Service, TimePoint Now) {
    return this->Board.Spend.write([&](SpendTable &Rows) {
      auto At = Rows.find(Service);
      return At != Rows.end() && At->second.allows(this->Board.Share, Now);
    });
  }

  bool spend(const ServiceId &Service, TimePoint Now) {
    bool Taken = this->Board.Spend.write([&](SpendTable &Rows) {
      auto At = Rows.find(Service);
      return At != Rows.end() && At->second.take(this->Board.Share, Now);
    });
    if (Taken)
      this->Board.Counters.add(Counter::Retries);
    return Taken;
  }

  void suspect(const VmId &Target, Millis Time, const std::string &Reason,
               const RequestId &Because) {
    TimePoint Now = SystemClock{}.now();
    bool New = this->Board.Vitals.write([&](VitalsTable &Vitals) {
      bool Fresh = Vitals.of(Target).SuspectUntil <= Now;
      Vitals.suspect(Target, Now, Time);
      return Fresh;
    });
    if (!New)
      return;
    this->Board.Counters.add(Counter::TargetsSuspected);
    this->Board.Log.emit(EventCode::TargetSuspected, Target.Text,
                         LogFields()
                             .add("request", Because.Text)
                             .add("reason", Reason)
                             .add("for_ms", Time));
  }

  TimePoint writeUntil(const Exchange &Ex) const {
    return Ex.Request.Deadline + WriteGrace;
  }

  /// The fields that every line about a request has.
  LogFields fieldsOf(const Exchange &Ex) const {
    LogFields Fields;
    TimePoint Now = SystemClock{}.now();
    Fields.add("after_ms",
               std::chrono::duration_cast<Millis>(Now - Ex.Request.Arrived));
    if (Ex.Request.Config)
      Fields.add("config", Ex.Request.Config->Version);
    if (Ex.Request.Route)
      Fields.add("route", Ex.Request.Route->Name)
          .add("service", Ex.Request.Service.Text)
          .add("model", Ex.Request.Facts.Model)
          .add("workspace", Ex.Request.Workspace.Text);
    return Fields.add("sends", Ex.Run.Sent)
        .add("may_have_run", Ex.Run.MayHaveRun);
  }

  AttemptEnd endAttempt(const Exchange &Ex, const Attempt &Try,
                        AttemptEnd End) {
    Ex.Run.Reason = Try.Reason;
    if (End == AttemptEnd::Done)
      return End;
    std::uint64_t View = this->Board.Serving.read(
        [](const ServingViewRef &Row) { return Row->FleetVersion; });
    this->Board.Log.emit(EventCode::AttemptEnded, Ex.Request.Facts.Id.Text,
                         this->fieldsOf(Ex)
                             .add("target", Try.To.Target->Id.Text)
                             .add("address", Try.To.Target->Address.text())
                             .add("fleet", View)
                             .add("first_byte", Try.FirstByteSeen)
                             .add("last_event", Ex.Run.LastEvent.value_or(0))
                             .add("reason", Try.Reason));
    return End;
  }

  void logDone(const Exchange &Ex, const Serving &To, AttemptEnd End) {
    this->Board.Counters.add(End == AttemptEnd::Done ? Counter::RequestsDone
                                                     : Counter::RequestsCut);
    this->Board.Counters.observe(Timer::Whole,
                                 SystemClock{}.now() - Ex.Request.Arrived);
    if (End == AttemptEnd::Done)
      this->Board.Log.emit(
          EventCode::RequestDone, Ex.Request.Facts.Id.Text,
          this->fieldsOf(Ex).add("target", To.Target->Id.Text));
  }

  /// Ends a request for which no further send is allowed or possible.
  void giveUp(Exchange Ex, const std::string &Reason, bool DeadlinePassed) {
    if (Ex.Answer.hasBegun()) {
      Ex.Answer.cut();
      this->Board.Counters.add(Counter::RequestsCut);
      this->Board.Log.emit(EventCode::RequestCut, Ex.Request.Facts.Id.Text,
                           this->fieldsOf(Ex).add("reason", Reason));
      return;
    }
    if (Ex.Run.Failure) {
      this->deliver(Ex, *Ex.Run.Failure, Ex.Run.FailureBody);
      this->Board.Log.emit(
          EventCode::RequestDone, Ex.Request.Facts.Id.Text,
          this->fieldsOf(Ex)
              .add("status", static_cast<int>(Ex.Run.Failure->getStatus()))
              .add("reason", Reason));
      return;
    }
    ErrorKind Kind = ErrorKind::NoCapacity;
    if (DeadlinePassed)
      Kind = Ex.Run.MayHaveRun ? ErrorKind::DeadlineAfterRun
                               : ErrorKind::DeadlineBeforeRun;
    else if (Ex.Run.MayHaveRun)
      Kind = ErrorKind::OutcomeUnknown;
    else if (Ex.Run.Sent)
      Kind = ErrorKind::TargetBusy;
    this->refuse(Ex, makeError(Kind, Reason, comeBackAfter(Ex.Request)));
  }

  void refuse(Exchange Ex, const absl::Status &Why) {
    const ErrorAnswer &Row = answerFor(kindOf(Why));
    Poco::Net::HTTPResponse Out(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Row.HttpStatus));
    Out.setContentType("application/json");
    Protocol::markAnswer(Out, Ex.Request.Facts.Id,
                         Row.RequestRan == Ran::No ? retryAfterOf(Why)
                                                   : Millis(0));
    Ex.Answer.whole(std::move(Out), errorJson(Why),
                    SystemClock{}.now() + WriteGrace);
    this->Board.Counters.add(Counter::RequestsRefused);
    this->Board.Log.emit(EventCode::RequestRefused, Ex.Request.Facts.Id.Text,
                         this->fieldsOf(Ex)
                             .add("kind", Row.Name)
                             .add("status", Row.HttpStatus)
                             .add("retry_after_ms", retryAfterOf(Why))
                             .add("reason", messageOf(Why)));
  }

  static constexpr const char *ClosedReason = "the connection closed";

  EntryBoard &Board;
  TargetPool &Pool;
};

} // namespace waycove
