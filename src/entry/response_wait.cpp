// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/response_wait.h"

namespace waycove {

namespace {

/// A head that stands still is left for this time: one that lost a member
/// stands for 5 s and is then broken for good.
constexpr Millis SilentTime{4000};
/// Least silence that counts as standing still. Measured: events come up to
/// 180 ms apart on a busy engine.
constexpr Millis LeastPatience{500};
/// When a wait first looks at how the target does otherwise, and again.
constexpr Millis FirstLook{340};
constexpr Millis LookAgain{120};
/// A first byte may take this many times what it usually takes there.
constexpr double SlowFactor = 4;
/// Error bodies and answers of plain services are held whole up to this.
constexpr std::size_t MostHeld = 16 << 20;

constexpr const char *ClosedReason = "the connection closed";

/// How a target looks from all nodes.
struct Sight {
  bool StandsStill = false;
  Millis Silence{0};
  /// Usual time to the first byte; 0 where others' sight tells more.
  double FirstByteMs = 0;
};

std::optional<AttemptOutcome> takeBytes(RelayAttempt &Attempt, TimePoint Now) {
  IoStatus End = Attempt.Connection->fillNow();
  if (End == IoStatus::Ok || End == IoStatus::Timeout) {
    Attempt.LastByte = Now;
    return std::nullopt;
  }
  Attempt.ConnectionLost = true;
  Attempt.Reason =
      End == IoStatus::Closed ? ClosedReason : "the connection broke";
  return AttemptOutcome::Broken;
}

} // namespace

std::optional<AttemptOutcome>
ResponseWait::waitForBytes(RelayExchange &Ex, RelayAttempt &Attempt) {
  TimePoint Until = std::min(Ex.Request.Deadline, Attempt.LastByte + FirstLook);
  while (true) {
    Side News = waitEither(*Attempt.Connection,
                           Attempt.WatchCaller ? &Ex.Caller : nullptr, Until);
    TimePoint Now = SystemClock{}.now();
    if (News == Side::Target)
      return takeBytes(Attempt, Now);
    if (News == Side::Caller) {
      if (Ex.Caller.isClosedByPeer()) {
        Attempt.Reason = "the caller left";
        return AttemptOutcome::CallerGone;
      }
      Attempt.WatchCaller = false;
      continue;
    }
    if (Now >= Ex.Request.Deadline) {
      Attempt.Reason = "the deadline passed";
      return AttemptOutcome::Stalled;
    }
    if (this->isSilentTooLong(Ex, Attempt, Now) &&
        this->Policy.mayAbandon(Ex.Request, Ex.Progress, Now)) {
      this->Log.suspectTarget(Attempt.To.Target->incarnation(), SilentTime,
                              Attempt.Reason, Ex.Request.Info.Id);
      return AttemptOutcome::Stalled;
    }
    // Look again in a while: others may show that the target stands still.
    Until = std::min(Ex.Request.Deadline, Now + LookAgain);
  }
}

std::optional<AttemptOutcome> ResponseWait::waitForBody(RelayExchange &Ex,
                                                        RelayAttempt &Attempt,
                                                        BodyDecoder &Body) {
  std::optional<AttemptOutcome> End = this->waitForBytes(Ex, Attempt);
  if (End != AttemptOutcome::Broken || Body.kind() != Framing::UntilClose ||
      Attempt.Reason != ClosedReason)
    return End;
  Body.close();
  return std::nullopt;
}

AttemptOutcome ResponseWait::readBody(RelayExchange &Ex, RelayAttempt &Attempt,
                                      BodyDecoder &Body, std::string &Into) {
  while (true) {
    Body.feed(Attempt.Connection->buffer(), Into);
    if (Body.isDone())
      return AttemptOutcome::Done;
    if (Body.isMalformed() || Into.size() > MostHeld) {
      Attempt.Reason = "the answer's framing is damaged";
      return AttemptOutcome::Broken;
    }
    if (std::optional<AttemptOutcome> End =
            this->waitForBody(Ex, Attempt, Body))
      return *End;
  }
}

/// Whether the target has to be taken for standing still. A slow answer
/// alone does not show it: a busy target gives its other answers meanwhile.
bool ResponseWait::isSilentTooLong(const RelayExchange &Ex,
                                   RelayAttempt &Attempt, TimePoint Now) {
  const HttpRoute &Route = *Ex.Request.Route;
  const VmIncarnation Target = Attempt.To.Target->incarnation();
  Sight Seen = this->Board.TargetStats.read([&](const TargetStatsTable &Rows) {
    return Sight{Rows.isStalled(Target, Now), Rows.silence(Target, Now),
                 Rows.hasReports(Now) ? 0 : Rows.of(Target).FirstByteMs};
  });
  Millis Goal = Attempt.FirstByteSeen ? Route.PauseGoal : Route.Goal;
  Millis Patience = std::max(LeastPatience, 2 * Goal);
  if (!Attempt.FirstByteSeen)
    Patience = std::max(Patience, Millis(static_cast<std::int64_t>(
                                      SlowFactor * Seen.FirstByteMs)));
  bool Still = Seen.StandsStill && !Attempt.FirstByteSeen;
  bool TooLong =
      Now - Attempt.LastByte >= Patience && Seen.Silence >= LeastPatience;
  if (Still)
    Attempt.Reason = "none of its answers moves";
  else if (TooLong)
    Attempt.Reason = "silent for " + std::to_string(Patience.count()) + " ms";
  return Still || TooLong;
}

} // namespace waycove
