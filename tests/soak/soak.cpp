// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Randomized soak test. Runs the real programs as separate processes, injects
// external faults (signals, restarts, a refusing or silent store, delayed,
// silent, one-way or reset links) and checks from callers and targets:
// - a stream that completes is complete, in order and without repeats;
// - a non-idempotent request runs at most once;
// - a request refused as not run has not run;
// - a response belongs to its request;
// - requests are served after the faults have ended;
// - a request that reached its route's timeout is ended within half a second of
//   it, or of the moment from which its entry runs again, whatever the fault;
// - a response that has started reaches its caller whole, unless its entry cut
//   it for one of a few causes, logged that, and the faults confirm the cause
//   (StartedAnswers).
//
// Beside the faults, versions of the configuration are published one after
// another, each of which replaces a key:
// - a revoked key is permanently refused after the revocation bound, whatever
//   the store has lost;
// - the last published configuration is in force at all entries.
//
// --restores also restores the store from older copies repeatedly. All checks
// apply.
//
// --crashes repeatedly sends a request that crashes each target that runs it,
// next to the ordinary requests:
// - after three crashes and the time for all entries to learn of them, at most
//   three more targets crash;
// - ordinary requests are served after the faults have ended.
//
// --parts repeatedly sends requests that share a part of their prompts, which
// crashes each target that runs them, and differ in all else:
// - after five crashes and the time for all entries to learn of them, at most
//   three more targets crash;
// - ordinary requests, which share the first part, are served after the faults
//   have ended.
//
// --unframed also lets targets end responses with their connections, and
// streams inside an event. All checks apply.
//
// --endless also lets targets send bytes without end that are no answer, to
// requests, orders and reports. All checks apply, and
// - an entry reads a bounded part of them, and its memory does not grow.
//
// --odd also lets targets answer requests, orders and reports with responses
// that are whole but for one odd part. All checks apply.
//
// --skew also lets all callers turn to one entry for some seconds. All checks
// apply.
//
// --statements also lets targets state limits on their requests per second, ask
// for rest, and state that they leave:
// - from some seconds after the first statement, a target gets at most what its
//   limit allows, with some tolerance, from all entries together;
// - an entry sends nothing to a target that it knows to rest or to leave.
//
// --suspends also suspends entries' machines: their steady clocks exclude the
// suspended time. All checks apply.
//
// --standstills also lets all entries and targets stand still at the same
// moment, with many streams that run for 4 s. All checks apply: no response
// that has started is cut because all stood still.
//
// --cuts also cuts one entry at a time off from all targets, while callers, the
// store and the other entry still reach it. All checks apply.
//
// --bursts also bounds the targets' slots and sends several times as many
// requests as these serve, for some seconds now and then. All checks apply, and
// - no caller waits longer than its deadline and a second for the end of its
//   response, unless a fault was active at its entry.
//
//   soak --seed=N --seconds=S [--seeds=K] [--restores] [--crashes] [--suspends]
//   [--statements] [--cuts] [--bursts] [--parts] [--unframed] [--skew]
//   [--endless] [--odd] [--standstills] runs K consecutive seeds
//
// Exits with 0 if all checks pass. A failed run prints its seed and keeps its
// logs.
#include "soak/broken_targets.h"
#include "soak/prompt_faults.h"
#include "soak/soak_config.h"
#include "soak/standstills.h"
#include "soak/started_answers.h"
#include "soak/store_restores.h"
#include "soak/target_statements.h"
#include "support/proxy.h"
#include "support/socket_owners.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <thread>

DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_uint64(seeds, 1, "number of runs, with following seeds");
DEFINE_int32(seconds, 15, "time with faults in one run");
DEFINE_bool(restores, false, "restore the store from older copies");
DEFINE_bool(crashes, false,
            "send a request that crashes the targets that run it");
DEFINE_bool(parts, false,
            "send requests with a part that crashes the targets that run them");
DEFINE_bool(unframed, false,
            "let targets end responses with their connections");
DEFINE_bool(endless, false, "let targets send bytes without end");
DEFINE_bool(odd, false, "let targets send responses with an odd part");
DEFINE_bool(skew, false, "let all callers turn to one entry now and then");
DEFINE_bool(statements, false,
            "let targets state limits, rests and that they leave");
