// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "control/seed_service.h"

#include "wire/join_frames.h"
#include "wire/news_frames.h"

namespace waycove {

bool SeedService::isComplete(TimePoint Now) const {
  Millis Age = std::chrono::duration_cast<Millis>(Now - this->Board.StartedAt);
  if (this->Board.Config.Entry->FirstStart && Age < StartSpread)
    return false;
  return this->Board.feed(FeedKind::Nodes).next() ||
         this->Board.Config.Entry->FirstStart || Age >= DirectoryTimeout;
}

JoinAnswer SeedService::answer(const NodeInfo &Who,
                               const std::string &Announcement,
                               const std::vector<NodeId> &Failed,
                               TimePoint Now) {
  bool IsNew = this->Board.Joins.write(
      [&](JoinTable &Joins) { return Joins.add(Who, Announcement, Now); });
  return answerJoin(*this->rank(IsNew, Now), Who, Failed, this->isComplete(Now),
                    Now);
}

/// The nodes that are listed or have joined. Made anew a bounded number of
/// times a second, since each of them takes its time and all nodes may join at
/// once.
NodeRankingRef SeedService::rank(bool HasNew, TimePoint Now) {
  NodeRankingRef Listed = this->Board.nodes();
  std::lock_guard Lock(this->Mutex);
  this->HasChanged |= HasNew || Listed != this->RankedListed;
  if (this->Ranked &&
      (!this->HasChanged || Now - this->RankedAt < RankInterval))
    return this->Ranked;
  this->Ranked = std::make_shared<const NodeRanking>(
      this->Board.Joins.read([&](const JoinTable &Joins) {
        return Joins.withJoined(Listed->nodes());
      }));
  this->RankedListed = std::move(Listed);
  this->RankedAt = Now;
  this->HasChanged = false;
  return this->Ranked;
}

wire::JoinAnswerT SeedService::respond(const wire::JoinT &Request) {
  std::string Bytes(Request.announcement.begin(), Request.announcement.end());
  absl::StatusOr<Announcement> Who = unpackAnnouncement(Bytes);
  if (!Who.ok() || Who->Node.Node.empty() || Who->Node.Host.empty()) {
    this->Board.Log.emit(
        EventCode::JoinRefused, this->Board.Config.Node.Text,
        LogFields().add("reason", Who.ok() ? "it names no node or address"
                                           : messageOf(Who.status())));
    return {};
  }
  std::vector<NodeId> Failed;
  for (const std::string &Node : Request.failed)
    Failed.emplace_back(Node);
  return packJoinAnswer(
      this->answer(Who->Node, Bytes, Failed, SystemClock{}.now()));
}

} // namespace waycove
