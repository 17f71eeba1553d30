// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/shared_observations.h"

#include "control/standstill_monitor.h"
#include "wire/news_frames.h"

namespace waycove {

namespace {

/// By then a request has arrived, or its response is not waited for any more:
/// the connection was reset, opened again, and the response is late.
constexpr Millis MaxRequestDelay(900);

/// After a standstill, threads have read by then what has arrived.
constexpr Millis ReadAgainTime(250);

/// The hashes of the suspects that are blamed together.
std::string textOf(const Culprit &Blamed) {
  std::string Text;
  for (const CrashSuspect &Suspect : Blamed) {
    if (!Text.empty())
      Text += '+';
    Text += std::to_string(Suspect.Content.Value);
  }
  return Text;
}

const char *kindOf(const Culprit &Blamed) {
  return Blamed.front().Kind == SuspectKind::Request ? "request" : "part";
}

} // namespace

void SharedObservations::addTo(wire::NewsWantedT &Request,
                               const NodeInfo &Receiver, TimePoint Now) const {
  TargetLoads Own = this->ownLoads(Now);
  DemandTable OwnDemand = this->ownDemand();
  PoolReports OwnPools = this->ownPools(Now);
  if (Receiver.DataCentre == this->Board.Config.DataCentre)
    Request.renewals = this->renewals(Now);
  std::lock_guard Lock(this->Mutex);
  Request.loads = packLoads(this->Loads.sumForUpstream(Own, Now));
  Request.demand = packDemand(this->Demand.sumForUpstream(OwnDemand, Now));
  Request.pools = packPools(this->Pools.sumForUpstream(OwnPools, Now));
  auto Received = this->CrashesReceivedAt.find(Receiver.Node);
  // Changes since the last request have to be reported when this one arrives.
  Request.all_crashes =
      Received == this->CrashesReceivedAt.end() ||
      Now + MaxRequestDelay - Received->second >= CrashBlame::ReportDuration;
  CrashEvidenceMap Crashes = this->crashes(Request.all_crashes, Now);
  Request.crashes = packCrashes(Crashes, SuspectKind::Request);
  Request.crash_parts = packCrashes(Crashes, SuspectKind::PromptPart);
  Request.limits = packLimits(this->limits(Request.all_crashes, Now), Now);
}

void SharedObservations::exchange(const wire::NewsWantedT &Request,
                                  wire::NewsT &Response, TimePoint Now) {
  bool SameCentre = Request.data_centre == this->Board.Config.DataCentre.Text;
  if (SameCentre) {
    this->applyRenewals(Request.renewals, Now);
    Response.renewals = this->renewals(Now);
  }
  NodeId From(Request.node);
  this->applyCrashes(unpackCrashes(Request.crashes, Request.crash_parts), Now);
  CrashEvidenceMap Crashes = this->crashes(Request.all_crashes, Now);
  Response.crashes = packCrashes(Crashes, SuspectKind::Request);
  Response.crash_parts = packCrashes(Crashes, SuspectKind::PromptPart);
  this->applyLimits(Request.limits, From, Now, Now);
  Response.limits = packLimits(this->limits(Request.all_crashes, Now), Now);
  TargetLoads Own = this->ownLoads(Now);
  DemandTable OwnDemand = this->ownDemand();
  PoolReports OwnPools = this->ownPools(Now);
  PoolReports Pools = this->readPools(Request.pools, From);
  std::lock_guard Lock(this->Mutex);
  this->LoadsReceivedAt = Now;
  if (!Pools.empty())
    this->PoolsReceivedAt = Now;
  if (SameCentre) {
    this->Loads.addReport(From, unpackLoads(Request.loads), Now);
    this->Demand.addReport(From, unpackDemand(Request.demand), Now);
    this->Pools.addReport(From, std::move(Pools), Now);
  } else {
    this->Loads.addCentreReport(From, unpackLoads(Request.loads), Now);
    this->Demand.addCentreReport(From, unpackDemand(Request.demand), Now);
    this->Pools.addCentreReport(From, std::move(Pools), Now);
  }
  Response.loads = packLoads(this->Loads.sumForReader(Own, From, Now));
  Response.demand = packDemand(this->Demand.sumForReader(OwnDemand, From, Now));
  Response.pools = packPools(this->Pools.sumForReader(OwnPools, From, Now));
}

void SharedObservations::apply(const wire::NewsT &Response, const NodeId &From,
                               TimePoint SentAt, TimePoint Now) {
  this->applyRenewals(Response.renewals, SentAt);
  this->applyCrashes(unpackCrashes(Response.crashes, Response.crash_parts),
                     Now);
  this->applyLimits(Response.limits, From, SentAt, Now);
  PoolReports Pools = this->readPools(Response.pools, From);
  std::lock_guard Lock(this->Mutex);
  this->LoadsReceivedAt = Now;
  if (!Pools.empty())
    this->PoolsReceivedAt = Now;
  // Changes after the response was made come with the next one.
  this->CrashesReceivedAt[From] = SentAt;
  std::erase_if(this->CrashesReceivedAt, [&](const auto &Row) {
    return Now - Row.second >= CrashBlame::ReportDuration;
  });
  this->Loads.setUpstreamReport(unpackLoads(Response.loads), Now);
  this->Demand.setUpstreamReport(unpackDemand(Response.demand), Now);
  this->Pools.setUpstreamReport(std::move(Pools), Now);
}

TargetLoads SharedObservations::ownLoads(TimePoint Now) const {
  StandstillMonitor(this->Board).onRunning(Now);
  return this->Board.TargetStats.read(
      [&](const TargetStatsTable &Rows) { return Rows.loads(Now); });
}

DemandTable SharedObservations::ownDemand() const {
  return this->Board.Demand.read([](const DemandTable &Rows) { return Rows; });
}

void SharedObservations::publish(TimePoint Now) {
  StandstillMonitor(this->Board).onRunning(Now);
  this->updateBlame(Now);
  TargetLoads Others;
  DemandTable OthersDemand;
  PoolReports OthersPools;
  std::optional<TimePoint> OthersPoolsAt;
  {
    std::lock_guard Lock(this->Mutex);
    Others = this->Loads.sumOfOthers(Now);
    OthersDemand = this->Demand.sumOfOthers(Now);
    OthersPools = this->Pools.sumOfOthers(Now);
    OthersPoolsAt = this->PoolsReceivedAt;
    if (this->LoadsReceivedAt)
      this->Board.Counters.set(Gauge::ReportAgeMs,
                               (Now - *this->LoadsReceivedAt) / Millis(1));
  }
  this->Board.RemoteDemand.write(
      [&](DemandTable &Rows) { Rows = std::move(OthersDemand); });
  ServingViewRef View =
      this->Board.Serving.read([](const ServingViewRef &Row) { return Row; });
  CentreLoads Centres =
      this->Board.TargetStats.write([&](TargetStatsTable &Rows) {
        Rows.setReports(std::move(Others), Now);
        return centreLoads(*View, Rows, this->Board.Config.DataCentre, Now);
      });
  auto Changes = this->Board.Balance.write(
      [&](CentreBalance &Parts) { return Parts.update(Centres, Now); });
  for (const CentreBalance::Change &Row : Changes)
    this->Board.Log.emit(Row.Busy ? EventCode::CentreBusy
                                  : EventCode::CentreEased,
                         Row.Pool.Service.Text,
                         LogFields()
                             .add("model", Row.Pool.Model)
                             .add("stay", Row.LocalFraction));
  this->updateAdmission(OthersPools, OthersPoolsAt, Now);
}

PoolReports SharedObservations::ownPools(TimePoint Now) const {
  return this->Board.Admission.read(
      [&](const PoolAdmission &Rows) { return Rows.reports(Now); });
}

PoolReports SharedObservations::readPools(
    const std::vector<std::unique_ptr<wire::PoolRowT>> &Rows,
    const NodeId &From) const {
  PoolReports Pools;
  if (absl::Status Read = unpackPools(Rows, Pools); !Read.ok())
    this->Board.Log.emit(EventCode::NewsRefused, From.Text,
                         LogFields().add("reason", messageOf(Read)));
  return Pools;
}

/// Sets how many requests of this node may hold a place in each pool.
void SharedObservations::updateAdmission(const PoolReports &Others,
                                         std::optional<TimePoint> OthersAt,
                                         TimePoint Now) {
  // Requests that hang on this node's lost links must not keep those that other
  // nodes would carry from being sent.
  if (this->Board.ReachState != TargetReach::State::Sound)
    return this->applyPoolLoads({});
  ServingViewRef View =
      this->Board.Serving.read([](const ServingViewRef &Row) { return Row; });
  PoolReports Own = this->ownPools(Now);
  std::set<VmId> Limited = this->limitedTargets(*View);
  NodeRankingRef Nodes = this->Board.nodes();
  PoolLoads Loads =
      this->Board.TargetStats.read([&](const TargetStatsTable &Stats) {
        return foldPoolLoads({*View, Stats, Own, Others, OthersAt,
                              Nodes->nodes().size(),
                              Nodes->indexOf(this->Board.Config.Node),
                              [&](const ServingTarget &To) {
                                return Limited.contains(To.Target->Id);
                              }},
                             Now);
      });
  this->applyPoolLoads(std::move(Loads));
}

void SharedObservations::applyPoolLoads(PoolLoads Loads) {
  auto Changes = this->Board.Admission.write([&](PoolAdmission &Rows) {
    auto Found = Rows.update(std::move(Loads));
    this->Board.Counters.set(Gauge::Places,
                             static_cast<std::int64_t>(Rows.places()));
    return Found;
  });
  for (const OverloadMonitor::Change &Row : Changes)
    this->logOverload(Row);
  if (this->Board.OnPlacesChanged)
    this->Board.OnPlacesChanged();
}

std::set<VmId>
SharedObservations::limitedTargets(const ServingView &View) const {
  return this->Board.TargetLimits.read([&](const StatedLimits &Known) {
    std::set<VmId> Limited;
    if (!Known.any())
      return Limited;
    for (const auto &[Service, Targets] : View.ByService)
      for (const ServingTarget &To : Targets)
        if (Known.of(hashOf(To.Target->incarnation())))
          Limited.insert(To.Target->Id);
    return Limited;
  });
}

void SharedObservations::logOverload(
    const OverloadMonitor::Change &Change) const {
  const PoolLoad &Load = Change.Load;
  LogFields Fields;
  Fields.add("model", Change.Pool.Model)
      .add("places", Load.Places)
      .add("in_flight", Load.Own.InFlight + Load.Others.InFlight)
      .add("waiting", Load.Own.Waiting + Load.Others.Waiting)
      .add("share", arrivalShare(Load))
      .add("first_byte_ms", Load.FirstByteMs);
  if (Load.ReportAge)
    Fields.add("report_age_ms", *Load.ReportAge);
  this->Board.Log.emit(Change.IsOverloaded ? EventCode::PoolOverloaded
                                           : EventCode::PoolRelieved,
                       Change.Pool.Service.Text, Fields);
}

CrashEvidenceMap SharedObservations::crashes(bool All, TimePoint Now) const {
  return this->Board.Crashes.read([&](const CrashBlame &Rows) {
    return All ? Rows.allRows() : Rows.recentRows(Now);
  });
}

void SharedObservations::applyCrashes(const CrashEvidenceMap &Crashes,
                                      TimePoint Now) {
  if (Crashes.empty())
    return;
  this->Board.Crashes.write(
      [&](CrashBlame &Into) { Into.merge(Crashes, Now); });
}

LimitReports SharedObservations::limits(bool All, TimePoint Now) const {
  return this->Board.TargetLimits.read(
      [&](const StatedLimits &Limits) { return Limits.reports(All, Now); });
}

void SharedObservations::applyLimits(const std::vector<wire::LimitRow> &Rows,
                                     const NodeId &From, TimePoint SentAt,
                                     TimePoint Now) {
  if (Rows.empty())
    return;
  LimitReports Reports;
  if (absl::Status Read = unpackLimits(Rows, SentAt, Reports); !Read.ok())
    this->Board.Log.emit(EventCode::NewsRefused, From.Text,
                         LogFields().add("reason", messageOf(Read)));
  std::vector<TargetHash> Changed = this->Board.TargetLimits.write(
      [&](StatedLimits &Limits) { return Limits.merge(Reports, Now); });
  for (TargetHash Target : Changed) {
    LogFields Fields;
    if (const auto &Rate = Reports[Target].Rate)
      Fields.add("per_second", Rate->PerSecond);
    this->Board.Log.emit(Reports[Target].Rate ? EventCode::TargetLimited
                                              : EventCode::TargetUnlimited,
                         this->nameOf(Target), Fields.add("from", From.Text));
  }
}

std::string SharedObservations::nameOf(TargetHash Target) const {
  return this->Board.Targets.read([&](const Fleet &Known) {
    for (const auto &[Id, Listed] : Known.Targets)
      if (hashOf(Listed->incarnation()) == Target)
        return Id.Text;
    return std::to_string(Target.Value);
  });
}

void SharedObservations::updateBlame(TimePoint Now) {
  // Connections may have been lost because this node is cut off.
  if (this->Board.ReachState != TargetReach::State::Sound)
    return;
  // After a standstill, what targets have sent meanwhile has to be read first.
  if (this->Board.runningTime(Now - ReadAgainTime, Now) < ReadAgainTime)
    return;
  CrashBlame::Changes Found =
      this->Board.TargetStats.read([&](const TargetStatsTable &Seen) {
        auto LastProgress = [&](const VmIncarnation &Target) {
          return Seen.of(Target).LastProgress;
        };
        auto RunningTime = [&](TimePoint From, TimePoint Until) {
          return Seen.runningTime(From, Until);
        };
        return this->Board.Crashes.write([&](CrashBlame &Rows) {
          auto Changes = Rows.resolveLosses(LastProgress, RunningTime, Now);
          this->Board.Counters.set(
              Gauge::CrashCulprits,
              static_cast<std::int64_t>(Rows.blamedCount()));
          return Changes;
        });
      });
  for (const auto &[Blamed, Row] : Found.Blamed)
    this->Board.Log.emit(EventCode::RequestBlamed, textOf(Blamed),
                         LogFields()
                             .add("kind", kindOf(Blamed))
                             .add("ends", Row.CrashedTargets.size())
                             .add("served", Row.TimesServed)
                             .add("served_before", Row.wasServed())
                             .add("tried", Row.TrialDone));
  for (const Culprit &Cleared : Found.Cleared)
    this->Board.Log.emit(EventCode::RequestCleared, textOf(Cleared),
                         LogFields().add("kind", kindOf(Cleared)));
}

/// Renewals of members in this data centre; other data centres do not need
/// them.
std::vector<wire::RenewalRow>
SharedObservations::renewals(TimePoint Now) const {
  return this->Board.Renewals.read(
      [&](const MembershipRenewals &Rows) { return packRenewals(Rows, Now); });
}

void SharedObservations::applyRenewals(
    const std::vector<wire::RenewalRow> &Rows, TimePoint From) {
  this->Board.Renewals.write([&](MembershipRenewals &Into) {
    waycove::mergeRenewals(Rows, From, Into);
  });
}

} // namespace waycove
