// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "edge/attempts.h"

namespace waycove {

const RouteTarget *Attempts::choose(const Plan &Way,
                                    const CallerRequest &Request,
                                    const Course &Run, std::uint64_t Affinity) {
  TimePoint Began = SystemClock{}.now();
  RouteQuery Query{Way.Wanted, Affinity,
                   mixHash(hashText(Request.Id.Text), Run.Attempts), Run.Avoid,
                   Began};
  const RouteTarget *Found = this->Tables.Load.read([&](const LoadTable &Load) {
    return pickTarget(*Way.View, Load, Query, [&](const RouteTarget &Row) {
      return this->Places.serves(Row);
    });
  });
  if (Found)
    this->Tables.Load.write([&](LoadTable &Load) { Load.onStart(Found->Key); });
  this->Tables.Counters.observe(Timer::Route, SystemClock{}.now() - Began);
  return Found;
}

/// Notes how an attempt ended, and ejects a target that keeps failing.
void Attempts::noteEnd(const RouteTarget &Target, AttemptOutcome End,
                       std::size_t Known) {
  bool Failed = End == AttemptOutcome::NotSent ||
                End == AttemptOutcome::Broken || End == AttemptOutcome::Stalled;
  bool Ejected = this->Tables.Load.write([&](LoadTable &Load) {
    TimePoint Now = SystemClock{}.now();
    Load.onEnd(Target.Key, Failed, Now);
    return Failed && Load.ejectIfFailing(Target.Key, Known, Now);
  });
  if (Ejected)
    this->Tables.Log.emit(EventCode::TargetEjected, Target.Head.Text);
}

/// A target that says that it leaves is believed, here and by all peers.
void Attempts::recordLeaving(const RouteTarget &Target) {
  WallMs Now = SystemClock{}.wall();
  bool News = this->Tables.Vms.write([&](VmTable &Vms) {
    return !Vms.isLeaving(Target.Head, Now) &&
           Vms.recordLeaving(Target.Head, Board::leavingUntil(Now),
                             this->Tables.nextLocalMark());
  });
  if (!News)
    return;
  this->Tables.Log.emit(EventCode::VmLeaving, Target.Head.Text, "its own word");
  this->Tables.GossipRequested.set();
}

RetryDecision Attempts::decide(const CallerRequest &Request, Course &Run,
                               AttemptOutcome End) {
  AttemptFacts Facts{End, Request.Repeatable, Run.Attempts,
                     SystemClock{}.now() >= Request.Deadline, Run.MayHaveRun};
  std::lock_guard Lock(this->BudgetMutex);
  RetryDecision Next = decideRetry(Facts, this->Budget);
  Run.MayHaveRun |=
      End != AttemptOutcome::NotSent && End != AttemptOutcome::Refused;
  return Next;
}

void Attempts::noteFirst() {
  std::lock_guard Lock(this->BudgetMutex);
  this->Budget.onFirstAttempt(SystemClock{}.now());
}

void Attempts::noteAgain(const CallerRequest &Request,
                         const RouteTarget &Target, bool Resumed, Course &Run) {
  Run.Avoid.push_back(Target.Head);
  this->Tables.Counters.add(Resumed ? Counter::Resumes : Counter::Retries);
  this->Tables.Log.emit(
      Resumed ? EventCode::RequestResumed : EventCode::RequestRetried,
      Request.Id.Text, "after " + Target.Head.Text + ": " + Run.Reason);
}

} // namespace waycove
