// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/domain_views.h"
#include "control/load_budget.h"
#include "control/member_prober.h"
#include "control/order_sender.h"

namespace waycove {

/// Owns the fabric domains that the platform assigns to this node, an entry on
/// the platform, and plans their groups; the daemon with waycove's own
/// interface has GroupController instead. Orders are sent only while the lease
/// holds by the local clock. They carry the fence of the assignment, so that
/// targets refuse late ones; epochs are the fence followed by a counter.
///
/// A store restored from an older copy may assign a domain whose previous owner
/// still holds its lease, so nothing is ordered for one lease duration after a
/// restore.
template <PartitionService Service, GroupControl Control> class DomainOwner {
public:
  DomainOwner(EntryBoard &Board, Service &Partitioner, Control &Targets)
      : Board(Board), Partitioner(Partitioner), Prober(Board, Targets),
        Sender(Board, Targets), Budget(Board) {}

  /// Returns the pause while this node neither is needed nor holds a lease, or
  /// nothing if renewLease() is due.
  std::optional<Millis> pollLease() {
    this->Participates =
        !this->Board.Stopping && this->shouldParticipate(SystemClock{}.now());
    if (this->Participates || this->Joined)
      return std::nullopt;
    return this->Listed ? RenewInterval : UnlistedPollInterval;
  }

  /// Renews the lease, or releases the domains if this node stops or is not
  /// needed; returns the pause before the next poll.
  Millis renewLease() {
    if (!this->Participates) {
      if (this->Joined.exchange(false))
        this->releaseAll(this->Board.Stopping ? "stopping"
                         : this->Board.isCutOff()
                             ? "this node reaches no target"
                             : "enough other nodes participate");
      return RenewInterval;
    }
    if (!this->HasEndedEarlierLife && !this->endEarlierLife())
      return this->RetryBackoff.next();
    TimePoint SentAt = SystemClock{}.now();
    Millis Duration =
        std::max(LeaseDuration, this->Board.Config.Entry->MinLease);
    this->Board.Counters.Calls.add(StoreUse::Shares, this->joinCause());
    absl::StatusOr<PartitionAssignment> Assignment =
        this->Partitioner.join(this->knownGeneration(), Duration);
    if (!Assignment.ok()) {
      this->recordUnreachable(Assignment.status());
      return this->RetryBackoff.next();
    }
    if (this->Unreachable.exchange(false))
      this->Board.Log.emit(EventCode::LogReachable, "ownership");
    this->RetryBackoff.reset();
    this->Joined = true;
    this->Board.Renewals.write([&](MembershipRenewals &Rows) {
      Rows.record(memberHash(this->Board.Config.Node), SentAt);
    });
    this->OwnLease.renew(SentAt, Duration - LeaseMargin);
    this->updateAssignment(*Assignment, Duration);
    return this->Board.PartitionShare > 0 ? RenewInterval : IdleRenewInterval;
  }

  /// Returns the pause while this node owns no domain, or nothing if plan() is
  /// due.
  std::optional<Millis> pollPlan() {
    if (this->Board.PartitionShare > 0)
      return std::nullopt;
    this->planOwned();
    return IdlePlanInterval;
  }

  /// Plans all owned domains once and sends the resulting orders; returns the
  /// pause before the next poll.
  Millis plan() {
    this->planOwned();
    return PlanInterval;
  }

private:
  static constexpr Millis PlanInterval{100};
  /// The same for a node that owns no domain. Shorter than the time after which
  /// a new owner begins to plan.
  static constexpr Millis IdlePlanInterval{500};

  void planOwned() {
    TimePoint Now = SystemClock{}.now();
    PartitionAssignment Assignment =
        this->Assigned.read([](const PartitionAssignment &Row) { return Row; });
    if (this->Board.Stopping || !this->mayOrder(Assignment, Now)) {
      this->LeaseLapsed = true;
      return;
    }
    // Another node may have owned the domains while the lease had lapsed, but
    // only if the fence has changed.
    if (std::exchange(this->LeaseLapsed, false) &&
        this->PlannedFence != Assignment.fence())
      this->Planners.clear();
    this->PlannedFence = Assignment.fence();
    RoutingConfigRef Config = this->Board.Routing.read(
        [](const RoutingConfigRef &Row) { return Row; });
    if (!Config)
      return;
    std::vector<GroupOrder> Next = this->planAll(*Config, Assignment, Now);
    std::vector<OrderOutcome> Outcomes =
        this->Sender.send(Next, Assignment.fence(), this->OwnLease);
    for (std::size_t I = 0; I < Next.size(); ++I) {
      this->onMemberLeft(Next[I], Outcomes[I]);
      this->markUnreachable(Next[I], Outcomes[I]);
      this->raiseEpochs(Next[I], Outcomes[I]);
    }
  }

  /// Upper bound on the epochs that an earlier incarnation of this process used
  /// and that the registry does not show.
  static constexpr std::uint64_t UnseenEpochs = 1024;
  /// Domains of a failed owner stay without one for at most this long.
  static constexpr Millis LeaseDuration{2000};
  /// Leaves time for a second attempt before the lease ends: a call that is
  /// lost shows after 0.9 s.
  static constexpr Millis RenewInterval{600};
  /// The same for a node to which nothing is assigned; bounds how late it
  /// learns of an assignment.
  static constexpr Millis IdleRenewInterval{900};
  /// A shorter cut costs less than another owner that takes over.
  static constexpr Millis CutOffDelay{1000};
  /// Nodes of a system that starts announce themselves, and see each other's
  /// announcements, within this time.
  static constexpr Millis StartSpread{700};
  /// Poll interval until the directory lists this node.
  static constexpr Millis UnlistedPollInterval{200};
  /// A leaving VM serves until the drain bound ends. This part of it is
  /// reserved for learning that the VM leaves, within 0.5 s, and for closing
  /// its group 0.2 s later.
  static constexpr Millis DrainMargin{700};
  /// Longest time between the check of the lease and an order's arrival.
  static constexpr Millis LeaseMargin{300};

  /// Gives up what an earlier life of this process may still hold, so that this
  /// one gets another generation: under the same fence it would give epochs a
  /// second time, and late orders of the earlier life would look newer than
  /// its own. Returns false if the store does not confirm that.
  bool endEarlierLife() {
    this->Board.Counters.Calls.add(StoreUse::Shares, CallCause::Start);
    absl::Status Left = this->Partitioner.leave();
    if (Left.ok())
      this->HasEndedEarlierLife = true;
    else
      this->recordUnreachable(Left);
    return Left.ok();
  }

  void recordUnreachable(const absl::Status &Error) {
    if (!this->Unreachable.exchange(true))
      this->Board.Log.emit(EventCode::LogUnreachable, "ownership",
                           LogFields().add("reason", messageOf(Error)));
  }

  /// Whether this node is one of the members that partitions are assigned to.
  bool shouldParticipate(TimePoint Now) {
    if (this->isCutOff(Now))
      return false;
    // The directory is incomplete while all nodes start at once.
    if (this->Board.Config.Entry->FirstStart &&
        Now - this->StartTime < StartSpread)
      return false;
    const Settings &Config = this->Board.Config;
    NodeRankingRef Nodes = this->Board.nodes();
    this->Listed = Nodes->nodes().contains(Config.Node);
    const std::vector<NodeInfo> &Order = Nodes->readers(Config.DataCentre);
    std::size_t MembersNeeded =
        requiredMembers(Config.Entry->PartitionCount, Nodes->centres().size());
    bool Holds = this->Assigned.read(
        [](const PartitionAssignment &Row) { return !Row.Partitions.empty(); });
    MembershipRenewals Known = this->Board.Renewals.read(
        [](const MembershipRenewals &Rows) { return Rows; });
    return this->Membership.decide(
        {Order, Config.Node, Known, MembersNeeded, Holds, Now});
  }

  /// Whether this node has had no link to any target for a while: its orders
  /// would not arrive.
  bool isCutOff(TimePoint Now) const {
    return this->Board.isCutOff() &&
           this->Board.Reach.read([&](const TargetReach &Known) {
             return Now - Known.cutOffSince() >= CutOffDelay;
           });
  }

  /// The generation to report to the store; zero if it is of an earlier era.
  /// With it this node confirms to the store that it has released the
  /// partitions that were assigned to other nodes in this or an earlier
  /// generation.
  std::uint64_t knownGeneration() const {
    PartitionAssignment Assignment =
        this->Assigned.read([](const PartitionAssignment &Row) { return Row; });
    return Assignment.Era < this->Board.storeEra() ? 0 : Assignment.Generation;
  }

  /// Orders follow from the registry, so it has to be of the same era of the
  /// store as the assignment.
  bool mayOrder(const PartitionAssignment &Assignment, TimePoint Now) const {
    StoreEra Listed = this->Board.Targets.read(
        [](const Fleet &Rows) { return Rows.Registry.Era; });
    return this->OwnLease.holds(Now) && this->Board.RegistryLease.holds(Now) &&
           Assignment.Era == Listed && !this->OtherOwnersLease.holds(Now);
  }

  CallCause joinCause() const {
    if (this->Unreachable)
      return CallCause::Retry;
    if (!this->Joined)
      return CallCause::Start;
    return this->Board.PartitionShare > 0 ? CallCause::Duty : CallCause::Alone;
  }

  std::vector<GroupOrder> planAll(const RoutingConfig &Config,
                                  const PartitionAssignment &Assignment,
                                  TimePoint Now) {
    std::vector<GroupOrder> Orders;
    auto Serving = servingGroups(this->Board);
    this->Prober.expireStatuses(Now);
    std::map<ServiceDomain, DomainView> Views =
        ownedDomains(this->Board, Config, Assignment, Now);
    // Plans of an earlier ownership are dropped.
    std::erase_if(this->Planners, [&](const auto &Entry) {
      return !Views.contains(Entry.first);
    });
    for (auto &[Key, View] : Views) {
      const EngineSpec &Engine = *Config.service(View.Service)->Engine;
      View.EpochFloor =
          std::max(Assignment.fence() << EpochCounterBits, this->LastEpoch);
      View.LoadsAllowed = this->Budget.allowed(View.LoadsAllowed, Engine, Now);
      View.SpareLoads = this->Budget.allowed(View.SpareLoads, Engine, Now);
      View.Statuses = this->Prober.statuses();
      View.ServingGroups = Serving[View.Service];
      View.Demand = this->demandOf(Engine);
      this->Prober.detectLost(View);
      OwnedDomain &Owned = this->Planners.try_emplace(Key, Now).first->second;
      if (Now - Owned.Since < TakeoverDelay ||
          this->isRegistryUnread(Owned.Since))
        continue;
      if (!Owned.Floor)
        Owned.Floor = firstFloor(View);
      View.PriorEpochMax = *Owned.Floor;
      View.EpochFloor =
          std::max({View.EpochFloor, View.PriorEpochMax, Owned.SeenEpoch});
      View.DrainGracePeriod = std::max(
          Millis(0), this->Board.Config.Entry->DrainBound - DrainMargin);
      std::vector<GroupOrder> Next = Owned.Planner.step(View, Engine);
      for (const GroupOrder &Order : Next) {
        this->Budget.recordOrder(Order, Engine, Now);
        if (Order.Kind == OrderKind::Join)
          this->LastEpoch = std::max(this->LastEpoch, Order.Group.Epoch);
      }
      Orders.insert(Orders.end(), Next.begin(), Next.end());
      this->Prober.queryRemoved(View, Owned.Planner.statusQueries());
    }
    return Orders;
  }

  /// Whether the registry was not read after \p Since. After a suspension of
  /// this machine time has passed without any update.
  bool isRegistryUnread(TimePoint Since) const {
    return this->Board.RegistryProvenAt.get() < Since;
  }

  /// Demand counted by all nodes, or extrapolated from this one if no other
  /// node reports any.
  DemandTable demandOf(const EngineSpec &Engine) const {
    auto Copy = [](const DemandTable &Rows) { return Rows; };
    DemandTable Counted = this->Board.Demand.read(Copy);
    DemandTable Others = this->Board.RemoteDemand.read(Copy);
    for (const auto &[Model, Added] : Others)
      Counted[Model].add(Added);
    return demandRates(Engine, Counted,
                       Others.empty() ? this->Board.perNodeShare() : 1);
  }

  /// First epoch of this ownership: above every epoch that the domain's VMs
  /// show, and above those of this fence that may have been used unseen, e.g.
  /// before the registry was read anew.
  static std::uint64_t firstFloor(const DomainView &View) {
    std::uint64_t Seen = 0;
    auto Include = [&](const TargetInfo &Target) {
      if (Target.Group)
        Seen = std::max(Seen, Target.Group->Group.Epoch);
    };
    for (const TargetRef &Target : View.Targets)
      Include(*Target);
    for (const RemovedTarget &Target : View.Removed)
      Include(*Target.Last);
    return Seen < View.EpochFloor ? View.EpochFloor : Seen + UnseenEpochs;
  }

  /// Tells the planner that a target has left its group. A target that refuses
  /// to leave is in another group or in none.
  void onMemberLeft(const GroupOrder &Order, OrderOutcome Outcome) {
    bool Left = Outcome == OrderOutcome::Accepted ||
                Outcome == OrderOutcome::Refused ||
                Outcome == OrderOutcome::ProcessEnded;
    if (!Left || Order.Kind != OrderKind::Leave)
      return;
    if (OwnedDomain *Owned = this->ownedDomainOf(*Order.To))
      Owned->Planner.onLeaveConfirmed(Order);
  }

  /// Excludes a target from the next group if an order to join did not reach it
  /// or its process has ended; the registry lists a dead VM for up to three
  /// heartbeats. An order that this node held back says nothing of its target.
  void markUnreachable(const GroupOrder &Order, OrderOutcome Outcome) {
    TimePoint Now = SystemClock{}.now();
    bool Unconfirmed =
        Outcome == OrderOutcome::NotSent || Outcome == OrderOutcome::Unknown;
    bool NotDelivered = Order.Kind == OrderKind::Join && Unconfirmed;
    if ((NotDelivered || Outcome == OrderOutcome::ProcessEnded) &&
        this->OwnLease.holds(Now))
      this->Prober.markUnreachable(Order.To->incarnation(), Now);
  }

  /// A target has seen newer epochs of this fence than its entry in the
  /// registry shows: the next groups of its domain get higher ones.
  void raiseEpochs(const GroupOrder &Order, OrderOutcome Outcome) {
    if (Outcome != OrderOutcome::EpochSeen)
      return;
    if (OwnedDomain *Owned = this->ownedDomainOf(*Order.To))
      Owned->SeenEpoch =
          std::max(Owned->SeenEpoch, Order.Group.Epoch + UnseenEpochs);
  }

  void updateAssignment(const PartitionAssignment &Next, Millis Duration) {
    PartitionAssignment Before = this->Assigned.write(
        [&](PartitionAssignment &Row) { return std::exchange(Row, Next); });
    bool Knew = Before.fence() > 0;
    if (Knew && Next.Era > Before.Era)
      this->OtherOwnersLease.renew(SystemClock{}.now(), Duration);
    bool Changed =
        Before.fence() != Next.fence() || Before.Partitions != Next.Partitions;
    this->Board.PartitionShare =
        static_cast<double>(Next.Partitions.size()) /
        static_cast<double>(this->Board.Config.Entry->PartitionCount);
    if (!Changed)
      return;
    std::string Partitions;
    for (std::uint64_t Part : Next.Partitions)
      Partitions += (Partitions.empty() ? "" : " ") + std::to_string(Part);
    this->Board.Log.emit(EventCode::DomainsOwned, this->Board.Config.Node.Text,
                         LogFields()
                             .add("generation", Next.Generation)
                             .add("era", Next.Era.Value)
                             .add("parts", Partitions));
  }

  void releaseAll(const std::string &Reason) {
    this->OwnLease.drop();
    this->Assigned.write(
        [](PartitionAssignment &Row) { Row.Partitions.clear(); });
    // If the call fails, the lease expires by itself.
    if (absl::Status Left = this->Partitioner.leave(); !Left.ok())
      this->recordUnreachable(Left);
    this->Board.Log.emit(EventCode::DomainsOwned, this->Board.Config.Node.Text,
                         LogFields().add("parts", "").add("reason", Reason));
  }

  /// The planner of a service's VMs in a domain, and the time since which this
  /// node owns the domain.
  struct OwnedDomain {
    explicit OwnedDomain(TimePoint Since) : Since(Since) {}
    TimePoint Since;
    /// Groups of an earlier ownership have epochs up to this one; set when the
    /// first step is planned.
    std::optional<std::uint64_t> Floor;
    /// Targets of the domain may have seen epochs up to this one.
    std::uint64_t SeenEpoch = 0;
    DomainPlanner Planner;
  };

  /// Returns null if this node plans nothing for the target any more.
  OwnedDomain *ownedDomainOf(const TargetInfo &Target) {
    auto At = this->Planners.find({Target.Service, Target.Domain});
    return At == this->Planners.end() ? nullptr : &At->second;
  }

  EntryBoard &Board;
  Service &Partitioner;
  const TimePoint StartTime = SystemClock{}.now();
  PartitionMembership Membership;
  bool Listed = false;
  /// This node is one of the members, as of the last poll.
  bool Participates = false;
  Lease OwnLease;
  Table<PartitionAssignment, LockRank::Peers> Assigned;
  std::atomic<bool> Joined{false};
  /// The first start of the whole system has no earlier life.
  bool HasEndedEarlierLife = this->Board.Config.Entry->FirstStart;
  std::atomic<bool> Unreachable{false};
  Backoff RetryBackoff;
  std::map<ServiceDomain, OwnedDomain> Planners;
  /// Holds after a restore while a lease unknown to the store may be in force.
  Lease OtherOwnersLease;
  /// Highest epoch that a group was ordered with. Planners are dropped and made
  /// anew under the same fence, and no epoch is given twice.
  std::uint64_t LastEpoch = 0;
  /// Fence under which the last step planned.
  std::uint64_t PlannedFence = 0;
  bool LeaseLapsed = false;
  MemberProber<Control> Prober;
  OrderSender<Control> Sender;
  LoadBudget Budget;
};

} // namespace waycove
