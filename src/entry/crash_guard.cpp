// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/crash_guard.h"

#include "policy/trial_node.h"

namespace waycove {

using Verdict = CrashBlame::Verdict;

CrashBlame::Judgement CrashGuard::judge(const RelayRequest &Request,
                                        TimePoint Now) const {
  return this->Board.Crashes.read([&](const CrashBlame &Crashes) {
    return Crashes.judge(Request.Suspects, Now);
  });
}

bool CrashGuard::isTrialNode(const CrashBlame::Judgement &Judged) const {
  return waycove::isTrialNode(Judged.Culprit, this->Board.Config.Node,
                              this->Board.nodes()->nodes());
}

bool CrashGuard::isBlamed(const RelayRequest &Request, TimePoint Now) const {
  CrashBlame::Judgement Judged = this->judge(Request, Now);
  return Judged.Found == Verdict::Refuse ||
         (Judged.Found == Verdict::Trial && !this->isTrialNode(Judged));
}

bool CrashGuard::maySend(const RelayRequest &Request, TimePoint Now) {
  CrashBlame::Judgement Judged = this->judge(Request, Now);
  if (Judged.Found != Verdict::Trial)
    return Judged.Found == Verdict::Allow;
  if (!this->isTrialNode(Judged))
    return false;
  bool TrialTaken = this->Board.Crashes.write([&](CrashBlame &Crashes) {
    bool StillTry =
        Crashes.judge(Request.Suspects, Now).Found == Verdict::Trial;
    if (StillTry)
      Crashes.recordTrial(Request.Suspects, Now);
    return StillTry;
  });
  if (TrialTaken)
    this->Board.Log.emit(EventCode::RequestTried, Request.Info.Id.Text,
                         LogFields().add("culprit", Judged.Culprit.Value));
  return TrialTaken;
}

void CrashGuard::recordOutcome(const RelayRequest &Request,
                               const RelayAttempt &Attempt, AttemptOutcome End,
                               TimePoint Now) {
  bool IsDoubtful = Attempt.carrier().empty() &&
                    this->Board.ReachState != TargetReach::State::Sound;
  bool IsLost = End == AttemptOutcome::Broken && Attempt.ConnectionLost;
  bool IsServed = End == AttemptOutcome::Done && Attempt.Succeeded;
  if (!IsLost && !IsServed)
    return;
  this->Board.Crashes.write([&](CrashBlame &Crashes) {
    const CrashSuspects &Suspects = Request.Suspects;
    const VmIncarnation Target = Attempt.target();
    if (IsLost && IsDoubtful)
      Crashes.holdLost(Suspects, Target, Attempt.SentAt, Now);
    else if (IsLost)
      Crashes.recordLost(Suspects, Target, Attempt.SentAt, Now);
    else if (Attempt.ConnectionLost)
      Crashes.recordEnded(Suspects, Target, Now);
    else
      Crashes.recordServed(Suspects, Now);
  });
}

} // namespace waycove
