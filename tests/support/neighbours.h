// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "support/cluster.h"
#include "support/proxy.h"

#include <memory>

namespace waycove::test {

/// Three entries of one data centre before plain targets p-1, p-2 and so on,
/// each entry with a way of its own to the store that a test can disturb.
class Neighbours {
public:
  using Time = std::chrono::steady_clock::time_point;

  /// \p Bounds are the operators' bounds, as lines of the entry's settings.
  Neighbours(const std::string &Bounds, int Targets);

  static const std::vector<std::string> Entries;

  void publish(int Version, const std::string &Key);
  /// Status of one call.
  int call(const std::string &Node, const std::string &Key,
           const std::string &Body = "body");
  /// Calls all of \p Nodes in turn until \p Until; how many were served.
  int callUntil(const std::vector<std::string> &Nodes, Time Until);
  bool allTake(const std::vector<std::string> &Nodes, const std::string &Key);

  bool follows(const std::string &Node);
  int followers();
  /// The node that reads for the others.
  std::string reader();
  std::vector<std::string> others(const std::string &Reader);
  /// Kills the entry and starts it again, not as at the whole system's first
  /// start.
  void restart(const std::string &Node);
  /// Who told an entry all of the feed at the start of its present life.
  std::string toldFirstBy(const std::string &Node, const std::string &Feed);
  /// Reads of the store, over all entries.
  std::uint64_t reads();

  /// The target's entry goes from the registry; the target serves on.
  void dropTarget(const std::string &Vm);
  /// When the last call began that \p Vm ran.
  Time lastRunAt(const std::string &Vm);

  Cluster Run;
  /// Each entry's way to the store.
  std::map<std::string, std::unique_ptr<LoopbackProxy>> Links;

private:
  /// Whether each entry knows of each other one.
  bool allKnown();
  void start(const std::string &Node, bool First);

  std::string Bounds;
  /// Where the present life of each entry begins in its log.
  std::map<std::string, std::size_t> LogFrom;

  /// When each call began, by its request's id.
  std::map<std::string, Time> Calls;
};

} // namespace waycove::test
