// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/events.h"
#include "base/metrics.h"
#include "base/settings.h"
#include "board/feed_cache.h"
#include "board/table.h"
#include "policy/centre_balance.h"
#include "policy/choice.h"
#include "policy/crash_blame.h"
#include "policy/group_load.h"
#include "policy/lease.h"
#include "policy/partition_membership.h"
#include "policy/retry_limiter.h"
#include "policy/upstream_selector.h"

#include <array>

namespace waycove {

/// Second sends, by service.
using RetryLimiterTable = std::map<ServiceId, RetryLimiter>;

/// A feed as this node knows it, and how its own reads of the store go.
struct FeedState {
  FeedCache Cache;
  /// The neighbour left out what is large, so this node has to read the newest
  /// of it from the store once.
  std::atomic<bool> RecordsOmitted{false};
  /// This node's newest read of the store failed.
  std::atomic<bool> ReadFailed{false};
  /// Up to this time, this node's own reads have shown all there was.
  LatestTime OwnProvenAt;
};

/// The blackboard of a daemon that serves as an entry on the platform. The
/// controllers write it, requests read it. Locks are taken in the order of
/// the ranks.
struct EntryBoard {
  EntryBoard(const Settings &Given, IncarnationId Incarnation)
      : Config(Given), Incarnation(std::move(Incarnation)),
        Log(Given.Node, this->Clock),
        Serving(std::make_shared<const ServingView>()) {}

  const Settings Config;
  const IncarnationId Incarnation;
  HybridClock Clock;
  Events Log;
  Metrics Counters;

  /// Null until the first version came.
  Table<RoutingConfigRef, LockRank::State> Routing;
  Table<TargetStatsTable, LockRank::Load> TargetStats;
  Table<CentreBalance, LockRank::Load> Balance;
  Table<Fleet, LockRank::Vms> Targets;
  Table<ServingViewRef, LockRank::Views> Serving;
  Table<RetryLimiterTable, LockRank::Idempotency> RetryLimiters;
  /// Which requests end the targets that run them, as all nodes know it.
  Table<CrashBlame, LockRank::Idempotency> Crashes;
  /// What callers asked of each model at this node; older requests count for
  /// less.
  Table<DemandTable, LockRank::Tail> Demand;
  /// The same at all other nodes, as far as their news tell; empty where none
  /// came. One of 89 nodes counts six requests of a rare model in ten seconds:
  /// groups planned by that swing with chance.
  Table<DemandTable, LockRank::Tail> RemoteDemand;
  /// The entries that are announced, this one among them.
  Table<NodeTable, LockRank::Health> Nodes;
  /// Members of the shared work in this data centre.
  Table<MembershipRenewals, LockRank::Peers> Renewals;

  /// By FeedKind.
  std::array<FeedState, static_cast<std::size_t>(FeedKind::Count)> Feeds;
  /// A neighbour reads the feeds for this node.
  std::atomic<bool> HasUpstream{false};
  /// Just started: another node may tell what is to be known before this one
  /// has to read it from the store.
  Lease InitialFillLease;
  /// How many nodes the directory lists, and whether this one is the first of
  /// its data centre's order.
  std::atomic<std::size_t> KnownNodeCount{0};
  std::atomic<bool> FirstInCentre{true};

  /// Holds while the store confirmed less than the revocation bound ago that
  /// Routing is its newest version.
  Lease ConfigLease;
  /// Holds while the registry's changes are followed without a gap.
  Lease RegistryLease;
  /// Up to this time, all of the registry's changes are in Targets.
  LatestTime RegistryProvenAt;
  /// This node's part of the shared work, 0 to 1.
  std::atomic<double> PartitionShare{0};
  std::atomic<bool> Stopping{false};
  /// Late in a planned stop: what comes now could not be finished in time.
  std::atomic<bool> Refusing{false};
  /// A request came since the start.
  std::atomic<bool> RequestSeen{false};
  std::atomic<std::uint32_t> InFlight{0};

  FeedState &feedState(FeedKind Kind) {
    return this->Feeds[static_cast<std::size_t>(Kind)];
  }
  const FeedState &feedState(FeedKind Kind) const {
    return this->Feeds[static_cast<std::size_t>(Kind)];
  }
  /// The newest era of the store that this node knows of.
  StoreEra storeEra() const {
    StoreEra Newest;
    for (const FeedState &Feed : this->Feeds)
      Newest = std::max(Newest, Feed.Cache.marks().Era);
    return Newest;
  }
  FeedCache &feed(FeedKind Kind) { return this->feedState(Kind).Cache; }
  /// By when operators want a change of the feed to be known; nothing where
  /// they do not say.
  std::optional<Millis> freshnessBound(FeedKind Kind) const {
    if (Kind == FeedKind::Config)
      return this->Config.Entry->ConfigBound;
    if (Kind == FeedKind::Registry)
      return this->Config.Entry->DrainBound;
    return std::nullopt;
  }
  /// What is known of a feed may be this old; past it this node asks the store
  /// on a new connection, whatever else it waits for.
  std::optional<Millis> maxAge(FeedKind Kind) const {
    std::optional<Millis> Bound = this->freshnessBound(Kind);
    if (!Bound)
      return std::nullopt;
    return std::max(*Bound - ReadMargin, *Bound / 2);
  }
  /// Whether others may rely on what this node knows of the feed: it reads the
  /// store, or the one does that reads for it. What it learned out of order may
  /// have come through those who ask. Its own reads prove that nothing is new
  /// before a third of the bound is over. Where half is, they fail, and the
  /// next node in order takes over while what all know is still young: else
  /// each would ask the store, 295 calls at a time on a site of 295 nodes.
  bool canServeFeed(FeedKind Kind, TimePoint Now) const {
    std::optional<Millis> Bound = this->freshnessBound(Kind);
    return this->HasUpstream || !Bound ||
           Now - this->feedState(Kind).OwnProvenAt.get() < *Bound / 2;
  }
  /// How often this node tries a store that fails.
  ProbeBackoff storeProbePace() const {
    return probeBackoff(this->KnownNodeCount, this->FirstInCentre);
  }
  /// How this node announces itself.
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
  /// This node's part of what all nodes share alike, 0 to 1: as many are
  /// announced. Before the directory is known, its part of the shared work,
  /// which the platform deals evenly.
  double perNodeShare() const {
    std::size_t Count =
        this->Nodes.read([](const NodeTable &Rows) { return Rows.size(); });
    return Count > 0 ? 1.0 / static_cast<double>(Count)
                     : this->PartitionShare.load();
  }
  /// A neighbour asked this node for news.
  void recordNewsRequest(TimePoint Now) {
    this->LastNewsRequest = Now.time_since_epoch().count();
  }
  /// Whether neighbours rely on what this node reads.
  bool hasDownstream(TimePoint Now) const {
    return Now.time_since_epoch() -
               TimePoint::duration(this->LastNewsRequest.load()) <
           DownstreamTimeout;
  }

  /// \p Part of \p Time, in whole milliseconds.
  static Millis fractionOf(Millis Time, double Part) {
    return Millis(
        static_cast<std::int64_t>(Part * static_cast<double>(Time.count())));
  }

private:
  /// What is left of a bound for the rest of the way: 200 ms to connect, 250
  /// for the answer of a slow store, 100 to connect to the target that was
  /// chosen just before, 50 to be run. Bounds under 1.2 s are not kept where a
  /// connection dies.
  static constexpr Millis ReadMargin{600};
  /// A few rounds of news.
  static constexpr Millis DownstreamTimeout{1500};
  std::atomic<std::int64_t> LastNewsRequest{0};
};

} // namespace waycove
