// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "control/group_control.h"

#include <algorithm>
#include <thread>

namespace waycove {

/// Asks after members of groups, so that a repair need not wait for the
/// registry: those whose entries went, and those whose head stands still.
/// Silence says something of a member only while others of its domain answer
/// this node. Used by one thread.
template <GroupControl Control> class MemberInquiry {
public:
  MemberInquiry(EntryBoard &Board, Control &Targets)
      : Board(Board), Targets(Targets) {}

  /// What became of the members that were asked after.
  const std::map<VmLife, MemberFate> &fates() const { return this->Fates; }

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

  /// An order to join did not get through to \p Vm. It is taken for dead for a
  /// while, so that the group is formed of others at once.
  void noteUnreached(const VmLife &Vm, TimePoint Now) {
    this->Silent[Vm] = {Now, SilentAsks};
  }

  /// Where a head stands still, asks its members: one that does not answer
  /// twice, or has started again, is taken for dead, long before the registry
  /// tells. A head that any node doubts for another reason is asked itself: one
  /// that started again behind a cut from the registry refuses at once, so it
  /// never stands still. Whoever is used again is told to leave first, so a
  /// wrong guess costs a repair and breaks no promise.
  void findLost(DomainView &View) {
    std::erase_if(this->Silent, [&](const auto &Entry) {
      return View.Now - Entry.second.At > LostMemory;
    });
    std::map<GroupKey, std::vector<TargetRef>> Groups;
    std::set<GroupKey> Still;
    std::set<GroupKey> Doubted;
    for (const TargetRef &Row : View.Targets) {
      if (!Row->Group)
        continue;
      Groups[Row->Group->Group].push_back(Row);
      if (Row->Group->Rank != 0 || Row->Group->State != MemberState::Open)
        continue;
      auto [Silence, Suspect] =
          this->Board.TargetStats.read([&](const TargetStatsTable &Rows) {
            VmLife Life = Row->life();
            return std::pair(Rows.silence(Life, View.Now),
                             Rows.isSuspect(Life, View.Now));
          });
      if (Silence > HeadSilence)
        Still.insert(Row->Group->Group);
      else if (Suspect)
        Doubted.insert(Row->Group->Group);
    }
    for (const GroupKey &Key : Still)
      this->askMembers(Groups[Key], View.Now);
    for (const GroupKey &Key : Doubted)
      this->askHead(Groups[Key], View.Now);
    for (const auto &[Id, Row] : this->Silent)
      if (Row.Silent >= SilentAsks)
        View.Lost.insert(Id);
  }

  /// Asks what became of members whose entries went. Silence says something
  /// only while another target of the domain answers this node.
  void askAfter(const DomainView &View,
                const std::vector<GoneTarget> &Members) {
    for (const GoneTarget &Row : Members) {
      Asked &Entry = this->Questions[Row.Last->life()];
      MemberFate &Known = this->Fates[Row.Last->life()];
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

private:
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
  static constexpr Millis HeadSilence{450};
  /// A member that was taken for dead is looked at anew after this time, if
  /// it is still listed: the registry drops a dead one within four seconds.
  static constexpr Millis LostMemory{6000};

  struct Asked {
    TimePoint At;
    unsigned Silent = 0;
  };

  /// Asks the head, and a few others to see whether this node reaches any.
  void askHead(std::vector<TargetRef> Members, TimePoint Now) {
    auto IsHead = [](const TargetRef &Row) { return Row->Group->Rank == 0; };
    std::stable_partition(Members.begin(), Members.end(), IsHead);
    Members.resize(std::min(Members.size(), 1 + ControlAsks));
    this->askMembers(Members, Now);
  }

  void askMembers(const std::vector<TargetRef> &Members, TimePoint Now) {
    std::vector<TargetRef> Due;
    for (const TargetRef &Row : Members) {
      Asked &Entry = this->Silent[Row->life()];
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
    bool Any = std::any_of(Ends.begin(), Ends.end(),
                           [](Reach End) { return End != Reach::Silent; });
    for (std::size_t I = 0; I < Due.size(); ++I) {
      Asked &Entry = this->Silent[Due[I]->life()];
      Entry.At = Now;
      if (!Any)
        continue;
      Entry.Silent = Ends[I] == Reach::Answers ? 0
                     : Ends[I] == Reach::Ended ? SilentAsks
                                               : Entry.Silent + 1;
      if (Ends[I] != Reach::Answers)
        this->Board.Log.emit(
            EventCode::DomainReleased, Due[I]->Id.Text,
            LogFields()
                .add("reason", Ends[I] == Reach::Ended
                                   ? "another process answers in its place"
                                   : "does not answer while its head stands "
                                     "still")
                .add("group", Due[I]->Group->Group.Name)
                .add("silent_asks", Entry.Silent));
    }
  }

  bool reachesAny(const DomainView &View) {
    std::size_t Tries = 0;
    for (const TargetRef &Row : View.Targets)
      if (Tries++ < ControlAsks && this->Targets.reach(*Row) == Reach::Answers)
        return true;
    return false;
  }

  EntryBoard &Board;
  Control &Targets;
  std::map<VmLife, MemberFate> Fates;
  std::map<VmLife, Asked> Questions;
  std::map<VmLife, Asked> Silent;
};

} // namespace waycove
