// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "policy/fleet.h"
#include "policy/group_load.h"

#include <tuple>

namespace waycove {

/// Commands that a target accepts about its group.
enum class OrderKind { Join, Open, Close, Leave, Stage };

std::string_view orderName(OrderKind Kind);

/// One command to one target.
struct GroupOrder {
  OrderKind Kind{};
  TargetRef To;
  GroupKey Group;
  std::string Model;
  /// For Join: all members in the order of their ranks.
  std::vector<VmId> Members;
  /// Logged with the order.
  std::string Reason;
};

/// What is known of a group member whose registry entry was removed.
enum class MemberStatus {
  /// Not queried yet, or no conclusive response.
  Unknown,
  /// It responds and is still in the group.
  Alive,
  /// Its process ended or was replaced, or it does not respond.
  Dead,
};

/// A new owner waits this long before it plans, so that the registry shows the
/// effects of the previous owner's orders.
inline constexpr Millis TakeoverDelay{1000};

/// Value of DomainView::LoadsAllowed where weight loads are not limited.
inline constexpr unsigned UnlimitedLoads = 1000;

/// The VMs of one service in a fabric domain. Other services may have VMs
/// there.
struct ServiceDomain {
  ServiceId Service;
  DomainId Domain;
  // Defaulted by the compiler. NOLINTNEXTLINE
  auto operator<=>(const ServiceDomain &) const = default;
};

/// Input of one planning step: the state of a domain and of the service.
struct DomainView {
  DomainId Domain;
  ServiceId Service;
  /// Position among all domains of the service. Domains that are too small for
  /// one group of each model start with different models by it.
  std::size_t DomainIndex = 0;
  /// All listed targets of the service in the domain.
  std::vector<TargetRef> Targets;
  /// Those that the registry removed recently.
  std::vector<RemovedTarget> Removed;
  /// Statuses of removed members that were queried.
  std::map<VmIncarnation, MemberStatus> Statuses;
  /// Groups that serve now, by model, in all domains.
  std::map<std::string, unsigned> ServingGroups;
  /// Groups of the other domains, by model, as forecast by forecastDomains().
  GroupCounts OtherGroups;
  /// Of these, the groups in this domain's data centre.
  GroupCounts OtherGroupsInCentre;
  /// Data centres that have VMs of the service.
  std::size_t CentreCount = 1;
  /// Change of OtherGroups if the domains ordered before this one trade a small
  /// group for a large one. Owners assume these trades, so that they do not all
  /// compensate for the same shortage.
  GroupCounts EarlierTrades;
  /// Listed targets that are treated as dead before the registry removes them:
  /// an order to join did not reach them, another process responds at their
  /// address, or they do not respond to probes, which are sent when the head of
  /// their group is stalled or suspected.
  std::set<VmIncarnation> PresumedDead;
  /// New groups get epochs above this, which derives from the owner's fence.
  std::uint64_t EpochFloor = 0;
  /// Groups with epochs up to this were formed before this ownership began.
  std::uint64_t PriorEpochMax = 0;
  /// Demand per model, per second, over all nodes. Empty where only the
  /// operators' figures are known.
  DemandTable Demand;
  /// Weight loads from the shared store that the domain may start now, as
  /// scheduleLoads() says and within the owner's LoadBudget, or UnlimitedLoads.
  unsigned LoadsAllowed = 0;
  /// Further weight loads that the store can serve at full speed.
  unsigned SpareLoads = 0;
  /// Models of which this domain has the most serving groups; ties go to the
  /// domain that comes first. Only this domain converts groups of them.
  std::set<std::string> ReleasableModels;
  /// Whether a group is closing in any domain.
  bool AnyGroupClosing = false;
  /// How long a group goes on serving after a member starts to drain.
  Millis DrainGracePeriod{0};
  TimePoint Now;
};

/// Plans the groups of one domain: how many per model, of which VMs, and which
/// orders to send next. Each step compares what the VMs announce with what was
/// ordered. The planner's state is not persisted: a new owner starts from the
/// announcements alone. Used by entries on the platform; the daemon with
/// waycove's own interface plans with planSlot().
///
/// Invariants, whatever messages are lost, late or repeated:
/// - A VM joins a new group only after the head of its current group is known
///   to be neither open nor closing.
/// - A head is opened only after every member announced ready under the same
///   name and epoch, and only in a group of this ownership: orders of an
///   earlier owner may still be in flight to members of its groups.
/// - Before members of a group that does not serve are reused, its head has to
///   leave, since an order to open may still be in flight. Where the head
///   cannot be reached, every member has to leave instead: a head that is alive
///   after all then stalls, and no VM is in two groups.
/// - Epochs rise with each new group, so late orders are refused.
class DomainPlanner {
public:
  /// Runs one planning step and returns the orders to send.
  std::vector<GroupOrder> step(const DomainView &View,
                               const EngineSpec &Engine);
  /// Reports that the target of \p Order, a Leave, is no longer in that group.
  /// If it was the head, all members become free.
  void onLeaveConfirmed(const GroupOrder &Order);
  /// Removed members whose status the last step needs.
  const std::vector<RemovedTarget> &statusQueries() const {
    return this->StatusQueries;
  }

private:
  /// A group as announced by its members.
  struct AnnouncedGroup {
    std::map<unsigned, TargetRef> Ranks;
    TargetRef Head;
    bool AnyDraining = false;
    bool AllReady = true;
  };
  /// A group that this planner ordered, or adopted from an earlier owner, and
  /// that is not open yet.
  struct FormingGroup {
    std::string Model;
    std::vector<VmIncarnation> Members;
    TimePoint Since;
    Millis Timeout{0};
  };
  struct Step;

