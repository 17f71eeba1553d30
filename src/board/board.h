// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/events.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "board/peers.h"
#include "board/record_tail.h"
#include "board/table.h"
#include "board/vms.h"
#include "policy/idempotency.h"

#include <Poco/Event.h>
#include <atomic>

namespace waycove {

/// Identity of this daemon.
struct NodeIdentity {
  NodeId Node;
  IncarnationId Incarnation;
  DataCentreId DataCentre;
  NodeHash Hash;
};

using ViewRef = std::shared_ptr<const RouteView>;

/// Route views of all deployments and services.
struct ViewTable {
  std::map<ObjectKey, ViewRef> Rows;
  ViewRef find(const ObjectKey &Key) const;
};

/// The blackboard of the daemon with waycove's own interface: all its shared
/// tables. Controllers and the edge communicate only through it. An entry on
/// the platform has EntryBoard instead. See table.h for the lock order.
class Board {
public:
  Board(const Settings &Config, const IncarnationId &Incarnation);

  const Settings Config;
  const NodeIdentity Self;
  HybridClock Clock;
  Events Log;
  Metrics Counters;

  Table<FoldState, LockRank::State> State;
  Table<VmTable, LockRank::Vms> Vms;
  Table<ViewTable, LockRank::Views> Views;
  Table<HealthTable, LockRank::Health> Health;
  Table<PeerTable, LockRank::Peers> Peers;
  Table<LoadTable, LockRank::Load> Load;
  Table<IdempotencyTable, LockRank::Idempotency> Idempotency;
  Table<RecordTail, LockRank::Tail> Tail;

  /// The newest state known to the platform or to peers was folded once.
  std::atomic<bool> Ready{false};
  std::atomic<bool> Stopping{false};
  /// The log was restored from a backup and lost records are being written
  /// again; no requests are accepted meanwhile.
  std::atomic<bool> Restoring{false};
  /// The last call to the platform's log succeeded.
  std::atomic<bool> LogUp{false};
  /// The VM list was received once, from the platform or a peer.
  std::atomic<bool> VmsKnown{false};
  /// Number of changes that require the views to be rebuilt.
  std::atomic<std::uint64_t> RoutingVersion{1};
  std::atomic<std::uint32_t> InFlight{0};
  /// Number of changes that are sent to peers.
  std::atomic<std::uint64_t> Changes{0};
  ChangeMark nextLocalMark() { return {this->Changes.fetch_add(1) + 1, 0}; }
  /// Set to send changes to peers without delay.
  Poco::Event GossipRequested;
  /// Time when the group controller last finished a round, in milliseconds of
  /// the boot clock.
  std::atomic<std::int64_t> LastRound{0};

  /// Returns whether the group controller finished a round recently.
  bool hasFreshMemberState(TimePoint Now) const;
  /// Returns whether \p Group may be sent work: its controller is live, has
  /// fresh state of all members, and reports the group as ready.
  bool isGroupServing(Fence Group, TimePoint Now) const;
  /// Why isGroupServing() is false; empty if it is true.
  std::string reasonNotServing(Fence Group, TimePoint Now) const;
  /// Returns whether the controller of \p Group reported it as not ready.
  /// Unlike isGroupServing(), this does not require a live controller, so that
  /// requests in flight continue when only the controller is lost.
  bool isGroupBroken(Fence Group) const;
  /// Returns the live daemons of this data centre that take control work,
  /// including this one.
  std::vector<NodeHash> controllers(TimePoint Now) const;
  /// Returns the live daemons of all data centres, including this one.
  std::vector<Member> members(TimePoint Now) const;
  /// Returns the expiry time of a leaving notice made at \p Now.
  static WallMs leavingUntil(WallMs Now);
};

} // namespace waycove
