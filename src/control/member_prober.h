// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/parallel.h"
#include "board/entry_board.h"
#include "control/group_control.h"
#include "control/standstill_monitor.h"

#include <algorithm>

namespace waycove {

/// Detects dead members of groups before the registry reports them: it queries
/// members whose entries were removed and probes those whose head is stalled or
/// suspected. A member without a response counts as dead only while others of
/// its domain respond to this node. Used by one thread.
template <GroupControl Control> class MemberProber {
public:
  MemberProber(EntryBoard &Board, Control &Targets)
      : Board(Board), Targets(Targets), Standstills(Board) {}

  /// Status of the members that were queried.
  const std::map<VmIncarnation, MemberStatus> &statuses() const {
    return this->Statuses;
  }

  /// Forgets statuses that were not queried recently: a member that was
  /// unreachable may be back.
  void expireStatuses(TimePoint Now) {
    std::erase_if(this->Queries, [&](const auto &Entry) {
      return Now - Entry.second.At > StatusRetention;
    });
    std::erase_if(this->Statuses, [&](const auto &Entry) {
      return !this->Queries.contains(Entry.first);
    });
  }

  /// Treats \p Vm as dead for LostRetention after an order to join did not
  /// reach it, so that the group is formed of others at once.
  void markUnreachable(const VmIncarnation &Vm, TimePoint Now) {
    this->Suspects[Vm] = {Now, MaxFailures};
  }

  /// Probes the members of groups whose head is stalled, and heads that any
  /// node suspects for another reason: a head that restarted while cut off from
  /// the registry refuses requests at once and never stalls. Adds members that
  /// repeatedly do not respond, or have restarted, and those passed to
  /// markUnreachable() to View.PresumedDead. A member that is used again is
  /// told to leave first, so a wrong guess costs a repair but is safe.
  void detectLost(DomainView &View) {
    this->Standstills.onRunning(View.Now);
    std::erase_if(this->Suspects, [&](const auto &Entry) {
      return View.Now - Entry.second.At > LostRetention;
    });
    std::map<GroupKey, std::vector<TargetRef>> Groups;
    std::set<GroupKey> StalledGroups;
    std::set<GroupKey> SuspectedGroups;
    for (const TargetRef &Target : View.Targets) {
      if (!Target->Group)
        continue;
      Groups[Target->Group->Group].push_back(Target);
      if (Target->Group->Rank != 0 || Target->Group->State != MemberState::Open)
        continue;
      auto [HeadIdle, Suspect] =
          this->Board.TargetStats.read([&](const TargetStatsTable &Rows) {
            VmIncarnation Incarnation = Target->incarnation();
            return std::pair(Rows.silence(Incarnation, View.Now),
                             Rows.isSuspect(Incarnation, View.Now));
          });
      if (HeadIdle > HeadStallTimeout)
        StalledGroups.insert(Target->Group->Group);
      else if (Suspect)
        SuspectedGroups.insert(Target->Group->Group);
    }
    for (const GroupKey &Key : StalledGroups)
      this->probeMembers(Groups[Key], View.Now);
    for (const GroupKey &Key : SuspectedGroups)
      this->probeHead(Groups[Key], View.Now);
    for (const auto &[Id, State] : this->Suspects)
      if (State.Failures >= MaxFailures)
        View.PresumedDead.insert(Id);
  }

  /// Queries the status of members whose registry entries were removed.
  void queryRemoved(const DomainView &View,
                    const std::vector<RemovedTarget> &Members) {
    for (const RemovedTarget &Member : Members) {
      ProbeState &Entry = this->Queries[Member.Last->incarnation()];
      MemberStatus &Known = this->Statuses[Member.Last->incarnation()];
      Millis Interval =
          Known == MemberStatus::Unknown ? ProbeInterval : RequeryInterval;
      if (Entry.At != TimePoint() && View.Now - Entry.At < Interval)
        continue;
      Entry.At = View.Now;
      MemberStatus Status = this->Targets.queryStatus(*Member.Last);
      if (Status == MemberStatus::Unknown && this->reachesAny(View))
        ++Entry.Failures;
      else
        Entry.Failures = 0;
      if (Entry.Failures >= MaxFailures)
        Status = MemberStatus::Dead;
      if (std::exchange(Known, Status) == Status)
        continue;
      this->Board.Log.emit(EventCode::DomainReleased, Member.Last->Id.Text,
                           LogFields()
                               .add("reason", "a member is not listed")
                               .add("silent_asks", Entry.Failures)
                               .add("fate", static_cast<int>(Status)));
    }
  }

private:
  /// Interval of probes, and how many without a response make a member dead.
  static constexpr Millis ProbeInterval{250};
  static constexpr unsigned MaxFailures = 2;
  /// Interval of queries once the status is known.
  static constexpr Millis RequeryInterval{1500};
  static constexpr Millis StatusRetention{2000};
  /// Targets of a domain that are probed to see whether this node reaches any.
  static constexpr std::size_t ControlProbes = 3;
  /// A head without progress for longer is stalled; above the usual gaps
  /// between the events of a busy engine, up to 180 ms, and near those before
  /// a first one, up to 0.5 s.
  static constexpr Millis HeadStallTimeout{450};
  /// A member that counts as dead and is still listed is checked again after
  /// this time; the registry drops dead ones sooner.
  static constexpr Millis LostRetention{6000};

  struct ProbeState {
    TimePoint At;
    unsigned Failures = 0;
  };

  /// Probes the head, and a few others to see whether this node reaches any.
  void probeHead(std::vector<TargetRef> Members, TimePoint Now) {
    auto IsHead = [](const TargetRef &Member) {
      return Member->Group->Rank == 0;
    };
    std::stable_partition(Members.begin(), Members.end(), IsHead);
    Members.resize(std::min(Members.size(), 1 + ControlProbes));
    this->probeMembers(Members, Now);
  }

  void probeMembers(const std::vector<TargetRef> &Members, TimePoint Now) {
    std::vector<TargetRef> Due;
    for (const TargetRef &Member : Members) {
      ProbeState &Entry = this->Suspects[Member->incarnation()];
      if (Entry.Failures < MaxFailures &&
          (Entry.At == TimePoint() || Now - Entry.At >= ProbeInterval))
        Due.push_back(Member);
    }
    std::vector<Reachability> Results(Due.size(), Reachability::Reachable);
    bool Started = runInParallel(Due.size(), [&](std::size_t I) {
      Results[I] = this->Targets.probe(*Due[I]);
    });
    if (!Started)
      this->Board.Log.emit(EventCode::ThreadNotStarted, "probes");
    // If no member responds, this node is the one that is cut off.
    bool AnyReachable =
        std::any_of(Results.begin(), Results.end(), [](Reachability Result) {
          return Result != Reachability::Unresponsive;
        });
    for (std::size_t I = 0; I < Due.size(); ++I) {
      ProbeState &Entry = this->Suspects[Due[I]->incarnation()];
      Entry.At = Now;
      if (!AnyReachable)
        continue;
      Entry.Failures = Results[I] == Reachability::Reachable ? 0
                       : Results[I] == Reachability::ProcessEnded
                           ? MaxFailures
                           : Entry.Failures + 1;
      if (Results[I] != Reachability::Reachable)
        this->Board.Log.emit(
            EventCode::DomainReleased, Due[I]->Id.Text,
            LogFields()
                .add("reason", Results[I] == Reachability::ProcessEnded
                                   ? "another process answers in its place"
                                   : "does not respond while its head is "
                                     "stalled")
                .add("group", Due[I]->Group->Group.Name)
                .add("silent_asks", Entry.Failures));
    }
  }

  bool reachesAny(const DomainView &View) {
    std::size_t Probes = 0;
    for (const TargetRef &Target : View.Targets)
      if (Probes++ < ControlProbes &&
          this->Targets.probe(*Target) == Reachability::Reachable)
        return true;
    return false;
  }

  EntryBoard &Board;
  Control &Targets;
  StandstillMonitor Standstills;
  std::map<VmIncarnation, MemberStatus> Statuses;
  std::map<VmIncarnation, ProbeState> Queries;
  std::map<VmIncarnation, ProbeState> Suspects;
};

} // namespace waycove
