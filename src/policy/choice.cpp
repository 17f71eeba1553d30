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

double expectedWaitMs(const Serving &Row, const TargetVitals &Seen,
                      const ChoiceQuery &Query) {
  double Wait = Seen.FirstByteMs + WaitPerRequestMs * Seen.InFlight +
                WaitPerThousandTokensMs * Seen.PromptWaiting / 1000;
  if (Row.Target->DataCentre != Query.Here)
    Wait += OtherCentreMs;
  if (Seen.SuspectUntil > Query.Now)
    Wait += SuspectMs;
  return Wait;
}

} // namespace

void VitalsTable::onStart(const VmId &Target, double PromptTokens) {
  TargetVitals &Row = this->Rows[Target];
  ++Row.InFlight;
  Row.PromptWaiting += PromptTokens;
}

void VitalsTable::onFirstByte(const VmId &Target, Millis Took,
                              double PromptTokens, TimePoint Now) {
  TargetVitals &Row = this->Rows[Target];
  auto Sample = static_cast<double>(Took.count());
  Row.FirstByteMs =
      Row.FirstByteMs == 0
          ? Sample
          : Row.FirstByteMs + Smoothing * (Sample - Row.FirstByteMs);
  Row.PromptWaiting = std::max(0.0, Row.PromptWaiting - PromptTokens);
  Row.LastProgress = Now;
}

void VitalsTable::onProgress(const VmId &Target, TimePoint Now) {
  this->Rows[Target].LastProgress = Now;
}

void VitalsTable::onEnd(const VmId &Target, double Unanswered) {
  TargetVitals &Row = this->Rows[Target];
  if (Row.InFlight > 0)
    --Row.InFlight;
  Row.PromptWaiting = std::max(0.0, Row.PromptWaiting - Unanswered);
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