  static void collect(Step &S);
  void reviewGroup(Step &S, const GroupKey &Key, const AnnouncedGroup &Group);
  MemberStatus statusOf(const Step &S, const RemovedTarget &Target);
  bool isComplete(Step &S, const GroupKey &Key, const AnnouncedGroup &Group,
                  std::size_t Size);
  bool servesWhileDraining(const Step &S, const GroupKey &Key,
                           const AnnouncedGroup &Group);
  void reviewUnlisted(Step &S, const GroupKey &Key,
                      const AnnouncedGroup &Group);
  void reviewHeadless(Step &S, const GroupKey &Key,
                      const AnnouncedGroup &Group);
  void reviewForming(Step &S, const GroupKey &Key, const AnnouncedGroup &Group);
  void release(Step &S, const GroupKey &Key, const AnnouncedGroup &Group,
               const std::string &Reason);
  void releaseMembers(Step &S, const GroupKey &Key,
                      const AnnouncedGroup &Group);
  void dropStaleForming(Step &S);
  void formMissing(Step &S);
  std::vector<TargetRef> freeVmsFor(const Step &S,
                                    const ModelSpec &Model) const;
  GroupKey nextGroupKey(const Step &S, const ModelSpec &Model);
  bool formGroup(Step &S, const ModelSpec &Model);
  void orderJoins(Step &S, const ModelSpec &Model,
                  const std::vector<TargetRef> &Members, unsigned Cold);
  const ModelSpec *bestModelToForm(Step &S);
  bool preemptSmaller(Step &S, const ModelSpec &Model,
                      const GroupCounts &Alternative);
  void convertGroups(Step &S);
  bool mayConvert(const Step &S) const;
  void expireReservations(const Step &S);
  void loadReserved(Step &S);
  /// Closes groups of one model to form groups of another.
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
  bool reviewWarmUp(Step &S, const GroupKey &Key, const AnnouncedGroup &Group);
  void trackWarmUps(Step &S);
  void stageMissing(Step &S);
  void stageSpares(Step &S);
  /// VMs that make up a group once the missing weights are loaded.
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
  bool tryStartLoad(Step &S, int MaxConcurrent);
  void stageModel(Step &S, const TargetRef &Vm, const ModelSpec &Model,
                  int MaxConcurrent);
  /// Adds an order unless the same one was sent a short time ago.
  void addOrder(Step &S, OrderKind Kind, const TargetRef &To,
                const GroupKey &Group, const std::string &Reason,
                const std::string &Model = std::string());
  bool isSettled(const DomainView &View);

  std::map<GroupKey, FormingGroup> FormingGroups;
  /// Groups whose head has left.
  std::set<GroupKey> LeftGroups;
  /// Members of groups without a head that have left.
  std::set<std::pair<GroupKey, VmIncarnation>> LeftMembers;
  /// Groups that did not form in time or were preempted; never opened again.
  std::set<GroupKey> AbandonedGroups;
  /// When a member of the group was first seen draining.
  std::map<GroupKey, TimePoint> DrainingSince;
  /// Since when the configuration has not listed the model of a serving group.
  std::map<GroupKey, TimePoint> UnlistedSince;
  std::map<std::tuple<GroupKey, OrderKind, VmIncarnation>, TimePoint>
      LastOrderAt;
  /// When staging of a model was last ordered on a VM's host.
  std::map<std::pair<VmIncarnation, std::string>, TimePoint> StagingOrderedAt;
  /// A load group: one VM that only loads weights.
  struct WarmUp {
    VmIncarnation Vm;
    TimePoint Since;
    /// The weights are loaded from the shared store, not from the host.
    bool Cold = false;
  };
  std::map<GroupKey, WarmUp> WarmUps;
  std::set<VmIncarnation> WarmUpTried;
  /// The model that a VM of a converted group has to load, and how long the VM
  /// is reserved for it.
  struct ModelReservation {
    std::string Model;
    TimePoint Until;
  };
  std::map<VmIncarnation, ModelReservation> Reservations;
  /// When a group in any domain was last seen closing.
  TimePoint LastClosingAt;
  /// Since when each free VM has been free.
  std::map<VmIncarnation, TimePoint> FreeSince;
  std::vector<RemovedTarget> StatusQueries;
  std::uint64_t LastEpoch = 0;
  std::size_t SeenTargetCount = 0;
  TimePoint TargetsChangedAt;
  bool Started = false;
};

/// Returns how many groups of each model to form of \p Vms VMs, in the order of
/// \p Engine's models: one of each in turn, the largest first, while they fit.
/// Groups of smaller models are reserves for larger ones: their hosts also
/// stage the larger model, and replace lost members of its groups. Where one of
/// each does not fit, domains start with different models by \p DomainIndex.
std::vector<unsigned> planGroupCounts(const EngineSpec &Engine, std::size_t Vms,
                                      std::size_t DomainIndex = 0);

} // namespace waycove
