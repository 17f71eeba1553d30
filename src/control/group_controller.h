// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/member_reports.h"
#include "control/submitter.h"
#include "policy/rendezvous.h"

#include <set>

namespace waycove {

/// A longer gap between two rounds means that the process was suspended.
constexpr Millis PauseThreshold(1200);
/// A VM that did not respond is not proposed again for this long.
constexpr Millis SuspectDuration(8000);
/// A group with a member that drains or leaves is replaced only after it was
/// idle for this long, so that requests on their way still reach it.
constexpr Millis IdleBeforeReplace(2500);
constexpr Millis ProposalTimeout(4000);
constexpr std::size_t PollThreads = 16;
constexpr std::size_t ProposalThreads = 4;

/// Controls the groups in the slots assigned to this daemon: forms groups by
/// appending records to the log, orders their members to load under the group's
/// fence, polls the members, and publishes which groups are ready. Slots are
/// assigned by rendezvous hashing over the live daemons of the data centre. Two
/// daemons may both control a slot for a while; the log then accepts only one
/// of their proposals. Used by the daemon with waycove's own interface; an
/// entry on the platform has DomainOwner instead.
template <EngineControl Engine, LogService Service> class GroupController {
public:
  GroupController(Board &Tables, Submitter<Service> &Submit, Engine &Targets)
      : Tables(Tables), Submit(Submit), Targets(Targets),
        Reports(Tables.Config), Polls(PollThreads), Proposals(ProposalThreads) {
  }

  /// Runs one control round.
  void step(TimePoint Now) {
    if (!this->Tables.Ready)
      return;
    // 1. After a suspension, earlier reports and slot assignments may be out of
    // date.
    if (this->LastStep != TimePoint() &&
        Now - this->LastStep > PauseThreshold) {
      this->Reports.invalidate(Now);
      this->HoldUntil =
          Now + this->Tables.Peers.read([](const PeerTable &Peers) {
            return Peers.LivenessTimeout;
          });
    }
    this->LastStep = Now;
    // Tells peers that the health rows of this daemon are up to date.
    this->Tables.LastRound =
        std::chrono::duration_cast<Millis>(Now.time_since_epoch()).count();
    // 2. Poll the members of the groups.
    std::vector<SlotTask> Tasks = this->collect(Now);
    this->poll(Tasks, Now);
    // 3. Publish which groups are ready, and order members of the others.
    for (const SlotTask &Task : Tasks)
      if (Task.Existing) {
        GroupReadiness Readiness =
            this->Reports.checkReadiness(*Task.Existing, Now);
        this->publish(*Task.Existing, Readiness);
        if (!Readiness.Ready && Task.Assigned)
          this->orderMembers(Task, Now);
      }
    // 4. Form, repair and dissolve groups.
    if (Now >= this->HoldUntil)
      this->plan(Tasks, Now);
  }

private:
  /// A slot to control, with its deployment and its group, if it has one.
  struct SlotTask {
    SlotKey Place;
    std::shared_ptr<const Object> Definition;
    std::optional<Group> Existing;
    /// The slot is assigned to this daemon.
    bool Assigned = false;
    /// The deployment no longer has this slot; its group is to be dissolved.
    bool Surplus = false;
  };

  static std::uint64_t slotHash(const SlotKey &Place) {
    return mixHash(hashText(Place.Deployment.Text), Place.Index.Value);
  }

  /// Returns the slots assigned to this daemon, and the slots of groups whose
  /// published health comes from it.
  std::vector<SlotTask> collect(TimePoint Now) {
    std::vector<NodeHash> Live = this->Tables.controllers(Now);
    const DataCentreId &Here = this->Tables.Self.DataCentre;
    std::vector<SlotTask> Tasks;
    this->Tables.State.read([&](const FoldState &State) {
      for (const auto &[Key, Row] : State.objects()) {
        const auto *Spec = Row->template as<Deployment>();
        if (!Spec)
          continue;
        for (std::uint64_t I = 0; I < Spec->replicasIn(Here); ++I) {
          SlotKey Place{DeploymentId(Key.Name), Here, Slot(I)};
          if (rendezvousOwner(Live, slotHash(Place)) ==
                  this->Tables.Self.Hash &&
              !State.groupAt(Place))
            Tasks.push_back({Place, Row, std::nullopt, true, false});
        }
      }
      for (const auto &[Id, Formed] : State.groups()) {
        if (Formed.Place.DataCentre != Here)
          continue;
        ObjectRef Row = State.object(
            {ObjectKind::Deployment, Formed.Place.Deployment.Text});
        bool Surplus =
            !Row || Formed.Place.Index.Value >=
                        Row->template as<Deployment>()->replicasIn(Here);
        bool Assigned = rendezvousOwner(Live, slotHash(Formed.Place)) ==
                        this->Tables.Self.Hash;
        if (Assigned || this->isPublishedHere(Id))
          Tasks.push_back({Formed.Place, Row, Formed, Assigned, Surplus});
      }
    });
    return Tasks;
  }

  /// Returns true if the newest health of group \p Id was published by this
  /// daemon, which then updates it until another daemon publishes a newer one.
  bool isPublishedHere(Fence Id) const {
    return this->Tables.Health.read([&](const HealthTable &Rows) {
      std::optional<GroupHealth> Row = Rows.find(Id);
      return Row && Row->Owner == this->Tables.Self.Hash;
    });
  }

  /// Starts polls of the group members that are due.
  void poll(const std::vector<SlotTask> &Tasks, TimePoint Now) {
    std::set<VmId> Wanted;
    for (const SlotTask &Task : Tasks)
      if (Task.Existing)
        Wanted.insert(Task.Existing->Vms.begin(), Task.Existing->Vms.end());
    this->Reports.retainOnly(Wanted);
    for (const VmId &Vm : Wanted) {
      std::optional<VmAddress> Address = this->addressOf(Vm);
      if (!Address || !this->Reports.beginPoll(Vm, Now))
        continue;
      this->Polls.post([this, Vm, At = *Address] {
        std::uint64_t AskedAt = this->Tables.Clock.tick(SystemClock{}.wall());
        absl::StatusOr<MemberReport> Report = this->Targets.report(At);
        if (Report.ok())
          Report->AskedAt = AskedAt;
        this->Reports.endPoll(Vm, Report, SystemClock{}.now());
        if (Report.ok()) {
          this->Tables.Load.write([&](LoadTable &Load) {
            Load.onReport(hashVm(Vm), Report->Queue, SystemClock{}.now());
          });
          if (Report->Leaving)
            this->recordLeaving(Vm);
        }
      });
    }
  }

  void recordLeaving(const VmId &Vm) {
    WallMs Now = SystemClock{}.wall();
    bool IsNew = this->Tables.Vms.write([&](VmTable &Vms) {
      return !Vms.isLeaving(Vm, Now) &&
             Vms.recordLeaving(Vm, Board::leavingUntil(Now),
                               this->Tables.nextLocalMark());
    });
    if (!IsNew)
      return;
    this->Tables.Log.emit(EventCode::VmLeaving, Vm.Text, "reported by the VM");
    this->Tables.GossipRequested.set();
  }

  std::optional<VmAddress> addressOf(const VmId &Vm) const {
    return this->Tables.Vms.read(
        [&](const VmTable &Vms) -> std::optional<VmAddress> {
          if (const VmInfo *Row = Vms.find(Vm))
            return Row->Address;
          return std::nullopt;
        });
  }

  /// Publishes the readiness of a group if it changed or this daemon has taken
  /// over its slot.
  void publish(const Group &Formed, const GroupReadiness &Readiness) {
    std::optional<GroupHealth> Old = this->Tables.Health.read(
        [&](const HealthTable &Rows) { return Rows.find(Formed.Id); });
    bool IsPublisher = Old && Old->Owner == this->Tables.Self.Hash;
    if (IsPublisher && Old->Ready == Readiness.Ready)
      return;
    // A daemon that has just taken over the slot publishes nothing before the
    // members have reported to it.
    if (!IsPublisher && !Readiness.Ready && Readiness.Reason == "no report yet")
      return;
    // Nor does it contradict another daemon by a report that it asked for
    // before that one published: while a group loads, two daemons may both
    // control it, and the earlier report would stop a group that serves.
    if (!IsPublisher && Old && Old->Ready && Readiness.AskedAt &&
        *Readiness.AskedAt < Old->Version)
      return;
    GroupHealth Row{this->Tables.Clock.tick(SystemClock{}.wall()),
                    this->Tables.Self.Hash, Readiness.Ready, ChangeMark()};
    this->Tables.Health.write([&](HealthTable &Rows) {
      Row.Mark = this->Tables.nextLocalMark();
      Rows.put(Formed.Id, Row);
    });
    this->Tables.GossipRequested.set();
    if (Old && Old->Ready == Readiness.Ready)
      return;
    this->Tables.Log.emit(
        Readiness.Ready ? EventCode::GroupReady : EventCode::GroupNotReady,
        std::to_string(Formed.Id.Value),
        Readiness.Ready ? "" : Readiness.Member.Text + ": " + Readiness.Reason);
  }

  /// Orders members that do not report this group to load its model.
  void orderMembers(const SlotTask &Task, TimePoint Now) {
    if (Task.Surplus || Now < this->HoldUntil)
      return;
    const auto *Spec = Task.Definition->template as<Deployment>();
    const Group &Formed = *Task.Existing;
    for (std::size_t Rank = 0; Rank < Formed.Vms.size(); ++Rank) {
      const VmId &Vm = Formed.Vms[Rank];
      std::optional<MemberRecord> State = this->Reports.find(Vm);
      bool Joined =
          State && State->HasReport && State->Report.Group == Formed.Id;
      std::optional<VmAddress> Address = this->addressOf(Vm);
      if (Joined || !Address || !this->Reports.beginOrder(Vm, Now))
        continue;
      EngineOrder Order{*Address,    Formed.Id,     Task.Place.Deployment.Text,
                        Spec->Model, Spec->Version, Rank,
                        {}};
      for (const VmId &Other : Formed.Vms)
        if (auto At = this->addressOf(Other))
          Order.Members.push_back(At->text());
      this->Polls.post([this, Vm, Order] {
        absl::Status Result = this->Targets.order(Order);
        this->Tables.Log.emit(
            EventCode::GroupOrdered, Vm.Text,
            "fence " + std::to_string(Order.Group.Value) +
                (Result.ok() ? "" : ": " + messageOf(Result)));
      });
    }
  }

  /// Builds the pool of VMs from which groups of \p Spec are planned.
  PlanPool poolFor(const Deployment &Spec, TimePoint Now) {
    std::vector<PlanVm> Candidates;
    WallMs Wall = SystemClock{}.wall();
    this->Tables.State.read([&](const FoldState &State) {
      std::optional<Selector> Allowed =
          State.resolve(Spec.Match, Spec.Selectors);
      DrainSet Drains(State);
      this->Tables.Vms.read([&](const VmTable &Vms) {
        for (const auto &[Vm, Info] : Vms.rows()) {
          Labels VmLabels = effectiveLabels(Info, State);
          Assignment Current = State.assignment(Vm);
          bool Usable = Allowed && Allowed->matches(VmLabels) &&
                        !Drains.covers(Vm, VmLabels) &&
                        !Vms.isLeaving(Vm, Wall) && !this->isSuspect(Vm, Now) &&
                        !this->Reports.isDead(Vm, Now);
          Candidates.push_back(
              {Vm, Info.Domain, Usable, Current.Stamp, Current.Group});
        }
      });
    });
    return PlanPool(std::move(Candidates));
  }

  bool isSuspect(const VmId &Vm, TimePoint Now) {
    std::lock_guard Lock(this->Mutex);
    auto At = this->Suspects.find(Vm);
    return At != this->Suspects.end() && At->second > Now;
  }

  void plan(const std::vector<SlotTask> &Tasks, TimePoint Now) {
    std::map<std::string, PlanPool> Pools;
    for (const SlotTask &Task : Tasks) {
      if (!Task.Assigned || !this->canChange(Task, Now))
        continue;
      std::optional<Proposal> Plan;
      if (Task.Surplus) {
        Plan = Proposal{Task.Place, Task.Existing->Id, DomainId(), {}};
      } else {
        const auto *Spec = Task.Definition->template as<Deployment>();
        auto At = Pools.find(Task.Place.Deployment.Text);
        if (At == Pools.end())
          At = Pools
                   .emplace(Task.Place.Deployment.Text,
                            this->poolFor(*Spec, Now))
                   .first;
        Plan = planSlot(Task.Place, *Spec,
                        Task.Existing ? &*Task.Existing : nullptr, At->second,
                        RepairPolicy::KeepMembers);
      }
      if (Plan)
        this->propose(*Plan, Now);
    }
  }

  /// Returns true if the slot needs a new or changed group and can get it now:
  /// no proposal is pending, and a group that still serves is idle or past the
  /// drain timeout.
  bool canChange(const SlotTask &Task, TimePoint Now) {
    {
      std::lock_guard Lock(this->Mutex);
      if (this->PendingProposals.contains(Task.Place))
        return false;
    }
    if (!Task.Existing)
      return true;
    GroupReadiness Readiness =
        this->Reports.checkReadiness(*Task.Existing, Now);
    if (!Readiness.Ready)
      return this->hasUnusableMember(Task, Now) || Task.Surplus;
    // The group serves: it is replaced only if a member must go or the slot is
    // surplus, and only when it is idle or the drain timeout has passed.
    if (!Task.Surplus && !this->hasUnusableMember(Task, Now)) {
      this->IdleSince.erase(Task.Existing->Id);
      this->ReplaceDueSince.erase(Task.Existing->Id);
      return false;
    }
    auto [Began, Inserted] =
        this->ReplaceDueSince.try_emplace(Task.Existing->Id, Now);
    std::optional<MemberRecord> Head =
        this->Reports.find(Task.Existing->Vms[0]);
    if (!Head || Head->Report.Running > 0)
      this->IdleSince[Task.Existing->Id] = Now;
    auto [Idle, Started] = this->IdleSince.try_emplace(Task.Existing->Id, Now);
    bool Over = Now - Began->second > this->Tables.Config.DrainTimeout;
    return Over || Now - Idle->second > IdleBeforeReplace;
  }

  /// Returns true if a member is not listed, leaves, drains or is dead.
  bool hasUnusableMember(const SlotTask &Task, TimePoint Now) {
    WallMs Wall = SystemClock{}.wall();
    return this->Tables.State.read([&](const FoldState &State) {
      DrainSet Drains(State);
      return this->Tables.Vms.read([&](const VmTable &Vms) {
        for (const VmId &Vm : Task.Existing->Vms) {
          const VmInfo *Info = Vms.find(Vm);
          if (!Info || Vms.isLeaving(Vm, Wall) ||
              Drains.covers(Vm, effectiveLabels(*Info, State)) ||
              this->Reports.isDead(Vm, Now))
            return true;
        }
        return false;
      });
    });
  }

  /// Appends \p Plan to the log in the background if its VMs respond.
  void propose(const Proposal &Plan, TimePoint Now) {
    {
      std::lock_guard Lock(this->Mutex);
      this->PendingProposals.insert(Plan.Place);
    }
    this->Proposals.post([this, Plan, Now] {
      if (this->allRespond(Plan, Now))
        this->append(Plan);
      std::lock_guard Lock(this->Mutex);
      this->PendingProposals.erase(Plan.Place);
    });
  }

  /// Returns true if all VMs of \p Plan respond; the VM list may be out of
  /// date.
  bool allRespond(const Proposal &Plan, TimePoint Now) {
    bool AllOk = true;
    for (const PlanVm &Row : Plan.Vms) {
      std::optional<VmAddress> Address = this->addressOf(Row.Vm);
      if (Address && this->Targets.report(*Address).ok())
        continue;
      AllOk = false;
      std::lock_guard Lock(this->Mutex);
      this->Suspects[Row.Vm] = Now + SuspectDuration;
    }
    return AllOk;
  }

  void append(const Proposal &Plan) {
    wire::GroupChangeT Change;
    Change.deployment = Plan.Place.Deployment.Text;
    Change.data_centre = Plan.Place.DataCentre.Text;
    Change.slot = static_cast<std::uint32_t>(Plan.Place.Index.Value);
    Change.domain = Plan.Domain.Text;
    Change.replaces = Plan.Replaces.Value;
    for (const PlanVm &Row : Plan.Vms) {
      auto Seen = std::make_unique<wire::VmSeenT>();
      Seen->vm = Row.Vm.Text;
      Seen->seen = Row.Stamp;
      Change.vms.push_back(std::move(Seen));
    }
    this->Tables.Log.emit(EventCode::GroupProposed,
                          Plan.Place.Deployment.Text + "/" +
                              std::to_string(Plan.Place.Index.Value),
                          std::to_string(Plan.Vms.size()) + " VMs of " +
                              Plan.Domain.Text);
    absl::StatusOr<FoldOutcome> Outcome = this->Submit.submit(
        std::move(Change), SystemClock{}.now() + ProposalTimeout);
    if (Outcome.ok() && Outcome->Accepted)
      this->Tables.Counters.add(Counter::GroupsFormed);
  }

  Board &Tables;
  Submitter<Service> &Submit;
  Engine &Targets;
  MemberReports Reports;
  TimePoint LastStep;
  TimePoint HoldUntil;
  /// Since when a group that is to be replaced has been idle.
  std::unordered_map<Fence, TimePoint> IdleSince;
  /// Since when a ready group has been due for replacement.
  std::unordered_map<Fence, TimePoint> ReplaceDueSince;
  std::mutex Mutex;
  /// VMs that did not respond to a proposal, and until when they are avoided.
  std::unordered_map<VmId, TimePoint> Suspects;
  std::set<SlotKey> PendingProposals;
  // Declared last so that they are destroyed first: their tasks use the members
  // above.
  WorkerPool Polls;
  WorkerPool Proposals;
};

} // namespace waycove
