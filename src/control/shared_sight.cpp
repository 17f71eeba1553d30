// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/shared_sight.h"

#include "wire/news_frames.h"

namespace waycove {

void SharedSight::addTo(wire::NewsWantedT &Question, const NodeInfo &Asked,
                        TimePoint Now) const {
  TargetLoads Own = this->ownLoads(Now);
  DemandTable Asks = this->ownDemand();
  if (Asked.DataCentre == this->Board.Config.DataCentre)
    Question.renewals = this->renewals(Now);
  std::lock_guard Lock(this->Mutex);
  Question.loads = packLoads(this->Loads.sumForUpstream(Own, Now));
  Question.demand = packDemand(this->Demand.sumForUpstream(Asks, Now));
  auto Heard = this->CrashesHeard.find(Asked.Node);
  Question.all_crashes = Heard == this->CrashesHeard.end() ||
                         Now - Heard->second >= CrashBlame::ReportDuration;
  Question.crashes = packCrashes(this->crashes(Question.all_crashes, Now));
}

void SharedSight::exchange(const wire::NewsWantedT &Question,
                           wire::NewsT &Answer, TimePoint Now) {
  bool SameCentre = Question.data_centre == this->Board.Config.DataCentre.Text;
  if (SameCentre) {
    this->takeRenewals(Question.renewals, Now);
    Answer.renewals = this->renewals(Now);
  }
  this->takeCrashes(Question.crashes, Now);
  Answer.crashes = packCrashes(this->crashes(Question.all_crashes, Now));
  TargetLoads Own = this->ownLoads(Now);
  DemandTable Asks = this->ownDemand();
  NodeId From(Question.node);
  std::lock_guard Lock(this->Mutex);
  if (SameCentre) {
    this->Loads.addReport(From, readLoads(Question.loads), Now);
    this->Demand.addReport(From, readDemand(Question.demand), Now);
  } else {
    this->Loads.addCentreReport(From, readLoads(Question.loads), Now);
    this->Demand.addCentreReport(From, readDemand(Question.demand), Now);
  }
  Answer.loads = packLoads(this->Loads.sumForReader(Own, From, Now));
  Answer.demand = packDemand(this->Demand.sumForReader(Asks, From, Now));
}

void SharedSight::take(const wire::NewsT &Answer, const NodeId &From,
                       TimePoint SentAt, TimePoint Now) {
  this->takeRenewals(Answer.renewals, SentAt);
  this->takeCrashes(Answer.crashes, Now);
  std::lock_guard Lock(this->Mutex);
  // What changes there later than it answered is told in the next round.
  this->CrashesHeard[From] = SentAt;
  std::erase_if(this->CrashesHeard, [&](const auto &Row) {
    return Now - Row.second >= CrashBlame::ReportDuration;
  });
  this->Loads.setUpstreamReport(readLoads(Answer.loads), Now);
  this->Demand.setUpstreamReport(readDemand(Answer.demand), Now);
}

TargetLoads SharedSight::ownLoads(TimePoint Now) const {
  return this->Board.TargetStats.read(
      [&](const TargetStatsTable &Rows) { return Rows.loads(Now); });
}

DemandTable SharedSight::ownDemand() const {
  return this->Board.Demand.read([](const DemandTable &Rows) { return Rows; });
}

void SharedSight::publish(TimePoint Now) {
  this->settleCrashes(Now);
  TargetLoads Others;
  DemandTable Asked;
  {
    std::lock_guard Lock(this->Mutex);
    Others = this->Loads.sumOfOthers(Now);
    Asked = this->Demand.sumOfOthers(Now);
  }
  this->Board.DemandElsewhere.write(
      [&](DemandTable &Rows) { Rows = std::move(Asked); });
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
}

CrashEvidenceMap SharedSight::crashes(bool All, TimePoint Now) const {
  return this->Board.Crashes.read([&](const CrashBlame &Rows) {
    return All ? Rows.allRows() : Rows.recentRows(Now);
  });
}

void SharedSight::takeCrashes(
    const std::vector<std::unique_ptr<wire::CrashRowT>> &Rows, TimePoint Now) {
  if (Rows.empty())
    return;
  CrashEvidenceMap Told = readCrashes(Rows);
  this->Board.Crashes.write([&](CrashBlame &Into) { Into.merge(Told, Now); });
}

void SharedSight::settleCrashes(TimePoint Now) {
  CrashBlame::Changes Found =
      this->Board.TargetStats.read([&](const TargetStatsTable &Seen) {
        auto LastProgress = [&](const VmLife &Target) {
          return Seen.of(Target).LastProgress;
        };
        return this->Board.Crashes.write([&](CrashBlame &Rows) {
          return Rows.resolveLosses(LastProgress, Now);
        });
      });
  for (const auto &[Content, Row] : Found.Blamed)
    this->Board.Log.emit(EventCode::RequestBlamed,
                         std::to_string(Content.Value),
                         LogFields()
                             .add("ends", Row.CrashedTargets.size())
                             .add("served", Row.TimesServed)
                             .add("tried", Row.TrialDone));
  for (ContentHash Content : Found.Cleared)
    this->Board.Log.emit(EventCode::RequestCleared,
                         std::to_string(Content.Value));
}

/// Members of this data centre, which no other one needs to know.
std::vector<wire::RenewalRow> SharedSight::renewals(TimePoint Now) const {
  return this->Board.Renewals.read(
      [&](const MembershipRenewals &Rows) { return packRenewals(Rows, Now); });
}

void SharedSight::takeRenewals(const std::vector<wire::RenewalRow> &Rows,
                               TimePoint From) {
  this->Board.Renewals.write([&](MembershipRenewals &Into) {
    waycove::takeRenewals(Rows, From, Into);
  });
}

} // namespace waycove
