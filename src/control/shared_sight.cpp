// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/shared_sight.h"

#include "wire/news_frames.h"

namespace waycove {

void SharedSight::addTo(wire::NewsWantedT &Question, const NodeInfo &Asked,
                        TimePoint Now) const {
  LoadRows Own = this->ownLoads(Now);
  DemandTable Asks = this->ownDemand();
  if (Asked.DataCentre == this->Board.Config.DataCentre)
    Question.renewals = this->renewals(Now);
  std::lock_guard Lock(this->Mutex);
  Question.loads = packLoads(this->Loads.upward(Own, Now));
  Question.demand = packDemand(this->Demand.upward(Asks, Now));
  auto Heard = this->CrashesHeard.find(Asked.Node);
  Question.all_crashes = Heard == this->CrashesHeard.end() ||
                         Now - Heard->second >= CrashBlame::ShareTime;
  Question.crashes = packCrashes(this->crashes(Question.all_crashes, Now));
}

void SharedSight::exchange(const wire::NewsWantedT &Question,
                           wire::NewsT &Answer, TimePoint Now) {
  bool SameCentre = Question.data_centre == this->Board.Config.DataCentre.Text;
  if (SameCentre) {
    this->mergeRenewals(Question.renewals, Now);
    Answer.renewals = this->renewals(Now);
  }
  this->takeCrashes(Question.crashes, Now);
  Answer.crashes = packCrashes(this->crashes(Question.all_crashes, Now));
  LoadRows Own = this->ownLoads(Now);
  DemandTable Asks = this->ownDemand();
  NodeId From(Question.node);
  std::lock_guard Lock(this->Mutex);
  if (SameCentre) {
    this->Loads.report(From, unpackLoads(Question.loads), Now);
    this->Demand.report(From, unpackDemand(Question.demand), Now);
  } else {
    this->Loads.reportCentre(From, unpackLoads(Question.loads), Now);
    this->Demand.reportCentre(From, unpackDemand(Question.demand), Now);
  }
  Answer.loads = packLoads(this->Loads.downward(Own, From, Now));
  Answer.demand = packDemand(this->Demand.downward(Asks, From, Now));
}

void SharedSight::take(const wire::NewsT &Answer, const NodeId &From,
                       TimePoint SentAt, TimePoint Now) {
  this->mergeRenewals(Answer.renewals, SentAt);
  this->takeCrashes(Answer.crashes, Now);
  std::lock_guard Lock(this->Mutex);
  // What changes there later than it answered is told in the next round.
  this->CrashesHeard[From] = SentAt;
  std::erase_if(this->CrashesHeard, [&](const auto &Row) {
    return Now - Row.second >= CrashBlame::ShareTime;
  });
  this->Loads.tell(unpackLoads(Answer.loads), Now);
  this->Demand.tell(unpackDemand(Answer.demand), Now);
}

LoadRows SharedSight::ownLoads(TimePoint Now) const {
  return this->Board.TargetStats.read(
      [&](const VitalsTable &Rows) { return Rows.loads(Now); });
}

DemandTable SharedSight::ownDemand() const {
  return this->Board.Demand.read([](const DemandTable &Rows) { return Rows; });
}

void SharedSight::publish(TimePoint Now) {
  this->settleCrashes(Now);
  LoadRows Others;
  DemandTable Asked;
  {
    std::lock_guard Lock(this->Mutex);
    Others = this->Loads.others(Now);
    Asked = this->Demand.others(Now);
  }
  this->Board.RemoteDemand.write(
      [&](DemandTable &Rows) { Rows = std::move(Asked); });
  ServingViewRef View =
      this->Board.Serving.read([](const ServingViewRef &Row) { return Row; });
  CentreLoads Centres = this->Board.TargetStats.write([&](VitalsTable &Rows) {
    Rows.takeNews(std::move(Others), Now);
    return centreLoads(*View, Rows, this->Board.Config.DataCentre, Now);
  });
  auto Changes = this->Board.Balance.write(
      [&](CentreBalance &Parts) { return Parts.update(Centres, Now); });
  for (const CentreBalance::Change &Row : Changes)
    this->Board.Log.emit(
        Row.Busy ? EventCode::CentreBusy : EventCode::CentreEased,
        Row.Pool.Service.Text,
        LogFields().add("model", Row.Pool.Model).add("stay", Row.Stay));
}

CrashRows SharedSight::crashes(bool All, TimePoint Now) const {
  return this->Board.Crashes.read([&](const CrashBlame &Rows) {
    return All ? Rows.whole() : Rows.recent(Now);
  });
}

void SharedSight::takeCrashes(
    const std::vector<std::unique_ptr<wire::CrashRowT>> &Rows, TimePoint Now) {
  if (Rows.empty())
    return;
  CrashRows Told = unpackCrashes(Rows);
  this->Board.Crashes.write([&](CrashBlame &Into) { Into.take(Told, Now); });
}

void SharedSight::settleCrashes(TimePoint Now) {
  CrashBlame::Changes Found =
      this->Board.TargetStats.read([&](const VitalsTable &Seen) {
        auto LastProgress = [&](const VmIncarnation &Target) {
          return Seen.of(Target).LastProgress;
        };
        return this->Board.Crashes.write(
            [&](CrashBlame &Rows) { return Rows.settle(LastProgress, Now); });
      });
  for (const auto &[Content, Row] : Found.Blamed)
    this->Board.Log.emit(EventCode::RequestBlamed,
                         std::to_string(Content.Value),
                         LogFields()
                             .add("ends", Row.Ends.size())
                             .add("served", Row.Served)
                             .add("tried", Row.Tried));
  for (ContentHash Content : Found.Cleared)
    this->Board.Log.emit(EventCode::RequestCleared,
                         std::to_string(Content.Value));
}

/// Members of this data centre, which no other one needs to know.
std::vector<wire::RenewalRow> SharedSight::renewals(TimePoint Now) const {
  return this->Board.Renewals.read(
      [&](const ShareRenewals &Rows) { return packRenewals(Rows, Now); });
}

void SharedSight::mergeRenewals(const std::vector<wire::RenewalRow> &Rows,
                                TimePoint From) {
  this->Board.Renewals.write(
      [&](ShareRenewals &Into) { waycove::mergeRenewals(Rows, From, Into); });
}

} // namespace waycove
