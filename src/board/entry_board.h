// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/event_pacer.h"
#include "base/events.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "board/feed_cache.h"
#include "board/table.h"
#include "policy/caller_timeouts.h"
#include "policy/centre_balance.h"
#include "policy/choice.h"
#include "policy/crash_blame.h"
#include "policy/group_load.h"
#include "policy/join_table.h"
#include "policy/lease.h"
#include "policy/partition_membership.h"
#include "policy/pool_admission.h"
#include "policy/retry_limiter.h"
#include "policy/stated_pauses.h"
#include "policy/target_rate.h"
#include "policy/target_reach.h"
#include "policy/upstream_selector.h"
#include "policy/way_selector.h"

#include <array>

namespace waycove {

/// Retry limiters by service.
using RetryLimiterTable = std::map<ServiceId, RetryLimiter>;

/// This node's copy of a feed and the state of its own reads from the store.
struct FeedState {
  FeedCache Cache;
  /// The upstream node omitted large records, so this node has to read the feed
  /// from the store once.
  std::atomic<bool> RecordsOmitted{false};
  /// This node's last read from the store failed.
  std::atomic<bool> ReadFailed{false};
  /// Time of the newest proof from this node's own reads.
  LatestTime OwnProvenAt;
};

/// The blackboard of a daemon that serves as an entry on the platform, i.e. has
/// settings with an `entry` section (the other mode of the daemon has Board):
/// controllers write it and requests read it. See table.h for the lock order.
struct EntryBoard {
  EntryBoard(const Settings &Config, IncarnationId Incarnation)
      : Config(Config), Incarnation(std::move(Incarnation)),
        Log(Config.Node, this->Clock),
        Serving(std::make_shared<const ServingView>()) {}

  const Settings Config;
  const IncarnationId Incarnation;
  const TimePoint StartedAt = SystemClock{}.now();
  HybridClock Clock;
  Events Log;
  Metrics Counters;
  /// For EventCode::AnswerOverBounds.
  EventPacer OverBoundsLines{Millis(10000)};

  /// The routing configuration in force; null if there is none.
  Table<RoutingConfigRef, LockRank::State> Routing;
  /// The data centres that operators have evacuated.
  Table<Evacuations, LockRank::State> Evacuated;
  Table<TargetStatsTable, LockRank::Load> TargetStats;
  Table<CentreBalance, LockRank::Load> Balance;
  /// Whether this node reaches targets itself.
  Table<TargetReach, LockRank::Load> Reach;
  /// Other nodes that offer a way to targets.
  Table<WaySelector, LockRank::Load> Ways;
  Table<Fleet, LockRank::Vms> Targets;
  Table<ServingViewRef, LockRank::Views> Serving;
  Table<RetryLimiterTable, LockRank::Idempotency> RetryLimiters;
  /// Limits that targets state, as known to all nodes.
  Table<StatedLimits, LockRank::Load> TargetLimits;
  /// Targets that want no requests of this node.
  Table<StatedPauses, LockRank::Load> TargetPauses;
  Table<TargetRateLimiter, LockRank::Views> TargetRates;
  /// How long callers say that they wait.
  Table<CallerTimeouts, LockRank::Idempotency> Timeouts;
  /// Requests of this node that need a place at a target, by pool.
  Table<PoolAdmission, LockRank::Load> Admission;
  /// Requests that crash their targets, as known to all nodes.
  Table<CrashBlame, LockRank::Idempotency> Crashes;
  /// Demand for each model at this node, weighted towards recent requests.
  Table<DemandTable, LockRank::Tail> Demand;
  /// Demand at all other nodes as reported by them; empty if none has reported.
  /// A single node's demand is too small a sample for planning groups.
  Table<DemandTable, LockRank::Tail> RemoteDemand;
  /// The announced entries, including this one. Never null.
  Table<NodeRankingRef, LockRank::Health> Nodes{
      std::make_shared<const NodeRanking>()};
  /// Nodes that asked this one, as a seed, to join.
  Table<JoinTable, LockRank::Peers> Joins;
  /// Renewals of the partition memberships in this data centre.
  Table<MembershipRenewals, LockRank::Peers> Renewals;

