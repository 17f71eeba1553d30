// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "edge/admission.h"
#include "edge/attempts.h"
#include "edge/target.h"

namespace waycove {

/// Calls of plain services, passed through whole. Thread-safe.
template <PlainService Plain> class PlainServer {
public:
  PlainServer(Board &Tables, Plain &Services, Admission &Doors, Attempts &Tries)
      : Tables(Tables), Services(Services), Doors(Doors), Tries(Tries) {}

  template <AnswerSink Sink>
  absl::Status serve(const CallerRequest &Request, const Plan &Way,
                     Sink &Into) {
    std::shared_ptr<Gate> Door;
    absl::StatusOr<TicketId> Ticket = this->Doors.enter(Request, Way, Door);
    if (!Ticket.ok())
      return refuse(Into, Ticket.status());
    GatePass Pass(Door, *Ticket);
    Course Run;
    this->Tries.noteFirst();
    while (true) {
      const RouteTarget *Target = this->Tries.choose(Way, Request, Run, 0);
      HttpReply Reply;
      AttemptOutcome End = AttemptOutcome::NotSent;
      if (Target)
        End = this->callOnce(Request, Way, *Target, Run, Reply);
      else
        Run.Reason = "no other target is serving";
      RetryDecision Next = this->Tries.decide(Request, Run, End);
      if (Next.Choice == RetryChoice::Finish) {
        sendWhole(Into, Reply.Status, Reply.ContentType, Reply.Body);
        return absl::OkStatus();
      }
      if (Next.Choice == RetryChoice::Fail || !Target)
        return refuse(Into, makeError(Next.Kind, Run.Reason, ComeBackSoon));
      this->Tries.noteAgain(Request, *Target, false, Run);
    }
  }

private:
  AttemptOutcome callOnce(const CallerRequest &Request, const Plan &Way,
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
    AttemptOutcome End = this->Services.call(Call, Reply);
    Run.Reason = "the target broke off or did not answer";
    if (Reply.Leaving)
      this->Tries.recordLeaving(Target);
    this->Tries.noteEnd(Target, End, Way.View->Targets.size());
    return End;
  }

  Board &Tables;
  Plain &Services;
  Admission &Doors;
  Attempts &Tries;
};

} // namespace waycove
