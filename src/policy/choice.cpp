// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/choice.h"

#include <algorithm>
#include <cmath>

namespace waycove {

namespace {

/// Weight of the newest sample in smoothed figures: about the last eight.
constexpr double Smoothing = 0.125;
/// First-byte times follow the load faster.
constexpr double WaitSmoothing = 0.3;
/// What was learned of a target's wait counts for less as it ages, so that it
/// is tried again: by half in this time.
constexpr double WaitHalfLifeSeconds = 1.5;
/// Silence on all answers under way that means standing still. Measured:
/// events come up to 180 ms apart on a busy engine.
constexpr Millis StillTime(320);
/// What one request in flight counts for, in milliseconds of first-byte time:
/// measured on a calm day, a group slows by about this much for each request.
constexpr double WaitPerRequestMs = 12;
/// What a thousand unread prompt tokens count for, in milliseconds: they are
/// read at 46 a millisecond on today's engines, between the steps of others.
constexpr double WaitPerThousandTokensMs = 30;
/// A target of another data centre costs the hop and the bytes between them.
constexpr double OtherCentreMs = 8;
/// Larger than any other term, so suspects come last.
constexpr double SuspectMs = 1e6;
/// Random part, in milliseconds, so that nodes do not all take the same one.
constexpr double JitterMs = 10;
/// A target whose failures stand out by this share of its answers is left.
constexpr double FailureMargin = 0.25;
/// Answers needed before a share of failures means anything.
constexpr unsigned FewAnswers = 6;
/// A failing target is tried again after this time.
constexpr Millis FailingTime(1500);

double jitter(std::uint64_t Random, std::size_t Index) {
  return static_cast<double>(mixHash(Random, Index) % 1024) / 1024 * JitterMs;
}

bool isAvoided(const ChoiceQuery &Query, const VmId &Target) {
  return std::find(Query.Avoid.begin(), Query.Avoid.end(), Target) !=
         Query.Avoid.end();
}

/// The first-byte time to expect: what was measured, and no less than what
/// the longest waiting request has waited already.
double firstByteMs(const TargetVitals &Seen, TimePoint Now) {
  double Age = std::chrono::duration<double>(Now - Seen.FirstByteAt).count();
  double Known = Seen.FirstByteMs * std::exp2(-Age / WaitHalfLifeSeconds);
  for (TimePoint Since : Seen.WaitingSince)
    Known = std::max(
        Known, std::chrono::duration<double, std::milli>(Now - Since).count());
  return Known;
}

double expectedWaitMs(const Serving &Row, const TargetVitals &Seen,
                      const ChoiceQuery &Query) {
  double Wait = firstByteMs(Seen, Query.Now) +
                WaitPerRequestMs * Seen.InFlight +
                WaitPerThousandTokensMs * Seen.PromptWaiting / 1000;
  if (Row.Target->DataCentre != Query.Here)
    Wait += OtherCentreMs;
  if (Seen.SuspectUntil > Query.Now || Seen.standsStill(Query.Now))
    Wait += SuspectMs;
  return Wait;
}

} // namespace

bool TargetVitals::standsStill(TimePoint Now) const {
  return this->Answering > 0 && Now - this->LastProgress > StillTime;
}

Millis TargetVitals::silence(TimePoint Now) const {
  if (this->InFlight == 0)
    return Millis(0);
  TimePoint Since = this->LastProgress;
  if (this->Answering == 0 && !this->WaitingSince.empty())
    Since = std::max(Since, *std::min_element(this->WaitingSince.begin(),
                                              this->WaitingSince.end()));
  return std::chrono::duration_cast<Millis>(Now - Since);
}

void VitalsTable::onStart(const VmId &Target, double PromptTokens,
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

void VitalsTable::onFirstByte(const VmId &Target, TimePoint SentAt,
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

void VitalsTable::onProgress(const VmId &Target, TimePoint Now) {
  this->Rows[Target].LastProgress = Now;
}

void VitalsTable::onEnd(const VmId &Target, TimePoint SentAt,
                        bool FirstByteSeen, double PromptTokens) {
  TargetVitals &Row = this->Rows[Target];
  if (Row.InFlight > 0)
    --Row.InFlight;
  if (!FirstByteSeen)
    stopWaiting(Row, SentAt, PromptTokens);
  else if (Row.Answering > 0)
    --Row.Answering;
}

void VitalsTable::onOutcome(const VmId &Target, bool Failed, TimePoint Now) {
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

void VitalsTable::suspect(const VmId &Target, TimePoint Now, Millis Time) {
  TargetVitals &Row = this->Rows[Target];
  Row.SuspectUntil = std::max(Row.SuspectUntil, Now + Time);
}

const TargetVitals &VitalsTable::of(const VmId &Target) const {
  static const TargetVitals Unknown;
  auto At = this->Rows.find(Target);
  return At == this->Rows.end() ? Unknown : At->second;
}

void VitalsTable::forget(const std::function<bool(const VmId &)> &IsListed) {
  std::erase_if(this->Rows, [&](const auto &Entry) {
    return Entry.second.InFlight == 0 && !IsListed(Entry.first);
  });
}

const Serving *chooseTarget(const std::vector<Serving> &Rows,
                            const VitalsTable &Vitals,
                            const ChoiceQuery &Query) {
  const Serving *Best = nullptr;
  double BestWait = 0;
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    const Serving &Row = Rows[I];
    if (Row.Model != Query.Model || isAvoided(Query, Row.Target->Id))
      continue;
    double Wait = expectedWaitMs(Row, Vitals.of(Row.Target->Id), Query) +
                  jitter(Query.Random, I);
    if (!Best || Wait < BestWait) {
      Best = &Row;
      BestWait = Wait;
    }
  }
  return Best;
}

} // namespace waycove
