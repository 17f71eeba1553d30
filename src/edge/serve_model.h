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

/// Interval at which a stream checks that its group is not broken.
constexpr Millis GroupCheckInterval(100);

/// The part of a model's response received so far.
struct ResponseProgress {
  std::string Text;
  std::uint64_t Count = 0;
  bool HeadSent = false;
  unsigned Resumes = 0;
  TimePoint Began;
  TimePoint LastToken;
  TimePoint LastGroupCheck;
};

/// Serves model requests. A broken attempt is resumed on another target
/// from the next missing token. Thread-safe.
template <EngineService Engine> class ModelServer {
public:
  ModelServer(Board &Tables, Engine &Models, Admission &AdmissionControl,
              Attempts &TargetAttempts)
      : Tables(Tables), Models(Models), AdmissionControl(AdmissionControl),
        TargetAttempts(TargetAttempts) {}

  template <ResponseSink SinkT>
  absl::Status serve(const CallerRequest &Request, const RoutePlan &Plan,
                     SinkT &Sink) {
    ResponseProgress Progress;
    Progress.Began = SystemClock{}.now();
    // 1. Wait for admission.
    std::shared_ptr<AdmissionGate> SlotGate;
    absl::StatusOr<TicketId> Ticket =
        this->AdmissionControl.enter(Request, Plan, SlotGate);
    if (!Ticket.ok())
      return refuse(Sink, Ticket.status());
    AdmissionPermit Permit(SlotGate, *Ticket);
    this->Tables.Counters.observe(Timer::QueueWait,
                                  SystemClock{}.now() - Progress.Began);
    // 2. Attempt until done, each time resuming after the last token.
    std::uint64_t Affinity =
        affinityOf(Request.Workspace.Text, Request.Session, Request.Prompt);
    AttemptHistory History;
    this->TargetAttempts.recordFirstAttempt();
    while (true) {
      const RouteTarget *Target =
          this->TargetAttempts.choose(Plan, Request, History, Affinity);
      AttemptOutcome End = AttemptOutcome::NotSent;
      if (Target)
        End = this->attempt(Request, Plan, *Target, History, Progress, Sink);
      else
        History.Reason = "no other target is serving";
      Permit.Spent = Tokens(std::max<std::uint64_t>(Progress.Count, 1));
      RetryDecision Next = this->TargetAttempts.decide(Request, History, End);
      if (Next.Choice == RetryChoice::Finish)
        return this->finishModel(Request, Progress, Sink);
      if (Next.Choice == RetryChoice::Fail || !Target)
        return this->failModel(
            makeError(Next.Kind, History.Reason, DefaultRetryAfter), Progress,
            Sink);
      bool Resumed = Progress.Count > 0;
      Progress.Resumes += Resumed ? 1 : 0;
      this->TargetAttempts.recordRetry(Request, *Target, Resumed, History);
    }
  }

private:
  /// Runs one attempt at one group and records its outcome.
  template <ResponseSink SinkT>
  AttemptOutcome attempt(const CallerRequest &Request, const RoutePlan &Plan,
                         const RouteTarget &Target, AttemptHistory &History,
                         ResponseProgress &Progress, SinkT &Sink) {
    ++History.Attempts;
    this->Tables.Counters.add(Counter::Attempts);
    EngineCall Call{
        Target.Address,
        RequestId(Request.Id.Text + "." + std::to_string(History.Attempts)),
        Target.Group,
        Request.Prompt,
        Request.MaxTokens,
        Progress.Count,
        Progress.Text,
        Request.Priority,
        this->Tables.Config.TokenStallTimeout,
        Request.Deadline};
    EngineDone Done;
    AttemptOutcome End = this->Models.generate(
        Call,
        [&](const EngineToken &Token) {
          return this->handleToken(Request, Plan, Target, Token, Progress,
                                   Sink);
        },
        Done);
    if (End == AttemptOutcome::Done && Done.Tokens != Progress.Count) {
      End = AttemptOutcome::Broken;
      Done.Reason = "tokens are missing";
    }
    History.Reason = Done.Reason.empty() ? "the target broke off" : Done.Reason;
    if (Done.Leaving)
      this->TargetAttempts.recordLeaving(Target);
    if (End == AttemptOutcome::Done)
      this->Tables.Load.write([&](LoadTable &Load) {
        Load.onReport(Target.Key, Done.Queue, SystemClock{}.now());
      });
    this->TargetAttempts.recordOutcome(Target, End, Plan.View->Targets.size());
    // The engine may still be generating: cancel the request.
    if (End != AttemptOutcome::Done && End != AttemptOutcome::NotSent &&
        End != AttemptOutcome::Refused)
      this->Cancels.post([this, At = Target.Address, Id = Call.Request] {
        this->Models.cancel(At, Id);
      });
    return End;
  }

  /// Sends a token to the caller if it is the next one and comes from this
  /// group, under this fence, with all of its members.
  template <ResponseSink SinkT>
  TokenVerdict handleToken(const CallerRequest &Request, const RoutePlan &Plan,
                           const RouteTarget &Target, const EngineToken &Token,
                           ResponseProgress &Progress, SinkT &Sink) {
    // 1. Check the group and that all members took part.
    if (Token.Group != Target.Group ||
        Token.Members != Plan.View->VmsPerReplica)
      return TokenVerdict::Reject;
    TimePoint Now = SystemClock{}.now();
    if (Now - Progress.LastGroupCheck > GroupCheckInterval) {
      Progress.LastGroupCheck = Now;
      if (this->Tables.isGroupBroken(Target.Group))
        return TokenVerdict::Reject;
    }
    // 2. Skip duplicates, reject gaps.
    if (Token.Index < Progress.Count)
      return TokenVerdict::Ignore;
    if (Token.Index > Progress.Count)
      return TokenVerdict::Reject;
    this->recordTokenLatency(Progress, Now);
    Progress.Text += Token.Text;
    ++Progress.Count;
    // 3. Send it to the caller.
    if (!Request.Stream)
      return TokenVerdict::Accept;
    bool Sent = true;
    if (!Progress.HeadSent)
      Sent = Sink.head(200, "text/event-stream", Millis(0), std::nullopt);
    Progress.HeadSent = true;
    Poco::JSON::Object Fields;
    Fields.set("index", Token.Index);
    Fields.set("text", Token.Text);
    Sent = Sent && Sink.data("data: " + dumpJson(Fields) + "\n\n");
    return Sent ? TokenVerdict::Accept : TokenVerdict::CallerGone;
  }

  void recordTokenLatency(ResponseProgress &Progress, TimePoint Now) {
    if (Progress.Count == 0)
      this->Tables.Counters.observe(Timer::FirstToken, Now - Progress.Began);
    else
      this->Tables.Counters.observe(Timer::BetweenTokens,
                                    Now - Progress.LastToken);
    Progress.LastToken = Now;
    this->Tables.Counters.add(Counter::TokensOut);
  }

  template <ResponseSink SinkT>
  absl::Status finishModel(const CallerRequest &Request,
                           const ResponseProgress &Progress, SinkT &Sink) {
    Poco::JSON::Object Fields;
    Fields.set("request", Request.Id.Text);
    Fields.set("tokens", Progress.Count);
    Fields.set("resumes", Progress.Resumes);
    bool Sent = false;
    if (Request.Stream) {
      Sent = Progress.HeadSent ||
             Sink.head(200, "text/event-stream", Millis(0), std::nullopt);
      Sent = Sent &&
             Sink.data("event: done\ndata: " + dumpJson(Fields) + "\n\n") &&
             Sink.end();
    } else {
      Fields.set("text", Progress.Text);
      Sent = sendWhole(Sink, 200, "application/json", dumpJson(Fields));
    }
    if (Sent)
      return absl::OkStatus();
    return makeError(ErrorKind::OutcomeUnknown, "the caller left");
  }

  /// Ends a response that cannot be completed: with an error response where
  /// nothing was sent yet, else with an error event and a cut.
  template <ResponseSink SinkT>
  absl::Status failModel(const absl::Status &Status,
                         const ResponseProgress &Progress, SinkT &Sink) {
    if (!Progress.HeadSent)
      return refuse(Sink, Status);
    this->Tables.Counters.add(Counter::RequestsCut);
    Sink.data("event: error\ndata: " + errorJson(Status) + "\n\n");
    Sink.cut();
    return Status;
  }

  Board &Tables;
  Engine &Models;
  Admission &AdmissionControl;
  Attempts &TargetAttempts;
  WorkerPool Cancels{2};
};

} // namespace waycove
