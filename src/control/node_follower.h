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

/// Reads a few of the announcements in the directory, of nodes that may have
/// ended since.
template <NodeDirectory Directory>
absl::StatusOr<std::vector<NodeInfo>> readAnnouncements(Directory &Source) {
  constexpr std::size_t Count = 32;
  absl::StatusOr<std::vector<KeyedRecord>> Records = Source.oldest(Count);
  if (!Records.ok())
    return Records.status();
  std::vector<NodeInfo> Nodes;
  for (const KeyedRecord &Record : *Records) {
    if (!Record.Value)
      continue;
    absl::StatusOr<Announcement> Read = unpackAnnouncement(*Record.Value);
    if (Read.ok() && Read->Node.Node.Text == Record.Key)
      Nodes.push_back(std::move(Read->Node));
  }
  return Nodes;
}

/// Announces this node in the platform's directory, removes the announcement in
/// a planned stop, and follows the announcements of others. A node that is
/// killed stays listed; nodes that request updates from it notice that it does
/// not respond. When it restarts at the same address, the announcement of its
/// earlier incarnation stays in use. Used by one thread.
template <KeyedFeed Feed, NodeDirectory Directory> class NodeFollower {
public:
  NodeFollower(EntryBoard &Board, Feed &Source, Directory &Announcements)
      : Board(Board), Source(Source), Announcements(Announcements) {}

  /// Whether the next step calls the store, which may block.
  bool callsStore() const {
    if (this->Board.Stopping)
      return this->Listed;
    return this->mustAnnounce() || this->mustAnnounceJoined();
  }

  /// Announces what is due and applies what is new; returns the pause before
  /// the next step, which a change of the feed ends.
  Millis step() {
    if (this->Board.Stopping)
      return this->leave();
    if (this->mustAnnounce() && !this->announce())
      return this->RetryBackoff.next();
    if (this->mustAnnounceJoined() && !this->announceJoined())
      return this->RetryBackoff.next();
    this->RetryBackoff.reset();
    this->Read |= applyNewPage(
        this->Source, [this](const KeyedPage &Page) { this->apply(Page); });
    return this->checkInterval();
  }

private:
  /// Short enough that a planned stop is noticed, which removes the
  /// announcement.
  static constexpr Millis CheckInterval{1000};
  /// The same at a seed, which announces the nodes that join in this interval
  /// together.
  static constexpr Millis SeedCheckInterval{200};
  /// At the first start of the system, all nodes join within this time.
  static constexpr Millis FirstJoinSpread{500};
  /// Interval of steps while the process stops.
  static constexpr Millis StoppingInterval{1000};
  /// Min interval between two announcements of blamed requests.
  static constexpr Millis BlameInterval{2000};

  /// Whether this node, on behalf of its data centre, has to announce that the
  /// configuration from before a restore of the store was written again.
  /// Without that, nodes that all start after a restore would refuse keys for
  /// the length of the revocation bound.
  bool hasNewSettledEra() const {
    StoreEra Settled = this->Board.nodeInfo().Settled;
    return this->Board.FirstInCentre && Settled > this->SettledEra;
  }

  /// Whether this node, on behalf of its data centre, has to announce which
  /// requests are blamed for crashes, so that nodes that all start at once
  /// know.
  bool hasNewBlame() const {
    if (!this->Board.FirstInCentre ||
        SystemClock{}.now() - this->AnnouncedAt < BlameInterval)
      return false;
    CrashEvidenceMap Blamed = this->currentBlame();
    return !std::equal(
        Blamed.begin(), Blamed.end(), this->AnnouncedBlamed.begin(),
        this->AnnouncedBlamed.end(),
        [](const auto &A, const auto &B) { return A.first == B.first; });
  }

  bool isAnnouncedBySeed() const {
    return this->Board.ListingLease.holds(SystemClock{}.now());
  }

  bool hasJoined() const {
    return !this->Board.Joins.read(
        [](const JoinTable &Joins) { return Joins.empty(); });
  }

  Millis checkInterval() const {
    return this->hasJoined() ? SeedCheckInterval : CheckInterval;
  }

  bool mustAnnounce() const {
    // When the whole system starts, no node is listed yet.
    bool KnowsFirst = this->Read || this->Board.Config.Entry->FirstStart;
    bool Unlisted = !this->Listed && !this->isAnnouncedBySeed();
    return KnowsFirst &&
           (Unlisted || this->hasNewSettledEra() || this->hasNewBlame());
  }

  bool mustAnnounceJoined() const {
    bool Collects =
        this->Board.Config.Entry->FirstStart &&
        SystemClock{}.now() - this->Board.StartedAt < FirstJoinSpread;
    return !Collects && this->hasJoined();
  }

  /// As a seed, announces the nodes that asked to join, all in one call.
  /// Returns false if that failed.
  bool announceJoined() {
    TimePoint Now = SystemClock{}.now();
    NodeRankingRef Known = this->Board.nodes();
    JoinTable::Announcements Rows =
        this->Board.Joins.write([&](JoinTable &Joins) {
          Joins.prune(Known->nodes(), Now);
          return Joins.takeUnwritten(Known->nodes(), Now);
        });
    if (Rows.empty())
      return true;
    this->Board.Counters.Calls.add(StoreUse::Announcement, CallCause::Duty);
    absl::Status Put = this->Announcements.putAll(Rows);
    this->setReachable(Put.ok(), messageOf(Put));
    if (!Put.ok())
      this->Board.Joins.write(
          [&](JoinTable &Joins) { Joins.onWriteFailed(Rows); });
    else
      this->Board.Log.emit(EventCode::JoinedAnnounced,
                           this->Board.Config.Node.Text,
                           LogFields().add("nodes", Rows.size()));
    return Put.ok();
  }

  CrashEvidenceMap currentBlame() const {
    return this->Board.Crashes.read(
        [](const CrashBlame &Rows) { return Rows.blamedRows(); });
  }

  bool announce() {
    NodeInfo Me = this->Board.nodeInfo();
    CrashEvidenceMap Blamed = this->currentBlame();
    this->AnnouncedAt = SystemClock{}.now();
    this->Board.Counters.Calls.add(StoreUse::Announcement,
                                   this->IsReachable ? CallCause::Start
                                                     : CallCause::Retry);
    absl::Status Put =
        this->Announcements.put(Me.Node.Text, packAnnouncement({Me, Blamed}));
    this->setReachable(Put.ok(), messageOf(Put));
    if (Put.ok()) {
      this->settle(Me.Settled);
      this->AnnouncedBlamed = std::move(Blamed);
    }
    return this->Listed = Put.ok();
  }

  void settle(StoreEra Era) {
    this->SettledEra = std::max(this->SettledEra, Era);
    this->Board.feed(FeedKind::Config).settle(Era, SystemClock{}.now());
  }

  Millis leave() {
    if (std::exchange(this->Listed, false))
      if (absl::Status Put = this->Announcements.put(
              this->Board.Config.Node.Text, std::string());
          !Put.ok())
        this->setReachable(false, messageOf(Put));
    return StoppingInterval;
  }

  void setReachable(bool Reachable, const std::string &Reason) {
    if (std::exchange(this->IsReachable, Reachable) != Reachable)
      this->Board.Log.emit(Reachable ? EventCode::LogReachable
                                     : EventCode::LogUnreachable,
                           "announcement", LogFields().add("reason", Reason));
  }

  /// Applies a page as a whole, since a part of it would give this node a wrong
  /// place in the order.
  void apply(const KeyedPage &Page) {
    std::vector<NodeInfo> Present;
    std::set<NodeId> Removed =
        Page.IsSnapshot ? this->listed() : std::set<NodeId>();
    for (const KeyedRecord &Row : Page.Records) {
      NodeId Id(Row.Key);
      Removed.erase(Id);
      if (!Row.Value) {
        Removed.insert(Id);
        continue;
      }
      absl::StatusOr<Announcement> Read = unpackAnnouncement(*Row.Value);
      if (Read.ok() && Read->Node.Node == Id) {
        Present.push_back(std::move(Read->Node));
        this->applyBlamed(Read->Blamed);
      } else
        this->Board.Log.emit(EventCode::RegistryRefused, Row.Key,
                             LogFields().add("reason", "not an announcement "
                                                       "of this node"));
    }
    for (const NodeInfo &Row : Present)
      this->settle(Row.Settled);
    this->updateListed(Page, Present, Removed);
    this->store(Present, Removed);
  }

  void applyBlamed(const CrashEvidenceMap &Blamed) {
    if (!Blamed.empty())
      this->Board.Crashes.write(
          [&](CrashBlame &Rows) { Rows.merge(Blamed, SystemClock{}.now()); });
  }

  std::set<NodeId> listed() const {
    std::set<NodeId> Ids;
    for (const auto &[Id, Row] : this->Board.nodes()->nodes())
      Ids.insert(Id);
    return Ids;
  }

  void updateListed(const KeyedPage &Page, const std::vector<NodeInfo> &Present,
                    const std::set<NodeId> &Removed) {
    // The removal by an earlier incarnation was carried out late, or the store
    // was restored from a copy older than the announcement: announce again.
    if (Page.IsSnapshot || Removed.contains(this->Board.Config.Node))
      this->Listed = false;
    // An earlier incarnation announced the same address.
    for (const NodeInfo &Row : Present)
      if (Row.sameAddress(this->Board.nodeInfo()))
        this->Listed = true;
  }

  void store(const std::vector<NodeInfo> &Present,
             const std::set<NodeId> &Removed) {
    std::vector<NodeInfo> Joined;
    std::vector<NodeId> Lost;
    if (Present.empty() && Removed.empty())
      return;
    NodeTable Rows = this->Board.nodes()->nodes();
    for (const NodeId &Id : Removed)
      if (Rows.erase(Id) > 0)
        Lost.push_back(Id);
    for (const NodeInfo &Row : Present) {
      NodeInfo &Old = Rows[Row.Node];
      if (Old.Incarnation != Row.Incarnation)
        Joined.push_back(Row);
      Old = Row;
    }
    auto Ranked = std::make_shared<const NodeRanking>(std::move(Rows));
    this->Board.Nodes.write([&](NodeRankingRef &Row) { Row = Ranked; });
    for (const NodeId &Id : Lost)
      this->Board.Log.emit(EventCode::PeerLost, Id.Text,
                           LogFields().add("reason", "it left the directory"));
    for (const NodeInfo &Row : Joined)
      if (Row.Node != this->Board.Config.Node)
        this->Board.Log.emit(
            EventCode::PeerJoined, Row.Node.Text,
            LogFields().add("incarnation", Row.Incarnation.Text));
  }

  EntryBoard &Board;
  FeedCursor<Feed> Source;
  Directory &Announcements;
  Backoff RetryBackoff;
  /// The directory was read once.
  bool Read = false;
  bool Listed = false;
  bool IsReachable = true;
  /// The newest settled era that some node has announced.
  StoreEra SettledEra;
  TimePoint AnnouncedAt;
  /// Blamed requests in this node's announcement.
  CrashEvidenceMap AnnouncedBlamed;
};

} // namespace waycove
