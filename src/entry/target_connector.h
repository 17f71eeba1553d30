// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "control/reach_monitor.h"
#include "entry/carrier_selector.h"
#include "entry/relay_attempt.h"
#include "entry/target_connection_pool.h"

namespace waycove {

/// How opening a connection to a target ended.
enum class ConnectOutcome {
  Connected,
  /// The target cannot be reached.
  NoTarget,
  /// Other nodes offer a way, but the target wants nothing from them.
  Declined,
  /// This node has lost its links to targets, and no other node offers a way
  /// to this one. That says nothing about the target.
  NoWay,
  /// This node has no descriptor for a connection. That says nothing about the
  /// target either.
  Exhausted,
};

/// Opens connections to targets: directly, or through other nodes while this
/// node has lost its own links. Thread-safe.
class TargetConnector {
public:
  TargetConnector(EntryBoard &Board, TargetConnectionPool &Pool,
                  const CarrierSelector &Carriers)
      : Board(Board), Pool(Pool), Carriers(Carriers), Monitor(Board) {}

  /// Sets the attempt's connection and since when it was being opened, or its
  /// reason if there is none. Nothing has been sent to the target then.
  ConnectOutcome connect(const RelayExchange &Ex, RelayAttempt &Attempt);

private:
  /// Short, so that a host that is down costs little of the deadline. A lost
  /// SYN is only retransmitted after a second.
  static constexpr Millis ConnectTimeout{100};
  /// Longer than the 200 ms after which a lost packet is retransmitted.
  static constexpr Millis AckTimeout{300};
  /// Other nodes are asked for a way for no longer than this.
  static constexpr Millis SearchTimeout{600};
  /// How long this node counts as not ready after no other node offered a way.
  static constexpr Millis NoWayDuration{2000};

  /// Pause before a connection for which no descriptor was free is tried again,
  /// and how long a request waits for one in all.
  static constexpr Millis DescriptorRetryDelay{20};
  static constexpr Millis MaxDescriptorWait{1000};

  ConnectOutcome connectDirectly(const RelayExchange &Ex,
                                 RelayAttempt &Attempt);
  /// Opens a new connection; waits where no descriptor is free.
  IoStatus open(const RelayExchange &Ex, RelayAttempt &Attempt,
                std::optional<Channel> &Out);
  ConnectOutcome connectThroughNode(const RelayExchange &Ex,
                                    RelayAttempt &Attempt);
  std::optional<WayStatus> ask(const NodeInfo &Node, const WayRequest &Wanted,
                               TimePoint Until, RelayAttempt &Attempt);
  void recordWay(const NodeInfo &Node, std::optional<WayStatus> Status,
                 const RequestId &Cause);

  EntryBoard &Board;
  TargetConnectionPool &Pool;
  const CarrierSelector &Carriers;
  ReachMonitor Monitor;
};

} // namespace waycove
