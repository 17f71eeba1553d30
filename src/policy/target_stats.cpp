// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/target_stats.h"

#include <algorithm>

namespace waycove {

namespace {

/// Weight of the newest outcome in the smoothed failure rate.
constexpr double FailureSmoothing = 0.125;
/// Weight of the newest first-byte time in its smoothed value.
constexpr double WaitSmoothing = 0.3;
/// A first-byte time is reported to other nodes for this long.
constexpr Millis SampleMaxAge(2000);
/// A target becomes suspect if its failure rate exceeds the lowest rate of the
/// other targets by this much.
constexpr double FailureMargin = 0.25;
/// Responses needed before a failure rate is used.
constexpr unsigned MinResponses = 6;
/// How long a failing target stays suspect.
constexpr Millis FailureSuspectTime(1500);
/// For how long a target that rejected a request is avoided; doubled with each
/// further rejection. A broken or full target rejects at once and would
/// otherwise look idle to all nodes.
constexpr Millis RejectedDuration(300);
constexpr unsigned MaxDoublings = 3;
/// Rejections count as successive within this time.
constexpr Millis RejectionMemory(5000);
/// For so long a target shows no sign of life before lost connections count as
/// its end; as long as for the blame of crashes.
constexpr Millis CutOffDelay(250);

} // namespace

bool TargetStats::isStalled(const StandstillHistory &Standstills,
                            TimePoint Now) const {
  return this->Responding > 0 &&
         Standstills.runningTime(this->LastProgress, Now) > StallTimeout;
}

std::optional<TimePoint> TargetStats::oldestWait() const {
  auto At =
      std::min_element(this->WaitingSince.begin(), this->WaitingSince.end());
  return At == this->WaitingSince.end() ? std::nullopt
                                        : std::optional<TimePoint>(*At);
}

Millis TargetStats::silence(const StandstillHistory &Standstills,
                            TimePoint Now) const {
  if (this->InFlight == 0)
    return Millis(0);
  TimePoint Since = this->LastProgress;
  if (this->Responding == 0)
    Since = std::max(Since, this->oldestWait().value_or(Since));
  return std::chrono::duration_cast<Millis>(
      Standstills.runningTime(Since, Now));
}

Millis TargetStatsTable::runningTime(TimePoint From, TimePoint Until) const {
  return std::chrono::duration_cast<Millis>(
      this->Standstills.runningTime(From, Until));
}

void TargetStatsTable::onStart(const VmIncarnation &Target, double PromptTokens,
                               TimePoint Now) {
  TargetStats &Stats = this->Targets[Target];
  ++Stats.InFlight;
  Stats.PromptWaiting += PromptTokens;
  Stats.WaitingSince.push_back(Now);
}

void TargetStatsTable::stopWaiting(TargetStats &Stats, TimePoint SentAt,
                                   double PromptTokens) {
  auto At =
      std::find(Stats.WaitingSince.begin(), Stats.WaitingSince.end(), SentAt);
  if (At != Stats.WaitingSince.end())
    Stats.WaitingSince.erase(At);
  Stats.PromptWaiting = std::max(0.0, Stats.PromptWaiting - PromptTokens);
}

void TargetStatsTable::onFirstByte(const VmIncarnation &Target,
                                   TimePoint SentAt, double PromptTokens,
                                   TimePoint Now) {
  TargetStats &Stats = this->Targets[Target];
  double Sample =
      std::chrono::duration<double, std::milli>(Now - SentAt).count();
  Stats.FirstByteMs =
      Stats.FirstByteMs == 0
          ? Sample
          : Stats.FirstByteMs + WaitSmoothing * (Sample - Stats.FirstByteMs);
  Stats.FirstByteAt = Now;
  Stats.Rejections = 0;
  stopWaiting(Stats, SentAt, PromptTokens);
  ++Stats.Responding;
  Stats.LastProgress = Now;
}

void TargetStatsTable::onProgress(const VmIncarnation &Target, TimePoint Now) {
  this->Targets[Target].LastProgress = Now;
}

void TargetStatsTable::onHeldUp(const VmIncarnation &Target) {
  TargetStats &Stats = this->Targets[Target];
  if (Stats.Responding > 0)
    --Stats.Responding;
}

void TargetStatsTable::onReleased(const VmIncarnation &Target, TimePoint Now) {
  TargetStats &Stats = this->Targets[Target];
  ++Stats.Responding;
  Stats.LastProgress = Now;
}

void TargetStatsTable::onEnd(const VmIncarnation &Target, TimePoint SentAt,
                             bool FirstByteSeen, double PromptTokens) {
  TargetStats &Stats = this->Targets[Target];
  if (Stats.InFlight > 0)
    --Stats.InFlight;
  if (!FirstByteSeen)
    stopWaiting(Stats, SentAt, PromptTokens);
  else if (Stats.Responding > 0)
    --Stats.Responding;
}

Millis TargetStatsTable::onRejected(const VmIncarnation &Target,
                                    TimePoint Now) {
  TargetStats &Stats = this->Targets[Target];
  if (Now - Stats.RejectedAt > RejectionMemory)
    Stats.Rejections = 0;
  Stats.RejectedAt = Now;
  return RejectedDuration * (1 << std::min(Stats.Rejections++, MaxDoublings));
}

void TargetStatsTable::onResponseHead(const VmIncarnation &Target,
                                      bool Closes) {
  this->Targets[Target].Closing = Closes;
}

void TargetStatsTable::onOutcome(const VmIncarnation &Target, bool Failed,
                                 TimePoint Now) {
  TargetStats &Stats = this->Targets[Target];
  ++Stats.Responses;
  Stats.FailureRate +=
      FailureSmoothing * ((Failed ? 1.0 : 0.0) - Stats.FailureRate);
  if (!Failed || Stats.Responses < MinResponses)
    return;
  // Requests that fail everywhere are no fault of the target, so compare it
  // with the target that fails least.
  double LowestRate = 1;
  for (const auto &[Id, Other] : this->Targets)
    if (Id != Target && Other.Responses >= MinResponses)
      LowestRate = std::min(LowestRate, Other.FailureRate);
  if (LowestRate < 1 && Stats.FailureRate > LowestRate + FailureMargin)
    Stats.SuspectUntil = std::max(Stats.SuspectUntil, Now + FailureSuspectTime);
}

void TargetStatsTable::suspect(const VmIncarnation &Target, TimePoint Now,
                               Millis Duration) {
  TargetStats &Stats = this->Targets[Target];
  Stats.SuspectUntil = std::max(Stats.SuspectUntil, Now + Duration);
}

void TargetStatsTable::onRegrouped(const VmIncarnation &Target) {
  if (auto At = this->Targets.find(Target); At != this->Targets.end())
    At->second.SuspectUntil = TimePoint();
}

TargetLoads TargetStatsTable::loads(TimePoint Now) const {
  TargetLoads Loads;
  for (const auto &[Id, Stats] : this->Targets) {
    bool Sampled = Now - Stats.FirstByteAt < SampleMaxAge;
    if (Stats.InFlight == 0 && !Sampled && Stats.SuspectUntil <= Now)
      continue;
    TargetLoad &Load = Loads[hashOf(Id)];
    Load.InFlight = Stats.InFlight;
    Load.Responding = Stats.Responding;
    Load.PromptWaiting = Stats.PromptWaiting;
    Load.SilentFor = Stats.silence(this->Standstills, Now);
    if (std::optional<TimePoint> Oldest = Stats.oldestWait())
      Load.LongestWait = std::chrono::duration_cast<Millis>(Now - *Oldest);
    Load.FirstByteMs = Sampled ? Stats.FirstByteMs : 0;
    if (Stats.SuspectUntil > Now)
      Load.SuspectDuration =
          std::chrono::duration_cast<Millis>(Stats.SuspectUntil - Now);
  }
  return Loads;
}

void TargetStatsTable::setReports(TargetLoads Others, TimePoint Now) {
  this->Reported = std::move(Others);
  this->ReportedAt = Now;
}

bool TargetStatsTable::hasReports(TimePoint Now) const {
  return !this->Reported.empty() && Now - this->ReportedAt <= ReportMaxAge;
}

const TargetLoad *TargetStatsTable::reportedLoad(const VmIncarnation &Target,
                                                 TimePoint Now) const {
  if (!this->hasReports(Now))
    return nullptr;
  auto At = this->Reported.find(hashOf(Target));
  return At == this->Reported.end() ? nullptr : &At->second;
}

double TargetStatsTable::inFlight(const VmIncarnation &Target,
                                  TimePoint Now) const {
  const TargetLoad *Others = this->reportedLoad(Target, Now);
  return this->of(Target).InFlight + (Others ? Others->InFlight : 0.0);
}

bool TargetStatsTable::isStalled(const VmIncarnation &Target,
                                 TimePoint Now) const {
  const TargetStats &Here = this->of(Target);
  const TargetLoad *There = this->reportedLoad(Target, Now);
  if (!There || There->Responding == 0)
    return Here.isStalled(this->Standstills, Now);
  return There->isStalled() &&
         (Here.Responding == 0 || Here.isStalled(this->Standstills, Now));
}

bool TargetStatsTable::isSuspect(const VmIncarnation &Target,
                                 TimePoint Now) const {
  const TargetStats &Here = this->of(Target);
  if (Here.SuspectUntil > Now || this->isStalled(Target, Now))
    return true;
  const TargetLoad *There = this->reportedLoad(Target, Now);
  return There && Now - this->ReportedAt < There->SuspectDuration &&
         !this->hasProgress(Target, Now);
}

bool TargetStatsTable::hasProgress(const VmIncarnation &Target,
                                   TimePoint Now) const {
  const TargetStats &Here = this->of(Target);
  const TargetLoad *There = this->reportedLoad(Target, Now);
  return (Here.Responding > 0 && !Here.isStalled(this->Standstills, Now)) ||
         (There && There->hasProgress());
}

bool TargetStatsTable::showedLifeAfter(const VmIncarnation &Target,
                                       TimePoint LostAt) const {
  return this->runningTime(LostAt, this->of(Target).LastProgress) >
         LateReadDelay;
}

void TargetStatsTable::onLost(const VmIncarnation &Target, TimePoint Now) {
  TargetStats &Stats = this->Targets[Target];
  if (Stats.LossesInRow == 0 ||
      this->showedLifeAfter(Target, Stats.LastLossAt)) {
    Stats.FirstLossAt = Now;
    Stats.LastLossAt = Now;
    Stats.LossesInRow = 0;
  }
  // Requests that end together may tell so in any order.
  Stats.FirstLossAt = std::min(Stats.FirstLossAt, Now);
  Stats.LastLossAt = std::max(Stats.LastLossAt, Now);
  ++Stats.LossesInRow;
}

bool TargetStatsTable::wasCutOff(const VmIncarnation &Target, TimePoint LostAt,
                                 TimePoint Now) const {
  const TargetStats &Stats = this->of(Target);
  return Stats.LossesInRow > 1 && LostAt >= Stats.FirstLossAt &&
         this->runningTime(Stats.FirstLossAt, Now) >= CutOffDelay &&
         !this->showedLifeAfter(Target, Stats.LastLossAt);
}

Millis TargetStatsTable::silence(const VmIncarnation &Target,
                                 TimePoint Now) const {
  const TargetStats &Here = this->of(Target);
  const TargetLoad *There = this->reportedLoad(Target, Now);
  if (!There || There->InFlight == 0)
    return Here.silence(this->Standstills, Now);
  if (Here.InFlight == 0 || (Here.Responding == 0 && There->Responding > 0))
    return There->SilentFor;
  return std::min(Here.silence(this->Standstills, Now), There->SilentFor);
}

void TargetStatsTable::clearSuspicion() {
  for (auto &[Target, Stats] : this->Targets)
    Stats.SuspectUntil = TimePoint();
}

std::vector<VmIncarnation>
TargetStatsTable::allSilentHere(Millis Silence, TimePoint Now) const {
  std::vector<VmIncarnation> Silent;
  for (const auto &[Target, Stats] : this->Targets) {
    if (Stats.InFlight == 0)
      continue;
    if (Stats.silence(this->Standstills, Now) < Silence)
      return {};
    Silent.push_back(Target);
  }
  if (Silent.size() < 2)
    Silent.clear();
  return Silent;
}

const TargetStats &TargetStatsTable::of(const VmIncarnation &Target) const {
  static const TargetStats Unknown;
  auto At = this->Targets.find(Target);
  return At == this->Targets.end() ? Unknown : At->second;
}

void TargetStatsTable::forget(
    const std::function<bool(const VmIncarnation &)> &IsListed) {
  std::erase_if(this->Targets, [&](const auto &Entry) {
    return Entry.second.InFlight == 0 && !IsListed(Entry.first);
  });
}

} // namespace waycove
