// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/group_control.h"
#include "control/reach_monitor.h"
#include "control/way_link.h"

namespace waycove {

/// Probes targets while it is in doubt whether this node reaches any, and while
/// it does not. Makes no call otherwise.
template <GroupControl Control> class ReachProber {
public:
  ReachProber(EntryBoard &Board, Control &Targets)
      : Board(Board), Targets(Targets), Monitor(Board) {}

  /// Returns the pause while there is nothing to probe, or nothing if probe()
  /// is due. To be called at once when a doubt begins.
  std::optional<Millis> poll() const {
    if (this->Board.ReachState == TargetReach::State::Sound)
      return IdleInterval;
    return std::nullopt;
  }

  /// Probes one target; returns the pause before the next poll.
  Millis probe() {
    TargetRef Target = this->nextTarget();
    if (!Target)
      return ProbeInterval;
    if (this->Targets.probe(*Target) != Reachability::Unresponsive) {
      this->Monitor.onProbeAnswered(Target->incarnation());
      return ProbeInterval;
    }
    std::optional<VmIncarnation> Failed = this->Board.Reach.read(
        [](const TargetReach &Known) { return Known.failedTarget(); });
    if (Failed && !this->Board.isCutOff())
      this->Monitor.onProbeFailed(Target->incarnation(), *Failed,
                                  this->askOthers(*Failed));
    return this->Board.ReachState == TargetReach::State::InDoubt
               ? Millis(0)
               : ProbeInterval;
  }

private:
  static constexpr Millis IdleInterval{1000};
  /// How late the end of a cut is seen.
  static constexpr Millis ProbeInterval{250};
  static constexpr Millis QuestionTimeout{500};

  /// Asks other nodes whether they reach the target. The way that is opened for
  /// it is not used.
  TargetReach::OthersView askOthers(const VmIncarnation &Target) {
    TimePoint Now = SystemClock{}.now();
    NodeRankingRef Nodes = this->Board.nodes();
    std::vector<NodeInfo> Others =
        this->Board.Ways.read([&](const WaySelector &Ways) {
          return Ways.candidates(
              *Nodes, this->Board.nodeInfo(),
              [](const NodeInfo &) { return true; }, ++this->Count, Now);
        });
    for (const NodeInfo &Node : Others) {
      std::optional<WayResponse> Response =
          askForWay(this->Board, Node,
                    {Target, RequestId("probe"), QuestionTimeout, true},
                    SystemClock{}.now() + QuestionTimeout);
      if (Response && Response->Status == WayStatus::Open)
        return TargetReach::OthersView::Reachable;
      if (Response && Response->Status == WayStatus::NoTarget)
        return TargetReach::OthersView::Down;
    }
    return TargetReach::OthersView::Unknown;
  }

  /// The listed targets in turn, those that have not failed first. Null if none
  /// is listed.
  TargetRef nextTarget() {
    TargetReach Known =
        this->Board.Reach.read([](const TargetReach &Row) { return Row; });
    std::vector<TargetRef> Listed;
    std::vector<TargetRef> NotFailed;
    this->Board.Targets.read([&](const Fleet &Rows) {
      for (const auto &[Id, Target] : Rows.Targets) {
        Listed.push_back(Target);
        if (!Known.hasFailed(Target->incarnation()))
          NotFailed.push_back(Target);
      }
    });
    const std::vector<TargetRef> &Choice =
        NotFailed.empty() ? Listed : NotFailed;
    if (Choice.empty())
      return nullptr;
    return Choice[mixHash(this->Seed, ++this->Count) % Choice.size()];
  }

  EntryBoard &Board;
  Control &Targets;
  ReachMonitor Monitor;
  const std::uint64_t Seed = hashText(randomId());
  std::uint64_t Count = 0;
};

} // namespace waycove
