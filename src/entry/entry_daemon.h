// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/crash_log.h"
#include "base/step_runner.h"
#include "control/cached_feed.h"
#include "control/config_follower.h"
#include "control/domain_owner.h"
#include "control/news.h"
#include "control/news_server.h"
#include "control/node_follower.h"
#include "control/reach_prober.h"
#include "control/registry_follower.h"
#include "control/standstill_monitor.h"
#include "control/store_reader.h"
#include "entry/caller_server.h"
#include "entry/carrier.h"
#include "entry/ready_server.h"
#include "entry/vm_time_report.h"

#include <thread>

namespace waycove {

/// An adapter to a platform: the HTTP conventions of callers and targets, the
/// feeds of configuration, registry and nodes, the partitions of the domains,
/// and the control of targets.
template <typename P>
concept EntryPlatform = CallerProtocol<typename P::Callers> &&
    StoreFeed<typename P::Feed> && NodeDirectory<typename P::Feed> &&
    PartitionService<typename P::Partitions> &&
    GroupControl<typename P::Control> && requires(EntryBoard &Board) {
  { P::configFeed(Board) } -> std::same_as<typename P::Feed>;
  { P::registryFeed(Board) } -> std::same_as<typename P::Feed>;
  { P::nodeFeed(Board) } -> std::same_as<typename P::Feed>;
  { P::ReadyPath } -> std::convertible_to<const char *>;
};

/// A daemon that serves as an entry on a platform: the blackboard, its
/// controllers, and the servers for callers and for the platform's load
/// balancer.
template <EntryPlatform Platform> class EntryDaemon {
public:
  explicit EntryDaemon(const Settings &Config)
      : Board(Config, IncarnationId(randomId())),
        ConfigReader(this->Board, FeedKind::Config, &Platform::configFeed),
        RegistryReader(this->Board, FeedKind::Registry,
                       &Platform::registryFeed),
        NodeReader(this->Board, FeedKind::Nodes, &Platform::nodeFeed),
        ConfigFeed(this->Board.feed(FeedKind::Config)),
        RegistryFeed(this->Board.feed(FeedKind::Registry)),
        NodeFeed(this->Board.feed(FeedKind::Nodes)),
        Directory(Platform::nodeFeed(this->Board)),
        SomeNodes(Platform::nodeFeed(this->Board)), Partitions(this->Board),
        Control(this->Board), Routing(this->Board, this->ConfigFeed, {}),
        Registry(this->Board, this->RegistryFeed, {}),
        Nodes(this->Board, this->NodeFeed, this->Directory),
        Observations(this->Board),
        News(this->Board, this->Observations,
             [this] { return readAnnouncements(this->SomeNodes); }),
        CallerThreads({Config.MaxStreams, IdleThreadTime, CallerStackBytes}),
        ControlThreads({MaxControlThreads, IdleThreadTime, ControlStackBytes}),
        Steps(this->ControlThreads,
              [this](const std::string &Reason) {
                this->logFailure("step", Reason);
              }),
        Carriers(this->Board),
        NewsService(this->Board, this->Observations,
                    {this->Poller, this->ControlThreads},
                    [this](FrameSocket &Peer, const wire::ForwardT &Wanted) {
                      this->Carriers.serve(Peer, Wanted);
                    }),
        Domains(this->Board, this->Partitions, this->Control),
        Reach(this->Board, this->Control),
        Buffers(Config.Entry->MaxBufferBytes),
        RequestRelay(this->Board, this->Pool, this->Buffers),
        Callers(this->Board, this->RequestRelay, this->Buffers,
                {this->Poller, this->CallerThreads}),
        Ready(
            Platform::ReadyPath, [this] { return this->isReady(); },
            this->Board.Counters, {this->Poller, this->ControlThreads},
            [this](const std::string &Reason) {
              this->Board.Log.emit(EventCode::ConnectionRefused,
                                   "readiness check",
                                   LogFields().add("reason", Reason));
            }) {}

  /// Throws Poco::Exception if an address is in use.
  void start() {
    this->News.begin();
    this->Ready.start(this->Board.Config.Entry->Ready);
    this->NewsService.start();
    this->Callers.start();
    this->addSteps();
    this->Poller.start();
    this->Steps.start();
    // In a thread of its own, since it waits for other nodes all the time.
    this->NewsThread = std::jthread([this](const std::stop_token &Stop) {
      SignalStack OfThisThread;
      while (!Stop.stop_requested())
        std::this_thread::sleep_for(this->stepNews());
    });
    this->Board.Log.emit(
        EventCode::DaemonStarted, this->Board.Config.Node.Text,
        LogFields()
            .add("callers", this->Board.Config.Http.text())
            .add("platform", this->Board.Config.Platform.text())
            .add("data_centre", this->Board.Config.DataCentre.Text));
  }

  void beginStop() {
    this->Board.Stopping = true;
    this->StopBegan = SystemClock{}.now();
    this->Board.Log.emit(
        EventCode::DaemonStopping, this->Board.Config.Node.Text,
        LogFields().add("in_flight", this->Board.InFlight.load()));
  }

  /// Whether the process may end: no request is in flight, and the load
  /// balancer has had time to notice the stop.
  bool isDrained() {
    // A short grace period leaves half of it to the requests under way.
    if (SystemClock{}.now() - this->StopBegan <=
        std::min(BalancerDelay, this->Board.Config.Entry->GracePeriod / 2))
      return false;
    // From now on, new requests are refused.
    bool Refused = this->Board.Refusing.exchange(true);
    if (!Refused)
      this->Callers.closeIdle();
    return Refused && this->Board.InFlight == 0;
  }

  /// Ends the requests that are still under way, each with its line in the log.
  void endRequests() { this->Board.Ending = true; }

  void logStopped() {
    std::uint32_t Rest = this->Board.InFlight;
    this->Board.Log.emit(
        EventCode::DaemonStopped, this->Board.Config.Node.Text,
        LogFields()
            .add("reason", Rest == 0 ? "drained" : "the grace is over")
            .add("in_flight", Rest));
  }
  Events &log() { return this->Board.Log; }
  /// Requests in flight.
  const std::atomic<std::uint32_t> &inFlight() const {
    return this->Board.InFlight;
  }

private:
  static constexpr Millis SweepInterval{1000};
  /// Pause after a round with other nodes that ended with an exception.
  static constexpr Millis NewsRetryDelay{250};
  /// Store calls and the states of VMs are logged once in this many sweeps.
  static constexpr unsigned SweepsPerLog = 5;
  /// The load balancer checks every second and acts on the second failure.
  static constexpr Millis BalancerDelay{2600};
  /// After this time a thread without work ends.
  static constexpr Millis IdleThreadTime{5000};
  static constexpr std::size_t CallerStackBytes = 256 << 10;
  /// Larger, since plans of domains are made there.
  static constexpr std::size_t ControlStackBytes = 1 << 20;
  /// Twice as many as nodes may ask this one at a time.
  static constexpr std::size_t MaxControlThreads = 512;

  /// Exchanges news once; returns the pause before the next time.
  Millis stepNews() noexcept {
    try {
      return this->News.step();
    } catch (const std::exception &Error) {
      reportError(
          [this](const std::string &Reason) {
            this->logFailure("news", Reason);
          },
          Error.what());
      return NewsRetryDelay;
    }
  }

  void logFailure(std::string_view Task, std::string_view Reason) {
    this->Board.Log.emit(EventCode::TaskFailed, std::string(Task),
                         LogFields().add("reason", Reason));
  }

  /// Whether API keys may be used: they are proven current, or the operators
  /// allow unproven keys, so that callers are served while the store is away.
  bool mayUseKeys() const {
    return !this->Board.Config.Entry->RevokeFailClosed ||
           this->Board.ConfigLease.holds(SystemClock{}.now());
  }

  /// Whether the node can serve: it may use its keys, has serving targets,
  /// which also requires a configuration, and a way to them.
  bool isReady() {
    bool Serves = !this->Board.Serving
                       .read([](const ServingViewRef &View) { return View; })
                       ->ByService.empty();
    bool HasWay = !this->Board.NoWayLease.holds(SystemClock{}.now());
    bool IsReady =
        !this->Board.Stopping && Serves && HasWay && this->mayUseKeys();
    if (IsReady != this->WasReady.exchange(IsReady))
      this->Board.Log.emit(IsReady ? EventCode::DaemonReady
                                   : EventCode::DaemonNotReady,
                           this->Board.Config.Node.Text,
                           LogFields()
                               .add("ready", IsReady)
                               .add("serves", Serves)
                               .add("has_way", HasWay)
                               .add("stopping", this->Board.Stopping.load()));
    return IsReady;
  }

  /// Discards what is kept about targets that are no longer listed, lets the
  /// demand decay, and counts the time of VMs.
  void sweep() {
    std::set<VmIncarnation> Listed =
        this->Board.Targets.read([](const Fleet &Known) {
          std::set<VmIncarnation> Incarnations;
          for (const auto &[Id, Target] : Known.Targets)
            Incarnations.insert(Target->incarnation());
          return Incarnations;
        });
    auto IsListed = [&](const VmIncarnation &Target) {
      return Listed.contains(Target);
    };
    this->Pool.sweep(IsListed, SystemClock{}.now());
    this->Board.TargetStats.write(
        [&](TargetStatsTable &Stats) { Stats.forget(IsListed); });
    this->Board.TargetRates.write(
        [&](TargetRateLimiter &Limits) { Limits.forget(IsListed); });
    TimePoint Now = SystemClock{}.now();
    this->Board.TargetPauses.write(
        [&](StatedPauses &Pauses) { Pauses.forget(IsListed, Now); });
    this->sweepLimits(Listed, Now);
    this->Board.Demand.write([](DemandTable &Table) {
      for (auto &[Model, Demand] : Table)
        Demand = Demand.scaled(DemandDecay);
    });
    this->VmTimes.update(Now);
    if (++this->SweepCount % SweepsPerLog == 0) {
      this->logStoreCalls();
      this->VmTimes.log();
    }
  }

  void sweepLimits(const std::set<VmIncarnation> &Listed, TimePoint Now) {
    if (this->Board.TargetLimits.read(
            [](const StatedLimits &Limits) { return Limits.empty(); }))
      return;
    std::set<TargetHash> Hashes;
    for (const VmIncarnation &Target : Listed)
      Hashes.insert(hashOf(Target));
    this->Board.TargetLimits.write([&](StatedLimits &Limits) {
      Limits.forget([&](TargetHash Target) { return Hashes.contains(Target); },
                    Now);
    });
  }

  /// Logs how many calls to the store were made, and why, if any were.
  void logStoreCalls() {
    std::uint64_t Calls = this->Board.Counters.Calls.total();
    if (std::exchange(this->LoggedCalls, Calls) != Calls)
      this->Board.Log.emit(EventCode::StoreCallsMade,
                           this->Board.Config.Node.Text,
                           this->Board.Counters.Calls.fields());
  }

  using Reader = StoreReader<typename Platform::Feed>;

  void addSteps() {
    StepId Routing = this->Steps.add([this] { return this->Routing.step(); });
    StepId Registry = this->Steps.add([this] { return this->Registry.step(); });
    StepId Nodes =
        this->Steps.add({.Poll = [this]() -> std::optional<Millis> {
                           if (this->Nodes.callsStore())
                             return std::nullopt;
                           return this->Nodes.step();
                         },
                         .Run = [this] { return this->Nodes.step(); }});
    this->addReader(this->ConfigReader, FeedKind::Config, Routing);
    this->addReader(this->RegistryReader, FeedKind::Registry, Registry);
    this->addReader(this->NodeReader, FeedKind::Nodes, Nodes);
    this->Steps.add({.Poll = [this] { return this->Domains.pollLease(); },
                     .Run = [this] { return this->Domains.renewLease(); }});
    this->Steps.add({.Poll = [this] { return this->Domains.pollPlan(); },
                     .Run = [this] { return this->Domains.plan(); }});
    StepId Reach =
        this->Steps.add({.Poll = [this] { return this->Reach.poll(); },
                         .Run = [this] { return this->Reach.probe(); }});
    this->Board.OnReachDoubt = [this, Reach] { this->Steps.wake(Reach); };
    this->Steps.add([this] {
      this->Standstills.onRunning(SystemClock{}.now());
      return RunningInterval;
    });
    this->Steps.add([this] {
      this->sweep();
      return SweepInterval;
    });
  }

  /// Adds the steps of a feed's reader. \p Follower is the step that applies
  /// the feed's changes.
  void addReader(Reader &Source, FeedKind Kind, StepId Follower) {
    StepId Main =
        this->Steps.add({.Poll = [&Source] { return Source.pollMain(); },
                         .Run = [&Source] { return Source.readMain(); }});
    this->Steps.add({.Poll = [&Source] { return Source.pollBackup(); },
                     .Run = [&Source] { return Source.readBackup(); }});
    this->Board.feed(Kind).observe(
        {.OnChange = [this, Follower] { this->Steps.wake(Follower); },
         .OnWake = [this, Main] { this->Steps.wake(Main); }});
  }

  EntryBoard Board;
  StandstillMonitor Standstills{this->Board};
  TargetConnectionPool Pool;
  Reader ConfigReader;
  Reader RegistryReader;
  Reader NodeReader;
  CachedFeed ConfigFeed;
  CachedFeed RegistryFeed;
  CachedFeed NodeFeed;
  /// Announces this node, on a connection apart from NodeFeed's.
  typename Platform::Feed Directory;
  /// Looks for nodes to ask, where no seed answers.
  typename Platform::Feed SomeNodes;
  typename Platform::Partitions Partitions;
  typename Platform::Control Control;
  ConfigFollower<CachedFeed, typename Platform::ConfigDecoder> Routing;
  RegistryFollower<CachedFeed, typename Platform::TargetDecoder> Registry;
  NodeFollower<CachedFeed, typename Platform::Feed> Nodes;
  SharedObservations Observations;
  NewsExchange News;
  SocketPoller Poller{[this](std::string_view What, Millis Took) {
                        this->Board.Log.emit(EventCode::PollerDelayed,
                                             std::string(What),
                                             LogFields().add("for_ms", Took));
                      },
                      [this](std::string_view What, std::string_view Reason) {
                        this->logFailure(What, Reason);
                      }};
  /// Serve callers' requests.
  GrowingPool CallerThreads;
  /// Serve other nodes and readiness checks, and run steps that may block, so
  /// that callers cannot delay them.
  GrowingPool ControlThreads;
  StepRunner Steps;
  Carrier<typename Platform::Callers> Carriers;
  NewsServer NewsService;
  DomainOwner<typename Platform::Partitions, typename Platform::Control>
      Domains;
  ReachProber<typename Platform::Control> Reach;
  BufferBudget Buffers;
  Relay<typename Platform::Callers> RequestRelay;
  CallerServer<typename Platform::Callers> Callers;
  std::atomic<bool> WasReady{false};
  /// Used by sweep() alone.
  VmTimeReport VmTimes{this->Board};
  unsigned SweepCount = 0;
  std::uint64_t LoggedCalls = 0;
  TimePoint StopBegan;
  ReadyServer Ready;
  std::jthread NewsThread;
};

} // namespace waycove
