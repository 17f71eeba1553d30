// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/choice.h"

#include <algorithm>
#include <cmath>

namespace waycove {

namespace {

/// What was learned of a target's wait counts for less as it ages, against what
/// is usual of its kind: by half in this time.
constexpr double WaitHalfLifeSeconds = 1.5;
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

double jitter(std::uint64_t Random, std::size_t Index) {
  return static_cast<double>(mixHash(Random, Index) % 1024) / 1024 * JitterMs;
}

bool isAvoided(const ChoiceQuery &Query, const VmId &Target) {
  return std::find(Query.Avoid.begin(), Query.Avoid.end(), Target) !=
         Query.Avoid.end();
}

/// The mean of what this node measured of the model's targets; 0 where it
/// measured none.
double usualFirstByteMs(const std::vector<ServingTarget> &Rows,
                        const TargetStatsTable &Stats,
                        const std::string &Model) {
  double Sum = 0;
  int Measured = 0;
  for (const ServingTarget &Row : Rows) {
    double Ms = Stats.of(Row.Target->incarnation()).FirstByteMs;
    if (Row.Model != Model || Ms == 0)
      continue;
    Sum += Ms;
    ++Measured;
  }
  return Measured > 0 ? Sum / Measured : 0;
}

/// The first-byte time to expect: what was measured, or \p Usual where that is
/// long ago or nothing was, and no less than what the longest waiting request
/// has waited already. A target of which nothing is known must not look idle:
/// the next request of each node went to a group that had just opened, 57 of 59
/// nodes before 22 places, and the half of all late answers on a calm day came
/// from groups younger than 5.4 s.
double firstByteMs(const TargetStats &Seen, double Usual, TimePoint Now) {
  double Age = std::chrono::duration<double>(Now - Seen.FirstByteAt).count();
  double Known = Usual;
  if (Seen.FirstByteMs > 0)
    Known += (Seen.FirstByteMs - Usual) * std::exp2(-Age / WaitHalfLifeSeconds);
  for (TimePoint Since : Seen.WaitingSince)
    Known = std::max(
        Known, std::chrono::duration<double, std::milli>(Now - Since).count());
  return Known;
}

double expectedWaitMs(const ServingTarget &Row, const TargetStatsTable &Stats,
                      const ChoiceQuery &Query, double Usual) {
  const VmIncarnation Target = Row.Target->incarnation();
  const TargetStats &Seen = Stats.of(Target);
  double Wait = firstByteMs(Seen, Usual, Query.Now) +
                WaitPerRequestMs * Seen.InFlight +
                WaitPerThousandTokensMs * Seen.PromptWaiting / 1000;
  if (!Query.AnyDataCentre && Row.Target->DataCentre != Query.Here)
    Wait += OtherCentreMs;
  if (Stats.isSuspect(Target, Query.Now))
    Wait += SuspectMs;
  return Wait;
}

/// Whether the target may be leaving, for all that is known.
bool mayBeLeaving(const ServingTarget &Row, const TargetStatsTable &Stats,
                  const ChoiceQuery &Query) {
  return Row.Retained ||
         (Query.RegistryStale && Stats.of(Row.Target->incarnation()).Closing);
}

/// Whether a target of the model stays, so that none that may be leaving has
/// to serve.
bool anyStays(const std::vector<ServingTarget> &Rows,
              const TargetStatsTable &Stats, const ChoiceQuery &Query) {
  return std::any_of(Rows.begin(), Rows.end(), [&](const ServingTarget &Row) {
    return Row.Model == Query.Model && !mayBeLeaving(Row, Stats, Query);
  });
}

} // namespace

const ServingTarget *chooseTarget(const std::vector<ServingTarget> &Rows,
                                  const TargetStatsTable &Stats,
                                  const ChoiceQuery &Query) {
  const ServingTarget *Best = nullptr;
  double BestWait = 0;
  double Usual = usualFirstByteMs(Rows, Stats, Query.Model);
  bool Stays = anyStays(Rows, Stats, Query);
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    const ServingTarget &Row = Rows[I];
    if (Row.Model != Query.Model || isAvoided(Query, Row.Target->Id) ||
        (Stays && mayBeLeaving(Row, Stats, Query)))
      continue;
    double Wait =
        expectedWaitMs(Row, Stats, Query, Usual) + jitter(Query.Random, I);
    if (!Best || Wait < BestWait) {
      Best = &Row;
      BestWait = Wait;
    }
  }
  return Best;
}

} // namespace waycove
