// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "board/peers.h"

#include "policy/rendezvous.h"

namespace waycove {

namespace {

/// Silent daemons are removed after this time, which exceeds the validity of an
/// idempotency key so that a retry still finds the dispatcher of its key.
constexpr Millis RetentionPeriod(2 * 3600 * 1000);
constexpr std::size_t MaxPeers = 4096;
/// Multiplies the liveness timeout for daemons of other data centres.
constexpr int RemoteTimeoutFactor = 3;

} // namespace

bool PeerTable::recordHeartbeat(const wire::Heartbeat &Beat, TimePoint Now) {
  NodeHash Node(Beat.node());
  if (this->Rows.size() >= MaxPeers && !this->Rows.contains(Node))
    return false;
  Peer &Known = this->Rows[Node];
  if (Beat.sequence() <= Known.Sequence)
    return false;
  Known.Sequence = Beat.sequence();
  Known.Folded = Beat.folded();
  Known.InFlight = Beat.in_flight();
  Known.Flags = Beat.flags();
  Known.LastHeartbeat = Now;
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
  bool Remote = Row->Row.data_centre != this->LocalDataCentre.Text;
  return Now - Row->LastHeartbeat <
         (Remote ? RemoteTimeoutFactor * this->LivenessTimeout
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
    bool &WasLive = this->WasLive[At->first];
    if (WasLive && !Live)
      Lost.push_back(At->first);
    WasLive = Live;
    bool Expired = !Live && Now - At->second.LastHeartbeat > RetentionPeriod;
    if (Expired) {
      this->Incarnations.erase(IncarnationId(At->second.Row.incarnation));
      this->WasLive.erase(At->first);
      At = this->Rows.erase(At);
    } else {
      ++At;
    }
  }
  return Lost;
}

bool HealthTable::put(Fence Group, const GroupHealth &Health) {
  GroupHealth &Known = this->Rows[Group];
  if (Health.Version <= Known.Version)
    return false;
  Known = Health;
  return true;
}

std::optional<GroupHealth> HealthTable::find(Fence Group) const {
  auto At = this->Rows.find(Group);
  if (At == this->Rows.end())
    return std::nullopt;
  return At->second;
}

} // namespace waycove
