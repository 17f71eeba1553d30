// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/vms.h"
#include "policy/links.h"
#include "wire/wire_generated.h"

#include <optional>
#include <unordered_map>

namespace waycove {

/// Flags of a heartbeat.
enum HeartbeatFlag : std::uint32_t {
  /// The health of its groups is based on fresh reports of their members.
  MembersFresh = 1,
  /// It has folded the newest state it knows of and serves requests.
  Serving = 2,
  /// It is stopping and takes no control work.
  StoppingNode = 4,
};

/// A remote daemon. Row holds its address and is valid if Known is set.
struct Peer {
  wire::PeerRowT Row;
  std::uint64_t Sequence = 0;
  std::uint64_t Folded = 0;
  std::uint32_t InFlight = 0;
  std::uint32_t Flags = 0;
  TimePoint LastHeartbeat;
  bool Known = false;
  ChangeMark RowMark;

  bool has(HeartbeatFlag Flag) const { return (this->Flags & Flag) != 0; }
};

/// The remote daemons whose heartbeats arrive directly or through other
/// daemons. A daemon is live while its heartbeats arrive; a restarted daemon is
/// a new entry.
class PeerTable {
public:
  /// Records a heartbeat; returns false if it is not newer than the last one.
  bool recordHeartbeat(const wire::Heartbeat &Beat, TimePoint Now);
  /// Adds or updates a daemon; returns false if \p Row is not newer.
  bool put(const wire::PeerRowT &Row, TimePoint Now, ChangeMark Mark = {});
  const Peer *find(NodeHash Node) const;
  bool isLive(NodeHash Node, TimePoint Now) const;
  /// Returns the live daemons.
  std::vector<Member> liveMembers(TimePoint Now) const;
  const Peer *findIncarnation(const IncarnationId &Incarnation) const;
  /// Returns the live daemons of \p DataCentre that serve requests.
  std::vector<NodeHash> servingNodes(const DataCentreId &DataCentre,
                                     TimePoint Now) const;
  /// Removes daemons that have been silent for long; returns those that stopped
  /// being live since the last call.
  std::vector<NodeHash> sweep(TimePoint Now);
  const std::unordered_map<NodeHash, Peer> &rows() const { return this->Peers; }
  /// Time without heartbeats after which a daemon of this data centre is no
  /// longer live; longer for other data centres, whose heartbeats are rarer.
  Millis LivenessTimeout{3000};
  DataCentreId LocalDataCentre;

private:
  std::unordered_map<NodeHash, Peer> Peers;
  std::unordered_map<IncarnationId, NodeHash> Incarnations;
  std::unordered_map<NodeHash, bool> WasLive;
};

/// Health of a group as last published by its controller.
struct GroupHealth {
  std::uint64_t Version = 0;
  NodeHash Owner;
  bool Ready = false;
  ChangeMark Mark;
};

/// Health of all groups of this data centre.
class HealthTable {
public:
  /// Updates the health of \p Group; returns false if \p Health is not newer.
  bool put(Fence Group, const GroupHealth &Health);
  std::optional<GroupHealth> find(Fence Group) const;
  void remove(Fence Group) { this->Groups.erase(Group); }
  const std::unordered_map<Fence, GroupHealth> &rows() const {
    return this->Groups;
  }

private:
  std::unordered_map<Fence, GroupHealth> Groups;
};

} // namespace waycove