  /// Indexed by FeedKind.
  std::array<FeedState, static_cast<std::size_t>(FeedKind::Count)> Feeds;
  /// Another node reads the feeds for this node.
  std::atomic<bool> HasUpstream{false};
  /// Holds after the start while this node waits for another node to send it
  /// the feeds before reading them from the store.
  Lease InitialFillLease;
  /// The same for the directory of nodes.
  Lease DirectoryFillLease;
  /// Holds while this node does not announce itself in the directory, because a
  /// seed does that for it.
  Lease ListingLease;
  /// Number of nodes according to a seed; 0 if none has answered.
  std::atomic<std::size_t> SeedNodeCount{0};
  /// Number of nodes in the directory, and whether this one is the first in the
  /// order of its data centre.
  std::atomic<std::size_t> KnownNodeCount{0};
  std::atomic<bool> FirstInCentre{true};

  /// Holds while the store confirmed within the revocation bound that Routing
  /// is the newest version.
  Lease ConfigLease;
  /// Holds while this node follows the registry without a gap.
  Lease RegistryLease;
  /// All changes of the registry up to this time are in Targets.
  LatestTime RegistryProvenAt;
  /// When this node last noted that it runs; see StandstillMonitor.
  LatestTime RunningAt;
  /// State of Reach, and whether it has failures that a success would clear;
  /// read without a lock for each request.
  std::atomic<TargetReach::State> ReachState{TargetReach::State::Sound};
  std::atomic<bool> ReachHasFailures{false};
  /// Called when ReachState becomes InDoubt; set before requests are served.
  std::function<void()> OnReachDoubt;
  /// Called when the limits of Admission may have changed; set before requests
  /// are served.
  std::function<void()> OnPlacesChanged;
  /// Holds while this node has lost its links to targets and no other node
  /// offers a way.
  Lease NoWayLease;
  /// Fraction of the partitions that is assigned to this node.
  std::atomic<double> PartitionShare{0};
  std::atomic<bool> Stopping{false};
  /// Set late in a planned stop, when new requests could not be finished in
  /// time.
  std::atomic<bool> Refusing{false};
  /// The time for a planned stop has passed: requests that are under way end.
  std::atomic<bool> Ending{false};
  /// A request was received since the start.
  std::atomic<bool> RequestSeen{false};
  std::atomic<std::uint32_t> InFlight{0};

