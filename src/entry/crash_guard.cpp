// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/crash_guard.h"

#include "policy/trial_node.h"

namespace waycove {

bool CrashGuard::maySend(const RelayRequest &Request, TimePoint Now) {
  using Verdict = CrashBlame::Verdict;
  Verdict Current = this->Board.Crashes.read([&](const CrashBlame &Crashes) {
    return Crashes.judge(Request.Content, Now);
  });
  if (Current != Verdict::Trial)
    return Current == Verdict::Allow;
  if (!isTrialNode(Request.Content, this->Board.Config.Node,
                   this->Board.nodes()->nodes()))
    return false;
  bool TrialTaken = this->Board.Crashes.write([&](CrashBlame &Crashes) {
    bool StillTry = Crashes.judge(Request.Content, Now) == Verdict::Trial;
    if (StillTry)
      Crashes.recordTrial(Request.Content, Now);
    return StillTry;
  });
  if (TrialTaken)
    this->Board.Log.emit(EventCode::RequestTried, Request.Info.Id.Text,
                         LogFields().add("content", Request.Content.Value));
  return TrialTaken;
}

void CrashGuard::recordOutcome(const RelayRequest &Request,
                               const RelayAttempt &Attempt, AttemptOutcome End,
                               TimePoint Now) {
  bool IsDoubtful = Attempt.carrier().empty() &&
                    this->Board.ReachState != TargetReach::State::Sound;
  if (End == AttemptOutcome::Broken && Attempt.ConnectionLost)
    this->Board.Crashes.write([&](CrashBlame &Crashes) {
      const VmIncarnation Target = Attempt.To.Target->incarnation();
      if (IsDoubtful)
        Crashes.holdLost(Request.Content, Target, Now);
      else
        Crashes.recordLost(Request.Content, Target, Now);
    });
  else if (End == AttemptOutcome::Done && Attempt.Succeeded)
    this->Board.Crashes.write([&](CrashBlame &Crashes) {
      Crashes.recordServed(Request.Content, Now);
    });
}

} // namespace waycove
