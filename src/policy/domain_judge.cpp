// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Judging the groups that are there: which serve, form, have to be closed or
// left, and whose members must not be taken.

#include "policy/domain_step.h"

#include <algorithm>

namespace waycove {

void DomainPlanner::judge(Step &S, const GroupKey &Key, const Announced &Row) {
  bool Serves = Row.Head && (Row.Head->Group->State == MemberState::Open ||
                             Row.Head->Group->State == MemberState::Closing);
  if (this->HeadLeft.contains(Key) || this->judgeWarmUp(S, Key, Row))
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
  if (Whole && (!Row.AnyDraining || this->servesOn(S, Key, Row))) {
    ++S.Have[Model->Name];
    return;
  }
  OrderKind Kind = Whole ? OrderKind::Close : OrderKind::Leave;
  if (Kind == OrderKind::Close && State == MemberState::Closing)
    return;
  this->order(S, Kind, Row.Head, Key,
              Whole ? "a member drains" : "a member is gone");
}

/// Whether a group of which a member drains, but not the head, is to take
/// requests for a while yet: the member serves on for a known time. Closing at
/// once lost that time for each VM that operators replace, some 1.5 s of four
/// VMs each.
bool DomainPlanner::servesOn(const Step &S, const GroupKey &Key,
                             const Announced &Row) {
  if (Row.Head->Draining || Row.Head->Group->State != MemberState::Open)
    return false;
  TimePoint Since =
      this->DrainsSince.try_emplace(Key, S.View.Now).first->second;
  return S.View.Now - Since < S.View.DrainHold;
}

MemberFate DomainPlanner::fateOf(const Step &S, const GoneTarget &Row) {
  // Asked for as long as it matters: who is cut off now may die later.
  this->Questions.push_back(Row);
  auto At = S.View.Fates.find(Row.Last->incarnation());
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
  if (Fate == MemberFate::Alive)
    this->order(S, OrderKind::Leave, Head->Last, Key,
                "its entry in the registry is gone");
}

/// Frees the members of a group whose head cannot be told to leave.
void DomainPlanner::releaseEach(Step &S, const GroupKey &Key,
                                const Announced &Row) {
  for (const auto &[Rank, Vm] : Row.Ranks) {
    if (this->MemberLeft.contains({Key, Vm->incarnation()}))
      continue;
    S.Busy.insert(Vm->incarnation());
    this->order(S, OrderKind::Leave, Vm, Key, "its head is lost");
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
    this->order(S, OrderKind::Open, Row.Head, Key, "all are ready",
                Model->Name);
    return;
  }
  TimePoint Now = S.View.Now;
  if (Mine == this->Pending.end()) {
    // An earlier owner's, still loading: give it time once.
    Forming Adopted{Model->Name, {}, Now, formLimit(Model->LoadTime)};
    for (const auto &[Rank, Vm] : Row.Ranks)
      Adopted.Members.push_back(Vm->incarnation());
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
  this->order(S, OrderKind::Leave, Row.Head, Key, Reason);
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
    bool Late = !S.Groups.contains(Key) && S.View.Now - Row.Since > ShowTime;
    if (Late || !std::all_of(Row.Members.begin(), Row.Members.end(), Listed)) {
      this->GivenUp.insert(Key);
      return true;
    }
    for (const VmIncarnation &Life : Row.Members)
      S.Busy.insert(Life);
    auto Shown = S.Groups.find(Key);
    if (Shown == S.Groups.end() || !Shown->second.AllReady ||
        Shown->second.Ranks.size() != Row.Members.size())
      ++S.Have[Row.Model];
    return false;
  });
}

} // namespace waycove
