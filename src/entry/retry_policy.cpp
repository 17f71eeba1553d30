// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/retry_policy.h"

#include "entry/relay_attempt.h"

#include <algorithm>
#include <utility>

namespace waycove {

AttemptCounts RetryPolicy::countsOf(const RelayExchange &Ex) {
  AttemptCounts Counts = Ex.counts();
  if (!Counts.HasStarted)
    return Counts;
  bool MayHaveCausedAll = Ex.Progress.GivenUp == 0;
  TimePoint Now = SystemClock{}.now();
  unsigned Excused = 0;
  for (LostTarget &Row : Ex.Progress.Lost) {
    Row.IsLeaving = Row.IsLeaving || this->Selector.isLeaving(Row.Target);
    Row.IsExcused = Row.IsExcused ||
                    ((Row.IsLeaving || !MayHaveCausedAll) &&
                     this->Selector.hasEnded(Row.Target)) ||
                    (!MayHaveCausedAll && this->Selector.wasCutOff(Row, Now));
    Excused += Row.IsExcused ? 1 : 0;
  }
  Counts.MayHaveRun -=
      std::min({Excused, Counts.MayHaveRun, Ex.Request.Route->MaxAttempts});
  return Counts;
}

bool RetryPolicy::mayExcuseMore(const RelayExchange &Ex, TimePoint Now) const {
  return std::ranges::any_of(Ex.Progress.Lost, [&](const LostTarget &Row) {
    bool MayBeNoticed = Ex.Progress.GivenUp > 0 && Now - Row.At < EndNoticeTime;
    return !Row.IsExcused && (Row.IsLeaving || MayBeNoticed);
  });
}

void RetryPolicy::recordRequest(const ServiceId &Service) {
  const EntrySettings &Config = *this->Board.Config.Entry;
  this->Board.RetryLimiters.write([&](RetryLimiterTable &Limits) {
    Limits
        .try_emplace(Service, RetryLimit{Config.RetryRatio, Config.RetrySlack,
                                         Config.RetryWindow})
        .first->second.onRequest(SystemClock{}.now());
  });
}

std::optional<Successor>
RetryPolicy::prepareSuccessor(const RelayRequest &Request,
                              const RelayProgress &Progress,
                              const AttemptCounts &Counts, TimePoint Now) {
  bool IsAllowed =
      Request.Route->mayRepeat() && mayRetry(*Request.Route, Counts);
  if (!IsAllowed || !this->hasLeft(Request.Service, Now))
    return std::nullopt;
  std::optional<SelectedTarget> Other =
      this->Selector.select(Request, Progress, Now);
  if (!Other || this->Board.TargetStats.read([&](const TargetStatsTable &Rows) {
        return Rows.isSuspect(Other->To.Target->incarnation(), Now);
      }))
    return std::nullopt;
  std::optional<TakenRetry> Retry = this->take(Request.Service, Now);
  if (!Retry)
    return std::nullopt;
  return Successor{std::move(*Other), std::move(*Retry)};
}

bool RetryPolicy::hasLeft(const ServiceId &Service, TimePoint Now) {
  double Share = this->Board.perNodeShare();
  return this->Board.RetryLimiters.write([&](RetryLimiterTable &Limits) {
    auto At = Limits.find(Service);
    return At != Limits.end() && At->second.allows(Share, Now);
  });
}

std::optional<TakenRetry> RetryPolicy::take(const ServiceId &Service,
                                            TimePoint Now) {
  double Share = this->Board.perNodeShare();
  bool Taken = this->Board.RetryLimiters.write([&](RetryLimiterTable &Limits) {
    auto At = Limits.find(Service);
    return At != Limits.end() && At->second.take(Share, Now);
  });
  if (!Taken)
    return std::nullopt;
  return TakenRetry(*this, Service, Now);
}

void RetryPolicy::giveBack(const ServiceId &Service, TimePoint TakenAt) {
  this->Board.RetryLimiters.write([&](RetryLimiterTable &Limits) {
    if (auto At = Limits.find(Service); At != Limits.end())
      At->second.giveBack(TakenAt, SystemClock{}.now());
  });
}

TakenRetry &TakenRetry::operator=(TakenRetry &&Other) noexcept {
  if (this != &Other) {
    this->release();
    this->From = std::exchange(Other.From, nullptr);
    this->Service = std::move(Other.Service);
    this->At = Other.At;
  }
  return *this;
}

void TakenRetry::use() {
  if (RetryPolicy *Owner = std::exchange(this->From, nullptr))
    Owner->Board.Counters.add(Counter::Retries);
}

void TakenRetry::release() {
  if (RetryPolicy *Owner = std::exchange(this->From, nullptr))
    Owner->giveBack(this->Service, this->At);
}

} // namespace waycove
