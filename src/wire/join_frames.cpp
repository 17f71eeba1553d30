// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "wire/join_frames.h"

#include "wire/news_frames.h"

namespace waycove {

wire::JoinT packJoin(const std::string &Announcement,
                     const std::set<NodeId> &Failed) {
  wire::JoinT Message;
  Message.announcement.assign(Announcement.begin(), Announcement.end());
  for (const NodeId &Node : Failed)
    Message.failed.push_back(Node.Text);
  return Message;
}

wire::JoinAnswerT packJoinAnswer(const JoinAnswer &Answer) {
  wire::JoinAnswerT Message;
  for (const NodeInfo &Node : Answer.Upstream)
    Message.upstream.push_back(
        std::make_unique<wire::PeerRowT>(packNode(Node)));
  Message.reads_store = Answer.ReadsStore;
  Message.nodes = static_cast<std::uint32_t>(Answer.NodeCount);
  Message.retry_ms = static_cast<std::uint32_t>(Answer.RetryAfter.count());
  return Message;
}

JoinAnswer unpackJoinAnswer(const wire::JoinAnswerT &Message) {
  JoinAnswer Answer;
  for (const auto &Row : Message.upstream)
    Answer.Upstream.push_back(unpackNode(*Row));
  Answer.ReadsStore = Message.reads_store;
  Answer.NodeCount = Message.nodes;
  Answer.RetryAfter = Millis(Message.retry_ms);
  return Answer;
}

} // namespace waycove
