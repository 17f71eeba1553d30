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

  /// One read; how long to pause before the next.
  Millis step() {
    Millis Wait = this->Kept.empty() ? PollTime : HoldPollTime;
    absl::StatusOr<KeyedPage> Page = this->Source.read(Wait);
    TimePoint Now = SystemClock{}.now();
    if (!Page.ok())
      return this->onFailure(Page.status());
    if (!std::exchange(this->Up, true))
      this->Board.Log.emit(EventCode::LogReachable, "registry");
    this->Waits.reset();
    this->Board.RegistryFresh.renew(Page->AnsweredAt, FreshTime);
    this->apply(*Page, Now);
    this->Board.RegistryProven.raise(Page->ProvenAt);
    if (Page->Relayed)
      return Millis(0);
    bool Awaited = this->Board.Share > 0 || this->Board.servesNews(Now);
    // Several reads fit into the time by which a leaving target is known.
    return Awaited
               ? OwnerGatherTime
               : std::min(GatherTime, EntryBoard::partOf(
                                          this->Board.Config.Entry->DrainBound,
                                          GatherPart));
  }

private:
  /// One call this often while nothing changes, unless neighbours rely on it;
  /// changes come at once.
  static constexpr Millis PollTime{2000};
  /// The same while dropped entries may still come back.
  static constexpr Millis HoldPollTime{300};
  /// Until the next read has to have come back: a poll and a slow answer. It
  /// counts from an answer, not from its question, since a read that waits
  /// tells of its end; its call gives up on an answer 0.9 s later than that.
  static constexpr Millis FreshTime{3000};
  /// Changes come in series: what comes within this time shares a call. Nodes
  /// that own domains, or read for those, wait for orders to show; others have
  /// time.
  static constexpr Millis OwnerGatherTime{220};
  static constexpr Millis GatherTime{1200};
  /// The pause is at most this part of the bound on leaving targets: the read
  /// after it takes some 10 ms, and 0.9 s where the store is slow.
  static constexpr double GatherPart = 0.5;
  /// How long a target that went is remembered, so that its group's owner can
  /// ask after it.
  static constexpr Millis GoneMemory{30000};

  Millis onFailure(const absl::Status &Why) {
    if (kindOf(Why) == ErrorKind::NotFound)
      return Millis(0);
    if (std::exchange(this->Up, false))
      this->Board.Log.emit(EventCode::LogUnreachable, "registry",
                           LogFields().add("reason", messageOf(Why)));
    return this->Waits.next();
  }

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
  Backoff Waits;
  bool Up = true;
  /// Dropped from the registry, not yet taken for gone.
  std::set<VmId> Kept;
};

} // namespace waycove