  /// Changes what this node knows of its links to targets by calling \p Apply
  /// with Reach.
  template <typename F> auto updateReach(F &&Apply) {
    return this->Reach.write([&](TargetReach &Known) {
      auto Result = Apply(Known);
      this->ReachState = Known.state();
      this->ReachHasFailures = Known.hasFailures();
      return Result;
    });
  }
  /// Whether this node has lost its links to all targets.
  bool isCutOff() const {
    return this->ReachState == TargetReach::State::CutOff;
  }
  FeedState &feedState(FeedKind Kind) {
    return this->Feeds[static_cast<std::size_t>(Kind)];
  }
  const FeedState &feedState(FeedKind Kind) const {
    return this->Feeds[static_cast<std::size_t>(Kind)];
  }
  /// Returns the newest known era of the store.
  StoreEra storeEra() const {
    StoreEra Newest;
    for (const FeedState &Feed : this->Feeds)
      Newest = std::max(Newest, Feed.Cache.marks().Era);
    return Newest;
  }
  /// How long this node has run between \p From and \p Until.
  Millis runningTime(TimePoint From, TimePoint Until) const {
    return this->TargetStats.read([&](const TargetStatsTable &Stats) {
      return Stats.runningTime(From, Until);
    });
  }
  FeedCache &feed(FeedKind Kind) { return this->feedState(Kind).Cache; }
  /// Returns the configured time within which a change of the feed must be
  /// known; unset for feeds without such a bound.
  std::optional<Millis> freshnessBound(FeedKind Kind) const {
    if (Kind == FeedKind::Config)
      return this->Config.Entry->ConfigBound;
    if (Kind == FeedKind::Registry)
      return this->Config.Entry->DrainBound;
    return std::nullopt;
  }
  /// Returns the maximum age of the last proof of a feed. Beyond it, this node
  /// reads from the store on a new connection.
  std::optional<Millis> maxAge(FeedKind Kind) const {
    std::optional<Millis> Bound = this->freshnessBound(Kind);
    if (!Bound)
      return std::nullopt;
    return std::max(*Bound - ReadMargin, *Bound / 2);
  }
  /// Returns whether other nodes may use this node's copy of the feed: it has
  /// an upstream node, or its own reads of the store succeed. They count as
  /// failed after half the bound without a proof, so that the next node in
  /// order takes over before every node reads from the store.
  bool canServeFeed(FeedKind Kind, TimePoint Now) const {
    std::optional<Millis> Bound = this->freshnessBound(Kind);
    return this->HasUpstream || !Bound ||
           Now - this->feedState(Kind).OwnProvenAt.get() < *Bound / 2;
  }
  /// Returns how often this node probes a failed store.
  ProbeBackoff storeProbePace() const {
    // A node that does not know how many others there are does not know either
    // whether it may probe often.
    if (this->KnownNodeCount == 0 && !this->Config.Entry->Seeds.empty())
      return UnknownCountBackoff;
    return probeBackoff(this->KnownNodeCount, this->FirstInCentre);
  }
  NodeRankingRef nodes() const {
    return this->Nodes.read([](const NodeRankingRef &Row) { return Row; });
  }
  /// Returns this node's own directory entry.
  NodeInfo nodeInfo() const {
    return {this->Config.Node,
            this->Incarnation,
            this->Config.DataCentre,
            this->Config.PeerListen.Host,
            this->Config.PeerListen.Port,
            static_cast<std::uint32_t>(this->Config.Entry->LinkMbps),
            this->feedState(FeedKind::Config)
                .Cache.settledEra()
                .value_or(StoreEra())};
  }
  /// Returns this node's fraction of limits that are divided evenly among all
  /// announced nodes. Before the directory is known, the partition share is
  /// used instead, because the platform assigns partitions evenly.
  double perNodeShare() const {
    std::size_t Count = this->nodes()->nodes().size();
    return Count > 0 ? 1.0 / static_cast<double>(Count)
                     : this->PartitionShare.load();
  }
  /// Records that another node requested updates from this one.
  void recordNewsRequest(TimePoint Now) {
    this->LastNewsRequest = Now.time_since_epoch().count();
  }
  /// Returns whether other nodes requested updates from this node recently.
  bool hasDownstream(TimePoint Now) const {
    return Now.time_since_epoch() -
               TimePoint::duration(this->LastNewsRequest.load()) <
           DownstreamTimeout;
  }

  /// Returns \p Fraction of \p Duration in whole milliseconds.
  static Millis fractionOf(Millis Duration, double Fraction) {
    return Millis(static_cast<std::int64_t>(
        Fraction * static_cast<double>(Duration.count())));
  }

private:
  /// Part of a freshness bound that remains after maxAge(), for connecting to
  /// the store, reading from it, and sending a request to the chosen target.
  /// Bounds below twice this value may be exceeded when a connection fails. 200
  /// ms are for connecting, 250 for the response of a slow store, 100 for
  /// connecting to the target, and 50 for being scheduled.
  static constexpr Millis ReadMargin{600};
  static constexpr ProbeBackoff UnknownCountBackoff{Millis(100), Millis(3200)};
  /// A few rounds of update requests.
  static constexpr Millis DownstreamTimeout{1500};
  std::atomic<std::int64_t> LastNewsRequest{0};
};

} // namespace waycove
