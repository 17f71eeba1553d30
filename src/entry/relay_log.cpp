// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/relay_log.h"

#include "policy/urgency.h"

#include <algorithm>

namespace waycove {

namespace {

/// The shared parts of a prompt, separated by commas.
std::string joinParts(const std::vector<std::string> &Parts) {
  std::string Text;
  for (const std::string &Part : Parts) {
    if (!Text.empty())
      Text += ',';
    Text += Part;
  }
  return Text;
}

const char *nameOf(AttemptOutcome End) {
  switch (End) {
  case AttemptOutcome::Done:
    return "done";
  case AttemptOutcome::Refused:
    return "refused";
  case AttemptOutcome::Broken:
    return "broken";
  case AttemptOutcome::Stalled:
    return "stalled";
  case AttemptOutcome::Silent:
    return "silent";
  case AttemptOutcome::Overtaken:
    return "overtaken";
  case AttemptOutcome::NotSent:
    return "not sent";
  case AttemptOutcome::CallerGone:
    return "caller gone";
  case AttemptOutcome::Count:
    break;
  }
  return "";
}

/// Time until the deadline; zero after it.
Millis timeLeft(const RelayExchange &Ex) {
  auto Left = std::chrono::duration_cast<Millis>(Ex.Request.Deadline -
                                                 SystemClock{}.now());
  return std::max(Left, Millis(0));
}

/// The fields of every line about a request.
LogFields requestFields(const RelayExchange &Ex) {
  LogFields Fields;
  TimePoint Now = SystemClock{}.now();
  Fields.add("after_ms",
             std::chrono::duration_cast<Millis>(Now - Ex.Request.ArrivedAt));
  Fields.add("unread_ms", Ex.Request.unreadTime())
      .add("write_ms", Ex.Response.writeTime());
  if (Ex.Request.Deadline != TimePoint())
    Fields.add("timeout_ms", std::chrono::duration_cast<Millis>(
                                 Ex.Request.Deadline - Ex.Request.ArrivedAt));
  if (Ex.Request.Config)
    Fields.add("config", Ex.Request.Config->Version);
  if (Ex.Request.Route)
    Fields.add("route", Ex.Request.Route->Name)
        .add("service", Ex.Request.Service.Text)
        .add("model", Ex.Request.Info.Model)
        .add("workspace", Ex.Request.Workspace.Text)
        .add("content", Ex.Request.Content.Value)
        .add("parts", joinParts(Ex.Request.Info.SharedParts));
  if (Ex.Progress.Snapshot)
    Fields.add("registry", Ex.Progress.Snapshot->Position.At.Value)
        .add("registry_age_ms", Ex.Progress.Snapshot->Age);
  return Fields.add("queued_ms", Ex.Progress.Queued)
      .add("sends", Ex.Progress.SentCount)
      .add("may_have_run", Ex.Progress.MayHaveRun);
}

/// The fields that explain why a request got no place in its pool.
void addAdmission(LogFields &Fields, const AdmissionRefusal &Refusal,
                  const RelayRequest &Request) {
  Fields.add("predicted_wait_ms", Refusal.Forecast.Wait)
      .add("ahead", Refusal.Forecast.Ahead)
      .add("late", Refusal.Forecast.IsLate)
      .add("priority", priorityOf(*Request.Route, Request.Owner))
      .add("place_limit", Refusal.Limit)
      .add("in_flight", Refusal.InFlight)
      .add("waiting", Refusal.Waiting);
  if (Refusal.ReportAge)
    Fields.add("report_age_ms", *Refusal.ReportAge);
}

} // namespace

void RelayLog::suspectTarget(const VmIncarnation &Target, Millis Duration,
                             const std::string &Reason,
                             const RequestId &Cause) {
  TimePoint Now = SystemClock{}.now();
  bool NewlySuspected =
      this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
        bool IsNew = Stats.of(Target).SuspectUntil <= Now;
        Stats.suspect(Target, Now, Duration);
        return IsNew;
      });
  if (!NewlySuspected)
    return;
  this->Board.Counters.add(Counter::TargetsSuspected);
  this->Board.Log.emit(EventCode::TargetSuspected, Target.Id.Text,
                       LogFields()
                           .add("request", Cause.Text)
                           .add("reason", Reason)
                           .add("for_ms", Duration));
}

