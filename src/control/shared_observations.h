// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "board/entry_board.h"
#include "wire/wire_generated.h"

#include <mutex>

namespace waycove {

/// Observations that nodes exchange in their requests and responses besides the
/// feeds: load and health of targets, the limits that these state, demand of
/// callers, requests that crash targets, and, within a data centre, which
/// members renewed their leases of partitions. Thread-safe.
class SharedObservations {
public:
  explicit SharedObservations(EntryBoard &Board) : Board(Board) {}

  /// Adds the observations of this node, and of those downstream of it, to a
  /// request to \p Receiver.
  void addTo(wire::NewsWantedT &Request, const NodeInfo &Receiver,
             TimePoint Now) const;
  /// Applies the observations in \p Request and adds those of all other nodes
  /// to \p Response.
  void exchange(const wire::NewsWantedT &Request, wire::NewsT &Response,
                TimePoint Now);
  /// Applies the response of \p From to a request sent at \p SentAt.
  void apply(const wire::NewsT &Response, const NodeId &From, TimePoint SentAt,
             TimePoint Now);
  /// Updates the board with the observations of all other nodes.
  void publish(TimePoint Now);

private:
  TargetLoads ownLoads(TimePoint Now) const;
  DemandTable ownDemand() const;
  std::vector<wire::RenewalRow> renewals(TimePoint Now) const;
  /// Requests that crash targets: all known ones, or the recent ones alone.
  CrashEvidenceMap crashes(bool All, TimePoint Now) const;
  void applyCrashes(const CrashEvidenceMap &Crashes, TimePoint Now);
  void updateBlame(TimePoint Now);
  PoolReports ownPools(TimePoint Now) const;
  PoolReports
  readPools(const std::vector<std::unique_ptr<wire::PoolRowT>> &Rows,
            const NodeId &From) const;
  void updateAdmission(const PoolReports &Others,
                       std::optional<TimePoint> OthersAt, TimePoint Now);
  /// Sets the limits by \p Loads and logs which pools became overloaded or were
  /// relieved.
  void applyPoolLoads(PoolLoads Loads);
  std::set<VmId> limitedTargets(const ServingView &View) const;
  void logOverload(const OverloadMonitor::Change &Change) const;
  LimitReports limits(bool All, TimePoint Now) const;
  void applyLimits(const std::vector<wire::LimitRow> &Rows, const NodeId &From,
                   TimePoint SentAt, TimePoint Now);
  /// Name of the target, or its hash if it is not listed.
  std::string nameOf(TargetHash Target) const;
  void applyRenewals(const std::vector<wire::RenewalRow> &Rows, TimePoint From);

  EntryBoard &Board;
  mutable std::mutex Mutex;
  TargetLoadReports Loads;
  ReportAggregator<DemandTable> Demand;
  ReportAggregator<PoolReports> Pools;
  /// When the newest report about targets' loads was received.
  std::optional<TimePoint> LoadsReceivedAt;
  /// When the newest report about pools was received.
  std::optional<TimePoint> PoolsReceivedAt;
  /// When the last request was sent to each upstream node that responded with
  /// its crashes.
  std::map<NodeId, TimePoint> CrashesReceivedAt;
};

} // namespace waycove
