// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "control/keyed_feed.h"
#include "policy/domain_plan.h"

#include <algorithm>
#include <thread>

namespace waycove {

/// How a target took an order.
enum class OrderEnd {
  /// Begun, or it holds already.
  Taken,
  /// It does not fit the target's state.
  Refused,
  /// The target has seen a newer owner's order.
  Fenced,
  /// Nothing reached the target.
  NotSent,
  /// It may be carried out yet.
  Unknown,
};

/// Whether a target can be reached from this node.
enum class Reach {
  Answers,
  /// Its process has ended.
  Ended,
  Silent,
};

/// How orders and questions reach targets. ask() tells what became of a
/// member whose entry went.
template <typename C>
concept GroupControl = requires(C &Control, const GroupOrder &Order,
                                std::uint64_t Fence, const TargetInfo &Target) {
  { Control.order(Order, Fence) } -> std::same_as<OrderEnd>;
  { Control.ask(Target) } -> std::same_as<MemberFate>;
};

/// Owns some of the fabric domains, as the platform deals them out, and keeps
/// their groups right. It orders only while its lease holds by its own clock;
/// the generation of its ownership, below which a counter runs, fences what
/// is late.
template <WorkShares Shares, GroupControl Control> class DomainOwner {
public:
  DomainOwner(EntryBoard &Board, Shares &Work, Control &Targets)
      : Board(Board), Work(Work), Targets(Targets) {}

  /// Renews the lease; how long to pause before the next time.
  Millis renew() {
    if (this->Board.Stopping) {
      if (this->Joined.exchange(false))
        this->handBack();
      return RenewEvery;
    }
    TimePoint SentAt = SystemClock{}.now();
    Millis Time = std::max(LeaseTime, this->Board.Config.Entry->LeaseLeast);
    absl::StatusOr<WorkShare> Share = this->Work.join(
        this->Held.read([](const WorkShare &Row) { return Row.Generation; }),
        Time);
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
    this->Until.renew(SentAt, Time - LeaseMargin);
    this->take(*Share);
    return RenewEvery;
  }

  /// Plans all owned domains once and gives the orders.
  void step() {
    TimePoint Now = SystemClock{}.now();
    WorkShare Mine = this->Held.read([](const WorkShare &Row) { return Row; });
    if (this->Board.Stopping || !this->Until.holds(Now) ||
        !this->Board.RegistryFresh.holds(Now)) {
      this->Lapsed = true;
      return;
    }
    // While the lease was out, another may have owned and ordered. Where the
    // generation is the same, nobody has.
    if (std::exchange(this->Lapsed, false) &&
        this->PlannedAt != Mine.Generation)
      this->Planners.clear();
    this->PlannedAt = Mine.Generation;
    RoutingConfigRef Config = this->Board.Routing.read(
        [](const RoutingConfigRef &Row) { return Row; });
    if (!Config)
      return;
    std::vector<GroupOrder> Orders;
    std::map<std::string, unsigned> Serving = this->servingGroups();
    this->forgetFates(Now);
    for (auto &[Domain, View] : this->ownedDomains(*Config, Mine, Now)) {
      const EngineSpec &Engine = *Config->service(View.Service)->Engine;
      View.EpochFloor = Mine.Generation << CounterBits;
      View.LoadsAllowed = this->loadsLeft(Engine, Now);
      View.Fates = this->Fates;
      View.Serving = Serving;
      View.Demand =
          this->Board.Demand.read([](const DemandTable &Rows) { return Rows; });
      this->findLost(View);
      Owned &Row = this->Planners.try_emplace(Domain, View.EpochFloor, Now)
                       .first->second;
      if (Now - Row.Since < TakeoverWait)
        continue;
      View.OwnedFloor = Row.Floor;
      std::vector<GroupOrder> Next = Row.Planner.step(View, Engine);
      for (const GroupOrder &Order : Next)
        this->countLoad(Order, Now);
      Orders.insert(Orders.end(), Next.begin(), Next.end());
      this->askAfter(View, Row.Planner.askAfter());
    }
    this->give(Orders, Mine.Generation);
  }

private:
  /// Below the generation, epochs count this many bits.
  static constexpr unsigned CounterBits = 20;
  /// How long domains stay without owner after one died.
  static constexpr Millis LeaseTime{2000};
  static constexpr Millis RenewEvery{500};
  /// An order is on its way for at most this time after the lease was checked.
  static constexpr Millis LeaseMargin{300};
  static constexpr Millis LoadWindow{5000};
  /// A head is asked this often, and taken for dead after so many questions
  /// without any answer.
  static constexpr Millis AskEvery{250};
  static constexpr unsigned SilentAsks = 2;
  /// Once its fate is known, it is asked again this often.
  static constexpr Millis AskAgain{1500};
  static constexpr Millis FateMemory{2000};
  /// Targets of a domain that are tried to see whether it can be reached.
  static constexpr std::size_t ControlAsks = 3;
  /// Silence of a head that is worth asking its members for: events come up to
  /// 180 ms apart on a busy engine, first ones up to 0.5 s.
  static constexpr Millis StillTime{450};
  /// A member that was taken for dead is looked at anew after this time, if
  /// it is still listed: the registry drops a dead one within four seconds.
  static constexpr Millis LostMemory{6000};

  void take(const WorkShare &Share) {
    bool Changed = this->Held.write([&](WorkShare &Row) {
      bool Other =
          Row.Generation != Share.Generation || Row.Parts != Share.Parts;
      Row = Share;
      return Other;
    });
    this->Board.Share =
        static_cast<double>(Share.Parts.size()) /
        static_cast<double>(this->Board.Config.Entry->WorkParts);
    if (!Changed)
      return;
    std::string Parts;
    for (std::uint64_t Part : Share.Parts)
      Parts += (Parts.empty() ? "" : " ") + std::to_string(Part);
    this->Board.Log.emit(
        EventCode::DomainsOwned, this->Board.Config.Node.Text,
        LogFields().add("generation", Share.Generation).add("parts", Parts));
  }

  void handBack() {
    this->Until.drop();
    this->Held.write([](WorkShare &Row) { Row.Parts.clear(); });
    this->Work.leave();
    this->Board.Log.emit(
        EventCode::DomainsOwned, this->Board.Config.Node.Text,
        LogFields().add("parts", "").add("reason", "stopping"));
  }

  bool owns(const WorkShare &Mine, const DomainId &Domain) const {
    std::uint64_t Part =
        hashText(Domain.Text) % this->Board.Config.Entry->WorkParts;
    return std::find(Mine.Parts.begin(), Mine.Parts.end(), Part) !=
           Mine.Parts.end();
  }

  std::map<DomainId, DomainView> ownedDomains(const RoutingConfig &Config,
                                              const WorkShare &Mine,
                                              TimePoint Now) {
    std::map<DomainId, DomainView> Views;
    auto Wanted = [&](const TargetInfo &Row) {
      const ServiceSpec *Spec = Config.service(Row.Service);
      return Spec && Spec->Engine && !Spec->Engine->Models.empty() &&
             !Row.Domain.empty() && this->owns(Mine, Row.Domain);
    };
    auto ViewOf = [&](const TargetInfo &Row) -> DomainView & {
      DomainView &View = Views[Row.Domain];
      View.Domain = Row.Domain;
      View.Service = Row.Service;
      View.Now = Now;
      return View;
    };
    this->Board.Targets.read([&](const Fleet &Rows) {
      for (const auto &[Id, Row] : Rows.Targets)
        if (Wanted(*Row))
          ViewOf(*Row).Targets.push_back(Row);
      for (const auto &[Id, Row] : Rows.Gone)
        if (Wanted(*Row.Last))
          ViewOf(*Row.Last).Gone.push_back(Row);
    });
    // What was planned under an earlier ownership is no longer known.
    std::erase_if(this->Planners, [&](const auto &Entry) {
      return !Views.contains(Entry.first);
    });
    return Views;
  }

  /// Where a head stands still under this node's requests, asks its members:
  /// one that does not answer twice is taken for dead, long before the
  /// registry drops it. Whoever is used again is told to leave first, so a
  /// wrong guess costs a repair and breaks no promise.
  void findLost(DomainView &View) {
    std::erase_if(this->Silent, [&](const auto &Entry) {
      return View.Now - Entry.second.At > LostMemory;
    });
    std::map<GroupKey, std::vector<TargetRef>> Groups;
    std::set<GroupKey> Still;
    for (const TargetRef &Row : View.Targets) {
      if (!Row->Group)
        continue;
      Groups[Row->Group->Group].push_back(Row);
      if (Row->Group->Rank == 0 && Row->Group->State == MemberState::Open &&
          this->Board.Vitals.read([&](const VitalsTable &Rows) {
            return Rows.of(Row->Id).silence(View.Now) > StillTime;
          }))
        Still.insert(Row->Group->Group);
    }
    for (const GroupKey &Key : Still)
      this->askMembers(Groups[Key], View.Now);
    for (const auto &[Id, Row] : this->Silent)
      if (Row.Silent >= SilentAsks)
        View.Lost.insert(Id);
  }

  void askMembers(const std::vector<TargetRef> &Members, TimePoint Now) {
    std::vector<TargetRef> Due;
    for (const TargetRef &Row : Members) {
      Asked &Entry = this->Silent[Row->Id];
      if (Entry.Silent < SilentAsks &&
          (Entry.At == TimePoint() || Now - Entry.At >= AskEvery))
        Due.push_back(Row);
    }
    std::vector<Reach> Ends(Due.size(), Reach::Answers);
    {
      std::vector<std::jthread> Askers;
      for (std::size_t I = 0; I < Due.size(); ++I)
        Askers.emplace_back([&, I] { Ends[I] = this->Targets.reach(*Due[I]); });
    }
    // Where nobody answers, it is this node that is cut off.
    bool Any =
        std::find(Ends.begin(), Ends.end(), Reach::Answers) != Ends.end();
    for (std::size_t I = 0; Any && I < Due.size(); ++I) {
      Asked &Entry = this->Silent[Due[I]->Id];
      Entry.At = Now;
      Entry.Silent = Ends[I] == Reach::Answers ? 0
                     : Ends[I] == Reach::Ended ? SilentAsks
                                               : Entry.Silent + 1;
      if (Ends[I] != Reach::Answers)
        this->Board.Log.emit(
            EventCode::DomainReleased, Due[I]->Id.Text,
            LogFields()
                .add("reason", "does not answer while its head stands still")
                .add("group", Due[I]->Group->Group.Name)
                .add("silent_asks", Entry.Silent));
    }
  }

  unsigned loadsLeft(const EngineSpec &Engine, TimePoint Now) {
    if (this->Board.Config.Entry->FirstStart && !this->Board.Requested)
      return FreeLoads;
    std::erase_if(this->Loads,
                  [&](TimePoint At) { return Now - At > LoadWindow; });
    double Seconds = std::chrono::duration<double>(LoadWindow).count();
    double All = Engine.LoadsPerSecond * Seconds * this->Board.Share;
    unsigned Largest = 1;
    for (const ModelSpec &Row : Engine.Models)
      Largest = std::max(Largest, Row.GroupSize);
    auto Allowed = std::max(static_cast<std::size_t>(All),
                            static_cast<std::size_t>(Largest));
    return static_cast<unsigned>(Allowed -
                                 std::min(Allowed, this->Loads.size()));
  }

  void countLoad(const GroupOrder &Order, TimePoint Now) {
    bool Load =
        Order.Kind == OrderKind::Stage ||
        (Order.Kind == OrderKind::Join && !Order.To->hasLoaded(Order.Model) &&
         !Order.To->hasStaged(Order.Model));
    if (Load)
      this->Loads.push_back(Now);
  }

  std::map<std::string, unsigned> servingGroups() const {
    std::map<std::string, unsigned> Counts;
    ServingViewRef View =
        this->Board.Serving.read([](const ServingViewRef &Row) { return Row; });
    for (const auto &[Service, Rows] : View->ByService)
      for (const Serving &Row : Rows)
        if (!Row.Model.empty())
          ++Counts[Row.Model];
    return Counts;
  }

  /// Asks what became of members whose entries went. Silence says something
  /// only while another target of the domain answers this node.
  void askAfter(const DomainView &View,
                const std::vector<GoneTarget> &Members) {
    for (const GoneTarget &Row : Members) {
      Asked &Entry = this->Questions[Row.Last->Id];
      MemberFate &Known = this->Fates[Row.Last->Id];
      Millis Pause = Known == MemberFate::Unknown ? AskEvery : AskAgain;
      if (Entry.At != TimePoint() && View.Now - Entry.At < Pause)
        continue;
      Entry.At = View.Now;
      MemberFate Fate = this->Targets.ask(*Row.Last);
      if (Fate == MemberFate::Unknown && this->reachesAny(View))
        ++Entry.Silent;
      else
        Entry.Silent = 0;
      if (Entry.Silent >= SilentAsks)
        Fate = MemberFate::Dead;
      if (std::exchange(Known, Fate) == Fate)
        continue;
      this->Board.Log.emit(EventCode::DomainReleased, Row.Last->Id.Text,
                           LogFields()
                               .add("reason", "a member is not listed")
                               .add("silent_asks", Entry.Silent)
                               .add("fate", static_cast<int>(Fate)));
    }
  }

  bool reachesAny(const DomainView &View) {
    std::size_t Tries = 0;
    for (const TargetRef &Row : View.Targets)
      if (Tries++ < ControlAsks && this->Targets.reach(*Row) == Reach::Answers)
        return true;
    return false;
  }

  /// What was learned of members is of use only while it is new: one that was
  /// cut off may be back.
  void forgetFates(TimePoint Now) {
    std::erase_if(this->Questions, [&](const auto &Entry) {
      return Now - Entry.second.At > FateMemory;
    });
    std::erase_if(this->Fates, [&](const auto &Entry) {
      return !this->Questions.contains(Entry.first);
    });
  }

  /// Gives orders to different targets at the same time, so that one that does
  /// not answer holds up none of the others.
  void give(const std::vector<GroupOrder> &Orders, std::uint64_t Generation) {
    std::vector<OrderEnd> Ends(Orders.size(), OrderEnd::NotSent);
    {
      std::vector<std::jthread> Senders;
      for (std::size_t I = 0; I < Orders.size(); ++I)
        Senders.emplace_back([&, I] {
          // Time may have passed, also while this process stood still.
          if (this->Until.holds(SystemClock{}.now()) &&
              !this->isFenced(Orders[I], Generation))
            Ends[I] = this->Targets.order(Orders[I], Generation);
        });
    }
    for (std::size_t I = 0; I < Orders.size(); ++I)
      this->noteEnd(Orders[I], Ends[I], Generation);
  }

  bool isFenced(const GroupOrder &Order, std::uint64_t Generation) const {
    auto At = this->FencedAt.find(Order.To->Id);
    return At != this->FencedAt.end() && At->second >= Generation;
  }

  void noteEnd(const GroupOrder &Order, OrderEnd End,
               std::uint64_t Generation) {
    this->Board.Counters.add(Counter::OrdersSent);
    if (End != OrderEnd::Taken)
      this->Board.Counters.add(Counter::OrdersFailed);
    if (End == OrderEnd::Fenced)
      this->FencedAt[Order.To->Id] = Generation;
    // One that refuses to leave is in another group, or in none.
    if ((End == OrderEnd::Taken || End == OrderEnd::Refused) &&
        Order.Kind == OrderKind::Leave)
      if (auto At = this->Planners.find(Order.To->Domain);
          At != this->Planners.end())
        At->second.Planner.onLeft(Order);
    this->Board.Log.emit(EventCode::DomainOrderEnded, Order.To->Id.Text,
                         LogFields()
                             .add("order", orderName(Order.Kind))
                             .add("group", Order.Group.Name)
                             .add("epoch", Order.Group.Epoch)
                             .add("generation", Generation)
                             .add("reason", Order.Reason)
                             .add("end", static_cast<int>(End)));
  }

  struct Asked {
    TimePoint At;
    unsigned Silent = 0;
  };
  /// A domain's planner, from when its ownership began.
  struct Owned {
    Owned(std::uint64_t Floor, TimePoint Since) : Floor(Floor), Since(Since) {}
    std::uint64_t Floor;
    TimePoint Since;
    DomainPlanner Planner;
  };

  EntryBoard &Board;
  Shares &Work;
  Control &Targets;
  Lease Until;
  Table<WorkShare, LockRank::Peers> Held;
  std::atomic<bool> Joined{false};
  std::atomic<bool> Lost{false};
  Backoff Waits;
  std::map<DomainId, Owned> Planners;
  /// Generation of the last step that planned.
  std::uint64_t PlannedAt = 0;
  bool Lapsed = false;
  std::map<VmId, MemberFate> Fates;
  std::map<VmId, Asked> Questions;
  std::map<VmId, Asked> Silent;
  /// Generation at which a target refused for a newer owner's order.
  std::map<VmId, std::uint64_t> FencedAt;
  /// When loads from the shared store were ordered.
  std::vector<TimePoint> Loads;
};

} // namespace waycove
