// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "control/keyed_feed.h"
#include "wire/news_frames.h"

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
    if (KnowsFirst && !this->Listed && !this->announce())
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

  bool announce() {
    NodeInfo Me = this->Board.self();
    this->Board.Counters.Calls.add(
        StoreUse::Announcement, this->Up ? CallCause::Start : CallCause::Retry);
    absl::Status Put = this->Announced.put(Me.Node.Text, packNode(Me));
    this->noteUp(Put.ok(), messageOf(Put));
    return this->Listed = Put.ok();
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

  void apply(const KeyedPage &Page) {
    if (Page.Whole)
      this->forgetAbsent(Page);
    for (const KeyedRecord &Row : Page.Records) {
      NodeId Id(Row.Key);
      if (!Row.Value) {
        this->forget(Id);
        continue;
      }
      absl::StatusOr<NodeInfo> Read = unpackNode(*Row.Value);
      if (!Read.ok() || Read->Node != Id) {
        this->Board.Log.emit(EventCode::RegistryRefused, Row.Key,
                             LogFields().add("reason", "no announcement of a "
                                                       "node of this name"));
        continue;
      }
      this->take(std::move(*Read));
    }
  }

  void forgetAbsent(const KeyedPage &Page) {
    std::set<NodeId> Absent;
    this->Board.Nodes.read([&](const NodeTable &Rows) {
      for (const auto &[Id, Row] : Rows)
        Absent.insert(Id);
    });
    for (const KeyedRecord &Row : Page.Records)
      Absent.erase(NodeId(Row.Key));
    for (const NodeId &Id : Absent)
      this->forget(Id);
  }

  void forget(const NodeId &Id) {
    // An earlier life's drop may be carried out late: announce anew.
    if (Id == this->Board.Config.Node)
      this->Listed = false;
    bool Had = this->Board.Nodes.write(
        [&](NodeTable &Rows) { return Rows.erase(Id) > 0; });
    if (Had)
      this->Board.Log.emit(EventCode::PeerLost, Id.Text,
                           LogFields().add("reason", "it left the directory"));
  }

  void take(NodeInfo Row) {
    // An earlier life announced it at the same place.
    if (Row.samePlace(this->Board.self()))
      this->Listed = true;
    std::string Incarnation = Row.Incarnation.Text;
    NodeId Id = Row.Node;
    bool New = this->Board.Nodes.write([&](NodeTable &Rows) {
      NodeInfo &Old = Rows[Id];
      bool Other = Old.Incarnation != Row.Incarnation;
      Old = std::move(Row);
      return Other;
    });
    if (New && Id != this->Board.Config.Node)
      this->Board.Log.emit(EventCode::PeerJoined, Id.Text,
                           LogFields().add("incarnation", Incarnation));
  }

  EntryBoard &Board;
  FeedCursor<Feed> Source;
  Directory &Announced;
  Backoff Waits;
  /// The directory was read once.
  bool Read = false;
  bool Listed = false;
  bool Up = true;
};

} // namespace waycove
