// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/domain_plan.h"

#include <algorithm>

namespace waycove {

namespace {

/// The registry lists a domain's VMs one after the other at the start: plan
/// when none came for this time.
constexpr Millis SettleTime(700);
/// A member shows a join within about 0.6 s; past this the order is taken for
/// lost and outbid.
constexpr Millis ShowTime(1500);
/// Before the same order is given to the same group again.
constexpr Millis RepeatTime(1200);
/// A group forms in its load time; shared loading may double it.
constexpr int LoadTimeFactor = 3;
constexpr Millis FormSlack(3000);
/// Staging is given again where it did not show after this.
constexpr int StageTimeFactor = 3;
/// Hosts of one domain that are staged at the same time: the store slows down
/// where more than a few load.
constexpr int StagingsAtOnce = 1;
/// Groups of smaller models whose hosts hold the largest model besides, in a
/// domain with at least so many free VMs, and in one without. Tried: two
/// everywhere left the smaller model short where domains have free VMs, one
/// everywhere the larger one where they have none.
constexpr std::size_t FewReserves = 2;
constexpr std::size_t DonorsBesideReserves = 1;
constexpr std::size_t DonorsAlone = 2;
/// Guards a division where the operators state no share of the work.
constexpr double LeastNeed = 1e-3;
/// A model is short of groups below this part of the best supplied one's, for
/// their parts of the work, and very short below the second.
constexpr double ScarcePart = 0.7;
constexpr double VeryScarcePart = 0.35;
/// A group is given up for a larger model only while its own model keeps this
/// part of the larger one's groups.
constexpr double KeptPart = 0.5;

std::vector<const ModelSpec *> largestFirst(const EngineSpec &Engine) {
  std::vector<const ModelSpec *> Rows;
  for (const ModelSpec &Row : Engine.Models)
    Rows.push_back(&Row);
  std::stable_sort(Rows.begin(), Rows.end(),
                   [](const ModelSpec *Left, const ModelSpec *Right) {
                     return Left->GroupSize > Right->GroupSize;
                   });
  return Rows;
}

/// 0 is best: the VM ran the model last, then its host has the weights.
int loadRank(const TargetInfo &Row, const std::string &Model) {
  if (Row.hasLoaded(Model))
    return 0;
  return Row.hasStaged(Model) ? 1 : 2;
}

std::size_t countWarm(const std::vector<TargetRef> &Free,
                      const ModelSpec &Model) {
  return static_cast<std::size_t>(
      std::count_if(Free.begin(), Free.end(), [&](const TargetRef &Row) {
        return loadRank(*Row, Model.Name) < 2;
      }));
}

} // namespace

std::string_view orderName(OrderKind Kind) {
  switch (Kind) {
  case OrderKind::Join:
    return "join";
  case OrderKind::Open:
    return "open";
  case OrderKind::Close:
    return "close";
  case OrderKind::Leave:
    return "leave";
  case OrderKind::Stage:
    break;
  }
  return "stage";
}

std::vector<unsigned> groupsFor(const EngineSpec &Engine, std::size_t Vms) {
  std::vector<unsigned> Counts(Engine.Models.size(), 0);
  std::vector<const ModelSpec *> Order = largestFirst(Engine);
  std::size_t Free = Vms;
  for (bool Any = true; Any;) {
    Any = false;
    for (const ModelSpec *Row : Order)
      if (Row->GroupSize > 0 && Free >= Row->GroupSize) {
        Free -= Row->GroupSize;
        ++Counts[static_cast<std::size_t>(Row - Engine.Models.data())];
        Any = true;
      }
  }
  return Counts;
}

struct DomainPlanner::Step {
  const DomainView &View;
  const EngineSpec &Engine;
  std::map<GroupKey, Announced> Groups;
  /// VMs that must not be taken.
  std::set<VmId> Busy;
  /// Groups per model that serve or will.
  std::map<std::string, unsigned> Have;
  std::vector<GroupOrder> Orders;
  unsigned LoadsLeft = 0;

