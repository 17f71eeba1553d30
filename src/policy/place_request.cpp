// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/place_request.h"

#include "policy/group_load.h"
#include "policy/urgency.h"

#include <algorithm>
#include <cmath>

namespace waycove {

namespace {

/// Expected time to the first byte where nothing was measured.
constexpr Millis DefaultFirstByteTime{100};
/// Expected time of a response where nothing was measured.
constexpr Millis DefaultHold{1000};
/// See maxRetryAfter().
constexpr int RetryAfterDivisor = 3;
/// Longest time that a request waits at its node, whatever its deadline.
constexpr Millis MaxWait{10000};
/// Most work that a request counts with, in tokens. Callers state the numbers
/// of tokens, and may state any.
constexpr double MaxWork = 1e8;

/// Part of an objective that a measured time to the first byte may take.
/// Measurements of overloaded targets may exceed any objective, and a request
/// that has just arrived always goes before those that wait.
constexpr double MaxFirstByteFraction = 0.9;

Millis firstByteTime(double MeasuredMs, Millis Goal) {
  double Max = MaxFirstByteFraction * static_cast<double>(Goal.count());
  double Expected = MeasuredMs > 0 && std::isfinite(MeasuredMs)
                        ? MeasuredMs
                        : static_cast<double>(DefaultFirstByteTime.count());
  return Millis(std::llround(std::min(Expected, Max)));
}

std::optional<TimePoint> inTimeUntil(const PlaceRequestSources &From) {
  Millis Goal = From.Route.Goal;
  if (From.Route.Timeout > Millis(0))
    Goal = std::min(Goal, From.Route.Timeout);
  if (Goal <= Millis(0))
    return std::nullopt;
  return From.ArrivedAt - From.PriorWait + Goal -
         firstByteTime(From.FirstByteMs, Goal);
}

/// Returns \p End less the time that the request needs from then on. At most
/// half of the time is set aside for that, since measurements that stalled
/// targets have raised must not make all requests useless.
TimePoint lastStart(TimePoint ArrivedAt, TimePoint End, Millis Needed) {
  Millis Available =
      std::max(std::chrono::duration_cast<Millis>(End - ArrivedAt), Millis(0));
  return End - std::min(Needed, Available / 2);
}

/// The whole response has to arrive by the deadline, and its first byte before
/// the caller loses patience.
TimePoint usefulUntil(const PlaceRequestSources &From) {
  TimePoint Begin = From.ArrivedAt;
  Millis Hold = From.UsualHold > Millis(0) ? From.UsualHold : DefaultHold;
  TimePoint Until =
      lastStart(Begin, std::min(From.Deadline, Begin + MaxWait), Hold);
  Millis Patience = From.Route.Patience;
  if (Patience <= Millis(0))
    return Until;
  Millis FirstByte = firstByteTime(From.FirstByteMs, Patience);
  return std::min(Until, lastStart(Begin, Begin + Patience, FirstByte));
}

} // namespace

Millis maxRetryAfter(TimePoint Deadline, TimePoint Now) {
  auto Left = std::chrono::duration_cast<Millis>(Deadline - Now);
  return std::max(Left, Millis(0)) / RetryAfterDivisor;
}

PlaceRequest makePlaceRequest(const PlaceRequestSources &From) {
  double Work = ModelDemand{1, static_cast<double>(From.PromptTokens),
                            static_cast<double>(From.MaxOutputTokens)}
                    .weightedTokens();
  PlaceRequest Request;
  Request.Priority = std::min(priorityOf(From.Route, From.Owner), LeastUrgent);
  Request.Workspace = From.Workspace;
  Request.Work =
      Tokens(static_cast<std::uint64_t>(std::clamp(Work, 1.0, MaxWork)));
  Request.ArrivedAt = From.ArrivedAt;
  Request.InTimeUntil = inTimeUntil(From);
  Request.UsefulUntil = usefulUntil(From);
  Request.MaxRetryAfter = maxRetryAfter(From.Deadline, From.ArrivedAt);
  Request.HasReturned = From.PriorWait > Millis(0);
  return Request;
}

} // namespace waycove
