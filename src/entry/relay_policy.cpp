// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/relay_policy.h"

#include <algorithm>

namespace waycove {

namespace {

/// Attempts for one request, including those that targets declined.
constexpr unsigned AttemptLimit = 5;
/// Salt of the random decision whether a request stays in its data centre.
constexpr std::uint64_t StaySalt = 0x57a4;
/// Resolution of that decision.
constexpr std::uint64_t StayScale = 10000;

/// The model that the request needs; empty for plain services.
std::string requestedModel(const RelayRequest &Request) {
  const ServiceSpec *Spec = Request.Config->service(Request.Service);
  return Spec && Spec->hasGroups() ? Request.Info.Model : "";
}

} // namespace

void RelayPolicy::recordRequest(const RelayRequest &Request) {
  const CallerRequestInfo &Info = Request.Info;
  if (!Info.Model.empty())
    this->Board.Demand.write([&](DemandTable &Table) {
      ModelDemand &Demand = Table[Info.Model];
      ++Demand.Requests;
      Demand.PromptTokens += static_cast<double>(Info.PromptTokens);
      Demand.OutputTokens += static_cast<double>(Info.MaxOutputTokens);
    });
  const ServiceId &Service = Request.Service;
  const EntrySettings &Config = *this->Board.Config.Entry;
  this->Board.RetryLimiters.write([&](RetryLimiterTable &Limits) {
    Limits
        .try_emplace(Service, RetryLimit{Config.RetryRatio, Config.RetrySlack,
                                         Config.RetryWindow})
        .first->second.onRequest(SystemClock{}.now());
  });
}

bool RelayPolicy::maySend(const RelayRequest &Request, TimePoint Now) {
  using Verdict = CrashBlame::Verdict;
  Verdict Current = this->Board.Crashes.read([&](const CrashBlame &Crashes) {
    return Crashes.judge(Request.Content, Now);
  });
  if (Current != Verdict::Trial)
    return Current == Verdict::Allow;
  if (!this->isTrialNode(Request.Content))
    return false;
  bool TrialTaken = this->Board.Crashes.write([&](CrashBlame &Crashes) {
    bool StillTry = Crashes.judge(Request.Content, Now) == Verdict::Trial;
    if (StillTry)
      Crashes.recordTrial(Request.Content, Now);
    return StillTry;
  });
  if (TrialTaken)
    this->Board.Log.emit(EventCode::RequestTried, Request.Info.Id.Text,
                         LogFields().add("content", Request.Content.Value));
  return TrialTaken;
}

/// Exactly one node may try a blamed request. All nodes with the same directory
/// agree on which.
bool RelayPolicy::isTrialNode(ContentHash Content) const {
  auto RankOf = [&](const NodeId &Node) {
    return mixHash(Content.Value, hashText(Node.Text));
  };
  std::uint64_t OwnRank = RankOf(this->Board.Config.Node);
  NodeRankingRef Known = this->Board.nodes();
  return std::all_of(
      Known->nodes().begin(), Known->nodes().end(),
      [&](const auto &Node) { return RankOf(Node.first) >= OwnRank; });
}

void RelayPolicy::recordOutcome(const RelayRequest &Request,
                                const RelayAttempt &Attempt, AttemptOutcome End,
                                TimePoint Now) {
  bool IsDoubtful = Attempt.carrier().empty() &&
                    this->Board.ReachState != TargetReach::State::Sound;
  if (End == AttemptOutcome::Broken && Attempt.ConnectionLost)
    this->Board.Crashes.write([&](CrashBlame &Crashes) {
      const VmIncarnation Target = Attempt.To.Target->incarnation();
      if (IsDoubtful)
        Crashes.holdLost(Request.Content, Target, Now);
      else
        Crashes.recordLost(Request.Content, Target, Now);
    });
  else if (End == AttemptOutcome::Done && Attempt.Succeeded)
    this->Board.Crashes.write([&](CrashBlame &Crashes) {
      Crashes.recordServed(Request.Content, Now);
    });
}

std::optional<SelectedTarget> RelayPolicy::choose(const RelayRequest &Request,
                                                  const RelayProgress &Progress,
                                                  TimePoint Now) {
  while (true) {
    std::optional<SelectedTarget> Selected =
        this->select(Request, Progress, Now);
    // Another request may have used up the rate of this target since.
    if (!Selected || this->takeFromRate(Request, *Selected, Now))
      return Selected;
  }
}

bool RelayPolicy::confirm(const RelayRequest &Request, SelectedTarget &Selected,
                          TimePoint Now) {
  if (this->pauseOf(Selected.To, Now).any())
    return false;
  return Selected.IsCounted || this->takeFromRate(Request, Selected, Now);
}

bool RelayPolicy::takeFromRate(const RelayRequest &Request,
                               SelectedTarget &Selected, TimePoint Now) {
  std::vector<BoundedTarget> Bounded =
      this->boundedTargets(Request, {Selected.To}, Now);
  if (Bounded.empty())
    return true;
  Selected.IsCounted =
      this->Board.TargetRates.write([&](TargetRateLimiter &Limits) {
        return Limits.take(Bounded.front(), Now);
      });
  return Selected.IsCounted;
}

std::optional<Millis> RelayPolicy::nextOpening(const RelayRequest &Request,
                                               const RelayProgress &Progress,
                                               TimePoint Now) {
  ServingViewRef View =
      this->Board.Serving.read([](const ServingViewRef &Row) { return Row; });
  auto Targets = View->ByService.find(Request.Service);
  if (Targets == View->ByService.end())
    return std::nullopt;
  std::optional<Millis> Least;
  for (const ServingTarget &To : Targets->second) {
    Millis Wait = this->isCandidate(Request, Progress, To)
                      ? this->waitFor(Request, To, Now)
                      : Millis(0);
    if (Wait > Millis(0))
      Least = std::min(Least.value_or(Wait), Wait);
  }
  return Least;
}

bool RelayPolicy::isCandidate(const RelayRequest &Request,
                              const RelayProgress &Progress,
                              const ServingTarget &To) const {
  const std::vector<VmId> &Tried = Progress.Tried;
  return std::find(Tried.begin(), Tried.end(), To.Target->Id) == Tried.end() &&
         To.Model == requestedModel(Request) && this->mayRunAt(Request, To);
}

Millis RelayPolicy::waitFor(const RelayRequest &Request,
                            const ServingTarget &To, TimePoint Now) {
  StatedPause Pause = this->pauseOf(To, Now);
  if (Pause.Leaves)
    return Millis(0);
  Millis Wait = Pause.RestLeft;
  for (const BoundedTarget &Bounded : this->boundedTargets(Request, {To}, Now))
    Wait = std::max(
        Wait, this->Board.TargetRates.write([&](TargetRateLimiter &Limits) {
          return Limits.expectedWait(Bounded, Now);
        }));
  return Wait;
}

StatedPause RelayPolicy::pauseOf(const ServingTarget &To, TimePoint Now) const {
  return this->Board.TargetPauses.read([&](const StatedPauses &Pauses) {
    return Pauses.of(To.Target->incarnation(), Now);
  });
}

bool RelayPolicy::isStale(TimePoint ProvenAt, TimePoint Now) const {
  return Now - ProvenAt > this->Board.Config.Entry->DrainBound;
}

RegionId RelayPolicy::regionOf(const DataCentreId &Centre) const {
  const auto &Regions = this->Board.Config.Entry->Regions;
  auto At = Regions.find(Centre);
  return At == Regions.end() ? RegionId() : At->second;
}

bool RelayPolicy::mayGoTo(const RelayRequest &Request,
                          const DataCentreId &Centre) const {
  return !isRegional(*Request.Route, Request.Owner) ||
         mayRunIn(*Request.Route, Request.Owner, this->regionOf(Centre));
}

std::vector<NodeInfo> RelayPolicy::carriers(const RelayRequest &Request,
                                            TimePoint Now) const {
  Evacuations Evacuated =
      this->Board.Evacuated.read([](const Evacuations &Rows) { return Rows; });
  auto MayCarry = [&](const NodeInfo &Node) {
    return !Evacuated.contains(Node.DataCentre) &&
           this->mayGoTo(Request, Node.DataCentre);
  };
  NodeRankingRef Known = this->Board.nodes();
  return this->Board.Ways.read([&](const WaySelector &Ways) {
    return Ways.candidates(*Known, this->Board.nodeInfo(), MayCarry,
                           Request.Random, Now);
  });
}

std::vector<BoundedTarget>
RelayPolicy::boundedTargets(const RelayRequest &Request,
                            const std::vector<ServingTarget> &Targets,
                            TimePoint Now) const {
  const ServiceSpec *Spec = Request.Config->service(Request.Service);
  bool HasCurrentNodes =
      !this->isStale(this->Board.RegistryProvenAt.get(), Now);
  std::vector<BoundedTarget> Bounded;
  this->Board.TargetLimits.read([&](const StatedLimits &Known) {
    for (const ServingTarget &To : Targets) {
      RateBounds Bounds;
      if (Spec && Now < To.ColdUntil)
        Bounds.Cold = RequestRate{Spec->ColdRate};
      if (Known.any())
        Bounds.Stated = Known.of(hashOf(To.Target->incarnation()));
      if (Bounds.any())
        Bounded.push_back({To.Target->incarnation(), Bounds, nullptr,
                           this->Board.Config.Node, HasCurrentNodes});
    }
  });
  if (Bounded.empty())
    return Bounded;
  NodeRankingRef Nodes = this->Board.nodes();
  for (BoundedTarget &To : Bounded)
    To.Nodes = Nodes;
  return Bounded;
}

void RelayPolicy::avoidForbidden(const RelayRequest &Request,
                                 const std::vector<ServingTarget> &Targets,
                                 TimePoint Now, std::vector<VmId> &Avoid) {
  for (const ServingTarget &To : Targets)
    if (!this->mayRunAt(Request, To))
      Avoid.push_back(To.Target->Id);
  this->Board.TargetPauses.read([&](const StatedPauses &Pauses) {
    if (!Pauses.any())
      return;
    for (const ServingTarget &To : Targets)
      if (Pauses.of(To.Target->incarnation(), Now).any())
        Avoid.push_back(To.Target->Id);
  });
  std::vector<BoundedTarget> Bounded =
      this->boundedTargets(Request, Targets, Now);
  if (Bounded.empty())
    return;
  this->Board.TargetRates.write([&](TargetRateLimiter &Limits) {
    for (const BoundedTarget &To : Bounded)
      if (!Limits.allows(To, Now))
        Avoid.push_back(To.Target.Id);
  });
}

std::optional<SelectedTarget> RelayPolicy::select(const RelayRequest &Request,
                                                  const RelayProgress &Progress,
                                                  TimePoint Now) {
  // Read before the view, so that the age is never understated.
  TimePoint ProvenAt = this->Board.RegistryProvenAt.get();
  ServingViewRef View =
      this->Board.Serving.read([](const ServingViewRef &View) { return View; });
  auto Targets = View->ByService.find(Request.Service);
  if (Targets == View->ByService.end())
    return std::nullopt;
  ChoiceQuery Query;
  Query.Model = requestedModel(Request);
  Query.Here = this->Board.Config.DataCentre;
  Query.AnyDataCentre = this->mayLeaveDataCentre(Request, Query.Model);
  Query.Avoid = Progress.Tried;
  this->avoidForbidden(Request, Targets->second, Now, Query.Avoid);
  Query.Now = Now;
  Query.RegistryStale = this->isStale(ProvenAt, Now);
  Query.Random = mixHash(Request.Random, Progress.Tried.size());
  return this->Board.TargetStats.read(
      [&](const TargetStatsTable &Stats) -> std::optional<SelectedTarget> {
        const ServingTarget *Best = chooseTarget(Targets->second, Stats, Query);
        if (!Best)
          return std::nullopt;
        return SelectedTarget{
            *Best, {View->Registry, std::chrono::ceil<Millis>(Now - ProvenAt)}};
      });
}

bool RelayPolicy::mayLeaveDataCentre(const RelayRequest &Request,
                                     const std::string &Model) const {
  double LocalFraction =
      this->Board.Balance.read([&](const CentreBalance &Balance) {
        return Balance.localFraction({Request.Service, Model});
      });
  std::uint64_t Random = mixHash(Request.Random, StaySalt) % StayScale;
  return static_cast<double>(Random) >=
         LocalFraction * static_cast<double>(StayScale);
}

bool RelayPolicy::mayRetry(const RelayRequest &Request,
                           const RelayProgress &Progress) {
  const HttpRoute &Route = *Request.Route;
  if (Progress.Tried.size() >= AttemptLimit)
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
  std::optional<SelectedTarget> Other = this->select(Request, After, Now);
  return Other && this->hasRetryLeft(Request.Service, Now) &&
         this->Board.TargetStats.read([&](const TargetStatsTable &Stats) {
           return !Stats.isSuspect(Other->To.Target->incarnation(), Now);
         });
}

bool RelayPolicy::hasRetryLeft(const ServiceId &Service, TimePoint Now) {
  double Share = this->Board.perNodeShare();
  return this->Board.RetryLimiters.write([&](RetryLimiterTable &Limits) {
    auto At = Limits.find(Service);
    return At != Limits.end() && At->second.allows(Share, Now);
  });
}

bool RelayPolicy::takeRetry(const ServiceId &Service, TimePoint Now) {
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
