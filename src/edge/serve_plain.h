// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "edge/admission.h"
#include "edge/attempts.h"
#include "edge/target.h"

namespace waycove {

/// Serves requests to plain services, whose responses are sent whole.
/// Thread-safe.
template <PlainService Plain> class PlainServer {
public:
  PlainServer(Board &Tables, Plain &Services, Admission &AdmissionControl,
              Attempts &TargetAttempts)
      : Tables(Tables), Services(Services), AdmissionControl(AdmissionControl),
        TargetAttempts(TargetAttempts) {}

  template <ResponseSink SinkT>
  absl::Status serve(const CallerRequest &Request, const RoutePlan &Plan,
                     SinkT &Sink) {
    std::shared_ptr<AdmissionGate> SlotGate;
    absl::StatusOr<TicketId> Ticket =
        this->AdmissionControl.enter(Request, Plan, SlotGate);
    if (!Ticket.ok())
      return refuse(Sink, Ticket.status());
    AdmissionPermit Permit(SlotGate, *Ticket);
    AttemptHistory History;
    this->TargetAttempts.recordFirstAttempt();
    while (true) {
      const RouteTarget *Target =
          this->TargetAttempts.choose(Plan, Request, History, 0);
      HttpReply Reply;
      AttemptOutcome End = AttemptOutcome::NotSent;
      if (Target)
        End = this->callOnce(Request, Plan, *Target, History, Reply);
      else
        History.Reason = "no other target is serving";
      RetryDecision Next = this->TargetAttempts.decide(Request, History, End);
      if (Next.Choice == RetryChoice::Finish) {
        sendWhole(Sink, Reply.Status, Reply.ContentType, Reply.Body);
        return absl::OkStatus();
      }
      if (Next.Choice == RetryChoice::Fail || !Target)
        return refuse(Sink,
                      makeError(Next.Kind, History.Reason, DefaultRetryAfter));
      this->TargetAttempts.recordRetry(Request, *Target, false, History);
    }
  }

private:
  /// Runs one attempt at one target and records its outcome.
  AttemptOutcome callOnce(const CallerRequest &Request, const RoutePlan &Plan,
                          const RouteTarget &Target, AttemptHistory &History,
                          HttpReply &Reply) {
    ++History.Attempts;
    this->Tables.Counters.add(Counter::Attempts);
    PlainCall Call;
    Call.Address = Target.Address;
    Call.Request =
        RequestId(Request.Id.Text + "." + std::to_string(History.Attempts));
    Call.Http = {
        Request.Method, Request.Path, Request.Body, Request.ContentType, {}};
    Call.Http.Headers.push_back(
        {"X-Waycove-Workspace", Request.Workspace.Text});
    if (!Request.Key.empty())
      Call.Http.Headers.push_back({"Idempotency-Key", Request.Key.Text});
    Call.Timeout =
        std::max(Millis(1), std::chrono::duration_cast<Millis>(
                                Request.Deadline - SystemClock{}.now()));
    AttemptOutcome End = this->Services.call(Call, Reply);
    History.Reason = "the target broke off or did not answer";
    if (Reply.Leaving)
      this->TargetAttempts.recordLeaving(Target);
    this->TargetAttempts.recordOutcome(Target, End, Plan.View->Targets.size());
    return End;
  }

  Board &Tables;
  Plain &Services;
  Admission &AdmissionControl;
  Attempts &TargetAttempts;
};

} // namespace waycove