DEFINE_bool(suspends, false, "suspend the machines of entries");
DEFINE_bool(bursts, false, "send more requests than there are slots");
DEFINE_bool(cuts, false, "cut entries off from all targets");
DEFINE_bool(standstills, false, "let all processes stand still at once");

namespace waycove::test {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int Engines = 6;
constexpr int Plains = 2;
constexpr int CallerThreads = 6;
/// Callers with standstills: of the streams of one group, more are under way
/// than may be sent a second time.
constexpr int StandstillCallerThreads = 30;
/// Additional callers in a burst, about twice the slots of all groups.
constexpr int BurstThreads = 60;
constexpr milliseconds MaxOverrun(1000);
/// Maximum number of concurrent faults; leaves enough targets to serve.
constexpr int MaxFaults = 3;
constexpr milliseconds RecoveryTime(15000);
/// A process that takes this long to answer is not told to reload its settings.
constexpr milliseconds ReloadWait(300);
/// Seed offsets that keep the random sequences of the options independent.
constexpr std::uint64_t SuspendSeedOffset = 3'000'000;
constexpr std::uint64_t SkewSeedOffset = 9'000'000;
constexpr std::uint64_t CutSeedOffset = 5'000'000;
constexpr std::uint64_t BurstSeedOffset = 6'000'000;
constexpr std::uint64_t ReloadSeedOffset = 13'000'000;
/// How an entry's connections to targets behave in a cut.
constexpr std::array CutFaults{LinkFault::Silent, LinkFault::Reset,
                               LinkFault::RefuseNew,
                               LinkFault::SilentRefuseNew};
/// One run: a small system behind proxies, with callers and injected faults.
class Soak : SoakSystem {
public:
  explicit Soak(std::uint64_t Seed)
      : SoakSystem(Seed, FLAGS_standstills), Random(Seed) {
    this->Run.Suspendable = FLAGS_suspends;
    this->startAll();
  }

  /// Returns the failed checks; empty if all passed.
  std::string run() {
    std::atomic<bool> Stop{false};
    std::vector<std::thread> Callers;
    const int CallerCount =
        FLAGS_standstills ? StandstillCallerThreads : CallerThreads;
    Callers.reserve(static_cast<std::size_t>(CallerCount));
    for (int I = 0; I < CallerCount; ++I)
      Callers.emplace_back([&, I] {
        for (int N = 0; !Stop; ++N)
          this->callOnce(I, N);
      });
    std::thread Operator([&] { this->Configs.publishRepeatedly(); });
    std::thread Restorer([&] {
      if (FLAGS_restores)
        this->Restores.restoreRepeatedly();
    });
    std::thread CrashCaller([&] {
      if (FLAGS_crashes)
        CrashingRequests(*this, sameRequest()).sendRepeatedly([&] {
          return Stop.load();
        });
    });
    std::thread PartCaller([&] {
      if (FLAGS_parts)
        CrashingRequests(*this, sharedPart()).sendRepeatedly([&] {
          return Stop.load();
        });
    });
    std::thread Unframed([&] {
      if (FLAGS_unframed)
        respondUnframedRepeatedly(*this);
    });
    std::thread Endless([&] {
      if (FLAGS_endless)
        sendEndlessRepeatedly(*this);
    });
    std::thread Odd([&] {
      if (FLAGS_odd)
        sendOddRepeatedly(*this);
    });
    std::thread Skew([&] {
      if (FLAGS_skew)
        this->skewRepeatedly();
    });
    std::thread RevokedKeyCaller([&] {
      while (!Stop)
        this->Configs.callWithRevokedKey();
    });
    std::thread Statements([&] {
      while (FLAGS_statements && !this->FaultsOver)
        this->Targets.stateSomething();
    });
    std::thread Cuts([&] {
      if (FLAGS_cuts)
        this->cutRepeatedly();
    });
    std::thread Bursts([&] {
      if (FLAGS_bursts)
        this->burstRepeatedly();
    });
    this->injectFaults();
    this->endFaults();
    this->FaultsOver = true;
    Operator.join();
    Restorer.join();
    Unframed.join();
    Endless.join();
    Odd.join();
    Skew.join();
    Statements.join();
    Cuts.join();
    Bursts.join();
    bool Recovered = eventually(
        [&] {
          this->restartCrashed();
          return this->isServing();
        },
        RecoveryTime);
    if (!this->isLastConfigInForce())
      this->Failures.add("the last configuration is not in force everywhere");
    Stop = true;
    for (std::thread &Row : Callers)
      Row.join();
    RevokedKeyCaller.join();
    CrashCaller.join();
    PartCaller.join();
    if (!Recovered)
      this->Failures.add("not served " + std::to_string(RecoveryTime.count()) +
                         " ms after the last fault");
    // Records the crashes since the recovery.
    this->restartCrashed();
    this->checkRuns();
    this->checkDurations();
    this->Answers.check();
    if (FLAGS_endless)
      checkEndless(*this);
    this->Targets.checkRequests();
    std::string Failed = this->Failures.text();
    this->Run.KeepLogs = !Failed.empty();
    return Failed;
  }

