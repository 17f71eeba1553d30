// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/reach_monitor.h"

namespace waycove {

template <typename F> void ReachMonitor::recordFailure(F &&Apply) {
  bool HasBegun = this->Board.updateReach([&](TargetReach &Known) {
    bool WasSound = Known.state() == TargetReach::State::Sound;
    Apply(Known);
    return WasSound && Known.state() == TargetReach::State::InDoubt;
  });
  if (HasBegun && this->Board.OnReachDoubt)
    this->Board.OnReachDoubt();
}

void ReachMonitor::onNoConnection(const VmIncarnation &Target) {
  this->recordFailure([&](TargetReach &Known) {
    Known.onNoConnection(Target, SystemClock{}.now());
  });
}

void ReachMonitor::onNoBytes(const VmIncarnation &Target) {
  this->recordFailure([&](TargetReach &Known) {
    Known.onNoBytes(Target, SystemClock{}.now());
  });
}

void ReachMonitor::onConnected() {
  if (this->Board.ReachHasFailures)
    this->Board.updateReach([](TargetReach &Known) {
      Known.onConnected();
      return true;
    });
}

void ReachMonitor::onContact() {
  if (this->Board.ReachHasFailures)
    this->Board.updateReach([](TargetReach &Known) {
      Known.onBytes();
      return true;
    });
}

template <typename F> void ReachMonitor::apply(F &&Apply) {
  bool HasBeenConfirmed = this->Board.updateReach([&](TargetReach &Known) {
    bool WasConfirmed = Known.isConfirmed();
    Apply(Known);
    return !WasConfirmed && Known.isConfirmed();
  });
  if (!HasBeenConfirmed)
    return;
  this->Board.TargetStats.write(
      [](TargetStatsTable &Stats) { Stats.clearSuspicion(); });
  this->Board.Crashes.write([](CrashBlame &Rows) { Rows.dropLosses(); });
}

void ReachMonitor::onWay() {
  if (this->Board.isCutOff())
    this->apply([](TargetReach &Known) { Known.onWay(); });
}

void ReachMonitor::onProbeAnswered(const VmIncarnation &Target) {
  bool WasCutOff = this->Board.isCutOff();
  TimePoint Now = SystemClock{}.now();
  TimePoint Since = this->Board.Reach.read(
      [](const TargetReach &Known) { return Known.cutOffSince(); });
  this->apply([&](TargetReach &Known) { Known.onProbeAnswered(Now); });
  if (!WasCutOff)
    return;
  this->Board.Ways.write([](WaySelector &Known) { Known.reset(); });
  this->Board.NoWayLease.drop();
  this->Board.Log.emit(
      EventCode::TargetsReachable, this->Board.Config.Node.Text,
      LogFields()
          .add("probed", Target.Id.Text)
          .add("after_ms", std::chrono::duration_cast<Millis>(Now - Since)));
}

void ReachMonitor::onProbeFailed(const VmIncarnation &Target,
                                 const VmIncarnation &Failed,
                                 TargetReach::OthersView View) {
  if (this->Board.isCutOff())
    return;
  this->apply([&](TargetReach &Known) {
    Known.onProbeFailed(Failed, View, SystemClock{}.now());
  });
  if (this->Board.isCutOff())
    this->Board.Log.emit(
        EventCode::TargetsUnreachable, this->Board.Config.Node.Text,
        LogFields()
            .add("probed", Target.Id.Text)
            .add("failed", Failed.Id.Text)
            .add("confirmed", View == TargetReach::OthersView::Reachable));
}

} // namespace waycove
