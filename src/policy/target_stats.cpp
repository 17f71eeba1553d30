// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/target_stats.h"

#include <algorithm>

namespace waycove {

namespace {

/// Weight of the newest sample in smoothed figures: about the last eight.
constexpr double Smoothing = 0.125;
/// First-byte times follow the load faster.
constexpr double WaitSmoothing = 0.3;
/// A time to the first byte is told to others this long after it was measured.
constexpr Millis SampleTime(2000);
/// A target whose failures stand out by this share of its answers is left.
constexpr double FailureMargin = 0.25;
/// Answers needed before a share of failures means anything.
constexpr unsigned FewAnswers = 6;
/// A failing target is tried again after this time.
constexpr Millis FailingTime(1500);

} // namespace

bool TargetStats::isStalled(TimePoint Now) const {
  return this->Responding > 0 && Now - this->LastProgress > StallTimeout;
}

std::optional<TimePoint> TargetStats::oldestWait() const {
  auto At =
      std::min_element(this->WaitingSince.begin(), this->WaitingSince.end());
  return At == this->WaitingSince.end() ? std::nullopt
                                        : std::optional<TimePoint>(*At);
}

Millis TargetStats::silence(TimePoint Now) const {
  if (this->InFlight == 0)
    return Millis(0);
  TimePoint Since = this->LastProgress;
  if (this->Responding == 0)
    Since = std::max(Since, this->oldestWait().value_or(Since));
  return std::chrono::duration_cast<Millis>(Now - Since);
}

void TargetStatsTable::onStart(const VmIncarnation &Target, double PromptTokens,
                               TimePoint Now) {
  TargetStats &Row = this->Rows[Target];
  ++Row.InFlight;
  Row.PromptWaiting += PromptTokens;
  Row.WaitingSince.push_back(Now);
}

void TargetStatsTable::stopWaiting(TargetStats &Row, TimePoint SentAt,
                                   double PromptTokens) {
  auto At = std::find(Row.WaitingSince.begin(), Row.WaitingSince.end(), SentAt);
  if (At != Row.WaitingSince.end())
    Row.WaitingSince.erase(At);
  Row.PromptWaiting = std::max(0.0, Row.PromptWaiting - PromptTokens);
}

void TargetStatsTable::onFirstByte(const VmIncarnation &Target,
                                   TimePoint SentAt, double PromptTokens,
                                   TimePoint Now) {
  TargetStats &Row = this->Rows[Target];
  double Sample =
      std::chrono::duration<double, std::milli>(Now - SentAt).count();
  Row.FirstByteMs =
      Row.FirstByteMs == 0
          ? Sample
          : Row.FirstByteMs + WaitSmoothing * (Sample - Row.FirstByteMs);
  Row.FirstByteAt = Now;
  stopWaiting(Row, SentAt, PromptTokens);
  ++Row.Responding;
  Row.LastProgress = Now;
}

void TargetStatsTable::onProgress(const VmIncarnation &Target, TimePoint Now) {
  this->Rows[Target].LastProgress = Now;
}

void TargetStatsTable::onEnd(const VmIncarnation &Target, TimePoint SentAt,
                             bool FirstByteSeen, double PromptTokens) {
  TargetStats &Row = this->Rows[Target];
  if (Row.InFlight > 0)
    --Row.InFlight;
  if (!FirstByteSeen)
    stopWaiting(Row, SentAt, PromptTokens);
  else if (Row.Responding > 0)
    --Row.Responding;
}

void TargetStatsTable::onResponseHead(const VmIncarnation &Target,
                                      bool Closes) {
  this->Rows[Target].Closing = Closes;
}

void TargetStatsTable::onOutcome(const VmIncarnation &Target, bool Failed,
                                 TimePoint Now) {
  TargetStats &Row = this->Rows[Target];
  ++Row.Answers;
  Row.FailureRate += Smoothing * ((Failed ? 1.0 : 0.0) - Row.FailureRate);
  if (!Failed || Row.Answers < FewAnswers)
    return;
  // Some requests fail anywhere: only a target that stands out is at fault.
  double Usual = 1;
  for (const auto &[Id, Other] : this->Rows)
    if (Id != Target && Other.Answers >= FewAnswers)
      Usual = std::min(Usual, Other.FailureRate);
  if (Usual < 1 && Row.FailureRate > Usual + FailureMargin)
    Row.SuspectUntil = std::max(Row.SuspectUntil, Now + FailingTime);
}

void TargetStatsTable::suspect(const VmIncarnation &Target, TimePoint Now,
                               Millis Time) {
  TargetStats &Row = this->Rows[Target];
  Row.SuspectUntil = std::max(Row.SuspectUntil, Now + Time);
}

void TargetStatsTable::onRegrouped(const VmIncarnation &Target) {
  if (auto At = this->Rows.find(Target); At != this->Rows.end())
    At->second.SuspectUntil = TimePoint();
}

TargetLoads TargetStatsTable::loads(TimePoint Now) const {
  TargetLoads Loads;
  for (const auto &[Id, Row] : this->Rows) {
    bool Sampled = Now - Row.FirstByteAt < SampleTime;
    if (Row.InFlight == 0 && !Sampled && Row.SuspectUntil <= Now)
      continue;
    TargetLoad &Load = Loads[hashOf(Id)];
    Load.InFlight = Row.InFlight;
    Load.Responding = Row.Responding;
    Load.PromptWaiting = Row.PromptWaiting;
    Load.SilentFor = Row.silence(Now);
    if (std::optional<TimePoint> Oldest = Row.oldestWait())
      Load.LongestWait = std::chrono::duration_cast<Millis>(Now - *Oldest);
    Load.FirstByteMs = Sampled ? Row.FirstByteMs : 0;
    if (Row.SuspectUntil > Now)
      Load.SuspectFor =
          std::chrono::duration_cast<Millis>(Row.SuspectUntil - Now);
  }
  return Loads;
}

void TargetStatsTable::setReports(TargetLoads Others, TimePoint Now) {
  this->Elsewhere = std::move(Others);
  this->ToldAt = Now;
}

bool TargetStatsTable::hasReports(TimePoint Now) const {
  return !this->Elsewhere.empty() && Now - this->ToldAt <= ReportMaxAge;
}

const TargetLoad *TargetStatsTable::reportedLoad(const VmIncarnation &Target,
                                                 TimePoint Now) const {
  if (!this->hasReports(Now))
    return nullptr;
  auto At = this->Elsewhere.find(hashOf(Target));
  return At == this->Elsewhere.end() ? nullptr : &At->second;
}

bool TargetStatsTable::isStalled(const VmIncarnation &Target,
                                 TimePoint Now) const {
  const TargetStats &Here = this->of(Target);
  const TargetLoad *There = this->reportedLoad(Target, Now);
  if (!There || There->Responding == 0)
    return Here.isStalled(Now);
  return There->isStalled() && (Here.Responding == 0 || Here.isStalled(Now));
}

bool TargetStatsTable::isSuspect(const VmIncarnation &Target,
                                 TimePoint Now) const {
  const TargetStats &Here = this->of(Target);
  if (Here.SuspectUntil > Now || this->isStalled(Target, Now))
    return true;
  const TargetLoad *There = this->reportedLoad(Target, Now);
  bool Moves = Here.Responding > 0 && !Here.isStalled(Now);
  return There && Now - this->ToldAt < There->SuspectFor &&
         !There->hasProgress() && !Moves;
}

Millis TargetStatsTable::silence(const VmIncarnation &Target,
                                 TimePoint Now) const {
  const TargetStats &Here = this->of(Target);
  const TargetLoad *There = this->reportedLoad(Target, Now);
  if (!There || There->InFlight == 0)
    return Here.silence(Now);
  if (Here.InFlight == 0 || (Here.Responding == 0 && There->Responding > 0))
    return There->SilentFor;
  return std::min(Here.silence(Now), There->SilentFor);
}

const TargetStats &TargetStatsTable::of(const VmIncarnation &Target) const {
  static const TargetStats Unknown;
  auto At = this->Rows.find(Target);
  return At == this->Rows.end() ? Unknown : At->second;
}

void TargetStatsTable::forget(
    const std::function<bool(const VmIncarnation &)> &IsListed) {
  std::erase_if(this->Rows, [&](const auto &Entry) {
    return Entry.second.InFlight == 0 && !IsListed(Entry.first);
  });
}

} // namespace waycove
