// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/reach_monitor.h"

namespace waycove {

template <typename F> void ReachMonitor::change(F &&Apply) {
  using State = TargetReach::State;
  auto [Before, After] = this->Board.updateReach([&](TargetReach &Known) {
    TargetReach Old = Known;
    Apply(Known);
    return std::pair(std::move(Old), Known);
  });
  if (After.isConfirmed() && !Before.isConfirmed())
    this->onConfirmed();
  if (After.state() == Before.state())
    return;
  if (After.state() == State::InDoubt && this->Board.OnReachDoubt)
    this->Board.OnReachDoubt();
  if (After.state() == State::Sound)
    this->onSound(
        Before.isConfirmed() ||
        (Before.state() == State::CutOff &&
         SystemClock{}.now() - Before.cutOffSince() >= CertainCutDuration));
}

/// The targets are up, so what this node's own faults have made it believe of
/// them is wrong.
void ReachMonitor::onConfirmed() {
  this->Board.TargetStats.write(
      [](TargetStatsTable &Stats) { Stats.clearSuspicion(); });
  this->Board.Crashes.write([](CrashBlame &Rows) { Rows.dropLosses(); });
}

void ReachMonitor::onSound(bool WasCertainlyCutOff) {
  this->Board.Crashes.write([&](CrashBlame &Rows) {
    if (WasCertainlyCutOff)
      Rows.dropLosses();
    else
      Rows.releaseHeldLosses();
  });
}

void ReachMonitor::onNoConnection(const VmIncarnation &Target) {
  this->change([&](TargetReach &Known) {
    Known.onNoConnection(Target, SystemClock{}.now());
  });
}

void ReachMonitor::onNoBytes(const VmIncarnation &Target) {
  this->change([&](TargetReach &Known) {
    Known.onNoBytes(Target, SystemClock{}.now());
  });
}

void ReachMonitor::onConnected() {
  if (this->Board.ReachHasFailures)
    this->change([](TargetReach &Known) { Known.onConnected(); });
}

void ReachMonitor::onContact() {
  if (this->Board.ReachHasFailures)
    this->change([](TargetReach &Known) { Known.onBytes(); });
}

void ReachMonitor::onWay() {
  if (this->Board.isCutOff())
    this->change([](TargetReach &Known) { Known.onWay(); });
}

void ReachMonitor::onProbeAnswered(const VmIncarnation &Target) {
  bool WasCutOff = this->Board.isCutOff();
  TimePoint Now = SystemClock{}.now();
  TimePoint Since = this->Board.Reach.read(
      [](const TargetReach &Known) { return Known.cutOffSince(); });
  this->change([&](TargetReach &Known) { Known.onProbeAnswered(Now); });
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
  this->change([&](TargetReach &Known) {
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
