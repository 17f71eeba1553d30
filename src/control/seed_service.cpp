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
  NodeTable Listed =
      this->Board.Nodes.read([](const NodeTable &Rows) { return Rows; });
  NodeTable Known = this->Board.Joins.write([&](JoinTable &Joins) {
    Joins.add(Who, Announcement, Now);
    return Joins.withJoined(Listed);
  });
  return answerJoin(Known, Who, Failed, this->isComplete(Now), Now);
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
