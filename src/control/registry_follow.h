// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/keyed_feed.h"
#include "control/restored_entries.h"
#include "control/serving.h"

#include <map>
#include <set>

namespace waycove {

/// Follows the platform's registry of targets. \p Decode makes a target of an
/// entry. Entries that went while the store was away are kept until the time is
/// over that the page gives them to come back, but requests go there only where
/// nothing that is listed serves: such an entry may have lapsed, or have left.
/// A VM may start again under its id: what an earlier life wrote and comes late
/// changes nothing. An entry that cannot be read names no target: what its key
/// named before is not used any more, and the others hold. Where the store
/// comes back from an older copy of itself, what is known better stays in use
/// (RestoredEntries), and no groups are planned until targets have written
/// again: whether an order was carried out does not show in the copy.
/// Used by one thread.
template <KeyedFeed Feed, typename Decoder> class RegistryFollower {
public:
  RegistryFollower(EntryBoard &Board, Feed &Source, Decoder Decode)
      : Board(Board), Source(Source), Decode(std::move(Decode)),
        Restored(Board.Config.Entry->TargetHeartbeat) {}

  /// Takes in what is new; waits for that a while.
  void step() {
    absl::StatusOr<KeyedPage> Page = this->Source.read(WaitTime);
    if (!Page.ok())
      return;
    TimePoint Now = SystemClock{}.now();
    this->noteEra(Page->Next.Era, Now);
    if (Now >= this->SettledAt)
      this->Board.RegistryFresh.renew(Page->ProvenAt, FreshTime);
    this->apply(*Page, Now);
    this->Board.RegistryProven.raise(Page->ProvenAt);
    this->noteAge(SystemClock{}.now() - Page->ProvenAt);
  }

private:
  /// Also where nothing comes it is looked this often whether kept entries have
  /// gone, and how old all is.
  static constexpr Millis WaitTime{300};
  /// How old a proof may be while groups are planned by it: a second past the
  /// longest that a bound of 2 s leaves, for a slow store.
  static constexpr Millis FreshTime{3000};
  /// How long a target that went is remembered, so that its group's owner can
  /// ask after it.
  static constexpr Millis GoneMemory{30000};

  /// What a page says, by what becomes of it.
  struct Sorted {
    std::vector<TargetRef> Come;
    /// Keys that were dropped.
    std::set<VmId> Left;
    /// Keys whose entries are there and name no target.
    std::set<VmId> Refused;
    /// Keys of which an earlier life's entry came late.
    std::set<VmId> Outdated;
  };

  void noteEra(StoreEra Now, TimePoint At) {
    StoreEra Before = std::exchange(this->Era, Now);
    this->BeginsEra = this->Began && Now > Before;
    if (!this->BeginsEra)
      return;
    this->SettledAt = At + FeedCache::LapseTime;
    this->Board.RegistryFresh.drop();
  }

  void apply(const KeyedPage &Page, TimePoint Now) {
    Sorted Read = this->sort(Page, Now);
    if (Page.Whole)
      this->addAbsent(Read);
    for (TargetRef &Row : this->Restored.takeDue(Now))
      Read.Come.push_back(std::move(Row));
    bool News = !Read.Come.empty();
    if (Now < Page.HoldUntil) {
      News |= this->keep(std::exchange(Read.Left, {}), Page, Now);
    } else {
      Read.Left.merge(this->Kept);
      this->Kept.clear();
    }
    Read.Left.merge(Read.Refused);
    if (News || !Read.Left.empty())
      this->store(Read.Come, Read.Left, Page.Next, Now);
  }

  Sorted sort(const KeyedPage &Page, TimePoint Now) {
    Sorted Into;
    for (const KeyedRecord &Row : Page.Records) {
      VmId Id(Row.Key);
      if (!Row.Value) {
        Into.Left.insert(Id);
        this->RefusedValues.erase(Id);
        this->Restored.release(Id);
        continue;
      }
      absl::StatusOr<TargetInfo> Read = this->Decode(Row.Key, *Row.Value);
      if (!Read.ok()) {
        Into.Refused.insert(Id);
        this->Kept.erase(Id);
        this->noteRefused(Id, *Row.Value, messageOf(Read.status()));
        continue;
      }
      this->BirthsTold |= Read->Born != WallMs();
      if (Read->Born < this->newestBirth(Id)) {
        Into.Outdated.insert(Id);
        this->noteRefused(Id, *Row.Value, "an earlier life's entry");
        continue;
      }
      if (this->isHeld(*Read, hashText(*Row.Value), Now)) {
        Into.Outdated.insert(Id);
        continue;
      }
      Into.Left.erase(Id);
      this->Kept.erase(Id);
      Into.Come.push_back(std::make_shared<const TargetInfo>(std::move(*Read)));
    }
    if (Page.Whole)
      this->Restored.keepOnly(Into.Outdated);
    if (this->BirthsTold)
      this->refuseUndated(Into);
    this->forgetRefused(Page, Into);
    return Into;
  }

  /// Whether the store brought the entry back and this node knows better.
  bool isHeld(const TargetInfo &Read, std::uint64_t Hash, TimePoint Now) {
    if (this->Restored.holds(Read.Id, Hash))
      return true;
    this->Restored.release(Read.Id);
    if (!this->BeginsEra)
      return false;
    std::optional<EntryDoubt> Doubt =
        this->Board.Targets.read([&](const Fleet &Rows) {
          return RestoredEntries::doubtOf(Read, Rows);
        });
    if (!Doubt)
      return false;
    this->Restored.hold(std::make_shared<const TargetInfo>(Read), Hash, *Doubt,
                        Now);
    this->Board.Log.emit(EventCode::EntryHeld, Read.Id.Text,
                         LogFields()
                             .add("reason", doubtName(*Doubt))
                             .add("sequence", Read.Sequence)
                             .add("for_ms", this->Restored.holdTime()));
    return true;
  }

  /// Where targets tell their start, an entry that does not is another
  /// writer's. Platforms on which no target tells it are served as they are.
  void refuseUndated(Sorted &Into) {
    std::erase_if(Into.Come, [&](const TargetRef &Row) {
      if (Row->Born != WallMs())
        return false;
      Into.Refused.insert(Row->Id);
      this->noteRefused(Row->Id, Row->Address.text(), "it tells no start");
      return true;
    });
  }

  void forgetRefused(const KeyedPage &Page, const Sorted &Read) {
    for (const TargetRef &Row : Read.Come)
      this->RefusedValues.erase(Row->Id);
    if (Page.Whole)
      std::erase_if(this->RefusedValues, [&](const auto &Entry) {
        return !Read.Refused.contains(Entry.first) &&
               !Read.Outdated.contains(Entry.first);
      });
  }

  /// One line a change: all of the registry is read again at times.
  void noteRefused(const VmId &Id, const std::string &Value,
                   const std::string &Reason) {
    std::uint64_t Hash = hashText(Value);
    auto [At, New] = this->RefusedValues.try_emplace(Id, Hash);
    if (!New && std::exchange(At->second, Hash) == Hash)
      return;
    this->Board.Log.emit(EventCode::RegistryRefused, Id.Text,
                         LogFields().add("reason", Reason));
  }

  /// Of the lives under this id that were listed within GoneMemory, when the
  /// newest one started.
  WallMs newestBirth(const VmId &Id) const {
    return this->Board.Targets.read([&](const Fleet &Rows) {
      if (auto At = Rows.Targets.find(Id); At != Rows.Targets.end())
        return At->second->Born;
      auto Gone = Rows.Gone.find(Id);
      return Gone == Rows.Gone.end() ? WallMs() : Gone->second.Last->Born;
    });
  }

  /// Keeps targets that went, until lapsed entries are back; whether one is
  /// new.
  bool keep(const std::set<VmId> &Left, const KeyedPage &Page, TimePoint Now) {
    bool New = false;
    for (const VmId &Id : Left) {
      if (!this->isListed(Id) || !this->Kept.insert(Id).second)
        continue;
      New = true;
      this->Board.Log.emit(
          EventCode::TargetKept, Id.Text,
          LogFields()
              .add("registry", Page.Next.At.Value)
              .add("for_ms", std::chrono::ceil<Millis>(Page.HoldUntil - Now)));
    }
    return New;
  }

  bool isListed(const VmId &Id) const {
    return this->Board.Targets.read(
        [&](const Fleet &Rows) { return Rows.Targets.contains(Id); });
  }

  void noteAge(TimePoint::duration Age) {
    bool TooOld = Age > this->Board.Config.Entry->DrainBound;
    if (std::exchange(this->Old, TooOld) != TooOld)
      this->Board.Log.emit(
          TooOld ? EventCode::RegistryUnproven : EventCode::RegistryProven,
          this->Board.Config.Node.Text,
          LogFields().add("registry_age_ms", std::chrono::ceil<Millis>(Age)));
  }

  void addAbsent(Sorted &Read) const {
    std::set<VmId> Present = Read.Outdated;
    for (const TargetRef &Row : Read.Come)
      Present.insert(Row->Id);
    this->Board.Targets.read([&](const Fleet &Rows) {
      for (const auto &[Id, Row] : Rows.Targets)
        if (!Present.contains(Id))
          Read.Left.insert(Id);
    });
  }

  void store(const std::vector<TargetRef> &Come, const std::set<VmId> &Left,
             StorePosition Registry, TimePoint Now) {
    std::vector<VmId> Gone;
    std::vector<std::pair<TargetRef, TargetRef>> Reborn;
    std::vector<VmLife> Regrouped;
    this->Board.Targets.write([&](Fleet &Rows) {
      ++Rows.Version;
      Rows.Registry = Registry;
      Rows.Kept = this->Kept;
      std::erase_if(Rows.Gone, [&](const auto &Entry) {
        return Now - Entry.second.Since > GoneMemory;
      });
      for (const TargetRef &Row : Come) {
        TargetRef &Last = Rows.Targets[Row->Id];
        if (Last && Last->Born != Row->Born)
          Reborn.emplace_back(Last, Row);
        else if (Last && groupOf(*Last) != groupOf(*Row))
          Regrouped.push_back(Row->life());
        Last = Row;
        Rows.Gone.erase(Row->Id);
      }
      for (const VmId &Id : Left)
        if (auto At = Rows.Targets.find(Id); At != Rows.Targets.end()) {
          Rows.Gone[Id] = {At->second, Now};
          Rows.Targets.erase(At);
          Gone.push_back(Id);
        }
    });
    this->Board.TargetStats.write([&](TargetStatsTable &Rows) {
      for (const VmLife &Target : Regrouped)
        Rows.onRegrouped(Target);
    });
    refreshServing(this->Board);
    // What a node finds at its start is the same in all nodes: the first of
    // each data centre tells of it, row by row. 918 lines cost the others 9 ms,
    // a tenth of a second on an eighth of a core, while callers wait.
    bool Found = !std::exchange(this->Began, true);
    if (!Found || this->Board.FirstOfCentre)
      for (const TargetRef &Row : Come)
        this->logTarget(*Row, Registry);
    for (const auto &[Last, Row] : Reborn)
      this->Board.Log.emit(EventCode::TargetReborn, Row->Id.Text,
                           LogFields()
                               .add("born", Row->Born.Value)
                               .add("before", Last->Born.Value)
                               .add("registry", Registry.At.Value));
    for (const VmId &Id : Gone)
      this->Board.Log.emit(EventCode::TargetGone, Id.Text,
                           LogFields().add("registry", Registry.At.Value));
  }

  static std::optional<GroupKey> groupOf(const TargetInfo &Row) {
    return Row.Group ? std::optional(Row.Group->Group) : std::nullopt;
  }

  void logTarget(const TargetInfo &Row, StorePosition Registry) {
    LogFields Fields;
    Fields.add("service", Row.Service.Text)
        .add("address", Row.Address.text())
        .add("domain", Row.Domain.Text)
        .add("draining", Row.Draining)
        .add("born", Row.Born.Value)
        .add("registry", Registry.At.Value);
    std::string Staged;
    for (const std::string &Model : Row.Staged)
      Staged += Model + " ";
    Fields.add("staged", Staged);
    if (Row.Group)
      Fields.add("group", Row.Group->Group.Name)
          .add("rank", Row.Group->Rank)
          .add("state", static_cast<int>(Row.Group->State));
    this->Board.Log.emit(EventCode::TargetChanged, Row.Id.Text, Fields);
  }

  EntryBoard &Board;
  FeedCursor<Feed> Source;
  Decoder Decode;
  RestoredEntries Restored;
  /// The store's, as of the newest page.
  StoreEra Era;
  /// That page is the first of its era, and this node knows of earlier ones.
  bool BeginsEra = false;
  /// From then on targets have written again after the newest restore.
  TimePoint SettledAt;
  /// Dropped from the registry, not yet taken for gone.
  std::set<VmId> Kept;
  /// Some target told when it started.
  bool BirthsTold = false;
  /// By key, the hash of the newest value that was refused.
  std::map<VmId, std::uint64_t> RefusedValues;
  /// Something was taken in since the start.
  bool Began = false;
  /// All of it is older than the bound on leaving targets.
  bool Old = false;
};

} // namespace waycove
