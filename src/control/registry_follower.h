// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/keyed_feed.h"
#include "control/restored_entries.h"
#include "control/serving_view.h"

#include <map>
#include <set>

namespace waycove {

/// Follows the platform's registry of targets. \p Decode parses an entry.
///
/// Entries that vanished while the store was unavailable are retained until
/// KeyedPage::RetainUntil; they may have lapsed or left, so requests go there
/// only if no listed target serves. A late entry of an earlier incarnation is
/// ignored. An entry that cannot be parsed removes the target of its key and
/// does not affect others.
///
/// After the store was restored from an older copy, entries that this node
/// knows to be stale are not used (RestoredEntries), and no groups are planned
/// until targets have written again: the copy does not show which orders were
/// carried out. Used by one thread.
template <KeyedFeed Feed, typename Decoder> class RegistryFollower {
public:
  RegistryFollower(EntryBoard &Board, Feed &Source, Decoder Decode)
      : Board(Board), Source(Source), Decode(std::move(Decode)),
        Restored(Board.Config.Entry->TargetHeartbeatInterval) {}

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
    for (TargetRef &Target : this->Restored.takeDue(Now))
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

  ParsedPage parse(const KeyedPage &Page, TimePoint Now) {
    ParsedPage Out;
    for (const KeyedRecord &Record : Page.Records) {
      VmId Id(Record.Key);
      if (!Record.Value) {
        Out.Dropped.insert(Id);
        this->RefusedValues.erase(Id);
        this->Restored.release(Id);
        continue;
      }
      absl::StatusOr<TargetInfo> Read = this->Decode(Record.Key, *Record.Value);
      if (!Read.ok()) {
        Out.Refused.insert(Id);
        this->Retained.erase(Id);
        this->logRefused(Id, *Record.Value, messageOf(Read.status()));
        continue;
      }
      this->StartTimesSeen |= Read->StartedAt != WallMs();
      if (Read->StartedAt < this->newestStart(Id)) {
        Out.Outdated.insert(Id);
        this->logRefused(Id, *Record.Value, "an earlier life's entry");
        continue;
      }
      if (this->isHeld(*Read, hashText(*Record.Value), Now)) {
        Out.Outdated.insert(Id);
        continue;
      }
      Out.Dropped.erase(Id);
      this->Retained.erase(Id);
      Out.Updated.push_back(
          std::make_shared<const TargetInfo>(std::move(*Read)));
    }
    if (Page.IsSnapshot)
      this->Restored.retainOnly(Out.Outdated);
    if (this->StartTimesSeen)
      this->refuseWithoutStart(Out);
    this->pruneRefused(Page, Out);
    return Out;
  }

  /// Whether the entry came back with a restore and is stale.
  bool isHeld(const TargetInfo &Read, std::uint64_t Hash, TimePoint Now) {
    if (this->Restored.holds(Read.Id, Hash))
      return true;
    this->Restored.release(Read.Id);
    if (!this->IsFirstOfEra)
      return false;
    std::optional<StaleReason> Reason =
        this->Board.Targets.read([&](const Fleet &Rows) {
          return RestoredEntries::staleReasonOf(Read, Rows);
        });
    if (!Reason)
      return false;
    this->Restored.hold(std::make_shared<const TargetInfo>(Read), Hash, *Reason,
                        Now);
    this->Board.Log.emit(EventCode::EntryHeld, Read.Id.Text,
                         LogFields()
                             .add("reason", staleReasonText(*Reason))
                             .add("sequence", Read.Sequence)
                             .add("for_ms", this->Restored.holdDuration()));
    return true;
  }

  /// Refuses entries without a start time if other targets state one. Platforms
  /// on which no target does are supported.
  void refuseWithoutStart(ParsedPage &Out) {
    std::erase_if(Out.Updated, [&](const TargetRef &Target) {
      if (Target->StartedAt != WallMs())
        return false;
      Out.Refused.insert(Target->Id);
      this->logRefused(Target->Id, Target->Address.text(),
                       "its start time is missing");
      return true;
    });
  }

  void pruneRefused(const KeyedPage &Page, const ParsedPage &Read) {
    for (const TargetRef &Target : Read.Updated)
      this->RefusedValues.erase(Target->Id);
    if (Page.IsSnapshot)
      std::erase_if(this->RefusedValues, [&](const auto &Entry) {
        return !Read.Refused.contains(Entry.first) &&
               !Read.Outdated.contains(Entry.first);
      });
  }

  /// Logs a refused value once, although the whole registry is read repeatedly.
  void logRefused(const VmId &Id, const std::string &Value,
                  const std::string &Reason) {
    std::uint64_t Hash = hashText(Value);
    auto [At, New] = this->RefusedValues.try_emplace(Id, Hash);
    if (!New && std::exchange(At->second, Hash) == Hash)
      return;
    this->Board.Log.emit(EventCode::RegistryRefused, Id.Text,
                         LogFields().add("reason", Reason));
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

  void applyToFleet(const std::vector<TargetRef> &Updated,
                    const std::set<VmId> &Dropped, StorePosition Registry,
                    TimePoint Now) {
    std::vector<VmId> RemovedIds;
    std::vector<std::pair<TargetRef, TargetRef>> Restarted;
    std::vector<VmIncarnation> Regrouped;
    this->Board.Targets.write([&](Fleet &Rows) {
      ++Rows.Version;
      Rows.Registry = Registry;
      Rows.Retained = this->Retained;
      std::erase_if(Rows.Removed, [&](const auto &Entry) {
        return Now - Entry.second.Since > RemovedRetention;
      });
      for (const TargetRef &Target : Updated) {
        TargetRef &Last = Rows.Targets[Target->Id];
        if (Last && Last->StartedAt != Target->StartedAt)
          Restarted.emplace_back(Last, Target);
        else if (Last && groupOf(*Last) != groupOf(*Target))
          Regrouped.push_back(Target->incarnation());
        Last = Target;
        Rows.Removed.erase(Target->Id);
        if (Target->ColdRemaining > Millis(0))
          Rows.ColdUntil[Target->Id] = Now + Target->ColdRemaining;
        else
          Rows.ColdUntil.erase(Target->Id);
      }
      for (const VmId &Id : Dropped)
        if (auto At = Rows.Targets.find(Id); At != Rows.Targets.end()) {
          Rows.Removed[Id] = {At->second, Now};
          Rows.Targets.erase(At);
          Rows.ColdUntil.erase(Id);
          RemovedIds.push_back(Id);
        }
    });
    this->Board.TargetStats.write([&](TargetStatsTable &Rows) {
      for (const VmIncarnation &Target : Regrouped)
        Rows.onRegrouped(Target);
    });
    rebuildServingView(this->Board);
    this->HasApplied = true;
    // All nodes see the same entries, so only the first node of each data
    // centre and the owners of domains log every change. All log targets that
    // leave, since each of them stops using these on its own.
    bool LogsAll = this->Board.FirstInCentre || this->Board.PartitionShare > 0;
    for (const TargetRef &Target : Updated)
      if (LogsAll || Target->Draining)
        this->logTarget(*Target, Registry);
    for (const auto &[Last, Target] : Restarted)
      this->Board.Log.emit(EventCode::TargetReborn, Target->Id.Text,
                           LogFields()
                               .add("born", Target->StartedAt.Value)
                               .add("before", Last->StartedAt.Value)
                               .add("registry", Registry.At.Value));
    for (const VmId &Id : RemovedIds)
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
  RestoredEntries Restored;
  /// Era of the store as of the newest page.
  StoreEra Era;
  /// That page is the first of its era, and an earlier era was seen.
  bool IsFirstOfEra = false;
  /// When all targets have written again after the newest restore.
  TimePoint SettledAt;
  /// Missing in the registry, but not yet removed.
  std::set<VmId> Retained;
  /// Some target stated its start time.
  bool StartTimesSeen = false;
  /// Hash of the newest refused value, by key.
  std::map<VmId, std::uint64_t> RefusedValues;
  /// Something was applied since the start.
  bool HasApplied = false;
  /// The registry's proof is older than the drain bound.
  bool AgeExceeded = false;
};

} // namespace waycove
