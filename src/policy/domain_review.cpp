// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Judging the groups that are there: which serve, form, have to be closed or
// left, and whose members must not be taken.

#include "policy/domain_step.h"

#include <algorithm>

namespace waycove {

void DomainPlanner::reviewGroup(Step &S, const GroupKey &Key,
                                const AnnouncedGroup &Row) {
  bool Serves = Row.Head && (Row.Head->Group->State == MemberState::Open ||
                             Row.Head->Group->State == MemberState::Closing);
  if (this->LeftGroups.contains(Key) || this->reviewWarmUp(S, Key, Row))
    return;
  if (this->AbandonedGroups.contains(Key) && !Serves)
    return this->release(S, Key, Row, "given up");
  const ModelSpec *Model = S.Engine.model(modelOf(Key.Name));
  std::size_t Size = Model ? Model->GroupSize : 0;
  if (!Row.Head)
    return this->reviewHeadless(S, Key, Row);
  bool Whole = this->isComplete(S, Key, Row, Size);
  MemberState State = Row.Head->Group->State;
  if (State == MemberState::Broken)
    return;
  if (!Serves)
    return this->reviewForming(S, Key, Row);
  // The head serves: nobody of the group may be taken.
  S.markBusy(Row);
  this->Pending.erase(Key);
  if (Whole && (!Row.AnyDraining || this->servesWhileDraining(S, Key, Row))) {
    ++S.OwnCounts[Model->Name];
    return;
  }
  OrderKind Kind = Whole ? OrderKind::Close : OrderKind::Leave;
  if (Kind == OrderKind::Close && State == MemberState::Closing)
    return;
  this->addOrder(S, Kind, Row.Head, Key,
                 Whole ? "a member drains" : "a member is gone");
}

/// Whether a group of which a member drains, but not the head, is to take
/// requests for a while yet: the member serves on for a known time. Closing at
/// once lost that time for each VM that operators replace, some 1.5 s of four
/// VMs each.
bool DomainPlanner::servesWhileDraining(const Step &S, const GroupKey &Key,
                                        const AnnouncedGroup &Row) {
  if (Row.Head->Draining || Row.Head->Group->State != MemberState::Open)
    return false;
  TimePoint Since =
      this->DrainingSince.try_emplace(Key, S.View.Now).first->second;
  return S.View.Now - Since < S.View.DrainGracePeriod;
}

MemberStatus DomainPlanner::statusOf(const Step &S, const RemovedTarget &Row) {
  // Asked for as long as it matters: who is cut off now may die later.
  this->StatusQueries.push_back(Row);
  auto At = S.View.Statuses.find(Row.Last->incarnation());
  return At == S.View.Statuses.end() ? MemberStatus::Unknown : At->second;
}

/// Whether all members are there, counting those that are only cut off from
/// the registry, and those of which that is not known yet.
bool DomainPlanner::isComplete(Step &S, const GroupKey &Key,
                               const AnnouncedGroup &Row, std::size_t Size) {
  std::size_t Present = Row.Ranks.size();
  if (Present < Size && Row.Head->Group->State == MemberState::Open)
    for (const RemovedTarget &Removed : S.View.Removed)
      if (Removed.Last->Group && Removed.Last->Group->Group == Key &&
          !Row.Ranks.contains(Removed.Last->Group->Rank) &&
          this->statusOf(S, Removed) != MemberStatus::Dead)
        ++Present;
  return Present >= Size;
}

void DomainPlanner::reviewHeadless(Step &S, const GroupKey &Key,
                                   const AnnouncedGroup &Row) {
  if (this->Pending.contains(Key))
    return this->reviewForming(S, Key, Row);
  auto Head = std::find_if(S.View.Removed.begin(), S.View.Removed.end(),
                           [&](const RemovedTarget &Removed) {
                             return Removed.Last->Group &&
                                    Removed.Last->Group->Group == Key &&
                                    Removed.Last->Group->Rank == 0;
                           });
  // Listed but lost, moved to another group, or never seen: nobody to ask.
  if (Head == S.View.Removed.end())
    return this->releaseMembers(S, Key, Row);
  MemberStatus Fate = this->statusOf(S, *Head);
  if (Fate == MemberStatus::Dead)
    return this->releaseMembers(S, Key, Row);
  S.markBusy(Row);
  if (Fate == MemberStatus::Alive)
    this->addOrder(S, OrderKind::Leave, Head->Last, Key,
                   "its entry in the registry is gone");
}

/// Frees the members of a group whose head cannot be told to leave.
void DomainPlanner::releaseMembers(Step &S, const GroupKey &Key,
                                   const AnnouncedGroup &Row) {
  for (const auto &[Rank, Vm] : Row.Ranks) {
    if (this->LeftMembers.contains({Key, Vm->incarnation()}))
      continue;
    S.Busy.insert(Vm->incarnation());
    this->addOrder(S, OrderKind::Leave, Vm, Key, "its head is lost");
  }
}

void DomainPlanner::reviewForming(Step &S, const GroupKey &Key,
                                  const AnnouncedGroup &Row) {
  const ModelSpec *Model = S.Engine.model(modelOf(Key.Name));
  if (!Model || Row.AnyDraining)
    return this->release(S, Key, Row, "a member drains");
  bool Whole = Row.Ranks.size() == Model->GroupSize;
  auto Mine = this->Pending.find(Key);
  if (Whole && Row.AllReady && Key.Epoch <= S.View.PriorEpochMax)
    return this->release(S, Key, Row, "formed by an earlier owner");
  if (Whole && Row.AllReady) {
    S.markBusy(Row);
    ++S.OwnCounts[Model->Name];
    this->addOrder(S, OrderKind::Open, Row.Head, Key, "all are ready",
                   Model->Name);
    return;
  }
  TimePoint Now = S.View.Now;
  if (Mine == this->Pending.end()) {
    // An earlier owner's, still loading: give it time once.
    FormingGroup Adopted{Model->Name, {}, Now, formTimeout(Model->LoadTime)};
    for (const auto &[Rank, Vm] : Row.Ranks)
      Adopted.Members.push_back(Vm->incarnation());
    if (!Whole)
      Adopted.Timeout = OrderVisibilityTimeout;
    Mine = this->Pending.emplace(Key, std::move(Adopted)).first;
  }
  bool Shown = Whole || Now - Mine->second.Since < OrderVisibilityTimeout;
  if (!Shown || Now - Mine->second.Since > Mine->second.Timeout) {
    this->Pending.erase(Mine);
    this->AbandonedGroups.insert(Key);
    return this->release(S, Key, Row, "it does not form in time");
  }
  S.markBusy(Row);
}

/// Frees the members of a group that does not serve. An order to open it may
/// still be on its way to the head, so the head has to leave first.
void DomainPlanner::release(Step &S, const GroupKey &Key,
                            const AnnouncedGroup &Row,
                            const std::string &Reason) {
  if (!Row.Head)
    return this->releaseMembers(S, Key, Row);
  if (Row.Head->Group->State == MemberState::Broken)
    return;
  S.markBusy(Row);
  this->addOrder(S, OrderKind::Leave, Row.Head, Key, Reason);
}

/// Members that were ordered and do not show it yet are kept back too; a
/// group of which a member went, or that does not show in time, is given up.
void DomainPlanner::dropStaleForming(Step &S) {
  std::erase_if(this->Pending, [&](const auto &Entry) {
    const auto &[Key, Row] = Entry;
    auto Listed = [&](const VmIncarnation &Life) {
      return std::any_of(S.View.Targets.begin(), S.View.Targets.end(),
                         [&](const TargetRef &T) {
                           return T->incarnation() == Life && S.isUsable(*T);
                         });
    };
    bool Late = !S.Groups.contains(Key) &&
                S.View.Now - Row.Since > OrderVisibilityTimeout;
    if (Late || !std::all_of(Row.Members.begin(), Row.Members.end(), Listed)) {
      this->AbandonedGroups.insert(Key);
      return true;
    }
    for (const VmIncarnation &Life : Row.Members)
      S.Busy.insert(Life);
    auto Shown = S.Groups.find(Key);
    if (Shown == S.Groups.end() || !Shown->second.AllReady ||
        Shown->second.Ranks.size() != Row.Members.size())
      ++S.OwnCounts[Row.Model];
    return false;
  });
}

} // namespace waycove
