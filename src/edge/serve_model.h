// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/json.h"
#include "base/pool.h"
#include "edge/admission.h"
#include "edge/attempts.h"
#include "edge/target.h"

namespace waycove {

/// A stream looks this often whether its group still serves.
constexpr Millis LookEvery(100);

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

/// Model requests: one answer out of as many attempts as it takes, each going
/// on from the token where the last one broke. Thread-safe.
template <EngineService Engine> class ModelServer {
public:
  ModelServer(Board &Tables, Engine &Models, Admission &Doors, Attempts &Tries)
      : Tables(Tables), Models(Models), Doors(Doors), Tries(Tries) {}

  template <AnswerSink Sink>
  absl::Status serve(const CallerRequest &Request, const Plan &Way,
                     Sink &Into) {
    Progress Have;
    Have.Began = SystemClock{}.now();
    // 1. Wait for a turn.
    std::shared_ptr<Gate> Door;
    absl::StatusOr<TicketId> Ticket = this->Doors.enter(Request, Way, Door);
    if (!Ticket.ok())
      return refuse(Into, Ticket.status());
    GatePass Pass(Door, *Ticket);
    this->Tables.Counters.observe(Timer::QueueWait,
                                  SystemClock{}.now() - Have.Began);
    // 2. Attempts, each going on from where the last one broke.
    std::uint64_t Affinity =
        affinityOf(Request.Workspace.Text, Request.Session, Request.Prompt);
    Course Run;
    this->Tries.noteFirst();
    while (true) {
      const RouteTarget *Target =
          this->Tries.choose(Way, Request, Run, Affinity);
      AttemptOutcome End = AttemptOutcome::NotSent;
      if (Target)
        End = this->attempt(Request, Way, *Target, Run, Have, Into);
      else
        Run.Reason = "no other target is serving";
      Pass.Spent = Tokens(std::max<std::uint64_t>(Have.Count, 1));
      RetryDecision Next = this->Tries.decide(Request, Run, End);
      if (Next.Choice == RetryChoice::Finish)
        return this->finishModel(Request, Have, Into);
      if (Next.Choice == RetryChoice::Fail || !Target)
        return this->giveUpModel(makeError(Next.Kind, Run.Reason, ComeBackSoon),
                                 Have, Into);
      bool Resumed = Have.Count > 0;
      Have.Resumes += Resumed ? 1 : 0;
      this->Tries.noteAgain(Request, *Target, Resumed, Run);
    }
  }

private:
  /// One attempt at one group. Tokens are passed on only if they are the next
  /// ones, of this group under this fence, made by all of its members.
  template <AnswerSink Sink>
  AttemptOutcome attempt(const CallerRequest &Request, const Plan &Way,
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
        this->Tables.Config.TokenStallTimeout,
        Request.Deadline};
    EngineDone Done;
    AttemptOutcome End = this->Models.generate(
        Call,
        [&](const EngineToken &Token) {
          return this->takeToken(Request, Way, Target, Token, Have, Into);
        },
        Done);
    if (End == AttemptOutcome::Done && Done.Tokens != Have.Count) {
      End = AttemptOutcome::Broken;
      Done.Reason = "tokens are missing";
    }
    Run.Reason = Done.Reason.empty() ? "the target broke off" : Done.Reason;
    if (Done.Leaving)
      this->Tries.recordLeaving(Target);
    if (End == AttemptOutcome::Done)
      this->Tables.Load.write([&](LoadTable &Load) {
        Load.onReport(Target.Key, Done.Queue, SystemClock{}.now());
      });
    this->Tries.noteEnd(Target, End, Way.View->Targets.size());
    // An engine that still works on what nobody waits for is told to stop.
    if (End != AttemptOutcome::Done && End != AttemptOutcome::NotSent &&
        End != AttemptOutcome::Refused)
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
      if (this->Tables.isGroupBroken(Target.Group))
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
      Sent = Into.head(200, "text/event-stream", Millis(0), std::nullopt);
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
      Sent = Have.HeadSent ||
             Into.head(200, "text/event-stream", Millis(0), std::nullopt);
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
      return refuse(Into, Status);
    this->Tables.Counters.add(Counter::RequestsCut);
    Into.data("event: error\ndata: " + errorJson(Status) + "\n\n");
    Into.cut();
    return Status;
  }

  Board &Tables;
  Engine &Models;
  Admission &Doors;
  Attempts &Tries;
  WorkerPool Cancels{2};
};

} // namespace waycove
