// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "edge/attempts.h"

namespace waycove {

const RouteTarget *Attempts::choose(const RoutePlan &Plan,
                                    const CallerRequest &Request,
                                    const AttemptHistory &History,
                                    std::uint64_t Affinity) {
  TimePoint Start = SystemClock{}.now();
  RouteQuery Query{Plan.Wanted, Affinity,
                   mixHash(hashText(Request.Id.Text), History.Attempts),
                   History.Avoid, Start};
  const RouteTarget *Selected =
      this->Tables.Load.read([&](const LoadTable &Load) {
        return pickTarget(*Plan.View, Load, Query,
                          [&](const RouteTarget &Target) {
                            return this->PlacementRules.serves(Target);
                          });
      });
  if (Selected)
    this->Tables.Load.write(
        [&](LoadTable &Load) { Load.onStart(Selected->Key); });
  this->Tables.Counters.observe(Timer::Route, SystemClock{}.now() - Start);
  return Selected;
}

void Attempts::recordOutcome(const RouteTarget &Target, AttemptOutcome End,
                             std::size_t TargetCount) {
  bool Failed = End == AttemptOutcome::NotSent ||
                End == AttemptOutcome::Broken || End == AttemptOutcome::Stalled;
  bool Ejected = this->Tables.Load.write([&](LoadTable &Load) {
    TimePoint Now = SystemClock{}.now();
    Load.onEnd(Target.Key, Failed, Now);
    return Failed && Load.ejectIfFailing(Target.Key, TargetCount, Now);
  });
  if (Ejected)
    this->Tables.Log.emit(EventCode::TargetEjected, Target.Head.Text);
}

void Attempts::recordLeaving(const RouteTarget &Target) {
  WallMs Now = SystemClock{}.wall();
  bool Changed = this->Tables.Vms.write([&](VmTable &Vms) {
    return !Vms.isLeaving(Target.Head, Now) &&
           Vms.recordLeaving(Target.Head, Board::leavingUntil(Now),
                             this->Tables.nextLocalMark());
  });
  if (!Changed)
    return;
  this->Tables.Log.emit(EventCode::VmLeaving, Target.Head.Text,
                        "reported by the target");
  this->Tables.GossipRequested.set();
}

RetryDecision Attempts::decide(const CallerRequest &Request,
                               AttemptHistory &History, AttemptOutcome End) {
  AttemptFacts Facts{End, Request.Repeatable, History.Attempts,
                     SystemClock{}.now() >= Request.Deadline,
                     History.MayHaveRun};
  std::lock_guard Lock(this->BudgetMutex);
  RetryDecision Decision = decideRetry(Facts, this->Budget);
  History.MayHaveRun |=
      End != AttemptOutcome::NotSent && End != AttemptOutcome::Refused;
  return Decision;
}

void Attempts::recordFirstAttempt() {
  std::lock_guard Lock(this->BudgetMutex);
  this->Budget.onFirstAttempt(SystemClock{}.now());
}

void Attempts::recordRetry(const CallerRequest &Request,
                           const RouteTarget &Target, bool Resumed,
                           AttemptHistory &History) {
  History.Avoid.push_back(Target.Head);
  this->Tables.Counters.add(Resumed ? Counter::Resumes : Counter::Retries);
  this->Tables.Log.emit(
      Resumed ? EventCode::RequestResumed : EventCode::RequestRetried,
      Request.Id.Text, "after " + Target.Head.Text + ": " + History.Reason);
}

} // namespace waycove
