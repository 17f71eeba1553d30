// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/attempt_recorder.h"

namespace waycove {

void AttemptRecorder::start(const RelayExchange &Ex, RelayAttempt &Attempt) {
  Attempt.LastByte = Attempt.SentAt;
  Attempt.Answer = AnswerProgress(Attempt.SentAt);
  Attempt.IsOpen = true;
  this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
    Stats.onStart(Attempt.target(),
                  static_cast<double>(Ex.Request.Info.PromptTokens),
                  Attempt.SentAt);
  });
}

void AttemptRecorder::end(const RelayExchange &Ex, RelayAttempt &Attempt,
                          AttemptOutcome End) {
  Attempt.IsOpen = false;
  const TimePoint Now = SystemClock{}.now();
  const bool IsLost = End == AttemptOutcome::Broken && Attempt.ConnectionLost;
  if (IsLost)
    Ex.Progress.Lost.push_back({Attempt.target(), Now});
  this->recordReach(Attempt);
  this->Crashes.recordOutcome(Ex.Request, Attempt, End, Now);
  this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
    Stats.onEnd(Attempt.target(), Attempt.SentAt, Attempt.FirstByteSeen,
                static_cast<double>(Ex.Request.Info.PromptTokens));
    if (End != AttemptOutcome::CallerGone)
      Stats.onOutcome(Attempt.target(), End == AttemptOutcome::Broken, Now);
    if (IsLost)
      Stats.onLost(Attempt.target(), Now);
  });
  // Bytes that were not delivered must not reach the target later, when it may
  // have left the registry. Only a reset discards them.
  if (End != AttemptOutcome::Done && Attempt.Connection)
    Attempt.Connection->abort();
  if (End != AttemptOutcome::Done)
    this->Log.attemptEnded(Ex, Attempt, End);
}

void AttemptRecorder::endUnsent(const RelayExchange &Ex,
                                const RelayAttempt &Attempt) {
  this->Log.attemptEnded(Ex, Attempt, AttemptOutcome::NotSent);
}

void AttemptRecorder::endSilent(const RelayExchange &Ex) {
  for (RelayAttempt &Earlier : Ex.Silent)
    this->end(Ex, Earlier, AttemptOutcome::Silent);
  Ex.Silent.clear();
}

void AttemptRecorder::giveUpSilent(const RelayExchange &Ex) {
  Ex.Progress.GivenUp += static_cast<unsigned>(Ex.Silent.size());
  this->endSilent(Ex);
}

void AttemptRecorder::recordReach(const RelayAttempt &Attempt) {
  bool IsDirect = Attempt.Connection && Attempt.Connection->isDirect();
  if (IsDirect && Attempt.ConnectionLost && Attempt.LastByte == Attempt.SentAt)
    this->Monitor.onNoBytes(Attempt.target());
}

} // namespace waycove