void RelayLog::recordStatement(const StatementSource &From,
                               const TargetStatement &Statement) {
  this->recordLimit(From, Statement);
  this->recordPause(From, Statement);
  this->recordUnreadable(From, Statement);
}

void RelayLog::recordLimit(const StatementSource &From,
                           const TargetStatement &Statement) {
  using Change = StatedLimits::Change;
  bool HasNoEffect = !Statement.Limit &&
                     !this->Board.TargetLimits.read(
                         [](const StatedLimits &Known) { return Known.any(); });
  if (HasNoEffect)
    return;
  Change Found = this->Board.TargetLimits.write([&](StatedLimits &Known) {
    return Known.onResponse(From.Target, Statement, From.SentAt,
                            SystemClock{}.now());
  });
  if (Found == Change::None)
    return;
  LogFields Fields;
  Fields.add("request", From.Request.Text);
  if (Statement.Limit)
    Fields.add("per_second", Statement.Limit->PerSecond);
  this->Board.Log.emit(Found == Change::Ended ? EventCode::TargetUnlimited
                                              : EventCode::TargetLimited,
                       From.Target.Id.Text, Fields);
}

void RelayLog::recordPause(const StatementSource &From,
                           const TargetStatement &Statement) {
  if (!Statement.Leaving && !Statement.Rest)
    return;
  StatedPauses::Changes Found =
      this->Board.TargetPauses.write([&](StatedPauses &Known) {
        return Known.onResponse(From.Target, Statement, SystemClock{}.now());
      });
  LogFields Fields;
  Fields.add("request", From.Request.Text);
  if (Found.Leaves)
    this->Board.Log.emit(EventCode::TargetLeaves, From.Target.Id.Text, Fields);
  if (Found.Rests)
    this->Board.Log.emit(EventCode::TargetRests, From.Target.Id.Text,
                         Fields.add("for_ms", *Statement.Rest));
}

void RelayLog::recordUnreadable(const StatementSource &From,
                                const TargetStatement &Statement) {
  bool IsReadable = !Statement.HasUnreadableLimit &&
                    !Statement.HasUnreadableLeaving &&
                    !Statement.HasUnreadableRest;
  if (IsReadable)
    return;
  if (!this->UnreadableLines.isDue(SystemClock{}.now()))
    return;
  this->Board.Log.emit(EventCode::StatementUnreadable, From.Target.Id.Text,
                       LogFields()
                           .add("request", From.Request.Text)
                           .add("limit", Statement.HasUnreadableLimit)
                           .add("leaving", Statement.HasUnreadableLeaving)
                           .add("rest", Statement.HasUnreadableRest));
}

void RelayLog::attemptEnded(const RelayExchange &Ex,
                            const RelayAttempt &Attempt, AttemptOutcome End) {
  this->Board.Log.emit(
      EventCode::AttemptEnded, Ex.Request.Info.Id.Text,
      requestFields(Ex)
          .add("target", Attempt.to().Target->Id.Text)
          .add("address", Attempt.to().Target->Address.text())
          .add("incarnation_ms", Attempt.to().Target->StartedAt.Value)
          .add("end", nameOf(End))
          .add("lost", Attempt.ConnectionLost)
          .add("first_byte", Attempt.FirstByteSeen)
          .add("carrier", Attempt.carrier().Text)
          .add("opened_in_ms", Attempt.openedIn())
          .add("last_event", Ex.Progress.LastEvent.value_or(0))
          .add("reason", Attempt.Reason));
}