  unsigned long served() const { return this->Served; }
  unsigned long refused() const { return this->Refused; }
  const StartedAnswers &answers() const { return this->Answers; }
  const std::string &folder() const { return this->Run.folder(); }

private:
  int randomBelow(int Below) {
    return std::uniform_int_distribution<int>(0, Below - 1)(this->Random);
  }

  void startAll() {
    this->Run.addVms("e", Engines, "a", "d");
    this->Run.addVms("p", Plains, "a", "", "plain");
    for (const char *Node : {"n1", "n2"})
      this->Run.addNode(Node, "a");
    this->Run.startPlatform();
    this->Configs.publish();
    for (int I = 1; I <= Engines; ++I)
      this->addVm("e-" + std::to_string(I));
    for (int I = 1; I <= Plains; ++I)
      this->addVm("p-" + std::to_string(I));
    for (const char *Node : {"n1", "n2"})
      this->startNode(Node);
    if (!eventually([&] { return this->isServing(); }, RecoveryTime))
      this->Failures.add("does not start");
  }

  void addVm(const std::string &Id) {
    this->Vms.push_back(Id);
    LoopbackProxy::ClientNames NameOf;
    if (FLAGS_cuts)
      NameOf = [this](std::uint16_t Local, std::uint16_t Remote) {
        return this->Owners.nameOf(Local, Remote);
      };
    this->Links[Id] =
        std::make_unique<LoopbackProxy>(this->Run.vmPort(Id), NameOf);
    this->startVm(Id);
  }

  void startVm(const std::string &Id) {
    this->Run.TargetFlags = {
        FLAGS_standstills ? "--token_ms=100" : "--token_ms=8", "--load_ms=50",
        "--staged=model," + SpareModel,
        "--registry=127.0.0.1:" + std::to_string(this->Run.platformPort()),
        "--advertise=127.0.0.1:" + std::to_string(this->Links[Id]->port())};
    if (FLAGS_bursts)
      this->Run.TargetFlags.insert(this->Run.TargetFlags.end(),
                                   {"--slots=8", "--queue=16"});
    this->Run.startVm(Id);
  }

  void startNode(const std::string &Node) {
    auto &Link = this->Links[Node];
    if (!Link)
      Link = std::make_unique<LoopbackProxy>(this->Run.platformPort());
    this->Run.PlatformProxyPort = Link->port();
    this->Run.ExtraSettings =
        "entry: {ready: '127.0.0.1:" +
        std::to_string(this->Run.peerPort(Node) + 5) +
        "', revoke_bound_ms: " + std::to_string(RevokeBound.count()) +
        ", grace_ms: 3000, lease_least_ms: 500, target_heartbeat_ms: 400" +
        (FLAGS_standstills ? ", retry_slack: 4}" : "}");
    this->Run.startNode(Node);
    this->Owners.set(Node, this->Run.node(Node).id());
  }

  /// Sends more requests than the targets serve, now and then.
  void burstRepeatedly() {
    std::mt19937_64 Times(this->Seed + BurstSeedOffset);
    // Numbers of requests go on from burst to burst, since IDs are unique.
    std::vector<int> Numbers(BurstThreads, 0);
    while (!this->FaultsOver) {
      std::this_thread::sleep_for(milliseconds(500 + Times() % 2500));
      auto End = Clock::now() + milliseconds(1000 + Times() % 3000);
      std::vector<std::jthread> Callers;
      Callers.reserve(BurstThreads);
      for (int I = 0; I < BurstThreads; ++I)
        Callers.emplace_back(
            [&, I, Number = &Numbers[static_cast<std::size_t>(I)]] {
              while (Clock::now() < End && !this->FaultsOver)
                this->callOnce(CallerThreads + I, (*Number)++);
            });
    }
  }

