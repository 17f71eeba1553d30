// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "policy/join_table.h"

#include "policy/upstream_selector.h"

#include <algorithm>
#include <bit>

namespace waycove {

namespace {

/// Requests per second that a small machine answers beside its other work.
constexpr int AnswersPerSecond = 250;
constexpr Millis MinRetryAfter{150};
constexpr Millis MaxRetryAfter{4000};
/// A seed that has just started waits for other nodes to join.
constexpr Millis IncompleteRetryAfter{400};
constexpr int MillisPerSecond = 1000;

/// Doublings until all nodes had their turn: the first turn is for one in a
/// thousand.
constexpr int TurnDoublings = 10;
constexpr Millis TurnInterval{250};

Millis retryAfter(std::size_t Nodes) {
  Millis Spread{static_cast<std::int64_t>(Nodes) * MillisPerSecond /
                AnswersPerSecond};
  return std::clamp(Spread, MinRetryAfter, MaxRetryAfter);
}

} // namespace

bool JoinTable::isListed(const NodeTable &Listed, const NodeInfo &Node) {
  auto At = Listed.find(Node.Node);
  return At != Listed.end() && At->second.sameAddress(Node);
}

bool JoinTable::add(const NodeInfo &Node, std::string Bytes, TimePoint Now) {
  Entry &Row = this->Joined[Node.Node];
  bool IsNew = !Row.Node.sameAddress(Node);
  if (IsNew)
    Row.WrittenAt.reset();
  Row.Node = Node;
  Row.Bytes = std::move(Bytes);
  Row.JoinedAt = Now;
  return IsNew;
}

NodeTable JoinTable::withJoined(const NodeTable &Listed) const {
  NodeTable Nodes = Listed;
  for (const auto &[Id, Row] : this->Joined)
    Nodes[Id] = Row.Node;
  return Nodes;
}

JoinTable::Announcements JoinTable::takeUnwritten(const NodeTable &Listed,
                                                  TimePoint Now) {
  Announcements Unwritten;
  for (auto &[Id, Row] : this->Joined) {
    bool IsWritten = Row.WrittenAt && Now - *Row.WrittenAt < RewriteInterval;
    if (IsWritten || isListed(Listed, Row.Node))
      continue;
    Row.WrittenAt = Now;
    Unwritten.emplace_back(Id, Row.Bytes);
  }
  return Unwritten;
}

void JoinTable::onWriteFailed(const Announcements &Unwritten) {
  for (const auto &[Id, Bytes] : Unwritten)
    if (auto At = this->Joined.find(Id); At != this->Joined.end())
      At->second.WrittenAt.reset();
}

void JoinTable::prune(const NodeTable &Listed, TimePoint Now) {
  std::erase_if(this->Joined, [&](const auto &Row) {
    return isListed(Listed, Row.second.Node) ||
           Now - Row.second.JoinedAt >= MaxAge;
  });
}

JoinAnswer answerJoin(const NodeRanking &Known, const NodeInfo &Who,
                      const std::vector<NodeId> &Failed, bool Complete,
                      TimePoint Now) {
  JoinAnswer Answer;
  Answer.NodeCount = Known.nodes().size();
  Answer.RetryAfter = retryAfter(Answer.NodeCount);
  if (!Complete) {
    Answer.RetryAfter = std::max(Answer.RetryAfter, IncompleteRetryAfter);
    return Answer;
  }
  UpstreamSelector Route;
  for (const NodeId &Node : Failed)
    Route.onFailure(Node, Now);
  Answer.Upstream = Route.nextCandidates(Known, Who, Now);
  Answer.ReadsStore = Answer.Upstream.empty();
  return Answer;
}

Millis storeTurn(const NodeId &Node) {
  // Of all hashes, one in 2^N has N leading zeros.
  int Zeros = std::min(std::countl_zero(mixHash(hashText(Node.Text), 0)),
                       TurnDoublings);
  return TurnInterval * (TurnDoublings - Zeros);
}

} // namespace waycove
