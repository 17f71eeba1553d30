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
  if (this->Peers.size() >= MaxPeers && !this->Peers.contains(Node))
    return false;
  Peer &Known = this->Peers[Node];
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
  if (this->Peers.size() >= MaxPeers && !this->Peers.contains(Node))
    return false;
  Peer &Entry = this->Peers[Node];
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
  auto At = this->Peers.find(Node);
  return At == this->Peers.end() ? nullptr : &At->second;
}

bool PeerTable::isLive(NodeHash Node, TimePoint Now) const {
  const Peer *Found = this->find(Node);
  if (!Found || !Found->Known || Found->Sequence == 0)
    return false;
  bool Remote = Found->Row.data_centre != this->LocalDataCentre.Text;
  return Now - Found->LastHeartbeat <
         (Remote ? RemoteTimeoutFactor * this->LivenessTimeout
                 : this->LivenessTimeout);
}

std::vector<Member> PeerTable::liveMembers(TimePoint Now) const {
  std::vector<Member> Found;
  for (const auto &[Node, Known] : this->Peers)
    if (this->isLive(Node, Now))
      Found.push_back({Node, DataCentreId(Known.Row.data_centre)});
  return Found;
}

const Peer *PeerTable::findIncarnation(const IncarnationId &Incarnation) const {
  auto At = this->Incarnations.find(Incarnation);
  return At == this->Incarnations.end() ? nullptr : this->find(At->second);
}

std::vector<NodeHash> PeerTable::servingNodes(const DataCentreId &DataCentre,
                                              TimePoint Now) const {
  std::vector<NodeHash> Found;
  for (const auto &[Node, Known] : this->Peers)
    if (this->isLive(Node, Now) && Known.Row.data_centre == DataCentre.Text &&
        Known.has(Serving) && !Known.has(StoppingNode))
      Found.push_back(Node);
  return Found;
}

std::vector<NodeHash> PeerTable::sweep(TimePoint Now) {
  std::vector<NodeHash> Lost;
  for (auto At = this->Peers.begin(); At != this->Peers.end();) {
    bool Live = this->isLive(At->first, Now);
    bool &WasLive = this->WasLive[At->first];
    if (WasLive && !Live)
      Lost.push_back(At->first);
    WasLive = Live;
    bool Expired = !Live && Now - At->second.LastHeartbeat > RetentionPeriod;
    if (Expired) {
      this->Incarnations.erase(IncarnationId(At->second.Row.incarnation));
      this->WasLive.erase(At->first);
      At = this->Peers.erase(At);
    } else {
      ++At;
    }
  }
  return Lost;
}

bool HealthTable::put(Fence Group, const GroupHealth &Health) {
  GroupHealth &Known = this->Groups[Group];
  if (Health.Version <= Known.Version)
    return false;
  Known = Health;
  return true;
}

std::optional<GroupHealth> HealthTable::find(Fence Group) const {
  auto At = this->Groups.find(Group);
  if (At == this->Groups.end())
    return std::nullopt;
  return At->second;
}

} // namespace waycove
