// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Review of the announced groups: which of them serve or are forming, which
// have to be closed or left, and whose members must not be reused.

#include "policy/domain_step.h"

#include <algorithm>

namespace waycove {

namespace {

/// Longer than a configuration takes to be in force at all nodes.
constexpr Millis UnlistedModelDelay(6000);

} // namespace

/// Determines the state of an announced group and adds the order that it needs.
void DomainPlanner::reviewGroup(Step &S, const GroupKey &Key,
                                const AnnouncedGroup &Group) {
  bool Serves =
      Group.Head && (Group.Head->Group->State == MemberState::Open ||
                     Group.Head->Group->State == MemberState::Closing);
  if (this->LeftGroups.contains(Key) || this->reviewWarmUp(S, Key, Group))
    return;
  if (this->AbandonedGroups.contains(Key) && !Serves)
    return this->release(S, Key, Group, "given up");
  const ModelSpec *Model = S.Engine.model(modelOf(Key.Name));
  std::size_t Size = Model ? Model->GroupSize : 0;
  if (!Group.Head)
    return this->reviewHeadless(S, Key, Group);
  bool Complete = this->isComplete(S, Key, Group, Size);
  MemberState State = Group.Head->Group->State;
  if (State == MemberState::Broken)
    return;
  if (!Serves)
    return this->reviewForming(S, Key, Group);
  // While the head serves, no member may be reused.
  S.markBusy(Group);
  this->FormingGroups.erase(Key);
  if (!Model)
    return this->reviewUnlisted(S, Key, Group);
  this->UnlistedSince.erase(Key);
  if (Complete &&
      (!Group.AnyDraining || this->servesWhileDraining(S, Key, Group))) {
    ++S.OwnCounts[Model->Name];
    return;
  }
  OrderKind Kind = Complete ? OrderKind::Close : OrderKind::Leave;
  if (Kind == OrderKind::Close && State == MemberState::Closing)
    return;
  this->addOrder(S, Kind, Group.Head, Key,
                 Complete ? "a member is draining" : "a member is gone");
}

/// Closes a serving group whose model the configuration does not list, once all
/// nodes have had time to learn that: the model may also be newer than the
/// configuration that this node has.
void DomainPlanner::reviewUnlisted(Step &S, const GroupKey &Key,
                                   const AnnouncedGroup &Group) {
  TimePoint Since =
      this->UnlistedSince.try_emplace(Key, S.View.Now).first->second;
  if (S.View.Now - Since >= UnlistedModelDelay &&
      Group.Head->Group->State == MemberState::Open)
    this->addOrder(S, OrderKind::Close, Group.Head, Key,
                   "its model is not configured");
}

/// Whether a group with a draining member, other than the head, still takes
/// requests: the member serves on for the drain grace period.
bool DomainPlanner::servesWhileDraining(const Step &S, const GroupKey &Key,
                                        const AnnouncedGroup &Group) {
  if (Group.Head->Draining || Group.Head->Group->State != MemberState::Open)
    return false;
  TimePoint Since =
      this->DrainingSince.try_emplace(Key, S.View.Now).first->second;
  return S.View.Now - Since < S.View.DrainGracePeriod;
}

/// Status of a removed member, which is queried again after this step.
MemberStatus DomainPlanner::statusOf(const Step &S,
                                     const RemovedTarget &Target) {
  // Queried as long as it matters: a member that is unreachable now may die.
  this->StatusQueries.push_back(Target);
  auto At = S.View.Statuses.find(Target.Last->incarnation());
  return At == S.View.Statuses.end() ? MemberStatus::Unknown : At->second;
}

/// Whether all members are present. Removed members count unless known to be
/// dead, since they may only be cut off from the registry.
bool DomainPlanner::isComplete(Step &S, const GroupKey &Key,
                               const AnnouncedGroup &Group, std::size_t Size) {
  std::size_t Present = Group.Ranks.size();
  if (Present < Size && Group.Head->Group->State == MemberState::Open)
    for (const RemovedTarget &Removed : S.View.Removed)
      if (Removed.Last->Group && Removed.Last->Group->Group == Key &&
          !Group.Ranks.contains(Removed.Last->Group->Rank) &&
          this->statusOf(S, Removed) != MemberStatus::Dead)
        ++Present;
  return Present >= Size;
}

/// Reviews a group whose head is not listed or is presumed dead.
void DomainPlanner::reviewHeadless(Step &S, const GroupKey &Key,
                                   const AnnouncedGroup &Group) {
  if (this->FormingGroups.contains(Key))
    return this->reviewForming(S, Key, Group);
  auto Head = std::find_if(S.View.Removed.begin(), S.View.Removed.end(),
                           [&](const RemovedTarget &Removed) {
                             return Removed.Last->Group &&
                                    Removed.Last->Group->Group == Key &&
                                    Removed.Last->Group->Rank == 0;
                           });
  // The head is presumed dead, moved to another group, or was never listed.
  if (Head == S.View.Removed.end())
    return this->releaseMembers(S, Key, Group);
  MemberStatus Status = this->statusOf(S, *Head);
  if (Status == MemberStatus::Dead)
    return this->releaseMembers(S, Key, Group);
  S.markBusy(Group);
  if (Status == MemberStatus::Alive)
    this->addOrder(S, OrderKind::Leave, Head->Last, Key,
                   "its registry entry was removed");
}

/// Orders each member of a group to leave whose head cannot be reached.
void DomainPlanner::releaseMembers(Step &S, const GroupKey &Key,
                                   const AnnouncedGroup &Group) {
  for (const auto &[Rank, Vm] : Group.Ranks) {
    if (this->LeftMembers.contains({Key, Vm->incarnation()}))
      continue;
    S.Busy.insert(Vm->incarnation());
    this->addOrder(S, OrderKind::Leave, Vm, Key, "its head was lost");
  }
}

/// Opens a group once all members are ready, and releases it if a member drains
/// or if it does not form in time.
void DomainPlanner::reviewForming(Step &S, const GroupKey &Key,
                                  const AnnouncedGroup &Group) {
  const ModelSpec *Model = S.Engine.model(modelOf(Key.Name));
  if (!Model || Group.AnyDraining)
    return this->release(S, Key, Group, "a member is draining");
  bool Complete = Group.Ranks.size() == Model->GroupSize;
  auto Own = this->FormingGroups.find(Key);
  if (Complete && Group.AllReady && Key.Epoch <= S.View.PriorEpochMax)
    return this->release(S, Key, Group, "formed by an earlier owner");
  if (Complete && Group.AllReady) {
    S.markBusy(Group);
    ++S.OwnCounts[Model->Name];
    this->addOrder(S, OrderKind::Open, Group.Head, Key, "all members are ready",
                   Model->Name);
    return;
  }
  TimePoint Now = S.View.Now;
  if (Own == this->FormingGroups.end()) {
    // Ordered by an earlier owner and still loading: adopt it.
    FormingGroup Adopted{Model->Name, {}, Now, formTimeout(Model->LoadTime)};
    for (const auto &[Rank, Vm] : Group.Ranks)
      Adopted.Members.push_back(Vm->incarnation());
    if (!Complete)
      Adopted.Timeout = OrderVisibilityTimeout;
    Own = this->FormingGroups.emplace(Key, std::move(Adopted)).first;
  }
  bool Shown = Complete || Now - Own->second.Since < OrderVisibilityTimeout;
  if (!Shown || Now - Own->second.Since > Own->second.Timeout) {
    this->FormingGroups.erase(Own);
    this->AbandonedGroups.insert(Key);
    return this->release(S, Key, Group, "it did not form in time");
  }
  S.markBusy(Group);
}

/// Releases the members of a group that does not serve. The head has to leave
/// first, since an order to open may still be in flight to it.
void DomainPlanner::release(Step &S, const GroupKey &Key,
                            const AnnouncedGroup &Group,
                            const std::string &Reason) {
  if (!Group.Head)
    return this->releaseMembers(S, Key, Group);
  if (Group.Head->Group->State == MemberState::Broken)
    return;
  S.markBusy(Group);
  this->addOrder(S, OrderKind::Leave, Group.Head, Key, Reason);
}

/// Marks the members of forming groups busy, also those that do not announce
/// the group yet. Drops groups that lost a member or are not announced in time.
void DomainPlanner::dropStaleForming(Step &S) {
  std::erase_if(this->FormingGroups, [&](const auto &Entry) {
    const auto &[Key, Forming] = Entry;
    auto Listed = [&](const VmIncarnation &Incarnation) {
      return std::any_of(S.View.Targets.begin(), S.View.Targets.end(),
                         [&](const TargetRef &Target) {
                           return Target->incarnation() == Incarnation &&
                                  S.isUsable(*Target);
                         });
    };
    bool Late = !S.Groups.contains(Key) &&
                S.View.Now - Forming.Since > OrderVisibilityTimeout;
    if (Late ||
        !std::all_of(Forming.Members.begin(), Forming.Members.end(), Listed)) {
      this->AbandonedGroups.insert(Key);
      return true;
    }
    for (const VmIncarnation &Incarnation : Forming.Members)
      S.Busy.insert(Incarnation);
    auto Shown = S.Groups.find(Key);
    if (Shown == S.Groups.end() || !Shown->second.AllReady ||
        Shown->second.Ranks.size() != Forming.Members.size())
      ++S.OwnCounts[Forming.Model];
    return false;
  });
}

} // namespace waycove