  /// Lets all callers turn to one entry now and then.
  void skewRepeatedly() {
    std::mt19937_64 Times(this->Seed + SkewSeedOffset);
    while (!this->FaultsOver) {
      std::this_thread::sleep_for(milliseconds(500 + Times() % 2500));
      this->SkewedEntry = Times() % 2 ? 1 : 2;
      std::this_thread::sleep_for(milliseconds(1000 + Times() % 4000));
      this->SkewedEntry = 0;
    }
  }

  /// Cuts entries off from all targets, one after the other.
  void cutRepeatedly() {
    std::mt19937_64 Cuts(this->Seed + CutSeedOffset);
    while (!this->FaultsOver) {
      std::string Node = Cuts() % 2 ? "n1" : "n2";
      LinkFault Fault = CutFaults[Cuts() % CutFaults.size()];
      for (const std::string &Vm : this->Vms) {
        if (Fault != LinkFault::Silent)
          this->Breaks.begin(linkName(Node, Vm));
        this->Links.at(Vm)->setFor(Node, Fault);
      }
      std::this_thread::sleep_for(milliseconds(500 + Cuts() % 4000));
      for (const std::string &Vm : this->Vms) {
        this->Links.at(Vm)->setFor(Node, LinkFault::None);
        this->Breaks.end(linkName(Node, Vm));
      }
      std::this_thread::sleep_for(milliseconds(200 + Cuts() % 2000));
    }
  }

  bool isServing() {
    static std::atomic<int> Count{0};
    std::string Id = "probe-" + std::to_string(++Count);
    return this->call("n1", "/chat/x", Id).Body == wholeStream() &&
           this->call("n2", "/once/x", Id).Status == 200;
  }

  void callOnce(int Thread, int Number) {
    std::string Id = std::to_string(Thread) + "-" + std::to_string(Number);
    int Skewed = this->SkewedEntry;
    std::string Node =
        Skewed > 0 ? "n" + std::to_string(Skewed) : entryOfCall(Number);
    bool Stream = (Thread + Number) % 3 != 0;
    bool Spare = Stream && Number / 2 % 3 == 2;
    std::string Prefix = Spare ? SparePrefix : Stream ? "/chat/" : "/once/";
    Reply Response = this->call(Node, Prefix + "x", Id);
    if (Response.Refused || Response.Status == 0) {
      std::this_thread::sleep_for(milliseconds(50));
      return;
    }
    if (Response.Status == 200)
      ++this->Served;
    else
      std::this_thread::sleep_for(milliseconds(30));
    if (Stream)
      this->checkStream(Id, Response);
    else
      this->checkCall(Id, Response);
    bool Denied = Response.Status == 401 || Response.Status == 403 ||
                  (Response.Status == 404 && !Spare);
    if (Denied)
      this->Failures.add(Id + ": refused with " +
                         std::to_string(Response.Status));
  }

  void checkDurations() {
    if (!FLAGS_bursts)
      return;
    for (const EndedCall &Call : this->Calls.all())
      if (milliseconds(Call.durationMs()) > this->CallerDeadline + MaxOverrun &&
          !this->Faults.wasDisturbed(Call.Node, Call.Begin, Call.End))
        this->Failures.add(Call.Id + ": " + std::to_string(Call.durationMs()) +
                           " ms at " + Call.Node + " until the response ended");
  }

  void checkStream(const std::string &Id, const Reply &Response) {
    if (Response.Status != 200)
      return;
    const std::string Whole = wholeStream();
    bool Prefix = Whole.compare(0, Response.Body.size(), Response.Body) == 0;
    if (!Prefix || (!Response.Cut && Response.Body != Whole))
      this->Failures.add(Id + ": a stream that is not whole or not in order");
  }

  void checkCall(const std::string &Id, const Reply &Response) {
    if (Response.Status == 200 && !Response.Cut &&
        Response.Body != "ran " + Id + " for w1 body")
      this->Failures.add(Id + ": another's answer: " + Response.Body);
    if (Response.Status == 503 || Response.Status == 429) {
      ++this->Refused;
      std::lock_guard Lock(this->Mutex);
      this->NotRun.insert(Id);
    }
  }

