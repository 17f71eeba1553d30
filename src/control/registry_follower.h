// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/held_entries.h"
#include "control/keyed_feed.h"
#include "control/refused_entries.h"
#include "control/serving_view.h"
#include "policy/start_times.h"

#include <map>
#include <set>

namespace waycove {

/// Follows the platform's registry of targets. \p Decode parses an entry.
///
/// Entries that vanished while the store was unavailable are retained until
/// KeyedPage::RetainUntil; they may have lapsed or left, so requests go there
/// only if no listed target serves. A late entry of an earlier incarnation is
/// ignored unless it outlasts its lapse (HeldEntries). An entry that cannot be
/// parsed, or whose start time cannot be true (StartTimes), removes the target
/// of its key and does not affect others.
///
/// After the store was restored from an older copy, entries that this node
/// knows to be stale are not used (HeldEntries), and no groups are planned
/// until targets have written again: the copy does not show which orders were
/// carried out. Used by one thread.
template <KeyedFeed Feed, typename Decoder> class RegistryFollower {
public:
  RegistryFollower(EntryBoard &Board, Feed &Source, Decoder Decode)
      : Board(Board), Source(Source), Decode(std::move(Decode)),
        Held(Board.Config.Entry->TargetHeartbeatInterval), Refused(Board.Log) {}

  /// Applies what is new without waiting; returns the pause before the next
  /// step, which a change of the feed ends.
  Millis step() {
    applyNewPage(this->Source,
                 [this](const KeyedPage &Page) { this->applyPage(Page); });
    return CheckInterval;
  }

private:
  /// Interval at which retained entries and the age of the registry are checked
  /// when there are no changes.
  static constexpr Millis CheckInterval{300};
  /// Groups are planned only while the last proof is younger than this.
  static constexpr Millis FreshDuration{3000};
  /// How long a removed target is remembered, so that the owner of its group
  /// can query it.
  static constexpr Millis RemovedRetention{30000};

  void applyPage(const KeyedPage &Page) {
    TimePoint Now = SystemClock{}.now();
    this->updateEra(Page.Next.Era, Now);
    if (Now >= this->SettledAt)
      this->Board.RegistryLease.renew(Page.ProvenAt, FreshDuration);
    this->apply(Page, Now);
    this->Board.RegistryProvenAt.raise(Page.ProvenAt);
    this->updateAge(SystemClock{}.now() - Page.ProvenAt);
  }

  /// Entries of a page by how they are handled.
  struct ParsedPage {
    std::vector<TargetRef> Updated;
    /// Keys that were deleted.
    std::set<VmId> Dropped;
    /// Keys whose entries name no valid target.
    std::set<VmId> Refused;
    /// Keys with a stale entry, e.g. of an earlier incarnation.
    std::set<VmId> Outdated;
  };

  void updateEra(StoreEra Now, TimePoint At) {
    StoreEra Before = std::exchange(this->Era, Now);
    this->IsFirstOfEra = this->HasApplied && Now > Before;
    if (!this->IsFirstOfEra)
      return;
    this->SettledAt = At + FeedCache::RecoveryTimeout;
    this->Board.RegistryLease.drop();
  }

  void apply(const KeyedPage &Page, TimePoint Now) {
    ParsedPage Read = this->parse(Page, Now);
    if (Page.IsSnapshot)
      this->addMissing(Read);
    for (TargetRef &Target : this->Held.takeDue(Now))
      Read.Updated.push_back(std::move(Target));
    bool Changed = !Read.Updated.empty();
    if (Now < Page.RetainUntil) {
      Changed |= this->retain(std::exchange(Read.Dropped, {}), Page, Now);
    } else {
      Read.Dropped.merge(this->Retained);
      this->Retained.clear();
    }
    Read.Dropped.merge(Read.Refused);
    if (Changed || !Read.Dropped.empty())
      this->applyToFleet(Read.Updated, Read.Dropped, Page.Next, Now);
  }

  /// An entry that is valid by itself.
  struct ValidEntry {
    TargetRef Target;
    const std::string &Value;
  };

  ParsedPage parse(const KeyedPage &Page, TimePoint Now) {
    ParsedPage Out;
    const bool WereStated = this->Starts.areStated();
    std::vector<ValidEntry> Entries = this->decodeEntries(Page, Out);
    for (const ValidEntry &Entry : Entries)
      this->judge(Entry, Now, Out);
    if (Page.IsSnapshot)
      this->Held.retainOnly(Out.Outdated);
    else if (this->Starts.areStated() != WereStated)
      // Entries of earlier pages are judged anew.
      this->Source.reset();
    this->pruneRefused(Page, Out);
    return Out;
  }

  /// Returns the valid entries of a page; adds the other keys to \p Out.
  std::vector<ValidEntry> decodeEntries(const KeyedPage &Page,
                                        ParsedPage &Out) {
    std::vector<ValidEntry> Valid;
    if (Page.IsSnapshot)
      this->Starts.clear();
    const WallMs Now = SystemClock{}.wall();
    for (const KeyedRecord &Record : Page.Records) {
      VmId Id(Record.Key);
      if (!Record.Value) {
        Out.Dropped.insert(Id);
        this->Starts.onGone(Id);
        this->Refused.forget(Id);
        this->Held.release(Id);
        continue;
      }
      absl::StatusOr<TargetInfo> Read = this->Decode(Record.Key, *Record.Value);
      if (Read.ok() && !StartTimes::isPlausible(Read->StartedAt, Now))
        Read = makeError(ErrorKind::BadRequest, "born: later than now");
      if (!Read.ok()) {
        this->Starts.onGone(Id);
        this->refuse(Id, *Record.Value, messageOf(Read.status()), Out);
        continue;
      }
      this->Starts.onEntry(Id, Read->StartedAt);
      Valid.push_back({std::make_shared<const TargetInfo>(std::move(*Read)),
                       *Record.Value});
    }
    return Valid;
  }

  /// Adds the target of an entry to \p Out, by how it is handled.
  void judge(const ValidEntry &Entry, TimePoint Now, ParsedPage &Out) {
    const VmId &Id = Entry.Target->Id;
    if (Entry.Target->StartedAt == WallMs() && this->Starts.areStated()) {
      this->refuse(Id, Entry.Value, "its start time is missing", Out);
      return;
    }
    if (Entry.Target->StartedAt < this->newestStart(Id)) {
      Out.Outdated.insert(Id);
      this->Refused.refuse(Id, Entry.Value, "an earlier life's entry");
      this->Held.hold(Entry.Target, hashText(Entry.Value),
                      StaleReason::EarlierLife, Now);
      return;
    }
    if (this->isHeld(Entry, Now)) {
      Out.Outdated.insert(Id);
      return;
    }
    Out.Dropped.erase(Id);
    this->Retained.erase(Id);
    Out.Updated.push_back(Entry.Target);
  }

  /// The entry of \p Id names no target.
  void refuse(const VmId &Id, const std::string &Value,
              const std::string &Reason, ParsedPage &Out) {
    Out.Refused.insert(Id);
    this->Retained.erase(Id);
    this->Refused.refuse(Id, Value, Reason);
  }

  /// Whether the entry came back with a restore and is stale.
  bool isHeld(const ValidEntry &Entry, TimePoint Now) {
    const TargetInfo &Read = *Entry.Target;
    const std::uint64_t Hash = hashText(Entry.Value);
    if (this->Held.holds(Read.Id, Hash))
      return true;
    this->Held.release(Read.Id);
    if (!this->IsFirstOfEra)
      return false;
    std::optional<StaleReason> Reason =
        this->Board.Targets.read([&](const Fleet &Rows) {
          return HeldEntries::staleReasonOf(Read, Rows);
        });
    if (!Reason)
      return false;
    this->Held.hold(Entry.Target, Hash, *Reason, Now);
    this->Board.Log.emit(EventCode::EntryHeld, Read.Id.Text,
                         LogFields()
                             .add("reason", staleReasonText(*Reason))
                             .add("sequence", Read.Sequence)
                             .add("for_ms", this->Held.holdDuration()));
    return true;
  }

  void pruneRefused(const KeyedPage &Page, const ParsedPage &Read) {
    for (const TargetRef &Target : Read.Updated)
      this->Refused.forget(Target->Id);
    if (Page.IsSnapshot)
      this->Refused.retainIf([&](const VmId &Id) {
        return Read.Refused.contains(Id) || Read.Outdated.contains(Id);
      });
  }

  /// Start time of the newest incarnation that is listed under this id or was
  /// removed within RemovedRetention.
  WallMs newestStart(const VmId &Id) const {
    return this->Board.Targets.read([&](const Fleet &Rows) {
      if (auto At = Rows.Targets.find(Id); At != Rows.Targets.end())
        return At->second->StartedAt;
      auto Removed = Rows.Removed.find(Id);
      return Removed == Rows.Removed.end() ? WallMs()
                                           : Removed->second.Last->StartedAt;
    });
  }

  /// Retains targets whose entries vanished until KeyedPage::RetainUntil;
  /// returns whether there is a new one.
  bool retain(const std::set<VmId> &Dropped, const KeyedPage &Page,
              TimePoint Now) {
    bool New = false;
    for (const VmId &Id : Dropped) {
      if (!this->isListed(Id) || !this->Retained.insert(Id).second)
        continue;
      New = true;
      this->Board.Log.emit(EventCode::TargetKept, Id.Text,
                           LogFields()
                               .add("registry", Page.Next.At.Value)
                               .add("for_ms", std::chrono::ceil<Millis>(
                                                  Page.RetainUntil - Now)));
    }
    return New;
  }

  bool isListed(const VmId &Id) const {
    return this->Board.Targets.read(
        [&](const Fleet &Rows) { return Rows.Targets.contains(Id); });
  }

  void updateAge(TimePoint::duration Age) {
    bool TooOld = Age > this->Board.Config.Entry->DrainBound;
    if (std::exchange(this->AgeExceeded, TooOld) != TooOld)
      this->Board.Log.emit(
          TooOld ? EventCode::RegistryUnproven : EventCode::RegistryProven,
          this->Board.Config.Node.Text,
          LogFields().add("registry_age_ms", std::chrono::ceil<Millis>(Age)));
  }

  void addMissing(ParsedPage &Read) const {
    std::set<VmId> Present = Read.Outdated;
    for (const TargetRef &Target : Read.Updated)
      Present.insert(Target->Id);
    this->Board.Targets.read([&](const Fleet &Rows) {
      for (const auto &[Id, Target] : Rows.Targets)
        if (!Present.contains(Id))
          Read.Dropped.insert(Id);
    });
  }

  /// What a page changes in the fleet, beside the entries themselves.
  struct FleetChanges {
    /// The lives before and after.
    std::vector<std::pair<TargetRef, TargetRef>> Restarted;
    std::vector<VmIncarnation> Regrouped;
    std::vector<VmId> Removed;
  };

  void applyToFleet(const std::vector<TargetRef> &Updated,
                    const std::set<VmId> &Dropped, StorePosition Registry,
                    TimePoint Now) {
    FleetChanges Changes;
    this->Board.Targets.write([&](Fleet &Rows) {
      ++Rows.Version;
      Rows.Registry = Registry;
      Rows.Retained = this->Retained;
      std::erase_if(Rows.Removed, [&](const auto &Entry) {
        return Now - Entry.second.Since > RemovedRetention;
      });
      for (const TargetRef &Target : Updated)
        updateTarget(Rows, Target, Now, Changes);
      for (const VmId &Id : Dropped)
        removeTarget(Rows, Id, Now, Changes);
    });
    this->Board.TargetStats.write([&](TargetStatsTable &Rows) {
      for (const VmIncarnation &Target : Changes.Regrouped)
        Rows.onRegrouped(Target);
    });
    rebuildServingView(this->Board);
    this->HasApplied = true;
    this->logChanges(Updated, Changes, Registry);
  }

  static void updateTarget(Fleet &Rows, const TargetRef &Target, TimePoint Now,
                           FleetChanges &Changes) {
    TargetRef &Last = Rows.Targets[Target->Id];
    if (Last && Last->StartedAt != Target->StartedAt)
      Changes.Restarted.emplace_back(Last, Target);
    else if (Last && groupOf(*Last) != groupOf(*Target))
      Changes.Regrouped.push_back(Target->incarnation());
    Last = Target;
    Rows.Removed.erase(Target->Id);
    if (Target->ColdRemaining > Millis(0))
      Rows.ColdUntil[Target->Id] = Now + Target->ColdRemaining;
    else
      Rows.ColdUntil.erase(Target->Id);
  }

  static void removeTarget(Fleet &Rows, const VmId &Id, TimePoint Now,
                           FleetChanges &Changes) {
    auto At = Rows.Targets.find(Id);
    if (At == Rows.Targets.end())
      return;
    Rows.Removed[Id] = {At->second, Now};
    Rows.Targets.erase(At);
    Rows.ColdUntil.erase(Id);
    Changes.Removed.push_back(Id);
  }

  /// All nodes see the same entries, so only the first node of each data centre
  /// and the owners of domains log every change. All log targets that leave,
  /// since each of them stops using these on its own.
  void logChanges(const std::vector<TargetRef> &Updated,
                  const FleetChanges &Changes, StorePosition Registry) {
    bool LogsAll = this->Board.FirstInCentre || this->Board.PartitionShare > 0;
    for (const TargetRef &Target : Updated)
      if (LogsAll || Target->Draining)
        this->logTarget(*Target, Registry);
    for (const auto &[Last, Target] : Changes.Restarted)
      this->Board.Log.emit(EventCode::TargetReborn, Target->Id.Text,
                           LogFields()
                               .add("born", Target->StartedAt.Value)
                               .add("before", Last->StartedAt.Value)
                               .add("registry", Registry.At.Value));
    for (const VmId &Id : Changes.Removed)
      this->Board.Log.emit(EventCode::TargetGone, Id.Text,
                           LogFields().add("registry", Registry.At.Value));
  }

  static std::optional<GroupKey> groupOf(const TargetInfo &Target) {
    return Target.Group ? std::optional(Target.Group->Group) : std::nullopt;
  }

  void logTarget(const TargetInfo &Target, StorePosition Registry) {
    LogFields Fields;
    Fields.add("service", Target.Service.Text)
        .add("address", Target.Address.text())
        .add("domain", Target.Domain.Text)
        .add("draining", Target.Draining)
        .add("born", Target.StartedAt.Value)
        .add("registry", Registry.At.Value);
    std::string Staged;
    for (const std::string &Model : Target.Staged)
      Staged += Model + " ";
    Fields.add("staged", Staged);
    if (Target.Group)
      Fields.add("group", Target.Group->Group.Name)
          .add("rank", Target.Group->Rank)
          .add("state", static_cast<int>(Target.Group->State));
    this->Board.Log.emit(EventCode::TargetChanged, Target.Id.Text, Fields);
  }

  EntryBoard &Board;
  FeedCursor<Feed> Source;
  Decoder Decode;
  HeldEntries Held;
  RefusedEntries Refused;
  StartTimes Starts;
  /// Era of the store as of the newest page.
  StoreEra Era;
  /// That page is the first of its era, and an earlier era was seen.
  bool IsFirstOfEra = false;
  /// When all targets have written again after the newest restore.
  TimePoint SettledAt;
  /// Missing in the registry, but not yet removed.
  std::set<VmId> Retained;
  /// Something was applied since the start.
  bool HasApplied = false;
  /// The registry's proof is older than the drain bound.
  bool AgeExceeded = false;
};

} // namespace waycove
