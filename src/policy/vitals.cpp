// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/vitals.h"

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

bool TargetVitals::standsStill(TimePoint Now) const {
  return this->Answering > 0 && Now - this->LastProgress > StillTime;
}

std::optional<TimePoint> TargetVitals::oldestWait() const {
  auto At =
      std::min_element(this->WaitingSince.begin(), this->WaitingSince.end());
  return At == this->WaitingSince.end() ? std::nullopt
                                        : std::optional<TimePoint>(*At);
}

Millis TargetVitals::silence(TimePoint Now) const {
  if (this->InFlight == 0)
    return Millis(0);
  TimePoint Since = this->LastProgress;
  if (this->Answering == 0)
    Since = std::max(Since, this->oldestWait().value_or(Since));
  return std::chrono::duration_cast<Millis>(Now - Since);
}

void VitalsTable::onStart(const VmIncarnation &Target, double PromptTokens,
                          TimePoint Now) {
  TargetVitals &Row = this->Rows[Target];
  ++Row.InFlight;
  Row.PromptWaiting += PromptTokens;
  Row.WaitingSince.push_back(Now);
}

void VitalsTable::stopWaiting(TargetVitals &Row, TimePoint SentAt,
                              double PromptTokens) {
  auto At = std::find(Row.WaitingSince.begin(), Row.WaitingSince.end(), SentAt);
  if (At != Row.WaitingSince.end())
    Row.WaitingSince.erase(At);
  Row.PromptWaiting = std::max(0.0, Row.PromptWaiting - PromptTokens);
}

void VitalsTable::onFirstByte(const VmIncarnation &Target, TimePoint SentAt,
                              double PromptTokens, TimePoint Now) {
  TargetVitals &Row = this->Rows[Target];
  double Sample =
      std::chrono::duration<double, std::milli>(Now - SentAt).count();
  Row.FirstByteMs =
      Row.FirstByteMs == 0
          ? Sample
          : Row.FirstByteMs + WaitSmoothing * (Sample - Row.FirstByteMs);
  Row.FirstByteAt = Now;
  stopWaiting(Row, SentAt, PromptTokens);
  ++Row.Answering;
  Row.LastProgress = Now;
}

void VitalsTable::onProgress(const VmIncarnation &Target, TimePoint Now) {
  this->Rows[Target].LastProgress = Now;
}

void VitalsTable::onEnd(const VmIncarnation &Target, TimePoint SentAt,
                        bool FirstByteSeen, double PromptTokens) {
  TargetVitals &Row = this->Rows[Target];
  if (Row.InFlight > 0)
    --Row.InFlight;
  if (!FirstByteSeen)
    stopWaiting(Row, SentAt, PromptTokens);
  else if (Row.Answering > 0)
    --Row.Answering;
}

void VitalsTable::onAnswerHead(const VmIncarnation &Target, bool Closes) {
  this->Rows[Target].Closing = Closes;
}

void VitalsTable::onOutcome(const VmIncarnation &Target, bool Failed,
                            TimePoint Now) {
  TargetVitals &Row = this->Rows[Target];
  ++Row.Answers;
  Row.FailureShare += Smoothing * ((Failed ? 1.0 : 0.0) - Row.FailureShare);
  if (!Failed || Row.Answers < FewAnswers)
    return;
  // Some requests fail anywhere: only a target that stands out is at fault.
  double Usual = 1;
  for (const auto &[Id, Other] : this->Rows)
    if (Id != Target && Other.Answers >= FewAnswers)
      Usual = std::min(Usual, Other.FailureShare);
  if (Usual < 1 && Row.FailureShare > Usual + FailureMargin)
    Row.SuspectUntil = std::max(Row.SuspectUntil, Now + FailingTime);
}

void VitalsTable::suspect(const VmIncarnation &Target, TimePoint Now,
                          Millis Time) {
  TargetVitals &Row = this->Rows[Target];
  Row.SuspectUntil = std::max(Row.SuspectUntil, Now + Time);
}

void VitalsTable::onRegrouped(const VmIncarnation &Target) {
  if (auto At = this->Rows.find(Target); At != this->Rows.end())
    At->second.SuspectUntil = TimePoint();
}

LoadRows VitalsTable::loads(TimePoint Now) const {
  LoadRows Loads;
  for (const auto &[Id, Row] : this->Rows) {
    bool Sampled = Now - Row.FirstByteAt < SampleTime;
    if (Row.InFlight == 0 && !Sampled && Row.SuspectUntil <= Now)
      continue;
    TargetLoad &Load = Loads[hashOf(Id)];
    Load.InFlight = Row.InFlight;
    Load.Answering = Row.Answering;
    Load.PromptWaiting = Row.PromptWaiting;
    Load.Silent = Row.silence(Now);
    if (std::optional<TimePoint> Oldest = Row.oldestWait())
      Load.Waiting = std::chrono::duration_cast<Millis>(Now - *Oldest);
    Load.FirstByteMs = Sampled ? Row.FirstByteMs : 0;
    if (Row.SuspectUntil > Now)
      Load.Suspect = std::chrono::duration_cast<Millis>(Row.SuspectUntil - Now);
  }
  return Loads;
}

void VitalsTable::takeNews(LoadRows Others, TimePoint Now) {
  this->Elsewhere = std::move(Others);
  this->ToldAt = Now;
}

bool VitalsTable::hasNews(TimePoint Now) const {
  return !this->Elsewhere.empty() && Now - this->ToldAt <= NewsTime;
}

const TargetLoad *VitalsTable::elsewhere(const VmIncarnation &Target,
                                         TimePoint Now) const {
  if (!this->hasNews(Now))
    return nullptr;
  auto At = this->Elsewhere.find(hashOf(Target));
  return At == this->Elsewhere.end() ? nullptr : &At->second;
}

bool VitalsTable::standsStill(const VmIncarnation &Target,
                              TimePoint Now) const {
  const TargetVitals &Here = this->of(Target);
  const TargetLoad *There = this->elsewhere(Target, Now);
  if (!There || There->Answering == 0)
    return Here.standsStill(Now);
  return There->standsStill() && (Here.Answering == 0 || Here.standsStill(Now));
}

bool VitalsTable::isSuspect(const VmIncarnation &Target, TimePoint Now) const {
  const TargetVitals &Here = this->of(Target);
  if (Here.SuspectUntil > Now || this->standsStill(Target, Now))
    return true;
  const TargetLoad *There = this->elsewhere(Target, Now);
  bool Moves = Here.Answering > 0 && !Here.standsStill(Now);
  return There && Now - this->ToldAt < There->Suspect && !There->moves() &&
         !Moves;
}

Millis VitalsTable::silence(const VmIncarnation &Target, TimePoint Now) const {
  const TargetVitals &Here = this->of(Target);
  const TargetLoad *There = this->elsewhere(Target, Now);
  if (!There || There->InFlight == 0)
    return Here.silence(Now);
  if (Here.InFlight == 0 || (Here.Answering == 0 && There->Answering > 0))
    return There->Silent;
  return std::min(Here.silence(Now), There->Silent);
}

const TargetVitals &VitalsTable::of(const VmIncarnation &Target) const {
  static const TargetVitals Unknown;
  auto At = this->Rows.find(Target);
  return At == this->Rows.end() ? Unknown : At->second;
}

void VitalsTable::forget(
    const std::function<bool(const VmIncarnation &)> &IsListed) {
  std::erase_if(this->Rows, [&](const auto &Entry) {
    return Entry.second.InFlight == 0 && !IsListed(Entry.first);
  });
}

} // namespace waycove
