// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/domain_views.h"
#include "control/load_budget.h"
#include "control/member_inquiry.h"
#include "control/order_sender.h"

namespace waycove {

/// Owns some of the fabric domains, as the platform deals them out, and keeps
/// their groups right. It orders only while its lease holds by its own clock;
/// the fence of its share, below which a counter runs, fences what is late.
///
/// Where the store comes back from an older copy, that may deal a domain to
/// this node that another one owned, whose lease runs on by that node's clock;
/// so nothing is ordered for the length of a lease. No lease of before outlives
/// it: none could be renewed since the store went away.
template <WorkShares Shares, GroupControl Control> class DomainOwner {
public:
  DomainOwner(EntryBoard &Board, Shares &Work, Control &Targets)
      : Board(Board), Work(Work), Members(Board, Targets),
        Orders(Board, Targets), Loads(Board) {}

  /// Renews the lease; how long to pause before the next time.
  Millis renew() {
    if (this->Board.Stopping) {
      if (this->Joined.exchange(false))
        this->handBack("stopping");
      return RenewEvery;
    }
    TimePoint SentAt = SystemClock{}.now();
    if (!this->takesPart(SentAt)) {
      if (this->Joined.exchange(false))
        this->handBack("others take part");
      return this->Listed ? RenewEvery : UnlistedLook;
    }
    Millis Time = std::max(LeaseTime, this->Board.Config.Entry->LeaseLeast);
    this->Board.Counters.Calls.add(StoreUse::Shares, this->causeOfJoin());
    absl::StatusOr<WorkShare> Share =
        this->Work.join(this->generationHeard(), Time);
    if (!Share.ok()) {
      if (!this->Lost.exchange(true))
        this->Board.Log.emit(
            EventCode::LogUnreachable, "ownership",
            LogFields().add("reason", messageOf(Share.status())));
      return this->Waits.next();
    }
    if (this->Lost.exchange(false))
      this->Board.Log.emit(EventCode::LogReachable, "ownership");
    this->Waits.reset();
    this->Joined = true;
    this->Board.Renewals.write([&](MembershipRenewals &Rows) {
      Rows.record(memberHash(this->Board.Config.Node), SentAt);
    });
    this->Until.renew(SentAt, Time - LeaseMargin);
    this->take(*Share, Time);
    return this->Board.Share > 0 ? RenewEvery : IdleRenewEvery;
  }

  /// Plans all owned domains once and gives the orders.
  void step() {
    TimePoint Now = SystemClock{}.now();
    WorkShare Mine = this->Held.read([](const WorkShare &Row) { return Row; });
    if (this->Board.Stopping || !this->mayOrder(Mine, Now)) {
      this->Lapsed = true;
      return;
    }
    // While the lease was out, another may have owned and ordered. Where the
    // shares are the same, nobody has.
    if (std::exchange(this->Lapsed, false) && this->PlannedAt != Mine.fence())
      this->Planners.clear();
    this->PlannedAt = Mine.fence();
    RoutingConfigRef Config = this->Board.Routing.read(
        [](const RoutingConfigRef &Row) { return Row; });
    if (!Config)
      return;
    std::vector<GroupOrder> Next = this->planAll(*Config, Mine, Now);
    std::vector<OrderEnd> Ends =
        this->Orders.give(Next, Mine.fence(), this->Until);
    for (std::size_t I = 0; I < Next.size(); ++I) {
      this->noteLeft(Next[I], Ends[I]);
      this->noteUnreached(Next[I], Ends[I]);
    }
  }

private:
  /// Below the fence, epochs count this many bits.
  static constexpr unsigned CounterBits = 20;
  /// A process cannot use so many epochs of a domain before the registry shows
  /// one: a step plans a group for each few VMs, ten times a second.
  static constexpr std::uint64_t UnseenEpochs = 1024;
  /// How long domains stay without owner after one died.
  static constexpr Millis LeaseTime{2000};
  /// A renewal that is lost shows after 0.9 s; the next one comes in time.
  static constexpr Millis RenewEvery{600};
  /// The same for a node that owns none: it learns this much later that it is
  /// dealt some.
  static constexpr Millis IdleRenewEvery{900};
  /// All nodes start within 0.3 s of each other, as the platform states, and
  /// read what the others announced within 0.2 s.
  static constexpr Millis StartSpread{700};
  /// Until the directory lists this node.
  static constexpr Millis UnlistedLook{50};
  /// A VM that says it leaves serves on for the bound on leaving targets. Its
  /// saying is known here within 0.5 s, and its group is closed 0.2 s later.
  static constexpr Millis DrainMargin{700};
  /// An order is on its way for at most this time after the lease was checked.
  static constexpr Millis LeaseMargin{300};

  /// Whether this node is one of those that take part in the shared work.
  bool takesPart(TimePoint Now) {
    // The directory fills while all nodes start at once.
    if (this->Board.Config.Entry->FirstStart && Now - this->Began < StartSpread)
      return false;
    const Settings &Given = this->Board.Config;
    NodeTable Nodes =
        this->Board.Nodes.read([](const NodeTable &Rows) { return Rows; });
    this->Listed = Nodes.contains(Given.Node);
    std::vector<NodeInfo> Order = readerOrder(Nodes, Given.DataCentre);
    std::size_t Wanted =
        requiredMembers(Given.Entry->WorkParts, dataCentreOrder(Nodes).size());
    bool Holds = this->Held.read(
        [](const WorkShare &Row) { return !Row.Parts.empty(); });
    MembershipRenewals Known = this->Board.Renewals.read(
        [](const MembershipRenewals &Rows) { return Rows; });
    return this->Membership.decide(
        {Order, Given.Node, Known, Wanted, Holds, Now});
  }

  /// To name one of an earlier era to the store would tell it that this node
  /// has given up what was dealt to others up to there, of which it heard
  /// nothing.
  std::uint64_t generationHeard() const {
    WorkShare Mine = this->Held.read([](const WorkShare &Row) { return Row; });
    return Mine.Era < this->Board.storeEra() ? 0 : Mine.Generation;
  }

  /// What is ordered follows from the registry, so that has to be of the era in
  /// which the domains were dealt.
  bool mayOrder(const WorkShare &Mine, TimePoint Now) const {
    StoreEra Listed = this->Board.Targets.read(
        [](const Fleet &Rows) { return Rows.Registry.Era; });
    return this->Until.holds(Now) && this->Board.RegistryFresh.holds(Now) &&
           Mine.Era == Listed && !this->OthersMayOwn.holds(Now);
  }

  CallCause causeOfJoin() const {
    if (this->Lost)
      return CallCause::Retry;
    if (!this->Joined)
      return CallCause::Start;
    return this->Board.Share > 0 ? CallCause::Duty : CallCause::Alone;
  }

  std::vector<GroupOrder> planAll(const RoutingConfig &Config,
                                  const WorkShare &Mine, TimePoint Now) {
    std::vector<GroupOrder> Orders;
    std::map<std::string, unsigned> Serving = servingGroups(this->Board);
    this->Members.forgetFates(Now);
    std::map<DomainId, DomainView> Views =
        ownedDomains(this->Board, Config, Mine, Now);
    // What was planned under an earlier ownership is no longer known.
    std::erase_if(this->Planners, [&](const auto &Entry) {
      return !Views.contains(Entry.first);
    });
    for (auto &[Domain, View] : Views) {
      const EngineSpec &Engine = *Config.service(View.Service)->Engine;
      View.EpochFloor = Mine.fence() << CounterBits;
      View.LoadsAllowed = this->Loads.allowed(View.LoadsAllowed, Engine, Now);
      View.LoadsSpare = this->Loads.allowed(View.LoadsSpare, Engine, Now);
      View.Fates = this->Members.fates();
      View.Serving = Serving;
      View.Demand = this->demandOf(Engine);
      this->Members.findLost(View);
      Owned &Row = this->Planners.try_emplace(Domain, Now).first->second;
      if (Now - Row.Since < TakeoverWait || this->isUnread(Row.Since))
        continue;
      if (!Row.Floor)
        Row.Floor = firstFloor(View);
      View.OwnedFloor = *Row.Floor;
      View.EpochFloor = std::max(View.EpochFloor, View.OwnedFloor);
      View.DrainHold = std::max(
          Millis(0), this->Board.Config.Entry->DrainBound - DrainMargin);
      std::vector<GroupOrder> Next = Row.Planner.step(View, Engine);
      for (const GroupOrder &Order : Next)
        this->Loads.count(Order, Engine, Now);
      Orders.insert(Orders.end(), Next.begin(), Next.end());
      this->Members.askAfter(View, Row.Planner.askAfter());
    }
    return Orders;
  }

  /// Whether nothing of the registry was read since: where this machine stood
  /// still, time passed and no news came.
  bool isUnread(TimePoint Since) const {
    return this->Board.RegistryProven.get() < Since;
  }

  /// What all nodes counted, or this one alone where no others tell.
  DemandTable demandOf(const EngineSpec &Engine) const {
    auto Copy = [](const DemandTable &Rows) { return Rows; };
    DemandTable Counted = this->Board.Demand.read(Copy);
    DemandTable Others = this->Board.DemandElsewhere.read(Copy);
    for (const auto &[Model, Row] : Others)
      Counted[Model].add(Row);
    return demandRates(Engine, Counted,
                       Others.empty() ? this->Board.evenShare() : 1);
  }

  /// Above each epoch that was used before this ownership began, as far as the
  /// domain's VMs tell, and above what an earlier life of this process may have
  /// used unseen: restarted within its lease, it keeps its domains and their
  /// generation, so that no domain changes hands. Where each restart dealt them
  /// anew, groups were formed twice, 3 s later than needed.
  static std::uint64_t firstFloor(const DomainView &View) {
    std::uint64_t Seen = 0;
    auto Note = [&](const TargetInfo &Row) {
      if (Row.Group)
        Seen = std::max(Seen, Row.Group->Group.Epoch);
    };
    for (const TargetRef &Row : View.Targets)
      Note(*Row);
    for (const GoneTarget &Row : View.Gone)
      Note(*Row.Last);
    return Seen < View.EpochFloor ? View.EpochFloor : Seen + UnseenEpochs;
  }

  /// Tells the planner of a target that is no longer in its group. One that
  /// refuses to leave is in another group, or in none.
  void noteLeft(const GroupOrder &Order, OrderEnd End) {
    bool Left = End == OrderEnd::Taken || End == OrderEnd::Refused ||
                End == OrderEnd::Ended;
    if (!Left || Order.Kind != OrderKind::Leave)
      return;
    if (auto At = this->Planners.find(Order.To->Domain);
        At != this->Planners.end())
      At->second.Planner.onLeft(Order);
  }

  /// Whoever does not take an order to join, or whose process has ended, is
  /// left out of the next group: the registry lists a dead VM for up to three
  /// heartbeats, and each group that is formed with one costs 1.5 s. An order
  /// that was held back here says nothing of its target.
  void noteUnreached(const GroupOrder &Order, OrderEnd End) {
    TimePoint Now = SystemClock{}.now();
    bool Silent = End == OrderEnd::NotSent || End == OrderEnd::Unknown;
    bool Lost = Order.Kind == OrderKind::Join && Silent;
    if ((Lost || End == OrderEnd::Ended) && this->Until.holds(Now))
      this->Members.noteUnreached(Order.To->life(), Now);
  }

  void take(const WorkShare &Share, Millis LeaseTime) {
    WorkShare Before = this->Held.write(
        [&](WorkShare &Row) { return std::exchange(Row, Share); });
    bool Knew = Before.fence() > 0;
    if (Knew && Share.Era > Before.Era)
      this->OthersMayOwn.renew(SystemClock{}.now(), LeaseTime);
    bool Changed =
        Before.fence() != Share.fence() || Before.Parts != Share.Parts;
    this->Board.Share =
        static_cast<double>(Share.Parts.size()) /
        static_cast<double>(this->Board.Config.Entry->WorkParts);
    if (!Changed)
      return;
    std::string Parts;
    for (std::uint64_t Part : Share.Parts)
      Parts += (Parts.empty() ? "" : " ") + std::to_string(Part);
    this->Board.Log.emit(EventCode::DomainsOwned, this->Board.Config.Node.Text,
                         LogFields()
                             .add("generation", Share.Generation)
                             .add("era", Share.Era.Value)
                             .add("parts", Parts));
  }

  void handBack(const std::string &Reason) {
    this->Until.drop();
    this->Held.write([](WorkShare &Row) { Row.Parts.clear(); });
    this->Work.leave();
    this->Board.Log.emit(EventCode::DomainsOwned, this->Board.Config.Node.Text,
                         LogFields().add("parts", "").add("reason", Reason));
  }

  /// A domain's planner, from when its ownership began.
  struct Owned {
    explicit Owned(TimePoint Since) : Since(Since) {}
    TimePoint Since;
    /// Groups with epochs up to this were formed before; known when the first
    /// step is planned.
    std::optional<std::uint64_t> Floor;
    DomainPlanner Planner;
  };

  EntryBoard &Board;
  Shares &Work;
  const TimePoint Began = SystemClock{}.now();
  PartitionMembership Membership;
  bool Listed = false;
  Lease Until;
  Table<WorkShare, LockRank::Peers> Held;
  std::atomic<bool> Joined{false};
  std::atomic<bool> Lost{false};
  Backoff Waits;
  std::map<DomainId, Owned> Planners;
  /// After a restore, while a lease that the store knows nothing of may run.
  Lease OthersMayOwn;
  /// Fence of the last step that planned.
  std::uint64_t PlannedAt = 0;
  bool Lapsed = false;
  MemberInquiry<Control> Members;
  OrderSender<Control> Orders;
  LoadBudget Loads;
};

} // namespace waycove
