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

/// Who this daemon is.
struct NodeIdentity {
  NodeId Node;
  IncarnationId Incarnation;
  DataCentreId DataCentre;
  NodeHash Hash;
};

using ViewRef = std::shared_ptr<const RouteView>;

/// Views by deployment and by service.
struct ViewTable {
  std::map<ObjectKey, ViewRef> Rows;
  ViewRef find(const ObjectKey &Key) const;
};

/// The blackboard: all shared tables of a daemon. Controllers and the edge
/// read and write it and do not call each other. Lock order: table.h.
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

  /// The newest state that platform or peers offer was folded once.
  std::atomic<bool> Ready{false};
  std::atomic<bool> Stopping{false};
  /// The log came back from an older copy, and what it lost is being written
  /// again: until then no requests are taken.
  std::atomic<bool> Restoring{false};
  /// The platform's log answered the last call.
  std::atomic<bool> LogUp{false};
  /// The VM list was had once, from the platform or a peer.
  std::atomic<bool> VmsKnown{false};
  /// Counts changes after which the views have to be made anew.
  std::atomic<std::uint64_t> RoutingVersion{1};
  std::atomic<std::uint32_t> InFlight{0};
  /// Counts changes of rows that peers are to hear of.
  std::atomic<std::uint64_t> Changes{0};
  ChangeMark nextLocalMark() { return {this->Changes.fetch_add(1) + 1, 0}; }
  /// Set where peers should hear of a change at once.
  Poco::Event GossipRequested;
  /// Last time the group controller finished a round (milliseconds of the boot
  /// clock).
  std::atomic<std::int64_t> LastRound{0};

  /// Whether the group controller's knowledge of its members is fresh.
  bool hasFreshMemberState(TimePoint Now) const;
  /// Whether \p Group may be sent work now: its controller lives, says ready,
  /// and heard from all members just now.
  bool isGroupServing(Fence Group, TimePoint Now) const;
  /// Whether the group's controller said that it does not serve. Silence of
  /// the controller says nothing about requests that are under way already.
  bool isGroupBroken(Fence Group) const;
  /// Live daemons of this data centre that take control work, with this one.
  std::vector<NodeHash> controllers(TimePoint Now) const;
  /// Live daemons everywhere, with this one.
  std::vector<Member> members(TimePoint Now) const;
  /// The time up to which a leaving VM's news is believed.
  static WallMs leavingUntil(WallMs Now);
};

} // namespace waycove
