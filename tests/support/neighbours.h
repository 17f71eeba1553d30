// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "support/cluster.h"
#include "support/proxy.h"
#include "support/socket_owners.h"

#include <memory>

namespace waycove::test {

/// What stands behind the entries.
struct NeighbourTargets {
  /// Plain targets.
  int Plain = 2;
  /// Engines, of which two form a group.
  int Engines = 0;
  /// Entries reach targets through proxies that can cut them off.
  bool HasProxies = false;
  /// Between two events of a stream, in milliseconds.
  int TokenMs = 10;
};

/// Three entries in one data centre with plain targets p-1, p-2 and so on, and
/// engines e-1, e-2 and so on. Each entry reaches the store through a separate
/// proxy that can inject faults.
class Neighbours {
public:
  using Time = std::chrono::steady_clock::time_point;

  /// \p Bounds holds the operators' bounds as entry settings.
  Neighbours(const std::string &Bounds, const NeighbourTargets &Targets);
  Neighbours(const std::string &Bounds, int Plain)
      : Neighbours(Bounds, NeighbourTargets{Plain}) {}

  static const std::vector<std::string> Entries;

  void publish(int Version, const std::string &Key);
  /// Publishes a version in which the routes have another timeout, and waits
  /// until it is in force at all entries.
  void shortenTimeout(int Version, std::chrono::milliseconds Timeout);
  /// Sets a fault of all plain targets; see standins/replica.h.
  void faultTargets(int Count, const std::string &Fault);
  /// Sends one request and returns its status.
  int call(const std::string &Node, const std::string &Key,
           const std::string &Body = "body");
  /// Calls \p Nodes in turn until \p Until; returns the number served.
  int callUntil(const std::vector<std::string> &Nodes, Time Until);
  bool allReturnOk(const std::vector<std::string> &Nodes,
                   const std::string &Key);

  bool follows(const std::string &Node);
  int followers();
  /// Returns the node that reads the store for the others.
  std::string reader();
  std::vector<std::string> others(const std::string &Reader);
  /// Kills the entry and restarts it without the first_start setting.
  void restart(const std::string &Node);
  /// Returns the peer that sent the complete feed after the last start.
  std::string firstFeedSource(const std::string &Node, const std::string &Feed);
  /// Returns the number of store reads over all entries.
  std::uint64_t reads();

  /// Whether the readiness check of the entry succeeds.
  bool isReady(const std::string &Node);
  /// Injects a fault into all links between the entry and targets.
  void cutOff(const std::string &Node, LinkFault Fault);
  /// Injects a fault into the links between all entries and the target.
  void breakLinksOf(const std::string &Vm, LinkFault Fault) {
    this->TargetLinks.at(Vm)->set(Fault);
  }
  /// Removes the target from the registry; the target keeps serving.
  void dropTarget(const std::string &Vm);
  /// Returns the start time of the last call that \p Vm ran.
  Time lastRunAt(const std::string &Vm);

  /// Of the routes in versions that are published from now on.
  std::chrono::milliseconds RouteTimeout{6000};
  Cluster Run;
  /// Proxies between each entry and the store.
  std::map<std::string, std::unique_ptr<LoopbackProxy>> Links;

private:
  /// Whether every entry knows all others.
  bool allKnown();
  void start(const std::string &Node, bool First);
  void startTargets(const std::string &Prefix, int Count,
                    const NeighbourTargets &Targets);

  const std::string Bounds;
  const bool HasEngines;
  /// Read by the threads of proxies.
  SocketOwners Owners;
  /// Log offset of the last start of each entry.
  std::map<std::string, std::size_t> LogStart;

  /// Start times of calls by request ID.
  std::map<std::string, Time> Calls;
  /// Proxies before the targets, which all entries share. Their threads read
  /// the members above.
  std::map<std::string, std::unique_ptr<LoopbackProxy>> TargetLinks;
};

} // namespace waycove::test
