// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "control/keyed_feed.h"
#include "wire/news_frames.h"

#include <algorithm>
#include <set>

namespace waycove {

/// Announces this node in the directory on the platform and follows who else
/// is there. A node that is killed stays listed until it is back, and need not
/// be announced anew then; whoever asks it notices. Used by one thread.
template <KeyedFeed Feed, NodeDirectory Directory> class NodeFollower {
public:
  NodeFollower(EntryBoard &Board, Feed &Source, Directory &Announced)
      : Board(Board), Source(Source), Announced(Announced) {}

  /// One read; how long to pause before the next.
  Millis step() {
    if (this->Board.Stopping)
      return this->leave();
    // Where the whole system starts, nobody is listed yet.
    bool KnowsFirst = this->Read || this->Board.Config.Entry->FirstStart;
    bool Due = !this->Listed || this->hasSettled() || this->hasBlamed();
    if (KnowsFirst && Due && !this->announce())
      return this->Waits.next();
    this->Waits.reset();
    if (absl::StatusOr<KeyedPage> Page = this->Source.read(WaitTime);
        Page.ok()) {
      this->apply(*Page);
      this->Read = true;
    }
    return Millis(0);
  }

private:
  /// A planned stop has to be noticed: a node drops itself then.
  static constexpr Millis WaitTime{1000};
  /// While the process ends.
  static constexpr Millis IdleTime{1000};
  /// Between two announcements of what is blamed.
  static constexpr Millis BlamePause{2000};

  /// Whether this node, for all of its data centre, has to note in the
  /// directory that what was in force before the store's present era is written
  /// again: nodes that all start at once after a restore could not tell
  /// otherwise, and would refuse keys for as long as the revocation bound.
  bool hasSettled() const {
    StoreEra Settled = this->Board.self().Settled;
    return this->Board.FirstOfCentre && Settled > this->SettledEra;
  }

  /// Whether this node, for all of its data centre, has to note in the
  /// directory what is blamed now for the end of targets: nodes that all
  /// start at once could not tell each other.
  bool hasBlamed() const {
    if (!this->Board.FirstOfCentre ||
        SystemClock{}.now() - this->AnnouncedAt < BlamePause)
      return false;
    CrashEvidenceMap Blamed = this->blamed();
    return !std::equal(
        Blamed.begin(), Blamed.end(), this->AnnouncedBlamed.begin(),
        this->AnnouncedBlamed.end(),
        [](const auto &A, const auto &B) { return A.first == B.first; });
  }

  CrashEvidenceMap blamed() const {
    return this->Board.Crashes.read(
        [](const CrashBlame &Rows) { return Rows.blamedRows(); });
  }

  bool announce() {
    NodeInfo Me = this->Board.self();
    CrashEvidenceMap Blamed = this->blamed();
    this->AnnouncedAt = SystemClock{}.now();
    this->Board.Counters.Calls.add(
        StoreUse::Announcement, this->Up ? CallCause::Start : CallCause::Retry);
    absl::Status Put =
        this->Announced.put(Me.Node.Text, packNode({Me, Blamed}));
    this->noteUp(Put.ok(), messageOf(Put));
    if (Put.ok()) {
      this->noteSettled(Me.Settled);
      this->AnnouncedBlamed = std::move(Blamed);
    }
    return this->Listed = Put.ok();
  }

  void noteSettled(StoreEra Era) {
    this->SettledEra = std::max(this->SettledEra, Era);
    this->Board.feed(FeedKind::Config).settle(Era, SystemClock{}.now());
  }

  Millis leave() {
    if (std::exchange(this->Listed, false))
      if (absl::Status Put =
              this->Announced.put(this->Board.Config.Node.Text, std::string());
          !Put.ok())
        this->noteUp(false, messageOf(Put));
    return IdleTime;
  }

  void noteUp(bool Answers, const std::string &Reason) {
    if (std::exchange(this->Up, Answers) != Answers)
      this->Board.Log.emit(Answers ? EventCode::LogReachable
                                   : EventCode::LogUnreachable,
                           "announcement", LogFields().add("reason", Reason));
  }

  /// Takes all of a page at once: with a part of it, this node would take its
  /// place in the order for another one.
  void apply(const KeyedPage &Page) {
    std::vector<NodeInfo> Come;
    std::set<NodeId> Left = Page.Whole ? this->listed() : std::set<NodeId>();
    for (const KeyedRecord &Row : Page.Records) {
      NodeId Id(Row.Key);
      Left.erase(Id);
      if (!Row.Value) {
        Left.insert(Id);
        continue;
      }
      absl::StatusOr<Announcement> Read = unpackNode(*Row.Value);
      if (Read.ok() && Read->Node.Node == Id) {
        Come.push_back(std::move(Read->Node));
        this->takeBlamed(Read->Blamed);
      } else
        this->Board.Log.emit(EventCode::RegistryRefused, Row.Key,
                             LogFields().add("reason", "no announcement of a "
                                                       "node of this name"));
    }
    for (const NodeInfo &Row : Come)
      this->noteSettled(Row.Settled);
    this->noteOwn(Page, Come, Left);
    this->store(Come, Left);
  }

  void takeBlamed(const CrashEvidenceMap &Told) {
    if (!Told.empty())
      this->Board.Crashes.write(
          [&](CrashBlame &Rows) { Rows.merge(Told, SystemClock{}.now()); });
  }

  std::set<NodeId> listed() const {
    return this->Board.Nodes.read([](const NodeTable &Rows) {
      std::set<NodeId> Ids;
      for (const auto &[Id, Row] : Rows)
        Ids.insert(Id);
      return Ids;
    });
  }

  void noteOwn(const KeyedPage &Page, const std::vector<NodeInfo> &Come,
               const std::set<NodeId> &Left) {
    // An earlier life's drop may be carried out late, or the store came back
    // from a copy that is older than the announcement: announce anew.
    if (Page.Whole || Left.contains(this->Board.Config.Node))
      this->Listed = false;
    // An earlier life announced it at the same place.
    for (const NodeInfo &Row : Come)
      if (Row.sameAddress(this->Board.self()))
        this->Listed = true;
  }

  void store(const std::vector<NodeInfo> &Come, const std::set<NodeId> &Left) {
    std::vector<NodeInfo> New;
    std::vector<NodeId> Gone;
    this->Board.Nodes.write([&](NodeTable &Rows) {
      for (const NodeId &Id : Left)
        if (Rows.erase(Id) > 0)
          Gone.push_back(Id);
      for (const NodeInfo &Row : Come) {
        NodeInfo &Old = Rows[Row.Node];
        if (Old.Incarnation != Row.Incarnation)
          New.push_back(Row);
        Old = Row;
      }
    });
    for (const NodeId &Id : Gone)
      this->Board.Log.emit(EventCode::PeerLost, Id.Text,
                           LogFields().add("reason", "it left the directory"));
    for (const NodeInfo &Row : New)
      if (Row.Node != this->Board.Config.Node)
        this->Board.Log.emit(
            EventCode::PeerJoined, Row.Node.Text,
            LogFields().add("incarnation", Row.Incarnation.Text));
  }

  EntryBoard &Board;
  FeedCursor<Feed> Source;
  Directory &Announced;
  Backoff Waits;
  /// The directory was read once.
  bool Read = false;
  bool Listed = false;
  bool Up = true;
  /// The newest that some node has noted in the directory.
  StoreEra SettledEra;
  TimePoint AnnouncedAt;
  /// What this node's announcement blames.
  CrashEvidenceMap AnnouncedBlamed;
};

} // namespace waycove
