// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"
#include "policy/group_load.h"

#include <tuple>

namespace waycove {

/// What a target can be told about groups.
enum class OrderKind { Join, Open, Close, Leave, Stage };

std::string_view orderName(OrderKind Kind);

/// One order to one target.
struct GroupOrder {
  OrderKind Kind{};
  TargetRef To;
  GroupKey Group;
  std::string Model;
  /// For Join: all members, the head first.
  std::vector<VmId> Members;
  /// Why it is given, for the log.
  std::string Reason;
};

/// What is known of a group's member whose registry entry went.
enum class MemberStatus {
  /// Nobody asked it yet, or the answer is not in.
  Unknown,
  /// It answers, and is still in the group.
  Alive,
  /// Its process ended, another one is there, or it does not answer at all.
  Dead,
};

/// A new owner of a domain plans no sooner: what the last one ordered shows in
/// the registry within about 0.6 s, and other views lag a little more.
inline constexpr Millis TakeoverDelay{1000};

/// Loads allowed where they are not bounded.
inline constexpr unsigned UnlimitedLoads = 1000;

/// How a domain looks in one planning step.
struct DomainView {
  DomainId Domain;
  ServiceId Service;
  /// Its place among all domains of the service, so that domains too small for
  /// all models share these out.
  std::size_t DomainIndex = 0;
  /// All listed targets of the domain.
  std::vector<TargetRef> Targets;
  /// Those that went lately.
  std::vector<RemovedTarget> Removed;
  /// Fates of members that went, as far as asked.
  std::map<VmIncarnation, MemberStatus> Statuses;
  /// Groups that serve now, by model, over all domains.
  std::map<std::string, unsigned> ServingGroups;
  /// Groups of the other domains, by model, as forecastDomains() says.
  GroupCounts OtherGroups;
  /// Of these, the ones in this domain's data centre, and how many data centres
  /// have VMs of the service.
  GroupCounts OtherGroupsInCentre;
  std::size_t CentreCount = 1;
  /// How Elsewhere changes where the domains before this one close small groups
  /// for large ones. Each owner takes it that those before it do, so that not
  /// all of them make up for the same lack.
  GroupCounts EarlierTrades;
  /// Listed targets that do not answer while their group's head stands still:
  /// taken for dead, ahead of the registry.
  std::set<VmIncarnation> PresumedDead;
  /// Orders carry epochs above this: the owner's fence.
  std::uint64_t EpochFloor = 0;
  /// Groups with epochs up to this were formed before this ownership began.
  std::uint64_t PriorEpochMax = 0;
  /// What callers ask of each model in a second, over all nodes; empty where
  /// only operators' figures are known.
  DemandTable Demand;
  /// Loads of weights from the shared store whose turn it is, as
  /// scheduleLoads() says, within the owner's LoadBudget; UnlimitedLoads where
  /// they are not bounded.
  unsigned LoadsAllowed = 0;
  /// Further loads that the store serves at full speed.
  unsigned SpareLoads = 0;
  /// Models of which no other domain has more groups that serve, or as many
  /// and comes first: where such groups are to give way, this one begins.
  std::set<std::string> ReleasableModels;
  /// In some domain a group is closing.
  bool AnyGroupClosing = false;
  /// For so long after a member was seen to drain its group goes on.
  Millis DrainGracePeriod{0};
  TimePoint Now;
};

/// Plans one domain's groups: which models get how many, which VMs form them,
/// and what each has to be told next. A step looks at what the VMs announce,
/// compares it with what it ordered, and gives the next orders; it keeps no
/// truth of its own, so a new owner begins from the announcements alone.
///
/// Rules that hold whatever is lost, late or repeated:
/// - A VM is taken into a new group only when the head of its present one is
///   known not to be open or closing.
/// - A head is opened only after each member announced ready under the same
///   name and epoch, and only in a group of this ownership: an earlier owner's
///   orders may still be on their way to members of its groups.
/// - Before members of a group that does not serve are used, its head has to
///   leave: an order to open may still be on its way. Where the head cannot be
///   asked, each member has to leave itself: a head that lives after all then
///   stands still, and no VM is in two groups.
/// - Epochs rise with each new group, so what arrives late is refused.
class DomainPlanner {
public:
  std::vector<GroupOrder> step(const DomainView &View,
                               const EngineSpec &Engine);
  /// The target of \p Order, a Leave, is no longer in that group. Where it was
  /// the head, all members are free.
  void onLeaveConfirmed(const GroupOrder &Order);
  /// Members that went and whose fate has to be asked.
  const std::vector<RemovedTarget> &statusQueries() const {
    return this->StatusQueries;
  }

private:
  /// A group as its members announce it.
  struct AnnouncedGroup {
    std::map<unsigned, TargetRef> Ranks;
    TargetRef Head;
    bool AnyDraining = false;
    bool AllReady = true;
  };
  /// A group that this planner ordered and that is not open yet.
  struct FormingGroup {
    std::string Model;
    std::vector<VmIncarnation> Members;
    TimePoint Since;
    Millis Timeout{0};
  };
  struct Step;