  /// How much work a model has, in any unit that is the same for all.
  double needOf(const ModelSpec &Model) const {
    auto At = this->View.Demand.find(Model.Name);
    double Asked = At == this->View.Demand.end() ? 0 : At->second;
    // The stated share counts VMs; groups are compared.
    double Need = this->View.Demand.empty() ? Model.WorkShare / Model.GroupSize
                                            : Asked * Model.TimeFactor;
    return std::max(Need, LeastNeed);
  }
  /// Groups that serve the model, for the work that it has.
  double supply(const ModelSpec &Model) const {
    auto At = this->View.Serving.find(Model.Name);
    double Groups = At == this->View.Serving.end() ? 0 : At->second;
    return Groups / this->needOf(Model);
  }
  bool isUsable(const TargetInfo &Row) const {
    return !Row.Draining && !this->View.Lost.contains(Row.Id);
  }
  std::vector<TargetRef> freeVms() const {
    std::vector<TargetRef> Free;
    for (const TargetRef &Row : this->View.Targets)
      if (this->isUsable(*Row) && !this->Busy.contains(Row->Id))
        Free.push_back(Row);
    return Free;
  }
  void hold(const Announced &Row) {
    for (const auto &[Rank, Vm] : Row.Ranks)
      this->Busy.insert(Vm->Id);
  }
};

std::vector<GroupOrder> DomainPlanner::step(const DomainView &View,
                                            const EngineSpec &Engine) {
  this->Questions.clear();
  if (!this->isSettled(View))
    return {};
  Step S{View, Engine, {}, {}, {}, {}, View.LoadsAllowed};
  this->collect(S);
  for (const auto &[Key, Row] : S.Groups)
    this->judge(S, Key, Row);
  this->dropStaleForming(S);
  this->formMissing(S);
  this->stageSpares(S);
  return std::move(S.Orders);
}

void DomainPlanner::onLeft(const GroupOrder &Order) {
  bool WasHead = Order.To->Group && Order.To->Group->Group == Order.Group &&
                 Order.To->Group->Rank == 0;
  if (WasHead)
    this->HeadLeft.insert(Order.Group);
  else
    this->MemberLeft.insert({Order.Group, Order.To->Id});
}

bool DomainPlanner::isSettled(const DomainView &View) {
  bool Formed =
      std::any_of(View.Targets.begin(), View.Targets.end(),
                  [](const TargetRef &Row) { return Row->Group.has_value(); });
  if (this->Began || Formed)
    return this->Began = true;
  if (View.Targets.size() != this->SeenTargets) {
    this->SeenTargets = View.Targets.size();
    this->SettledAt = View.Now;
  }
  this->Began =
      this->SeenTargets > 0 && View.Now - this->SettledAt > SettleTime;
  return this->Began;
}

void DomainPlanner::collect(Step &S) const {
  for (const TargetRef &Row : S.View.Targets) {
    if (!Row->Group || S.View.Lost.contains(Row->Id))
      continue;
    Announced &Into = S.Groups[Row->Group->Group];
    Into.Ranks[Row->Group->Rank] = Row;
    if (Row->Group->Rank == 0)
      Into.Head = Row;
    Into.AnyDraining = Into.AnyDraining || Row->Draining;
    Into.AllReady = Into.AllReady && Row->Group->State == MemberState::Ready;
  }
}

bool DomainPlanner::mayOrder(const GroupKey &Group, OrderKind Kind,
                             const VmId &To, TimePoint Now) {
  TimePoint &Last = this->LastOrder[{Group, Kind, To}];
  if (Last != TimePoint() && Now - Last < RepeatTime)
    return false;
  Last = Now;
  return true;
}

void DomainPlanner::judge(Step &S, const GroupKey &Key, const Announced &Row) {
  bool Serves = Row.Head && (Row.Head->Group->State == MemberState::Open ||
                             Row.Head->Group->State == MemberState::Closing);
  if (this->HeadLeft.contains(Key))
    return;
  if (this->GivenUp.contains(Key) && !Serves)
    return this->release(S, Key, Row, "given up");
  const ModelSpec *Model = S.Engine.model(modelOf(Key.Name));
  std::size_t Size = Model ? Model->GroupSize : 0;
  if (!Row.Head)
    return this->judgeHeadless(S, Key, Row);
  bool Whole = this->isWhole(S, Key, Row, Size);
  MemberState State = Row.Head->Group->State;
  if (State == MemberState::Broken)
    return;
  if (!Serves)
    return this->judgeForming(S, Key, Row);
  // The head serves: nobody of the group may be taken.
  S.hold(Row);
  this->Pending.erase(Key);
  if (Whole && !Row.AnyDraining) {
    ++S.Have[Model->Name];
    return;
  }
  OrderKind Kind = Whole ? OrderKind::Close : OrderKind::Leave;
  if (Kind == OrderKind::Close && State == MemberState::Closing)
    return;
  if (this->mayOrder(Key, Kind, Row.Head->Id, S.View.Now))
    S.Orders.push_back({Kind,
                        Row.Head,
                        Key,
                        "",
                        {},
                        Whole ? "a member drains" : "a member is gone"});
}

MemberFate DomainPlanner::fateOf(const Step &S, const GoneTarget &Row) {
  // Asked for as long as it matters: who is cut off now may die later.
  this->Questions.push_back(Row);
  auto At = S.View.Fates.find(Row.Last->Id);
  return At == S.View.Fates.end() ? MemberFate::Unknown : At->second;
}

/// Whether all members are there, counting those that are only cut off from
/// the registry, and those of which that is not known yet.
bool DomainPlanner::isWhole(Step &S, const GroupKey &Key, const Announced &Row,
                            std::size_t Size) {
  std::size_t Present = Row.Ranks.size();
  if (Present < Size && Row.Head->Group->State == MemberState::Open)
    for (const GoneTarget &Gone : S.View.Gone)
      if (Gone.Last->Group && Gone.Last->Group->Group == Key &&
          !Row.Ranks.contains(Gone.Last->Group->Rank) &&
          this->fateOf(S, Gone) != MemberFate::Dead)
        ++Present;
  return Present >= Size;
}

void DomainPlanner::judgeHeadless(Step &S, const GroupKey &Key,
                                  const Announced &Row) {
  if (this->Pending.contains(Key))
    return this->judgeForming(S, Key, Row);
  auto Head = std::find_if(
      S.View.Gone.begin(), S.View.Gone.end(), [&](const GoneTarget &Gone) {
        return Gone.Last->Group && Gone.Last->Group->Group == Key &&
               Gone.Last->Group->Rank == 0;
      });
  // Listed but lost, moved to another group, or never seen: nobody to ask.
  if (Head == S.View.Gone.end())
    return this->releaseEach(S, Key, Row);
  MemberFate Fate = this->fateOf(S, *Head);
  if (Fate == MemberFate::Dead)
    return this->releaseEach(S, Key, Row);
  S.hold(Row);
  if (Fate == MemberFate::Alive &&
      this->mayOrder(Key, OrderKind::Leave, Head->Last->Id, S.View.Now))
    S.Orders.push_back({OrderKind::Leave,
                        Head->Last,
                        Key,
                        "",
                        {},
                        "its entry in the registry is gone"});
}

/// Frees the members of a group whose head cannot be told to leave.
void DomainPlanner::releaseEach(Step &S, const GroupKey &Key,
                                const Announced &Row) {
  for (const auto &[Rank, Vm] : Row.Ranks) {
    if (this->MemberLeft.contains({Key, Vm->Id}))
      continue;
    S.Busy.insert(Vm->Id);
    if (this->mayOrder(Key, OrderKind::Leave, Vm->Id, S.View.Now))
      S.Orders.push_back(
          {OrderKind::Leave, Vm, Key, "", {}, "its head is lost"});
  }
}

void DomainPlanner::judgeForming(Step &S, const GroupKey &Key,
                                 const Announced &Row) {
  const ModelSpec *Model = S.Engine.model(modelOf(Key.Name));
  if (!Model || Row.AnyDraining)
    return this->release(S, Key, Row, "a member drains");
  bool Whole = Row.Ranks.size() == Model->GroupSize;
  auto Mine = this->Pending.find(Key);
  if (Whole && Row.AllReady && Key.Epoch <= S.View.OwnedFloor)
    return this->release(S, Key, Row, "formed by an earlier owner");
  if (Whole && Row.AllReady) {
    S.hold(Row);
    ++S.Have[Model->Name];
    if (this->mayOrder(Key, OrderKind::Open, Row.Head->Id, S.View.Now))
      S.Orders.push_back(
          {OrderKind::Open, Row.Head, Key, Model->Name, {}, "all are ready"});
    return;
  }
  TimePoint Now = S.View.Now;
  if (Mine == this->Pending.end()) {
    // An earlier owner's, still loading: give it time once.
    Forming Adopted{
        Model->Name, {}, Now, Model->LoadTime * LoadTimeFactor + FormSlack, {}};
    for (const auto &[Rank, Vm] : Row.Ranks)
      Adopted.Members.push_back(Vm->Id);
    if (!Whole)
      Adopted.Limit = ShowTime;
    Mine = this->Pending.emplace(Key, std::move(Adopted)).first;
  }
  bool Shown = Whole || Now - Mine->second.Since < ShowTime;
  if (!Shown || Now - Mine->second.Since > Mine->second.Limit) {
    this->Pending.erase(Mine);
    this->GivenUp.insert(Key);
    return this->release(S, Key, Row, "it does not form in time");
  }
  S.hold(Row);
}

/// Frees the members of a group that does not serve. An order to open it may
/// still be on its way to the head, so the head has to leave first.
void DomainPlanner::release(Step &S, const GroupKey &Key, const Announced &Row,
                            const std::string &Reason) {
  if (!Row.Head)
    return this->releaseEach(S, Key, Row);
  if (Row.Head->Group->State == MemberState::Broken)
    return;
  S.hold(Row);
  if (this->mayOrder(Key, OrderKind::Leave, Row.Head->Id, S.View.Now))
    S.Orders.push_back({OrderKind::Leave, Row.Head, Key, "", {}, Reason});
}

/// Members that were ordered and do not show it yet are kept back too; a
/// group of which a member went, or that does not show in time, is given up.
void DomainPlanner::dropStaleForming(Step &S) {
  std::erase_if(this->Pending, [&](const auto &Entry) {
    const auto &[Key, Row] = Entry;
    auto Listed = [&](const VmId &Id) {
      return std::any_of(
          S.View.Targets.begin(), S.View.Targets.end(),
          [&](const TargetRef &T) { return T->Id == Id && S.isUsable(*T); });
    };
    bool Late = !S.Groups.contains(Key) && S.View.Now - Row.Since > ShowTime;
    if (Late || !std::all_of(Row.Members.begin(), Row.Members.end(), Listed)) {
      this->GivenUp.insert(Key);
      return true;
    }
    for (const VmId &Id : Row.Members)
      S.Busy.insert(Id);
    auto Shown = S.Groups.find(Key);
    if (Shown == S.Groups.end() || !Shown->second.AllReady ||
        Shown->second.Ranks.size() != Row.Members.size())
      ++S.Have[Row.Model];
    return false;
  });
}

void DomainPlanner::formMissing(Step &S) {
  auto Usable = static_cast<std::size_t>(
      std::count_if(S.View.Targets.begin(), S.View.Targets.end(),
                    [&](const TargetRef &Row) { return S.isUsable(*Row); }));
  std::vector<unsigned> Wanted = groupsFor(S.Engine, Usable);
  for (const ModelSpec *Model : largestFirst(S.Engine)) {
    auto Index = static_cast<std::size_t>(Model - S.Engine.Models.data());
    while (S.Have[Model->Name] < Wanted[Index] && this->form(S, *Model))
      ++S.Have[Model->Name];
  }
  // Hosts that are ready for another group than planned serve rather than
  // rest.
  const ModelSpec *Scarce = this->scarcest(S);
  for (const ModelSpec *Model : largestFirst(S.Engine))
    while (S.supply(*Scarce) >= ScarcePart * S.supply(*Model) &&
           countWarm(S.freeVms(), *Model) >= Model->GroupSize &&
           this->form(S, *Model))
      ++S.Have[Model->Name];
  this->formScarce(S);
}

/// Loads weights for a model that is short of groups, on hosts that would rest.
/// One stays as a reserve, unless the model is very short.
void DomainPlanner::formScarce(Step &S) {
  const ModelSpec *Scarce = this->scarcest(S);
  if (!Scarce)
    return;
  double Most = 0;
  for (const ModelSpec &Row : S.Engine.Models)
    Most = std::max(Most, S.supply(Row));
  if (S.supply(*Scarce) >= ScarcePart * Most)
    return;
  std::size_t Reserve = S.supply(*Scarce) < VeryScarcePart * Most ? 0 : 1;
  if (S.freeVms().size() >= Scarce->GroupSize + Reserve)
    this->form(S, *Scarce, true);
}

bool DomainPlanner::form(Step &S, const ModelSpec &Model, bool LoadsAnyway) {
  std::vector<TargetRef> Free = S.freeVms();
  std::size_t Warm = countWarm(Free, Model);
  if (Warm < Model.GroupSize && this->giveUpSmaller(S, Model, Warm))
    return false;
  if (Free.size() < Model.GroupSize)
    return false;
  // Loads from the shared store take many seconds: hosts are staged first,
  // meanwhile the others may serve, unless nothing serves the model at all.
  bool Staging =
      S.Engine.ModelsStagedPerHost > 0 && S.View.LoadsAllowed < FreeLoads;
  if (Warm < Model.GroupSize && Staging && !LoadsAnyway &&
      S.View.Serving.contains(Model.Name))
    return false;
  std::stable_sort(Free.begin(), Free.end(),
                   [&](const TargetRef &Left, const TargetRef &Right) {
                     return loadRank(*Left, Model.Name) <
                            loadRank(*Right, Model.Name);
                   });
  Free.resize(Model.GroupSize);
  auto Cold = static_cast<unsigned>(
      std::count_if(Free.begin(), Free.end(), [&](const TargetRef &Row) {
        return loadRank(*Row, Model.Name) == 2;
      }));
  if (Cold > S.LoadsLeft)
    return false;
  S.LoadsLeft -= Cold;
  std::uint64_t Seen = S.View.EpochFloor;
  for (const TargetRef &Row : S.View.Targets)
    if (Row->Group)
      Seen = std::max(Seen, Row->Group->Group.Epoch);
  this->LastEpoch = std::max(this->LastEpoch, Seen) + 1;
  GroupKey Key{groupName(Model.Name, S.View.Domain, this->LastEpoch),
               this->LastEpoch};
  Forming Row{Model.Name, {}, S.View.Now, {}, {}};
  Row.Limit = (Cold ? Model.LoadTime : Model.StagedLoadTime) * LoadTimeFactor +
              FormSlack;
  for (const TargetRef &Vm : Free)
    Row.Members.push_back(Vm->Id);
  for (const TargetRef &Vm : Free) {
    S.Busy.insert(Vm->Id);
    S.Orders.push_back({OrderKind::Join, Vm, Key, Model.Name, Row.Members,
                        Cold ? "form, with loads" : "form"});
  }
  this->Pending.emplace(Key, std::move(Row));
  return true;
}

/// Closes a group of a smaller model whose VMs make, with the \p Warm ones that
/// are free, a group of \p Model without loading weights. True where one is
/// closed, or still closing.
bool DomainPlanner::giveUpSmaller(Step &S, const ModelSpec &Model,
                                  std::size_t Warm) {
  const std::pair<const GroupKey, Announced> *Best = nullptr;
  for (const auto &Entry : S.Groups) {
    const auto &[Key, Row] = Entry;
    const ModelSpec *Other = S.Engine.model(modelOf(Key.Name));
    if (!Row.Head || !Other || Other->GroupSize >= Model.GroupSize ||
        this->HeadLeft.contains(Key))
      continue;
    auto Helps = static_cast<std::size_t>(
        std::count_if(Row.Ranks.begin(), Row.Ranks.end(), [&](const auto &R) {
          return S.isUsable(*R.second) && R.second->hasStaged(Model.Name);
        }));
    MemberState State = Row.Head->Group->State;
    auto CountOf = [&](const ModelSpec &M) {
      auto At = S.View.Serving.find(M.Name);
      return At == S.View.Serving.end() ? 0.0 : static_cast<double>(At->second);
    };
    if (State == MemberState::Open &&
        CountOf(*Other) - 1 < KeptPart * CountOf(Model))
      continue;
    if (Warm + Helps < Model.GroupSize)
      continue;
    if (State == MemberState::Closing && this->GivenUp.contains(Key))
      return true;
    if (State == MemberState::Open && !Best)
      Best = &Entry;
  }
  if (!Best)
    return false;
  const auto &[Key, Row] = *Best;
  this->GivenUp.insert(Key);
  if (this->mayOrder(Key, OrderKind::Close, Row.Head->Id, S.View.Now))
    S.Orders.push_back({OrderKind::Close,
                        Row.Head,
                        Key,
                        "",
                        {},
                        "its VMs are needed for " + Model.Name});
  return true;
}

/// Stages models on hosts ahead of need. The hosts of some groups of smaller
/// models hold the largest besides: its repair takes them. Free VMs are the
/// reserve of the smaller models then, and else of the largest.
void DomainPlanner::stageSpares(Step &S) {
  std::vector<const ModelSpec *> Models = largestFirst(S.Engine);
  if (S.Engine.ModelsStagedPerHost == 0 || Models.empty())
    return;
  std::vector<TargetRef> Free = S.freeVms();
  std::size_t Wanted =
      Free.size() >= FewReserves ? DonorsBesideReserves : DonorsAlone;
  std::vector<const Announced *> Donors;
  for (const auto &[Key, Group] : S.Groups) {
    const ModelSpec *Model = S.Engine.model(modelOf(Key.Name));
    if (Donors.size() < Wanted && Model &&
        Model->GroupSize < Models.front()->GroupSize && Group.Head &&
        Group.Head->Group->State == MemberState::Open)
      Donors.push_back(&Group);
  }
  std::map<std::string, int> Reserves;
  for (const TargetRef &Row : Free)
    for (const ModelSpec *Model : Models)
      Reserves[Model->Name] += Row->hasStaged(Model->Name) ? 1 : 0;
  const ModelSpec &Large = *Models.front();
  const ModelSpec &Small = *Models.back();
  for (const TargetRef &Row : Free) {
    bool Any =
        std::any_of(Models.begin(), Models.end(), [&](const ModelSpec *Model) {
          return Row->hasStaged(Model->Name);
        });
    if (Any)
      continue;
    bool ForSmall = !Donors.empty()
                        ? Reserves[Small.Name] <= Reserves[Large.Name]
                        : Reserves[Small.Name] < Reserves[Large.Name];
    const ModelSpec &Next = ForSmall ? Small : Large;
    ++Reserves[Next.Name];
    if (!this->stage(S, Row, Next))
      return;
  }
  for (const Announced *Donor : Donors)
    for (const auto &[Rank, Vm] : Donor->Ranks)
      if (!this->stage(S, Vm, Large))
        return;
}

/// The model that has the fewest groups for its part of the work.
const ModelSpec *DomainPlanner::scarcest(const Step &S) const {
  const ModelSpec *Best = nullptr;
  double Least = 0;
  for (const ModelSpec *Row : largestFirst(S.Engine)) {
    double Rate = S.supply(*Row);
    if (!Best || Rate < Least) {
      Best = Row;
      Least = Rate;
    }
  }
  return Best;
}

/// Orders the staging unless it is done or under way; false where no more
/// loads may begin.
bool DomainPlanner::stage(Step &S, const TargetRef &Vm,
                          const ModelSpec &Model) {
  if (!S.isUsable(*Vm) || Vm->hasStaged(Model.Name))
    return true;
  TimePoint &At = this->Staging[Vm->Id];
  if (At != TimePoint() && S.View.Now - At < Model.LoadTime * StageTimeFactor)
    return true;
  bool Free = S.View.LoadsAllowed >= FreeLoads;
  auto UnderWay = std::count_if(
      this->Staging.begin(), this->Staging.end(), [&](const auto &Entry) {
        return Entry.second != TimePoint() &&
               S.View.Now - Entry.second < Model.LoadTime;
      });
  if (S.LoadsLeft == 0 || (!Free && UnderWay >= StagingsAtOnce))
    return false;
  At = S.View.Now;
  --S.LoadsLeft;
  GroupOrder Order;
  Order.Kind = OrderKind::Stage;
  Order.To = Vm;
  Order.Model = Model.Name;
  Order.Reason = "a reserve for repairs";
  S.Orders.push_back(std::move(Order));
  return true;
}

} // namespace waycove
