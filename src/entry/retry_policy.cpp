// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/retry_policy.h"

namespace waycove {

void RetryPolicy::recordRequest(const ServiceId &Service) {
  const EntrySettings &Config = *this->Board.Config.Entry;
  this->Board.RetryLimiters.write([&](RetryLimiterTable &Limits) {
    Limits
        .try_emplace(Service, RetryLimit{Config.RetryRatio, Config.RetrySlack,
                                         Config.RetryWindow})
        .first->second.onRequest(SystemClock{}.now());
  });
}

bool RetryPolicy::mayAbandon(const RelayRequest &Request,
                             const RelayProgress &Progress, TimePoint Now) {
  AttemptCounts After = Progress.counts();
  ++After.MayHaveRun;
  if (!Request.Route->mayRepeat() || !mayRetry(*Request.Route, After))
    return false;
  std::optional<SelectedTarget> Other =
      this->Selector.select(Request, Progress, Now);
  return Other && this->hasRetryLeft(Request.Service, Now) &&
         this->Board.TargetStats.read([&](const TargetStatsTable &Stats) {
           return !Stats.isSuspect(Other->To.Target->incarnation(), Now);
         });
}

bool RetryPolicy::hasRetryLeft(const ServiceId &Service, TimePoint Now) {
  double Share = this->Board.perNodeShare();
  return this->Board.RetryLimiters.write([&](RetryLimiterTable &Limits) {
    auto At = Limits.find(Service);
    return At != Limits.end() && At->second.allows(Share, Now);
  });
}

bool RetryPolicy::takeRetry(const ServiceId &Service, TimePoint Now) {
  double Share = this->Board.perNodeShare();
  bool Taken = this->Board.RetryLimiters.write([&](RetryLimiterTable &Limits) {
    auto At = Limits.find(Service);
    return At != Limits.end() && At->second.take(Share, Now);
  });
  if (Taken)
    this->Board.Counters.add(Counter::Retries);
  return Taken;
}

} // namespace waycove
