// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "board/peers.h"

#include "policy/rendezvous.h"

namespace waycove {

namespace {

/// Silent daemons are forgotten after this long: longer than a key is valid,
/// so that a retry still finds the dispatcher of its key.
constexpr Millis ForgetAfter(2 * 3600 * 1000);
constexpr std::size_t MaxPeers = 4096;
constexpr int ElsewhereFactor = 3;

} // namespace

bool PeerTable::recordHeartbeat(const wire::Heartbeat &Beat, TimePoint Now) {
  NodeHash Node(Beat.node());
  if (this->Rows.size() >= MaxPeers && !this->Rows.contains(Node))
    return false;
  Peer &Row = this->Rows[Node];
  if (Beat.sequence() <= Row.Sequence)
    return false;
  Row.Sequence = Beat.sequence();
  Row.Folded = Beat.folded();
  Row.InFlight = Beat.in_flight();
  Row.Flags = Beat.flags();
  Row.LastHeartbeat = Now;
  return true;
}

bool PeerTable::put(const wire::PeerRowT &Row, TimePoint Now, ChangeMark Mark) {
  NodeHash Node = hashNode(NodeId(Row.node), IncarnationId(Row.incarnation));
  if (this->Rows.size() >= MaxPeers && !this->Rows.contains(Node))
    return false;
  Peer &Entry = this->Rows[Node];
  if (Entry.Known && Entry.Row.sequence >= Row.sequence)
    return false;
  Entry.Row = Row;
  Entry.Known = true;
  Entry.RowMark = Mark;
  if (Entry.Sequence == 0)
    Entry.LastHeartbeat = Now;
  this->Incarnations[IncarnationId(Row.incarnation)] = Node;
  return true;
}

const Peer *PeerTable::find(NodeHash Node) const {
  auto At = this->Rows.find(Node);
  return At == this->Rows.end() ? nullptr : &At->second;
}

bool PeerTable::isLive(NodeHash Node, TimePoint Now) const {
  const Peer *Row = this->find(Node);
  if (!Row || !Row->Known || Row->Sequence == 0)
    return false;
  bool Elsewhere = Row->Row.data_centre != this->LocalDataCentre.Text;
  return Now - Row->LastHeartbeat <
         (Elsewhere ? ElsewhereFactor * this->LivenessTimeout
                    : this->LivenessTimeout);
}

std::vector<Member> PeerTable::liveMembers(TimePoint Now) const {
  std::vector<Member> Found;
  for (const auto &[Node, Row] : this->Rows)
    if (this->isLive(Node, Now))
      Found.push_back({Node, DataCentreId(Row.Row.data_centre)});
  return Found;
}

const Peer *PeerTable::findIncarnation(const IncarnationId &Incarnation) const {
  auto At = this->Incarnations.find(Incarnation);
  return At == this->Incarnations.end() ? nullptr : this->find(At->second);
}

std::vector<NodeHash> PeerTable::servingNodes(const DataCentreId &DataCentre,
                                              TimePoint Now) const {
  std::vector<NodeHash> Found;
  for (const auto &[Node, Row] : this->Rows)
    if (this->isLive(Node, Now) && Row.Row.data_centre == DataCentre.Text &&
        Row.has(Serving) && !Row.has(StoppingNode))
      Found.push_back(Node);
  return Found;
}

std::vector<NodeHash> PeerTable::sweep(TimePoint Now) {
  std::vector<NodeHash> Lost;
  for (auto At = this->Rows.begin(); At != this->Rows.end();) {
    bool Live = this->isLive(At->first, Now);
    bool &Was = this->WasLive[At->first];
    if (Was && !Live)
      Lost.push_back(At->first);
    Was = Live;
    bool Forget = !Live && Now - At->second.LastHeartbeat > ForgetAfter;
    if (Forget) {
      this->Incarnations.erase(IncarnationId(At->second.Row.incarnation));
      this->WasLive.erase(At->first);
      At = this->Rows.erase(At);
    } else {
      ++At;
    }
  }
  return Lost;
}

bool HealthTable::put(Fence Group, const GroupHealth &Row) {
  GroupHealth &Entry = this->Rows[Group];
  if (Row.Version <= Entry.Version)
    return false;
  Entry = Row;
  return true;
}

std::optional<GroupHealth> HealthTable::find(Fence Group) const {
  auto At = this->Rows.find(Group);
  if (At == this->Rows.end())
    return std::nullopt;
  return At->second;
}

} // namespace waycove