  /// Injects overlapping faults of random duration.
  void injectFaults() {
    auto End = Clock::now() + std::chrono::seconds(FLAGS_seconds);
    // A separate generator keeps the other faults of a seed unchanged.
    std::mt19937_64 Suspends(this->Seed + SuspendSeedOffset);
    std::mt19937_64 Reloads(this->Seed + ReloadSeedOffset);
    while (Clock::now() < End) {
      this->endExpiredFaults(Clock::now());
      this->restartCrashed();
      if (FLAGS_suspends && Suspends() % 6 == 0)
        this->beginSuspension(Suspends() % 2 ? "n1" : "n2",
                              Clock::now() + milliseconds(Suspends() % 4000));
      if (this->ActiveFaults.size() < MaxFaults)
        this->beginFault(Clock::now() +
                         milliseconds(300 + this->randomBelow(2500)));
      if (Reloads() % 3 == 0)
        this->reloadSettings(Reloads() % 2 ? "n1" : "n2");
      if (FLAGS_standstills)
        this->Still.maybeStandStill(this->running({"n1", "n2"}),
                                    this->running(this->Vms));
      std::this_thread::sleep_for(milliseconds(100 + this->randomBelow(700)));
    }
  }

  /// Those of \p Names whose processes run.
  std::vector<std::string> running(std::vector<std::string> Names) {
    std::erase_if(Names, [this](const std::string &Name) {
      auto At = this->ActiveFaults.find(Name);
      return At != this->ActiveFaults.end() && At->second.IsOutage;
    });
    return Names;
  }

  void reloadSettings(const std::string &Node) {
    // The signal ends a process that does not wait for it yet.
    bool IsReady =
        !this->running({Node}).empty() &&
        this->Run.ask(Node, {.Path = "/", .Timeout = ReloadWait}).Status != 0;
    if (IsReady)
      this->Run.node(Node).signal(SIGHUP);
  }

  void beginFault(Clock::time_point Until) {
    bool OnNode = this->randomBelow(3) == 0;
    std::string Target =
        OnNode ? (this->randomBelow(2) ? "n1" : "n2")
               : this->Vms[static_cast<std::size_t>(
                     this->randomBelow(static_cast<int>(this->Vms.size())))];
    if (this->ActiveFaults.contains(Target))
      return;
    int Kind = this->randomBelow(8);
    if (Kind != 7)
      this->Faults.begin(Target);
    if (Kind < 3)
      this->Outages.begin(Target);
    if (Kind >= 3 && Kind < 7) {
      auto Fault = static_cast<LinkFault>(Kind - 2);
      if (Fault == LinkFault::Reset)
        this->Breaks.begin(Target);
      this->Links[Target]->set(Fault);
      this->ActiveFaults[Target] = {
          Until, [this, Target] { this->Links[Target]->set(LinkFault::None); },
          false};
    } else if (Kind == 7) {
      std::string How = this->randomBelow(2) ? "refuse" : "silent";
      this->Run.atPlatform({"POST", "/store/down?how=" + How, "", {}});
      this->ActiveFaults["store"] = {
          Until,
          [this] {
            this->Run.atPlatform({"POST", "/store/down?how=no", "", {}});
          },
          false};
    } else if (Kind == 0) {
      Process &Row = OnNode ? this->Run.node(Target) : this->Run.vm(Target);
      Row.signal(SIGSTOP);
      this->ActiveFaults[Target] = {Until, [&Row] { Row.signal(SIGCONT); }};
    } else {
      this->kill(Target, OnNode, Kind == 1, Until);
    }
  }

  void beginSuspension(const std::string &Node, Clock::time_point Until) {
    if (this->ActiveFaults.contains(Node))
      return;
    this->Faults.begin(Node);
    this->Outages.begin(Node);
    this->Run.suspend(Node);
    this->ActiveFaults[Node] = {Until,
                                [this, Node] { this->Run.resume(Node); }};
  }

  /// Whether a request has crashed the target; records when.
  bool hasCrashed(const std::string &Vm) {
    if (this->Run.vm(Vm).wait(milliseconds(0)) == -1) {
      this->SeenRunning[Vm] = wallMs();
      return false;
    }
    this->Breaks.add({Vm, this->SeenRunning[Vm], wallMs()});
    return true;
  }

  /// Restarts targets that a request has crashed.
  void restartCrashed() {
    if (!FLAGS_crashes && !FLAGS_parts)
      return;
    for (const std::string &Vm : this->running(this->Vms))
      if (this->hasCrashed(Vm) && !this->ActiveFaults.contains(Vm)) {
        this->removeFromRegistry(Vm);
        this->startVm(Vm);
      }
  }