void RelayLog::requestDone(const RelayExchange &Ex, const ServingTarget &To,
                           AttemptOutcome End) {
  this->Board.Counters.add(End == AttemptOutcome::Done ? Counter::RequestsDone
                                                       : Counter::RequestsCut);
  this->Board.Counters.observe(Timer::WholeResponse,
                               SystemClock{}.now() - Ex.Request.ArrivedAt);
  if (End == AttemptOutcome::Done)
    this->Board.Log.emit(
        EventCode::RequestDone, Ex.Request.Info.Id.Text,
        requestFields(Ex)
            .add("target", To.Target->Id.Text)
            .add("incarnation_ms", To.Target->StartedAt.Value)
            .add("first_byte_ms", Ex.Progress.FirstByte.value_or(Millis(0))));
  else if (Ex.Response.hasStarted())
    this->emitCut(Ex,
                  Ex.Progress.CallerIsSlow ? CutCause::CallerSlow
                                           : CutCause::CallerLeft,
                  Ex.Progress.Reason);
}

void RelayLog::requestFailed(const RelayExchange &Ex,
                             const std::string &Reason) {
  this->Board.Log.emit(
      EventCode::RequestDone, Ex.Request.Info.Id.Text,
      requestFields(Ex)
          .add("status", static_cast<int>(Ex.Progress.Failure->getStatus()))
          .add("reason", Reason));
}

void RelayLog::requestCut(const RelayExchange &Ex, CutCause Cause,
                          const std::string &Reason) {
  this->Board.Counters.add(Counter::RequestsCut);
  this->emitCut(Ex, Cause, Reason);
}

void RelayLog::requestWaits(const RelayExchange &Ex,
                            const std::string &Missing) {
  this->Board.Log.emit(EventCode::RequestWaits, Ex.Request.Info.Id.Text,
                       requestFields(Ex)
                           .add("reason", Missing)
                           .add("left_ms", timeLeft(Ex))
                           .add("last_attempt", Ex.Progress.Reason));
}

void RelayLog::emitCut(const RelayExchange &Ex, CutCause Cause,
                       const std::string &Reason) {
  this->Board.Log.emit(EventCode::RequestCut, Ex.Request.Info.Id.Text,
                       requestFields(Ex)
                           .add("cause", nameOf(Cause))
                           .add("reason", Reason)
                           .add("left_ms", timeLeft(Ex))
                           .add("last_attempt", Ex.Progress.Reason));
}

void RelayLog::requestEnded(const RelayExchange &Ex) {
  this->Board.Counters.observe(Timer::RequestUnread,
                               Ex.Request.ReadAt - Ex.Request.ArrivedAt);
  this->Board.Counters.observe(Timer::ResponseWrite, Ex.Response.writeTime());
  bool HasDeadline = Ex.Request.Deadline != TimePoint();
  if (!HasDeadline || SystemClock{}.now() - Ex.Request.Deadline <= OverdueTime)
    return;
  this->Board.Counters.add(Counter::RequestsOverdue);
  this->Board.Log.emit(EventCode::RequestOverdue, Ex.Request.Info.Id.Text,
                       requestFields(Ex).add("reason", Ex.Progress.Reason));
}

void RelayLog::requestRefused(const RelayExchange &Ex,
                              const absl::Status &Error) {
  const ErrorResponse &Template = responseFor(kindOf(Error));
  this->Board.Counters.add(Counter::RequestsRefused);
  this->Board.Counters.Refusals.add(Template.Name, Ex.Request.Workspace.Text);
  LogFields Fields = requestFields(Ex);
  Fields.add("kind", Template.Name)
      .add("status", Template.HttpStatus)
      .add("retry_after_ms", retryAfterOf(Error))
      .add("reason", messageOf(Error));
  if (Ex.Progress.Refusal)
    addAdmission(Fields, *Ex.Progress.Refusal, Ex.Request);
  this->Board.Log.emit(EventCode::RequestRefused, Ex.Request.Info.Id.Text,
                       Fields);
}

} // namespace waycove
