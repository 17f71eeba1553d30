// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/answer_wait.h"

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

std::optional<AttemptOutcome> takeBytes(RelayAttempt &Try, TimePoint Now) {
  IoEnd End = Try.Connection->fillNow();
  if (End == IoEnd::Ok || End == IoEnd::Timeout) {
    Try.LastByte = Now;
    return std::nullopt;
  }
  Try.Lost = true;
  Try.Reason = End == IoEnd::Closed ? ClosedReason : "the connection broke";
  return AttemptOutcome::Broken;
}

} // namespace

std::optional<AttemptOutcome> AnswerWait::forBytes(RelayExchange &Ex,
                                                   RelayAttempt &Try) {
  TimePoint Until = std::min(Ex.Request.Deadline, Try.LastByte + FirstLook);
  while (true) {
    Side News = waitEither(*Try.Connection,
                           Try.WatchCaller ? &Ex.Caller : nullptr, Until);
    TimePoint Now = SystemClock{}.now();
    if (News == Side::Target)
      return takeBytes(Try, Now);
    if (News == Side::Caller) {
      if (Ex.Caller.isGone()) {
        Try.Reason = "the caller left";
        return AttemptOutcome::CallerGone;
      }
      Try.WatchCaller = false;
      continue;
    }
    if (Now >= Ex.Request.Deadline) {
      Try.Reason = "the deadline passed";
      return AttemptOutcome::Stalled;
    }
    if (this->isSilentTooLong(Ex, Try, Now) &&
        this->Choice.mayLeave(Ex.Request, Ex.Run, Now)) {
      this->Notes.suspect(Try.To.Target->life(), SilentTime, Try.Reason,
                          Ex.Request.Facts.Id);
      return AttemptOutcome::Stalled;
    }
    // Look again in a while: others may show that the target stands still.
    Until = std::min(Ex.Request.Deadline, Now + LookAgain);
  }
}

std::optional<AttemptOutcome>
AnswerWait::forBody(RelayExchange &Ex, RelayAttempt &Try, BodyDecoder &Body) {
  std::optional<AttemptOutcome> End = this->forBytes(Ex, Try);
  if (End != AttemptOutcome::Broken || Body.kind() != Framing::UntilClose ||
      Try.Reason != ClosedReason)
    return End;
  Body.close();
  return std::nullopt;
}

AttemptOutcome AnswerWait::readBody(RelayExchange &Ex, RelayAttempt &Try,
                                    BodyDecoder &Body, std::string &Into) {
  while (true) {
    Body.feed(Try.Connection->buffer(), Into);
    if (Body.isDone())
      return AttemptOutcome::Done;
    if (Body.isBad() || Into.size() > MostHeld) {
      Try.Reason = "the answer's framing is damaged";
      return AttemptOutcome::Broken;
    }
    if (std::optional<AttemptOutcome> End = this->forBody(Ex, Try, Body))
      return *End;
  }
}

/// Whether the target has to be taken for standing still. A slow answer
/// alone does not show it: a busy target gives its other answers meanwhile.
bool AnswerWait::isSilentTooLong(const RelayExchange &Ex, RelayAttempt &Try,
                                 TimePoint Now) {
  const HttpRoute &Route = *Ex.Request.Route;
  const VmLife Target = Try.To.Target->life();
  Sight Seen = this->Board.TargetStats.read([&](const TargetStatsTable &Rows) {
    return Sight{Rows.isStalled(Target, Now), Rows.silence(Target, Now),
                 Rows.hasReports(Now) ? 0 : Rows.of(Target).FirstByteMs};
  });
  Millis Goal = Try.FirstByteSeen ? Route.PauseGoal : Route.Goal;
  Millis Patience = std::max(LeastPatience, 2 * Goal);
  if (!Try.FirstByteSeen)
    Patience = std::max(Patience, Millis(static_cast<std::int64_t>(
                                      SlowFactor * Seen.FirstByteMs)));
  bool Still = Seen.StandsStill && !Try.FirstByteSeen;
  bool TooLong =
      Now - Try.LastByte >= Patience && Seen.Silence >= LeastPatience;
  if (Still)
    Try.Reason = "none of its answers moves";
  else if (TooLong)
    Try.Reason = "silent for " + std::to_string(Patience.count()) + " ms";
  return Still || TooLong;
}

} // namespace waycove