  static void collect(Step &S);
  void reviewGroup(Step &S, const GroupKey &Key, const AnnouncedGroup &Row);
  MemberStatus statusOf(const Step &S, const RemovedTarget &Row);
  bool isComplete(Step &S, const GroupKey &Key, const AnnouncedGroup &Row,
                  std::size_t Size);
  bool servesWhileDraining(const Step &S, const GroupKey &Key,
                           const AnnouncedGroup &Row);
  void reviewHeadless(Step &S, const GroupKey &Key, const AnnouncedGroup &Row);
  void reviewForming(Step &S, const GroupKey &Key, const AnnouncedGroup &Row);
  void release(Step &S, const GroupKey &Key, const AnnouncedGroup &Row,
               const std::string &Reason);
  void releaseMembers(Step &S, const GroupKey &Key, const AnnouncedGroup &Row);
  void dropStaleForming(Step &S);
  void formMissing(Step &S);
  std::vector<TargetRef> freeVmsFor(const Step &S,
                                    const ModelSpec &Model) const;
  GroupKey nextGroupKey(const Step &S, const ModelSpec &Model);
  bool formGroup(Step &S, const ModelSpec &Model);
  void orderJoins(Step &S, const ModelSpec &Model,
                  const std::vector<TargetRef> &Members, unsigned Cold);
  const ModelSpec *bestModelToForm(Step &S);
  bool preemptSmaller(Step &S, const ModelSpec &Model, const GroupCounts &Else);
  void convertGroups(Step &S);
  bool mayConvert(const Step &S) const;
  void expireReservations(const Step &S);
  void loadReserved(Step &S);
  /// Groups of one model that give way to others.
  struct Conversion {
    const ModelSpec *From = nullptr;
    const ModelSpec *To = nullptr;
    std::size_t Closed = 0;
    double LossAfter = 0;
  };
  Conversion bestConversion(const Step &S) const;
  std::vector<const std::pair<const GroupKey, AnnouncedGroup> *>
  openGroups(const Step &S, const ModelSpec &Model) const;
  bool isReservedForOther(const TargetInfo &Vm, const ModelSpec &Model) const;
  void warmUpReserves(Step &S);
  void joinLoadGroup(Step &S, const TargetRef &Vm, const ModelSpec &Model,
                     const std::string &Reason);
  bool reviewWarmUp(Step &S, const GroupKey &Key, const AnnouncedGroup &Row);
  void trackWarmUps(Step &S);
  void stageMissing(Step &S);
  void stageSpares(Step &S);
  /// A group to load weights for.
  struct LoadPlan {
    const ModelSpec *Model = nullptr;
    std::vector<TargetRef> Members;
  };
  std::vector<TargetRef> loadingVms(const Step &S) const;
  std::optional<int> loadRankOf(const TargetInfo &Vm,
                                const ModelSpec &Model) const;
  LoadPlan bestLoadPlan(const Step &S, const GroupCounts &Now,
                        const std::vector<TargetRef> &Vms) const;
  static std::vector<const AnnouncedGroup *>
  donorsFor(const Step &S, const ModelSpec &Large, std::size_t Free);
  unsigned unseenLoads(const Step &S) const;
  int runningLoads(const Step &S) const;
  bool tryStartLoad(Step &S, int AtOnce);
  void stageModel(Step &S, const TargetRef &Vm, const ModelSpec &Model,
                  int AtOnce);
  /// Gives an order, unless the same was given a short while ago.
  void addOrder(Step &S, OrderKind Kind, const TargetRef &To,
                const GroupKey &Group, const std::string &Reason,
                const std::string &Model = std::string());
  bool isSettled(const DomainView &View);

  std::map<GroupKey, FormingGroup> Pending;
  /// Groups whose head took the order to leave.
  std::set<GroupKey> LeftGroups;
  /// Members of groups without head that took the order to leave.
  std::set<std::pair<GroupKey, VmIncarnation>> LeftMembers;
  /// Groups that did not form in time; never opened by this planner.
  std::set<GroupKey> AbandonedGroups;
  /// Since when a member of the group drains.
  std::map<GroupKey, TimePoint> DrainingSince;
  std::map<std::tuple<GroupKey, OrderKind, VmIncarnation>, TimePoint>
      LastOrderAt;
  /// When weights were ordered onto a host, by model.
  std::map<std::pair<VmIncarnation, std::string>, TimePoint> StagingOrderedAt;
  /// A group of one VM that only loads its weights.
  struct WarmUp {
    VmIncarnation Vm;
    TimePoint Since;
    /// From the shared store, not from its host.
    bool Cold = false;
  };
  std::map<GroupKey, WarmUp> WarmUps;
  std::set<VmIncarnation> WarmUpTried;
  /// VMs whose group gave way, the model that they are to load, and until when.
  struct ModelReservation {
    std::string Model;
    TimePoint Until;
  };
  std::map<VmIncarnation, ModelReservation> Reservations;
  /// When a group was last seen to close anywhere.
  TimePoint LastClosingAt;
  /// Since when each VM that is free has been so.
  std::map<VmIncarnation, TimePoint> FreeSince;
  std::vector<RemovedTarget> StatusQueries;
  std::uint64_t LastEpoch = 0;
  std::size_t SeenTargetCount = 0;
  TimePoint TargetsChangedAt;
  bool Started = false;
};

/// How many groups of each model \p Vms make, the models in the order of
/// \p Engine: one of each in turn, the largest first, while they fit. Groups of
/// smaller models are the reserve of larger ones: their hosts have the larger
/// model staged, and are taken where a group of it lost a member. Where not one
/// of each fits, domains begin with different models, by their \p DomainIndex.
std::vector<unsigned> planGroupCounts(const EngineSpec &Engine, std::size_t Vms,
                                      std::size_t DomainIndex = 0);

} // namespace waycove
