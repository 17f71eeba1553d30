// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/member_reports.h"
#include "control/submitter.h"
#include "policy/rendezvous.h"

#include <set>

namespace waycove {

/// A round later than this shows that the process was paused.
constexpr Millis PauseThreshold(1200);
/// A VM that did not answer is not proposed again for this long.
constexpr Millis SuspectDuration(8000);
/// A group whose member leaves in a planned way is replaced once it was idle
/// for this long, so that requests on their way to it still find it.
constexpr Millis IdleBeforeReplace(2500);
constexpr Millis ProposalTimeout(4000);
constexpr std::size_t PollThreads = 16;
constexpr std::size_t ProposalThreads = 4;

/// Controls this daemon's share of the data centre's groups: forms them by
/// records in the log, orders their members to load under the fence, asks the
/// members how they are, and publishes which groups serve. The share follows
/// from rendezvous hashing over the live daemons; should two daemons hold the
/// same slot for a while, the log accepts one proposal and refuses the other.
template <EngineControl Engine, LogService Service> class GroupController {
public:
  GroupController(Board &Tables, Submitter<Service> &Submit, Engine &Targets)
      : Tables(Tables), Submit(Submit), Targets(Targets),
        Reports(Tables.Config), Polls(PollThreads), Proposals(ProposalThreads) {
  }

  /// One round.
  void step(TimePoint Now) {
    if (!this->Tables.Ready)
      return;
    // 1. After a pause, neither what was heard nor who owns what is known.
    if (this->LastStep != TimePoint() &&
        Now - this->LastStep > PauseThreshold) {
      this->Reports.invalidate(Now);
      this->HoldUntil =
          Now + this->Tables.Peers.read([](const PeerTable &Peers) {
            return Peers.LivenessTimeout;
          });
    }
    this->LastStep = Now;
    // What peers read of this daemon's rows is vouched for from here on.
    this->Tables.LastRound =
        std::chrono::duration_cast<Millis>(Now.time_since_epoch()).count();
    // 2. Look.
    std::vector<SlotTask> Tasks = this->collect(Now);
    this->poll(Tasks, Now);
    // 3. Publish which groups serve, and order those that do not.
    for (const SlotTask &Row : Tasks)
      if (Row.Present) {
        GroupReadiness Verdict =
            this->Reports.checkReadiness(*Row.Present, Now);
        this->publish(*Row.Present, Verdict);
        if (!Verdict.Ready && Row.Mine)
          this->orderMembers(Row, Now);
      }
    // 4. Form and repair.
    if (Now >= this->HoldUntil)
      this->plan(Tasks, Now);
  }

private:
  struct SlotTask {
    SlotKey Place;
    std::shared_ptr<const Object> Owner;
    std::optional<Group> Present;
    bool Mine = false;
    /// The slot is no longer asked for.
    bool Surplus = false;
  };

  static std::uint64_t slotHash(const SlotKey &Place) {
    return mixHash(hashText(Place.Deployment.Text), Place.Index.Value);
  }

  /// Slots that are this daemon's, and groups whose published health is.
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
        bool Mine = rendezvousOwner(Live, slotHash(Formed.Place)) ==
                    this->Tables.Self.Hash;
        if (Mine || this->isPublishedHere(Id))
          Tasks.push_back({Formed.Place, Row, Formed, Mine, Surplus});
      }
    });
    return Tasks;
  }

  /// Health that this daemon published stays its business until another
  /// daemon has published newer.
  bool isPublishedHere(Fence Id) const {
    return this->Tables.Health.read([&](const HealthTable &Rows) {
      std::optional<GroupHealth> Row = Rows.find(Id);
      return Row && Row->Owner == this->Tables.Self.Hash;
    });
  }

  void poll(const std::vector<SlotTask> &Tasks, TimePoint Now) {
    std::set<VmId> Wanted;
    for (const SlotTask &Row : Tasks)
      if (Row.Present)
        Wanted.insert(Row.Present->Vms.begin(), Row.Present->Vms.end());
    this->Reports.retainOnly(Wanted);
    for (const VmId &Vm : Wanted) {
      std::optional<VmAddress> Address = this->addressOf(Vm);
      if (!Address || !this->Reports.beginPoll(Vm, Now))
        continue;
      this->Polls.post([this, Vm, At = *Address] {
        absl::StatusOr<MemberReport> Report = this->Targets.report(At);
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
    bool News = this->Tables.Vms.write([&](VmTable &Vms) {
      return !Vms.isLeaving(Vm, Now) &&
             Vms.recordLeaving(Vm, Board::leavingUntil(Now),
                               this->Tables.nextLocalMark());
    });
    if (!News)
      return;
    this->Tables.Log.emit(EventCode::VmLeaving, Vm.Text, "its own word");
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

  void publish(const Group &Formed, const GroupReadiness &Verdict) {
    std::optional<GroupHealth> Old = this->Tables.Health.read(
        [&](const HealthTable &Rows) { return Rows.find(Formed.Id); });
    bool Mine = Old && Old->Owner == this->Tables.Self.Hash;
    if (Mine && Old->Ready == Verdict.Ready)
      return;
    // A daemon that has just taken over says nothing before it knows.
    if (!Mine && !Verdict.Ready && Verdict.Reason == "not heard yet")
      return;
    GroupHealth Row{this->Tables.Clock.tick(SystemClock{}.wall()),
                    this->Tables.Self.Hash, Verdict.Ready, ChangeMark()};
    this->Tables.Health.write([&](HealthTable &Rows) {
      Row.Mark = this->Tables.nextLocalMark();
      Rows.put(Formed.Id, Row);
    });
    this->Tables.GossipRequested.set();
    if (Old && Old->Ready == Verdict.Ready)
      return;
    this->Tables.Log.emit(
        Verdict.Ready ? EventCode::GroupReady : EventCode::GroupNotReady,
        std::to_string(Formed.Id.Value),
        Verdict.Ready ? "" : Verdict.Member.Text + ": " + Verdict.Reason);
  }

  void orderMembers(const SlotTask &Row, TimePoint Now) {
    if (Row.Surplus || Now < this->HoldUntil)
      return;
    const auto *Spec = Row.Owner->template as<Deployment>();
    const Group &Formed = *Row.Present;
    for (std::size_t Rank = 0; Rank < Formed.Vms.size(); ++Rank) {
      const VmId &Vm = Formed.Vms[Rank];
      std::optional<MemberRecord> State = this->Reports.find(Vm);
      bool Obeys =
          State && State->HasReport && State->Report.Group == Formed.Id;
      std::optional<VmAddress> Address = this->addressOf(Vm);
      if (Obeys || !Address || !this->Reports.beginOrder(Vm, Now))
        continue;
      EngineOrder Order{*Address,    Formed.Id,     Row.Place.Deployment.Text,
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

  /// Builds the pool for \p Spec from the tables.
  PlanPool poolFor(const Deployment &Spec, TimePoint Now) {
    std::vector<PlanVm> Rows;
    WallMs Wall = SystemClock{}.wall();
    this->Tables.State.read([&](const FoldState &State) {
      std::optional<Selector> Own = State.resolve(Spec.Match, Spec.Selectors);
      DrainSet Drains(State);
      this->Tables.Vms.read([&](const VmTable &Vms) {
        for (const auto &[Vm, Info] : Vms.rows()) {
          Labels Joined = effectiveLabels(Info, State);
          Assignment Now2 = State.assignment(Vm);
          bool Usable = Own && Own->matches(Joined) &&
                        !Drains.covers(Vm, Joined) &&
                        !Vms.isLeaving(Vm, Wall) && !this->isSuspect(Vm, Now) &&
                        !this->Reports.isDead(Vm, Now);
          Rows.push_back({Vm, Info.Domain, Usable, Now2.Stamp, Now2.Group});
        }
      });
    });
    return PlanPool(std::move(Rows));
  }

  bool isSuspect(const VmId &Vm, TimePoint Now) {
    std::lock_guard Lock(this->Mutex);
    auto At = this->Suspects.find(Vm);
    return At != this->Suspects.end() && At->second > Now;
  }

  void plan(const std::vector<SlotTask> &Tasks, TimePoint Now) {
    std::map<std::string, PlanPool> Pools;
    for (const SlotTask &Row : Tasks) {
      if (!Row.Mine || !this->canChange(Row, Now))
        continue;
      std::optional<Proposal> Plan;
      if (Row.Surplus) {
        Plan = Proposal{Row.Place, Row.Present->Id, DomainId(), {}};
      } else {
        const auto *Spec = Row.Owner->template as<Deployment>();
        auto At = Pools.find(Row.Place.Deployment.Text);
        if (At == Pools.end())
          At =
              Pools
                  .emplace(Row.Place.Deployment.Text, this->poolFor(*Spec, Now))
                  .first;
        Plan = planSlot(Row.Place, *Spec, Row.Present ? &*Row.Present : nullptr,
                        At->second, RepairPolicy::KeepMembers);
      }
      if (Plan)
        this->propose(*Plan, Now);
    }
  }

  /// Whether the slot may be changed now: no proposal is under way, something
  /// is wrong with its group, and no request in flight would be cut.
  bool canChange(const SlotTask &Row, TimePoint Now) {
    {
      std::lock_guard Lock(this->Mutex);
      if (this->PendingProposals.contains(Row.Place))
        return false;
    }
    if (!Row.Present)
      return true;
    GroupReadiness Verdict = this->Reports.checkReadiness(*Row.Present, Now);
    if (!Verdict.Ready)
      return this->hasUnusableMember(Row, Now) || Row.Surplus;
    // The group is whole: it is changed only on purpose, and when idle.
    if (!Row.Surplus && !this->hasUnusableMember(Row, Now)) {
      this->IdleSince.erase(Row.Present->Id);
      this->UnusableSince.erase(Row.Present->Id);
      return false;
    }
    auto [Began, Fresh] = this->UnusableSince.try_emplace(Row.Present->Id, Now);
    std::optional<MemberRecord> Head = this->Reports.find(Row.Present->Vms[0]);
    if (!Head || Head->Report.Running > 0)
      this->IdleSince[Row.Present->Id] = Now;
    auto [Idle, Started] = this->IdleSince.try_emplace(Row.Present->Id, Now);
    bool Over = Now - Began->second > this->Tables.Config.DrainTimeout;
    return Over || Now - Idle->second > IdleBeforeReplace;
  }

  bool hasUnusableMember(const SlotTask &Row, TimePoint Now) {
    WallMs Wall = SystemClock{}.wall();
    return this->Tables.State.read([&](const FoldState &State) {
      DrainSet Drains(State);
      return this->Tables.Vms.read([&](const VmTable &Vms) {
        for (const VmId &Vm : Row.Present->Vms) {
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

  /// Asks the VMs of \p Plan whether they live, for the list lags.
  bool allRespond(const Proposal &Plan, TimePoint Now) {
    bool All = true;
    for (const PlanVm &Row : Plan.Vms) {
      std::optional<VmAddress> Address = this->addressOf(Row.Vm);
      if (Address && this->Targets.report(*Address).ok())
        continue;
      All = false;
      std::lock_guard Lock(this->Mutex);
      this->Suspects[Row.Vm] = Now + SuspectDuration;
    }
    return All;
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
  std::unordered_map<Fence, TimePoint> IdleSince;
  std::unordered_map<Fence, TimePoint> UnusableSince;
  std::mutex Mutex;
  std::unordered_map<VmId, TimePoint> Suspects;
  std::set<SlotKey> PendingProposals;
  // The pools go first: their tasks use all of the above.
  WorkerPool Polls;
  WorkerPool Proposals;
};

} // namespace waycove
