// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/relay_notes.h"

namespace waycove {

namespace {

/// The fields that every line about a request has.
LogFields fieldsOf(const RelayExchange &Ex) {
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
        .add("workspace", Ex.Request.Workspace.Text)
        .add("content", Ex.Request.Content.Value);
  if (Ex.Run.Basis)
    Fields.add("registry", Ex.Run.Basis->Registry.At.Value)
        .add("registry_age_ms", Ex.Run.Basis->Age);
  return Fields.add("sends", Ex.Run.Sent)
      .add("may_have_run", Ex.Run.MayHaveRun);
}

} // namespace

void RelayNotes::suspect(const VmLife &Target, Millis Time,
                         const std::string &Reason, const RequestId &Because) {
  TimePoint Now = SystemClock{}.now();
  bool New = this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
    bool Fresh = Stats.of(Target).SuspectUntil <= Now;
    Stats.suspect(Target, Now, Time);
    return Fresh;
  });
  if (!New)
    return;
  this->Board.Counters.add(Counter::TargetsSuspected);
  this->Board.Log.emit(EventCode::TargetSuspected, Target.Id.Text,
                       LogFields()
                           .add("request", Because.Text)
                           .add("reason", Reason)
                           .add("for_ms", Time));
}

void RelayNotes::attemptEnded(const RelayExchange &Ex,
                              const RelayAttempt &Try) {
  this->Board.Log.emit(EventCode::AttemptEnded, Ex.Request.Facts.Id.Text,
                       fieldsOf(Ex)
                           .add("target", Try.To.Target->Id.Text)
                           .add("address", Try.To.Target->Address.text())
                           .add("first_byte", Try.FirstByteSeen)
                           .add("last_event", Ex.Run.LastEvent.value_or(0))
                           .add("reason", Try.Reason));
}

void RelayNotes::done(const RelayExchange &Ex, const Serving &To,
                      AttemptOutcome End) {
  this->Board.Counters.add(End == AttemptOutcome::Done ? Counter::RequestsDone
                                                       : Counter::RequestsCut);
  this->Board.Counters.observe(Timer::Whole,
                               SystemClock{}.now() - Ex.Request.Arrived);
  if (End == AttemptOutcome::Done)
    this->Board.Log.emit(
        EventCode::RequestDone, Ex.Request.Facts.Id.Text,
        fieldsOf(Ex)
            .add("target", To.Target->Id.Text)
            .add("first_byte_ms", Ex.Run.FirstByte.value_or(Millis(0))));
}

void RelayNotes::failed(const RelayExchange &Ex, const std::string &Reason) {
  this->Board.Log.emit(
      EventCode::RequestDone, Ex.Request.Facts.Id.Text,
      fieldsOf(Ex)
          .add("status", static_cast<int>(Ex.Run.Failure->getStatus()))
          .add("reason", Reason));
}

void RelayNotes::cut(const RelayExchange &Ex, const std::string &Reason) {
  this->Board.Counters.add(Counter::RequestsCut);
  this->Board.Log.emit(EventCode::RequestCut, Ex.Request.Facts.Id.Text,
                       fieldsOf(Ex).add("reason", Reason));
}

void RelayNotes::refused(const RelayExchange &Ex, const absl::Status &Why) {
  const ErrorAnswer &Row = answerFor(kindOf(Why));
  this->Board.Counters.add(Counter::RequestsRefused);
  this->Board.Log.emit(EventCode::RequestRefused, Ex.Request.Facts.Id.Text,
                       fieldsOf(Ex)
                           .add("kind", Row.Name)
                           .add("status", Row.HttpStatus)
                           .add("retry_after_ms", retryAfterOf(Why))
                           .add("reason", messageOf(Why)));
}

} // namespace waycove
