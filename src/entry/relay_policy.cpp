// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/relay_policy.h"

#include <algorithm>

namespace waycove {

namespace {

/// Sends of one request, with those that targets did not take.
constexpr unsigned MostSends = 5;
/// Draws from a request's random bits whether it stays in its data centre, in
/// steps of a ten-thousandth.
constexpr std::uint64_t StayDraw = 0x57a4;
constexpr std::uint64_t StayScale = 10000;

} // namespace

void RelayPolicy::recordRequest(const RelayRequest &Request) {
  const CallerRequestInfo &Info = Request.Info;
  if (!Info.Model.empty())
    this->Board.Demand.write([&](DemandTable &Rows) {
      ModelDemand &Row = Rows[Info.Model];
      ++Row.Requests;
      Row.PromptTokens += static_cast<double>(Info.PromptTokens);
      Row.OutputTokens += static_cast<double>(Info.MaxOutputTokens);
    });
  const ServiceId &Service = Request.Service;
  const EntrySettings &Given = *this->Board.Config.Entry;
  this->Board.RetryLimiters.write([&](RetryLimiterTable &Rows) {
    Rows.try_emplace(Service, RetryLimit{Given.RetryRatio, Given.RetrySlack,
                                         Given.RetryWindow})
        .first->second.onRequest(SystemClock{}.now());
  });
}

bool RelayPolicy::maySend(const RelayRequest &Request, TimePoint Now) {
  using Verdict = CrashBlame::Verdict;
  Verdict Found = this->Board.Crashes.read(
      [&](const CrashBlame &Rows) { return Rows.judge(Request.Content, Now); });
  if (Found != Verdict::Trial)
    return Found == Verdict::Allow;
  if (!this->isTrialNode(Request.Content))
    return false;
  bool Mine = this->Board.Crashes.write([&](CrashBlame &Rows) {
    bool Still = Rows.judge(Request.Content, Now) == Verdict::Trial;
    if (Still)
      Rows.recordTrial(Request.Content, Now);
    return Still;
  });
  if (Mine)
    this->Board.Log.emit(EventCode::RequestTried, Request.Info.Id.Text,
                         LogFields().add("content", Request.Content.Value));
  return Mine;
}

/// One node alone, the same in the view of all.
bool RelayPolicy::isTrialNode(ContentHash Content) const {
  auto RankOf = [&](const NodeId &Node) {
    return mixHash(Content.Value, hashText(Node.Text));
  };
  std::uint64_t Mine = RankOf(this->Board.Config.Node);
  return this->Board.Nodes.read([&](const NodeTable &Nodes) {
    return std::all_of(Nodes.begin(), Nodes.end(), [&](const auto &Row) {
      return RankOf(Row.first) >= Mine;
    });
  });
}

void RelayPolicy::recordOutcome(const RelayRequest &Request,
                                const RelayAttempt &Attempt, AttemptOutcome End,
                                TimePoint Now) {
  if (End == AttemptOutcome::Broken && Attempt.ConnectionLost)
    this->Board.Crashes.write([&](CrashBlame &Rows) {
      Rows.recordLost(Request.Content, Attempt.To.Target->incarnation(), Now);
    });
  else if (End == AttemptOutcome::Done && Attempt.Succeeded)
    this->Board.Crashes.write(
        [&](CrashBlame &Rows) { Rows.recordServed(Request.Content, Now); });
}

std::optional<ChosenTarget> RelayPolicy::choose(const RelayRequest &Request,
                                                const RelayProgress &Progress,
                                                TimePoint Now) {
  // Before the view: an age must not be understated.
  TimePoint ProvenAt = this->Board.RegistryProvenAt.get();
  ServingViewRef View =
      this->Board.Serving.read([](const ServingViewRef &Row) { return Row; });
  auto Rows = View->ByService.find(Request.Service);
  if (Rows == View->ByService.end())
    return std::nullopt;
  bool RegistryStale = Now - ProvenAt > this->Board.Config.Entry->DrainBound;
  ChoiceQuery Query;
  const ServiceSpec *Spec = Request.Config->service(Request.Service);
  if (Spec && Spec->hasGroups())
    Query.Model = Request.Info.Model;
  Query.Here = this->Board.Config.DataCentre;
  Query.AnyDataCentre = this->mayLeaveDataCentre(Request, Query.Model);
  Query.Avoid = Progress.Tried;
  Query.Now = Now;
  Query.RegistryStale = RegistryStale;
  Query.Random = mixHash(Request.Random, Progress.Tried.size());
  return this->Board.TargetStats.read(
      [&](const TargetStatsTable &Stats) -> std::optional<ChosenTarget> {
        const ServingTarget *Row = chooseTarget(Rows->second, Stats, Query);
        if (!Row)
          return std::nullopt;
        return ChosenTarget{
            *Row, {View->Registry, std::chrono::ceil<Millis>(Now - ProvenAt)}};
      });
}

bool RelayPolicy::mayLeaveDataCentre(const RelayRequest &Request,
                                     const std::string &Model) const {
  double LocalFraction =
      this->Board.Balance.read([&](const CentreBalance &Parts) {
        return Parts.localFraction({Request.Service, Model});
      });
  std::uint64_t Drawn = mixHash(Request.Random, StayDraw) % StayScale;
  return static_cast<double>(Drawn) >=
         LocalFraction * static_cast<double>(StayScale);
}

bool RelayPolicy::mayRetry(const RelayRequest &Request,
                           const RelayProgress &Progress) {
  const HttpRoute &Route = *Request.Route;
  if (Progress.Tried.size() >= MostSends)
    return false;
  return Progress.MayHaveRun == 0 ||
         (Route.mayRepeat() && Progress.MayHaveRun < Route.MaxAttempts);
}

bool RelayPolicy::mayAbandon(const RelayRequest &Request,
                             const RelayProgress &Progress, TimePoint Now) {
  RelayProgress After = Progress;
  ++After.MayHaveRun;
  if (!Request.Route->mayRepeat() || !mayRetry(Request, After))
    return false;
  std::optional<ChosenTarget> Other = this->choose(Request, After, Now);
  return Other && this->hasRetryLeft(Request.Service, Now) &&
         this->Board.TargetStats.read([&](const TargetStatsTable &Stats) {
           return !Stats.isSuspect(Other->To.Target->incarnation(), Now);
         });
}

bool RelayPolicy::hasRetryLeft(const ServiceId &Service, TimePoint Now) {
  double Share = this->Board.perNodeShare();
  return this->Board.RetryLimiters.write([&](RetryLimiterTable &Rows) {
    auto At = Rows.find(Service);
    return At != Rows.end() && At->second.allows(Share, Now);
  });
}

bool RelayPolicy::takeRetry(const ServiceId &Service, TimePoint Now) {
  double Share = this->Board.perNodeShare();
  bool Taken = this->Board.RetryLimiters.write([&](RetryLimiterTable &Rows) {
    auto At = Rows.find(Service);
    return At != Rows.end() && At->second.take(Share, Now);
  });
  if (Taken)
    this->Board.Counters.add(Counter::Retries);
  return Taken;
}

} // namespace waycove
