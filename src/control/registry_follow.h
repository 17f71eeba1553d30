// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/keyed_feed.h"
#include "control/serving.h"

#include <set>

namespace waycove {

/// Follows the platform's registry of targets. \p Decode makes a target of an
/// entry. Entries that went while the store was away are kept until the time is
/// over that the page gives them to come back, but requests go there only where
/// nothing that is listed serves: such an entry may have lapsed, or have left.
/// Used by one thread.
template <KeyedFeed Feed, typename Decoder> class RegistryFollower {
public:
  RegistryFollower(EntryBoard &Board, Feed &Source, Decoder Decode)
      : Board(Board), Source(Source), Decode(std::move(Decode)) {}

  /// Takes in what is new; waits for that a while.
  void step() {
    absl::StatusOr<KeyedPage> Page = this->Source.read(WaitTime);
    if (!Page.ok())
      return;
    this->Board.RegistryFresh.renew(Page->ProvenAt, FreshTime);
    this->apply(*Page, SystemClock{}.now());
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

  void apply(const KeyedPage &Page, TimePoint Now) {
    std::vector<TargetRef> Come;
    std::set<VmId> Left;
    for (const KeyedRecord &Row : Page.Records) {
      VmId Id(Row.Key);
      if (!Row.Value) {
        Left.insert(Id);
        continue;
      }
      absl::StatusOr<TargetInfo> Read = this->Decode(Row.Key, *Row.Value);
      if (!Read.ok()) {
        this->Board.Log.emit(
            EventCode::RegistryRefused, Row.Key,
            LogFields().add("reason", messageOf(Read.status())));
        continue;
      }
      Left.erase(Id);
      this->Kept.erase(Id);
      Come.push_back(std::make_shared<const TargetInfo>(std::move(*Read)));
    }
    if (Page.Whole)
      this->addAbsent(Come, Left);
    bool News = !Come.empty();
    if (Now < Page.HoldUntil) {
      News |= this->keep(std::exchange(Left, {}), Page, Now);
    } else {
      Left.merge(this->Kept);
      this->Kept.clear();
    }
    if (News || !Left.empty())
      this->store(Come, Left, Page.Next, Now);
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
              .add("registry", Page.Next.Value)
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

  void addAbsent(const std::vector<TargetRef> &Come, std::set<VmId> &Left) {
    std::set<VmId> Present;
    for (const TargetRef &Row : Come)
      Present.insert(Row->Id);
    this->Board.Targets.read([&](const Fleet &Rows) {
      for (const auto &[Id, Row] : Rows.Targets)
        if (!Present.contains(Id))
          Left.insert(Id);
    });
  }

  void store(const std::vector<TargetRef> &Come, const std::set<VmId> &Left,
             Offset Registry, TimePoint Now) {
    std::vector<VmId> Gone;
    this->Board.Targets.write([&](Fleet &Rows) {
      ++Rows.Version;
      Rows.Registry = Registry;
      Rows.Kept = this->Kept;
      std::erase_if(Rows.Gone, [&](const auto &Entry) {
        return Now - Entry.second.Since > GoneMemory;
      });
      for (const TargetRef &Row : Come) {
        Rows.Targets[Row->Id] = Row;
        Rows.Gone.erase(Row->Id);
      }
      for (const VmId &Id : Left)
        if (auto At = Rows.Targets.find(Id); At != Rows.Targets.end()) {
          Rows.Gone[Id] = {At->second, Now};
          Rows.Targets.erase(At);
          Gone.push_back(Id);
        }
    });
    refreshServing(this->Board);
    // What a node finds at its start is the same in all nodes: the first of
    // each data centre tells of it, row by row. 918 lines cost the others 9 ms,
    // a tenth of a second on an eighth of a core, while callers wait.
    bool Found = !std::exchange(this->Began, true);
    if (!Found || this->Board.FirstOfCentre)
      for (const TargetRef &Row : Come)
        this->logTarget(*Row, Registry);
    for (const VmId &Id : Gone)
      this->Board.Log.emit(EventCode::TargetGone, Id.Text,
                           LogFields().add("registry", Registry.Value));
  }

  void logTarget(const TargetInfo &Row, Offset Registry) {
    LogFields Fields;
    Fields.add("service", Row.Service.Text)
        .add("address", Row.Address.text())
        .add("domain", Row.Domain.Text)
        .add("draining", Row.Draining)
        .add("registry", Registry.Value);
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
  /// Dropped from the registry, not yet taken for gone.
  std::set<VmId> Kept;
  /// Something was taken in since the start.
  bool Began = false;
  /// All of it is older than the bound on leaving targets.
  bool Old = false;
};

} // namespace waycove
