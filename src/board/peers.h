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

/// What a heartbeat's flags say.
enum HeartbeatFlag : std::uint32_t {
  /// Its health rows rest on reports that it heard just now.
  MembersFresh = 1,
  /// It folded the newest state it knows of, and serves.
  Serving = 2,
  /// It is in a planned stop and takes no control work.
  StoppingNode = 4,
};

/// One daemon as heard of.
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

/// The daemons that this one hears of, directly or through others. A daemon
/// is live while its heartbeats keep coming; a restart is another daemon.
class PeerTable {
public:
  /// Takes in a heartbeat; false if it is not newer than what is known.
  bool recordHeartbeat(const wire::Heartbeat &Beat, TimePoint Now);
  /// Takes in a daemon's row; false if known already.
  bool put(const wire::PeerRowT &Row, TimePoint Now, ChangeMark Mark = {});
  const Peer *find(NodeHash Node) const;
  bool isLive(NodeHash Node, TimePoint Now) const;
  /// Live daemons with known rows.
  std::vector<Member> liveMembers(TimePoint Now) const;
  const Peer *findIncarnation(const IncarnationId &Incarnation) const;
  /// Live daemons that serve in \p DataCentre.
  std::vector<NodeHash> servingNodes(const DataCentreId &DataCentre,
                                     TimePoint Now) const;
  /// Removes daemons that were silent for long; returns those that just went
  /// from live to silent.
  std::vector<NodeHash> sweep(TimePoint Now);
  const std::unordered_map<NodeHash, Peer> &rows() const { return this->Rows; }
  /// Time without heartbeats after which a daemon no longer counts as live;
  /// those of other data centres come, and are missed, more slowly.
  Millis LivenessTimeout{3000};
  DataCentreId LocalDataCentre;

private:
  std::unordered_map<NodeHash, Peer> Rows;
  std::unordered_map<IncarnationId, NodeHash> Incarnations;
  std::unordered_map<NodeHash, bool> WasLive;
};

/// A group's state as its controller last published it.
struct GroupHealth {
  std::uint64_t Version = 0;
  NodeHash Owner;
  bool Ready = false;
  ChangeMark Mark;
};

/// Health of all groups of this data centre.
class HealthTable {
public:
  /// Takes in a row; false if it is not newer.
  bool put(Fence Group, const GroupHealth &Row);
  std::optional<GroupHealth> find(Fence Group) const;
  void remove(Fence Group) { this->Rows.erase(Group); }
  const std::unordered_map<Fence, GroupHealth> &rows() const {
    return this->Rows;
  }

private:
  std::unordered_map<Fence, GroupHealth> Rows;
};

} // namespace waycove