  void kill(const std::string &Target, bool OnNode, bool Graceful,
            Clock::time_point Until) {
    if (!OnNode) {
      this->hasCrashed(Target);
      this->Breaks.begin(Target);
      this->Run.killVm(Target);
      this->removeFromRegistry(Target);
      this->ActiveFaults[Target] = {Until,
                                    [this, Target] { this->startVm(Target); }};
      return;
    }
    if (Graceful) {
      this->Stops.begin(Target);
      this->Run.node(Target).signal(SIGTERM);
      this->Run.node(Target).wait(milliseconds(4000));
    }
    if (this->Run.node(Target).wait(milliseconds(0)) == -1) {
      this->Kills.begin(Target);
      this->Run.killNode(Target);
      this->Kills.end(Target);
    }
    this->Stops.end(Target);
    this->ActiveFaults[Target] = {Until,
                                  [this, Target] { this->startNode(Target); }};
  }

  void endExpiredFaults(Clock::time_point Now) {
    for (auto At = this->ActiveFaults.begin();
         At != this->ActiveFaults.end();) {
      if (At->second.Until > Now) {
        ++At;
        continue;
      }
      At->second.End();
      this->Faults.end(At->first);
      this->Outages.end(At->first);
      this->Breaks.end(At->first);
      At = this->ActiveFaults.erase(At);
    }
  }

  void endFaults() { this->endExpiredFaults(Clock::time_point::max()); }

  bool isLastConfigInForce() {
    return eventually(
        [&] {
          this->restartCrashed();
          return this->Configs.isLastVersionServed();
        },
        RecoveryTime);
  }

  /// Compares the runs that targets logged with the responses to callers.
  void checkRuns() {
    std::map<std::string, int> Runs;
    for (int I = 1; I <= Plains; ++I) {
      std::istringstream Lines(this->Run.logOf("p-" + std::to_string(I)));
      for (std::string Word, Id; Lines >> Word;)
        if (Word == "ran" && Lines >> Id)
          ++Runs[Id];
    }
    for (const auto &[Id, Count] : Runs) {
      if (Count > 1)
        this->Failures.add(Id + ": ran " + std::to_string(Count) + " times");
      if (this->NotRun.contains(Id))
        this->Failures.add(Id + ": ran, and was refused as not run");
    }
  }

  struct ActiveFault {
    Clock::time_point Until;
    std::function<void()> End;
    /// The process does not run.
    bool IsOutage = true;
  };

  std::mt19937_64 Random;
  ConfigSeries Configs{*this};
  StoreRestores Restores{*this, this->Configs};
  TargetStatements Targets{*this};
  Standstills Still{*this};
  StartedAnswers Answers{*this, this->Configs};
  /// When targets last ran for sure, in Unix milliseconds.
  std::map<std::string, std::uint64_t> SeenRunning;
  /// Read by the threads of proxies.
  SocketOwners Owners;
  std::map<std::string, std::unique_ptr<LoopbackProxy>> Links;
  std::map<std::string, ActiveFault> ActiveFaults;
  std::mutex Mutex;
  std::set<std::string> NotRun;
  /// Number of the entry to which all callers turn; 0 for none.
  std::atomic<int> SkewedEntry{0};
  std::atomic<unsigned long> Served{0};
  std::atomic<unsigned long> Refused{0};
};

} // namespace

} // namespace waycove::test

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::signal(SIGPIPE, SIG_IGN);
  int Failed = 0;
  for (std::uint64_t Seed = FLAGS_seed; Seed < FLAGS_seed + FLAGS_seeds;
       ++Seed) {
    waycove::test::Soak Run(Seed);
    std::string Failures = Run.run();
    std::cout << "seed " << Seed << ": " << Run.served() << " served, "
              << Run.refused() << " refused, " << Run.answers().timedOut()
              << " at their timeout, " << Run.answers().cut() << " cut: "
              << (Failures.empty() ? "all promises held"
                                   : Failures + "logs: " + Run.folder())
              << std::endl;
    Failed += Failures.empty() ? 0 : 1;
  }
  std::cout << FLAGS_seeds - static_cast<std::uint64_t>(Failed) << " passed, "
            << Failed << " failed" << std::endl;
  return Failed ? 1 : 0;
}
