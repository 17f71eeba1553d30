// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/response_wait.h"

#include "control/over_bounds.h"

#include <utility>

namespace waycove {

namespace {

/// An unresponsive target is avoided for this long. A group that lost a member
/// stalls for 5 s before it is reported as broken.
constexpr Millis UnresponsiveDuration{4000};
/// Shortest silence after which a target counts as unresponsive. Events of a
/// busy engine may be 180 ms apart.
constexpr Millis MinPatience{500};
/// When a wait first checks the target's other requests, and then how often.
constexpr Millis FirstCheckDelay{340};
constexpr Millis CheckInterval{120};
/// A first byte may take this many times as long as usual at the target.
constexpr double SlowFactor = 4;
/// What can be read without a wait is still read this long after the deadline,
/// since a response that is ready is delivered.
constexpr Millis ReadGrace{100};
/// Limit on a body that is buffered whole, or skipped.
constexpr std::size_t MaxBodyBytes = 16 << 20;
/// Beyond this size a body gets room for the largest one and a read at once,
/// rather than for twice its own.
constexpr std::size_t LargeBodyBytes = MaxBodyBytes / 2;
constexpr std::size_t LargeBodyRoom = MaxBodyBytes + (512 << 10);
/// What is read of the body of a response that declines a request, to keep the
/// connection: the request waits meanwhile.
constexpr std::size_t MaxDeclinedBytes = 64 << 10;
constexpr Millis DeclinedBodyTime{50};

constexpr const char *ClosedReason = "the connection closed";

/// Index of an attempt's own socket among those that it waits for. Those of the
/// earlier attempts follow.
constexpr std::size_t TargetSocket = 0;

/// What all nodes together have observed of a target.
struct Observation {
  bool IsStalled = false;
  Millis Silence{0};
  /// Of the one attempt, in which this node has run.
  Millis OwnSilence{0};
  /// Usual time to the first byte; 0 where other nodes' reports are current.
  double FirstByteMs = 0;
};

std::vector<int> socketsOf(const RelayExchange &Ex,
                           const RelayAttempt &Attempt) {
  std::vector<int> Sockets{Attempt.Connection->descriptor()};
  for (const RelayAttempt &Earlier : Ex.Silent)
    Sockets.push_back(Earlier.Connection->descriptor());
  return Sockets;
}

std::optional<AttemptOutcome> receiveBytes(RelayAttempt &Attempt, TimePoint Now,
                                           TimePoint Until) {
  IoStatus Status = Attempt.Connection->fillNow(Until);
  if (Status == IoStatus::Ok) {
    Attempt.LastByte = Now;
    Attempt.Answer.onBytes(Now);
  }
  if (Status == IoStatus::Ok || Status == IoStatus::Timeout)
    return std::nullopt;
  const NeighbourChannel *Through = Attempt.Connection->through();
  if (Through && !Through->hasTargetEnded()) {
    Attempt.Reason = "the connection through another node broke";
    return AttemptOutcome::Broken;
  }
  Attempt.ConnectionLost = true;
  Attempt.Reason =
      Status == IoStatus::Closed ? ClosedReason : "the connection broke";
  return AttemptOutcome::Broken;
}

/// How long a target may take for the next part of its answer.
Millis patienceFor(const RelayExchange &Ex, const RelayAttempt &Attempt) {
  const HttpRoute &Route = *Ex.Request.Route;
  Millis Goal = Attempt.FirstByteSeen ? Route.PauseGoal : Route.Goal;
  return std::max(MinPatience, 2 * Goal);
}

} // namespace

std::optional<AttemptOutcome>
ResponseWait::waitForBytes(RelayExchange &Ex, RelayAttempt &Attempt) {
  auto RunningTime = [this](TimePoint From, TimePoint Until) {
    return this->Board.runningTime(From, Until);
  };
  if (Millis Patience = patienceFor(Ex, Attempt);
      Attempt.Answer.isNoAnswer(Patience, RunningTime))
    return this->endOverBounds(Ex, Attempt,
                               "bytes that are no answer for " +
                                   std::to_string(Patience.count()) + " ms");
  TimePoint Until =
      std::min(Ex.Request.Deadline,
               Attempt.Answer.lastAt() +
                   (this->Board.Stopping ? CheckInterval : FirstCheckDelay));
  while (true) {
    if (this->Board.Ending) {
      Attempt.Reason = "the time to stop has passed";
      return AttemptOutcome::Stalled;
    }
    const std::vector<int> Sockets = socketsOf(Ex, Attempt);
    std::optional<std::size_t> Readable =
        Attempt.Connection->hasInput()
            ? TargetSocket
            : waitForAny(Sockets, Ex.Caller.descriptor(), Until);
    TimePoint Now = SystemClock{}.now();
    if (Readable == TargetSocket && Now < Ex.Request.Deadline + ReadGrace)
      return receiveBytes(Attempt, Now, Ex.Request.Deadline + ReadGrace);
    if (Readable == Sockets.size()) {
      Attempt.Reason = "the caller left";
      return AttemptOutcome::CallerGone;
    }
    if (Now >= Ex.Request.Deadline) {
      Attempt.Reason = "the deadline passed";
      return AttemptOutcome::Stalled;
    }
    if (Readable && this->goesOn(Ex, *Readable - 1, Now)) {
      Attempt.Reason = "an earlier attempt goes on";
      return AttemptOutcome::Overtaken;
    }
    if (this->prepareNext(Ex, Attempt, Now))
      return AttemptOutcome::Silent;
    // Check again later: reports of other nodes may show that it is stalled.
    Until = std::min(Ex.Request.Deadline, Now + CheckInterval);
  }
}

bool ResponseWait::goesOn(const RelayExchange &Ex, std::size_t Earlier,
                          TimePoint Now) {
  RelayAttempt &Other = Ex.Silent[Earlier];
  std::optional<AttemptOutcome> End = receiveBytes(Other, Now, Now + ReadGrace);
  bool IsComplete = End && Other.Received &&
                    Other.Received->Body.kind() == Framing::UntilClose &&
                    Other.Reason == ClosedReason;
  UnreadBytes Unread = judgeUnread(Other);
  if (IsComplete || Unread == UnreadBytes::MoveOn) {
    std::swap(Other, Ex.Silent.back());
    return true;
  }
  if (Unread == UnreadBytes::Invalid)
    End = this->endOverBounds(Ex, Other, "what came is no answer");
  if (End) {
    this->Attempts.end(Ex, Other, *End);
    Ex.Silent.erase(Ex.Silent.begin() + static_cast<std::ptrdiff_t>(Earlier));
  }
  return false;
}

ResponseWait::UnreadBytes ResponseWait::judgeUnread(RelayAttempt &Attempt) {
  // Of copies: the attempt itself reads them if it goes on.
  std::string Bytes = Attempt.Connection->buffer();
  bool IsTooMuch = Bytes.size() > ResponseHeadReader::MaxBytes;
  bool MovesOn = false;
  if (!Attempt.Received) {
    ResponseHeadReader Heads = Attempt.Heads;
    std::optional<Poco::Net::HTTPResponse> Head;
    ResponseHeadReader::Result Read = Heads.take(Bytes, Head);
    IsTooMuch |= Read == ResponseHeadReader::Result::Invalid;
    MovesOn = Read == ResponseHeadReader::Result::Complete;
  } else {
    BodyDecoder Body = Attempt.Received->Body;
    std::string Payload = Attempt.Received->Payload;
    std::size_t Before = Payload.size();
    Body.feed(Bytes, Payload);
    bool IsStream = !Attempt.Received->Whole;
    MovesOn = Body.isDone() || (IsStream ? takeEvent(Payload).has_value()
                                         : Payload.size() > Before);
    IsTooMuch |= Body.isMalformed();
  }
  if (MovesOn)
    return UnreadBytes::MoveOn;
  return IsTooMuch ? UnreadBytes::Invalid : UnreadBytes::Incomplete;
}

bool ResponseWait::prepareNext(RelayExchange &Ex, RelayAttempt &Attempt,
                               TimePoint Now) {
  this->Standstills.onRunning(Now);
  if (!Ex.Progress.Pacer.maySucceed(Now))
    return false;
  bool HasLostWay = this->hasLostWay(Attempt, Now);
  if (!HasLostWay && !this->isUnresponsive(Ex, Attempt, Now))
    return false;
  if (!this->Crashes.isCleared(Ex.Request, Now))
    return false;
  AttemptCounts Counts = this->Retries.countsOf(Ex);
  Counts.MayHaveRun += Attempt.IsCountedAsRun ? 0 : 1;
  Attempt.Next =
      this->Retries.prepareSuccessor(Ex.Request, Ex.Progress, Counts, Now);
  if (!Attempt.Next)
    return false;
  if (!HasLostWay)
    this->Log.suspectTarget(Attempt.target(), UnresponsiveDuration,
                            Attempt.Reason, Ex.Request.Info.Id);
  return true;
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
                                      BodyDecoder &Body,
                                      BufferedBody &Payload) {
  // One that goes on has its share.
  if (Payload.Bytes.empty())
    Payload.Share = {this->Buffers, BufferBudget::Use::Response};
  // It need not be read to know that it does not fit.
  if (Body.remaining() > MaxBodyBytes && Body.kind() == Framing::Length) {
    Attempt.Reason = "the answer is larger than what is buffered";
    return AttemptOutcome::Broken;
  }
  while (true) {
    std::string &Unread = Attempt.Connection->buffer();
    std::size_t Before = Payload.Bytes.size();
    if (Before + Unread.size() > LargeBodyBytes)
      Payload.Bytes.reserve(LargeBodyRoom);
    Body.feed(Unread, Payload.Bytes);
    if (Payload.Bytes.size() > Before)
      Attempt.Answer.onProgress();
    if (!Payload.Share.growTo(Payload.Bytes.size())) {
      Attempt.Reason = "the buffers for bodies are full";
      return AttemptOutcome::Broken;
    }
    if (Body.isDone())
      return AttemptOutcome::Done;
    if (Body.isMalformed() || Payload.Bytes.size() > MaxBodyBytes)
      return this->endOverBounds(Ex, Attempt,
                                 "the answer's framing is damaged");
    if (std::optional<AttemptOutcome> End =
            this->waitForBody(Ex, Attempt, Body))
      return *End;
  }
}

AttemptOutcome ResponseWait::skipBody(RelayExchange &Ex, RelayAttempt &Attempt,
                                      BodyDecoder &Body) {
  for (std::size_t Skipped = 0; Skipped <= MaxBodyBytes;) {
    std::string Dropped;
    Body.feed(Attempt.Connection->buffer(), Dropped);
    Skipped += Dropped.size();
    if (Body.isDone())
      return AttemptOutcome::Done;
    if (Body.isMalformed())
      break;
    if (std::optional<AttemptOutcome> End =
            this->waitForBody(Ex, Attempt, Body))
      return *End;
  }
  return this->endOverBounds(Ex, Attempt, "a late answer without end");
}

bool ResponseWait::skipDeclinedBody(const RelayExchange &Ex,
                                    RelayAttempt &Attempt, BodyDecoder &Body) {
  TimePoint Until = SystemClock{}.now() + DeclinedBodyTime;
  for (std::size_t Skipped = 0; Skipped <= MaxDeclinedBytes;) {
    std::string Dropped;
    Body.feed(Attempt.Connection->buffer(), Dropped);
    Skipped += Dropped.size();
    if (Body.isDone())
      return true;
    if (Body.isMalformed())
      break;
    TimePoint Now = SystemClock{}.now();
    bool IsReadable = Now < Until &&
                      waitForAny({Attempt.Connection->descriptor()},
                                 Ex.Caller.descriptor(), Until) == TargetSocket;
    if (!IsReadable || receiveBytes(Attempt, Now, Until))
      return false;
  }
  // One that was announced ends.
  if (Body.kind() != Framing::Length)
    reportOverBounds(this->Board, Attempt.target(), Ex.Request.Info.Id.Text,
                     "the body of a refusal without end");
  return false;
}

AttemptOutcome ResponseWait::endOverBounds(const RelayExchange &Ex,
                                           RelayAttempt &Attempt,
                                           const std::string &Reason) {
  Attempt.Reason = Reason;
  reportOverBounds(this->Board, Attempt.target(), Ex.Request.Info.Id.Text,
                   Reason);
  return AttemptOutcome::Broken;
}

/// Whether the link to the target, rather than the target itself, is lost: this
/// node's own, or the one through another node.
bool ResponseWait::hasLostWay(RelayAttempt &Attempt, TimePoint Now) {
  if (const NeighbourChannel *Through = Attempt.Connection->through()) {
    if (!Through->isSilent(Now))
      return false;
    Attempt.Reason = "the other node on the way is silent";
    return true;
  }
  if (this->Board.runningTime(Attempt.LastByte, Now) < MinPatience)
    return false;
  if (this->Board.ReachState == TargetReach::State::Sound)
    this->doubtIfAllSilent(Now);
  if (!this->Board.isCutOff())
    return false;
  Attempt.Reason = "this node reaches no target";
  return true;
}

/// Several targets that are all silent towards this node raise the doubt
/// whether it reaches any.
void ResponseWait::doubtIfAllSilent(TimePoint Now) {
  std::vector<VmIncarnation> Silent =
      this->Board.TargetStats.read([&](const TargetStatsTable &Stats) {
        return Stats.allSilentHere(MinPatience, Now);
      });
  for (const VmIncarnation &Target : Silent)
    this->Monitor.onNoBytes(Target);
}

/// Whether the target counts as unresponsive. One slow response is not enough:
/// a busy target still makes progress with other requests.
bool ResponseWait::isUnresponsive(const RelayExchange &Ex,
                                  RelayAttempt &Attempt, TimePoint Now) {
  const VmIncarnation Target = Attempt.target();
  Observation Observed =
      this->Board.TargetStats.read([&](const TargetStatsTable &Stats) {
        return Observation{
            Stats.isStalled(Target, Now), Stats.silence(Target, Now),
            Stats.runningTime(Attempt.Answer.lastAt(), Now),
            Stats.hasReports(Now) ? 0 : Stats.of(Target).FirstByteMs};
      });
  Millis Patience = patienceFor(Ex, Attempt);
  if (!Attempt.FirstByteSeen)
    Patience = std::max(Patience, Millis(static_cast<std::int64_t>(
                                      SlowFactor * Observed.FirstByteMs)));
  bool Stalled = Observed.IsStalled && !Attempt.FirstByteSeen;
  // Where many requests wait for their first byte, a second send of each would
  // use up the retries that started responses may need.
  Millis StoodStill =
      Ex.Response.hasStarted()
          ? std::chrono::duration_cast<Millis>(Now - Attempt.Answer.lastAt()) -
                Observed.OwnSilence
          : Millis(0);
  bool TooLong = Observed.OwnSilence >= patienceAfter(StoodStill, Patience) &&
                 Observed.Silence >= patienceAfter(StoodStill, MinPatience);
  if (Stalled)
    Attempt.Reason = "none of its answers moves";
  else if (TooLong)
    Attempt.Reason = "silent for " + std::to_string(Patience.count()) + " ms";
  return Stalled || TooLong;
}

} // namespace waycove
