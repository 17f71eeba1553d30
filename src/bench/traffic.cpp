// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "bench/experiments.h"
#include "bench/model.h"
#include "policy/fair.h"
#include "policy/retry.h"
#include "policy/route.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <list>
#include <ostream>
#include <random>

namespace waycove {

namespace {

constexpr std::uint64_t Seed = 7;
constexpr Millis Step(5);
constexpr TimePoint Start{std::chrono::seconds(1000)};

double secondsOf(std::chrono::nanoseconds Duration) {
  return std::chrono::duration<double>(Duration).count();
}

/// Returns a view of \p Count targets whose index is both group and name.
RouteView viewOf(std::size_t Count) {
  RouteView View;
  for (std::size_t I = 0; I < Count; ++I) {
    RouteTarget Row;
    Row.Group = Fence(I);
    Row.Head = VmId(std::to_string(I));
    Row.addLabels(Labels());
    View.Targets.push_back(std::move(Row));
  }
  View.makeRing();
  return View;
}

// ---- Fairness. ----

struct FairResult {
  double WorstShare = 0;
  double FirstTokenP95 = 0;
  double GreedyShare = 0;
  std::size_t Refused = 0;
};

constexpr std::size_t Workspaces = 10;
constexpr int FairSeconds = 60;

/// Returns the requests that arrive in one step. The first workspace sends ten
/// times as many as each of the others, and twice as long ones.
std::vector<ModelJob> fairArrivals(std::mt19937_64 &Random, TimePoint Now,
                                   std::uint64_t &NextId) {
  std::vector<ModelJob> Jobs;
  for (std::size_t W = 0; W < Workspaces; ++W) {
    double PerSecond = W == 0 ? 6 : 0.6;
    if (static_cast<double>(Random() % 1'000'000) / 1e6 >=
        PerSecond * secondsOf(Step))
      continue;
    ModelJob Job;
    Job.Id = ++NextId;
    Job.Workspace = W;
    Job.Arrived = Now;
    Job.Deadline = Now + Millis(20000);
    Job.PromptTokens = 200;
    Job.OutputTokens = W == 0 ? 80 : 40;
    Jobs.push_back(Job);
  }
  return Jobs;
}

FairResult simulateFairness(bool Fair) {
  std::mt19937_64 Random(Seed);
  ReplicaParams Params;
  ModelReplica Replica(Params);
  FairQueue Queue(FairLimits{Params.Slots, 64, 512});
  std::vector<std::pair<TicketId, ModelJob>> Waiting;
  std::vector<std::pair<std::uint64_t, TicketId>> Tickets;
  std::array<double, Workspaces> Served{};
  std::array<double, Workspaces> Requested{};
  std::array<std::vector<double>, Workspaces> FirstTokens;
  FairResult Result;
  std::uint64_t NextId = 0;
  for (TimePoint Now = Start; Now < Start + std::chrono::seconds(FairSeconds);
       Now += Step) {
    for (ModelJob &Job : fairArrivals(Random, Now, NextId)) {
      Requested[Job.Workspace] += static_cast<double>(Job.OutputTokens);
      if (!Fair) {
        Replica.push(Job);
        continue;
      }
      auto Ticket = Queue.offer(
          {WorkspaceId("w" + std::to_string(Job.Workspace)), 1,
           Tokens(Job.OutputTokens + Job.PromptTokens / 4), Job.Deadline, 0},
          Now);
      if (Ticket.ok())
        Waiting.emplace_back(*Ticket, Job);
      else
        ++Result.Refused;
    }
    while (auto Next = Queue.take(Now))
      for (auto At = Waiting.begin(); At != Waiting.end(); ++At)
        if (At->first == *Next) {
          Tickets.emplace_back(At->second.Id, *Next);
          Replica.push(At->second);
          Waiting.erase(At);
          break;
        }
    for (const ModelJob &Job : Replica.advance(Now, Step)) {
      Served[Job.Workspace] += static_cast<double>(Job.OutputTokens);
      FirstTokens[Job.Workspace].push_back(
          secondsOf(*Job.FirstToken - Job.Arrived));
      for (const auto &[Id, Ticket] : Tickets)
        if (Id == Job.Id)
          Queue.finish(Ticket, Tokens(Job.OutputTokens + Job.PromptTokens / 4),
                       Now);
    }
  }
  Result.WorstShare = 1;
  for (std::size_t W = 1; W < Workspaces; ++W) {
    Result.WorstShare = std::min(Result.WorstShare, Served[W] / Requested[W]);
    Result.FirstTokenP95 =
        std::max(Result.FirstTokenP95, quantile(FirstTokens[W], 0.95));
  }
  Result.GreedyShare = Served[0] / Requested[0];
  return Result;
}

// ---- Overload. ----

enum class Balance { RoundRobin, LeastLoaded, Waycove };

struct OverloadResult {
  double Goodput = 0;
  double WastedShare = 0;
  double FirstTokenP95 = 0;
  double RefusedShare = 0;
  double RefusalWait = 0;
};

constexpr std::size_t Replicas = 20;
constexpr int OverloadSeconds = 60;

OverloadResult simulateOverload(Balance Policy) {
  std::mt19937_64 Random(Seed);
  ReplicaParams Params;
  std::vector<ModelReplica> Models(Replicas, ModelReplica(Params));
  std::vector<std::size_t> Reported(Replicas, 0);
  RouteView View = viewOf(Replicas);
  View.SlotsPerReplica = Params.Slots;
  LoadTable Load;
  FairQueue Queue(FairLimits{Params.Slots * Replicas, 4096, 4096});
  std::list<std::pair<TicketId, ModelJob>> Waiting;
  std::unordered_map<std::uint64_t, TicketId> Tickets;
  double Capacity = Params.TokensPerSecond * Replicas;
  double ArrivalsPerStep = 2 * Capacity / 60 * secondsOf(Step);
  OverloadResult Result;
  std::vector<double> FirstTokens;
  std::size_t Arrived = 0;
  std::size_t Refused = 0;
  double InTime = 0;
  double Completed = 0;
  double PendingArrivals = 0;
  std::size_t NextReplica = 0;
  std::uint64_t NextId = 0;
  auto Send = [&](const ModelJob &Job, TimePoint Now) {
    std::size_t To = 0;
    if (Policy == Balance::RoundRobin) {
      To = NextReplica++ % Replicas;
    } else if (Policy == Balance::LeastLoaded) {
      To = static_cast<std::size_t>(
          std::min_element(Reported.begin(), Reported.end()) -
          Reported.begin());
    } else {
      RouteQuery Query{Selector(), 0, Random(), {}, Now};
      const RouteTarget *Found = pickTarget(
          View, Load, Query, [](const RouteTarget &) { return true; });
      Load.onStart(Found->Key);
      To = Found->Group.Value;
    }
    Models[To].push(Job);
  };
  for (TimePoint Now = Start;
       Now < Start + std::chrono::seconds(OverloadSeconds); Now += Step) {
    // Load reports are updated every 500 ms.
    if ((Now - Start) % Millis(500) == Millis(0))
      for (std::size_t I = 0; I < Replicas; ++I)
        Reported[I] = Models[I].load();
    for (PendingArrivals += ArrivalsPerStep; PendingArrivals >= 1;
         PendingArrivals -= 1) {
      ModelJob Job;
      Job.Id = ++NextId;
      Job.Arrived = Now;
      Job.Deadline = Now + Millis(4000);
      Job.PromptTokens = 200;
      Job.OutputTokens = 20 + Random() % 80;
      ++Arrived;
      if (Policy != Balance::Waycove) {
        Send(Job, Now);
        continue;
      }
      auto Ticket = Queue.offer(
          {WorkspaceId("w" + std::to_string(Random() % 10)), 1,
           Tokens(Job.OutputTokens + Job.PromptTokens / 4),
           // Leaves time for generating the response.
           Job.Deadline -
               Millis(1000 * Job.OutputTokens /
                      static_cast<std::uint64_t>(Params.TokensPerSecond / 8)),
           0},
          Now);
      if (Ticket.ok()) {
        Waiting.emplace_back(*Ticket, Job);
      } else {
        ++Refused;
        Result.RefusalWait += secondsOf(retryAfterOf(Ticket.status()));
      }
    }
    for (TicketId Expired : Queue.expire(Now)) {
      std::erase_if(Waiting,
                    [&](const auto &Row) { return Row.first == Expired; });
      ++Refused;
    }
    while (auto Next = Queue.take(Now)) {
      auto At = std::find_if(Waiting.begin(), Waiting.end(),
                             [&](auto &Row) { return Row.first == *Next; });
      Tickets[At->second.Id] = *Next;
      Send(At->second, Now);
      Waiting.erase(At);
    }
    for (std::size_t I = 0; I < Replicas; ++I)
      for (const ModelJob &Job : Models[I].advance(Now, Step)) {
        Completed += 1;
        FirstTokens.push_back(secondsOf(*Job.FirstToken - Job.Arrived));
        InTime += *Job.Finished <= Job.Deadline ? 1 : 0;
        if (Policy == Balance::Waycove) {
          Load.onEnd(hashVm(VmId(std::to_string(I))), false, Now);
          Queue.finish(Tickets[Job.Id],
                       Tokens(Job.OutputTokens + Job.PromptTokens / 4), Now);
        }
      }
  }
  Result.Goodput = InTime / OverloadSeconds;
  Result.WastedShare = Completed > 0 ? 1 - InTime / Completed : 0;
  Result.FirstTokenP95 = quantile(FirstTokens, 0.95);
  Result.RefusedShare =
      static_cast<double>(Refused) / static_cast<double>(Arrived);
  Result.RefusalWait /= std::max<double>(1, static_cast<double>(Refused));
  return Result;
}

// ---- Retries. ----

struct RetryResult {
  double AttemptsPerRequest = 0;
  double FailedShare = 0;
};

constexpr std::size_t RetryTargets = 50;
constexpr int RetryRequests = 20000;

/// Uses the retry policy of waycove if \p Budgeted, or else up to three retries
/// on any target. \p FailingShare is the fraction of targets that fail.
RetryResult simulateRetries(bool Budgeted, double FailingShare) {
  std::mt19937_64 Random(Seed);
  RouteView View = viewOf(RetryTargets);
  auto Fails = [&](const VmId &Vm) {
    return std::stoul(Vm.Text) <
           static_cast<std::size_t>(FailingShare * RetryTargets);
  };
  LoadTable Load;
  RetryBudget Budget;
  RetryResult Result;
  TimePoint Now = Start;
  for (int I = 0; I < RetryRequests; ++I) {
    Now += Millis(5);
    Budget.onFirstAttempt(Now);
    std::vector<VmId> Avoid;
    unsigned Attempts = 0;
    while (true) {
      ++Attempts;
      RouteQuery Query{Selector(), 0, Random(),
                       Budgeted ? Avoid : std::vector<VmId>(), Now};
      LoadTable EmptyLoad;
      const RouteTarget *Found =
          pickTarget(View, Budgeted ? Load : EmptyLoad, Query,
                     [](const RouteTarget &) { return true; });
      bool Failed = !Found || Fails(Found->Head);
      if (Found) {
        Load.onStart(Found->Key);
        Load.onEnd(Found->Key, Failed, Now);
        Load.ejectIfFailing(Found->Key, RetryTargets, Now);
        Avoid.push_back(Found->Head);
      }
      if (!Failed)
        break;
      bool Retry = Attempts < 4;
      if (Budgeted)
        Retry =
            decideRetry({AttemptOutcome::Broken, true, Attempts, false, false},
                        Budget)
                .Choice == RetryChoice::Retry;
      if (Retry)
        continue;
      Result.FailedShare += 1.0 / RetryRequests;
      break;
    }
    Result.AttemptsPerRequest += static_cast<double>(Attempts) / RetryRequests;
  }
  return Result;
}

// ---- Prefix cache. ----

enum class Affinity { None, Learned, Ring };

constexpr std::size_t PrefixReplicas = 50;
constexpr std::size_t PrefixNodes = 8;
constexpr std::size_t CacheSessions = 60;
constexpr std::size_t Sessions = 2000;
constexpr int PrefixTurns = 40000;

struct PrefixResult {
  double HitShare = 0;
  double LoadSpread = 0;
};

/// Learned affinity uses cache events, a fifth of which are lost. Ring is the
/// policy of waycove.
PrefixResult simulatePrefixCache(Affinity Policy) {
  std::mt19937_64 Random(Seed);
  RouteView View = viewOf(PrefixReplicas);
  std::vector<LoadTable> Loads(PrefixNodes);
  std::vector<std::list<std::uint64_t>> Caches(PrefixReplicas);
  std::vector<std::unordered_map<std::uint64_t, std::size_t>> Known(
      PrefixNodes);
  std::vector<double> Served(PrefixReplicas, 0);
  std::list<std::pair<std::size_t, VmId>> InFlight;
  double Hits = 0;
  double RepeatedTurns = 0;
  std::vector<bool> Seen(Sessions, false);
  TimePoint Now = Start;
  for (int I = 0; I < PrefixTurns; ++I) {
    Now += Millis(2);
    std::size_t Node = Random() % PrefixNodes;
    std::uint64_t Session = Random() % Sessions;
    RouteQuery Query{Selector(), 0, Random(), {}, Now};
    if (Policy == Affinity::Ring)
      Query.Affinity = affinityOf("w", std::to_string(Session), "");
    const RouteTarget *Found = pickTarget(
        View, Loads[Node], Query, [](const RouteTarget &) { return true; });
    std::size_t To = Found->Group.Value;
    if (Policy == Affinity::Learned)
      if (auto At = Known[Node].find(Session);
          At != Known[Node].end() &&
          Loads[Node].loadOf(hashVm(VmId(std::to_string(At->second))), Now) <=
              4)
        To = At->second;
    VmId Head(std::to_string(To));
    Loads[Node].onStart(hashVm(Head));
    InFlight.emplace_back(Node, Head);
    if (InFlight.size() > 200) {
      Loads[InFlight.front().first].onEnd(hashVm(InFlight.front().second),
                                          false, Now);
      InFlight.pop_front();
    }
    Served[To] += 1;
    auto &Cache = Caches[To];
    auto Hit = std::find(Cache.begin(), Cache.end(), Session);
    if (Seen[Session]) {
      RepeatedTurns += 1;
      Hits += Hit != Cache.end() ? 1 : 0;
    }
    Seen[Session] = true;
    if (Hit != Cache.end())
      Cache.erase(Hit);
    Cache.push_front(Session);
    if (Cache.size() > CacheSessions)
      Cache.pop_back();
    for (std::size_t N = 0; N < PrefixNodes; ++N)
      if (Random() % 5 != 0)
        Known[N][Session] = To;
  }
  return {Hits / RepeatedTurns,
          *std::max_element(Served.begin(), Served.end()) * PrefixReplicas /
              PrefixTurns};
}

// ---- KV cache. ----

struct KvResult {
  double Goodput = 0;
  double FirstTokenP95 = 0;
  std::uint64_t Preemptions = 0;
};

constexpr std::uint64_t KvTokens = 20000;
constexpr int KvSeconds = 120;

/// Runs up to \p Slots concurrent requests. If \p Headroom is positive, a
/// request is admitted only if the expected context size stays within that
/// fraction of the cache.
KvResult simulateKvCache(std::size_t Slots, double Headroom,
                         std::uint64_t LongPrompt) {
  std::mt19937_64 Random(Seed);
  ReplicaParams Params;
  Params.Slots = 64;
  Params.TokensPerSecond = 1600;
  Params.KvTokens = KvTokens;
  ModelReplica Replica(Params);
  std::list<ModelJob> Waiting;
  KvResult Result;
  std::vector<double> FirstTokens;
  std::vector<ModelJob> Admitted;
  double PendingArrivals = 0;
  for (TimePoint Now = Start; Now < Start + std::chrono::seconds(KvSeconds);
       Now += Step) {
    for (PendingArrivals += 11 * secondsOf(Step); PendingArrivals >= 1;
         PendingArrivals -= 1) {
      ModelJob Job;
      Job.Id = Random();
      Job.Arrived = Now;
      Job.Deadline = Now + Millis(10000);
      Job.PromptTokens = Random() % 4 == 0 ? LongPrompt : 200;
      Job.OutputTokens = 50 + Random() % 150;
      Waiting.push_back(Job);
    }
    std::erase_if(Waiting, [&](const ModelJob &Row) {
      return Now + Millis(2000) > Row.Deadline;
    });
    while (!Waiting.empty() && Admitted.size() < Slots) {
      std::uint64_t Expected =
          Waiting.front().PromptTokens + Waiting.front().OutputTokens;
      for (const ModelJob &Row : Admitted)
        Expected += Row.PromptTokens + Row.OutputTokens;
      if (Headroom > 0 && !Admitted.empty() &&
          static_cast<double>(Expected) > Headroom * KvTokens)
        break;
      Admitted.push_back(Waiting.front());
      Replica.push(Waiting.front());
      Waiting.pop_front();
    }
    for (const ModelJob &Job : Replica.advance(Now, Step)) {
      std::erase_if(Admitted,
                    [&](const ModelJob &Row) { return Row.Id == Job.Id; });
      FirstTokens.push_back(secondsOf(*Job.FirstToken - Job.Arrived));
      Result.Goodput += *Job.Finished <= Job.Deadline ? 1.0 / KvSeconds : 0;
    }
  }
  Result.FirstTokenP95 = quantile(FirstTokens, 0.95);
  Result.Preemptions = Replica.preemptions();
  return Result;
}

} // namespace

void runFairness(std::ostream &Out) {
  Out << std::fixed << std::setprecision(2)
      << "one greedy workspace (10x the requests, twice as long), nine modest "
         "ones; one replica\n"
      << "queue             worst modest share  its first token p95 s  greedy "
         "share  refused\n";
  for (bool Fair : {false, true}) {
    FairResult Row = simulateFairness(Fair);
    Out << (Fair ? "fair (waycove)    " : "first come        ") << std::setw(18)
        << Row.WorstShare << std::setw(23) << Row.FirstTokenP95 << std::setw(14)
        << Row.GreedyShare << std::setw(9) << Row.Refused << "\n";
  }
}

void runOverload(std::ostream &Out) {
  Out << std::fixed << std::setprecision(2)
      << "twice the load that 20 replicas carry, deadline 4 s\n"
      << "policy            in time/s  late share  first token p95 s  refused "
         "share  told to wait s\n";
  struct Row {
    const char *Name;
    Balance Policy;
  };
  for (const Row &Case : {Row{"round robin       ", Balance::RoundRobin},
                          Row{"least loaded      ", Balance::LeastLoaded},
                          Row{"waycove           ", Balance::Waycove}}) {
    OverloadResult F = simulateOverload(Case.Policy);
    Out << Case.Name << std::setw(9) << F.Goodput << std::setw(12)
        << F.WastedShare << std::setw(19) << F.FirstTokenP95 << std::setw(15)
        << F.RefusedShare << std::setw(16) << F.RefusalWait << "\n";
  }
}

void runRetries(std::ostream &Out) {
  Out << std::fixed << std::setprecision(3)
      << "50 targets, 20000 repeatable requests\n"
      << "failing  policy              attempts/request  failed share\n";
  for (double Failing : {0.1, 1.0})
    for (bool Budgeted : {false, true}) {
      RetryResult Row = simulateRetries(Budgeted, Failing);
      Out << std::setw(7) << Failing
          << (Budgeted ? "  waycove         " : "  up to 3 retries ")
          << std::setw(18) << Row.AttemptsPerRequest << std::setw(14)
          << Row.FailedShare << "\n";
    }
}

void runPrefix(std::ostream &Out) {
  Out << std::fixed << std::setprecision(3)
      << "2000 sessions, 40000 turns through 8 daemons to 50 replicas that "
         "cache 60 sessions each\n"
      << "policy                               hit share  busiest/mean\n";
  struct Row {
    const char *Name;
    Affinity Policy;
  };
  for (const Row &Case :
       {Row{"two choices, no affinity          ", Affinity::None},
        Row{"learned from events, a fifth lost ", Affinity::Learned},
        Row{"ring (waycove)                    ", Affinity::Ring}}) {
    PrefixResult F = simulatePrefixCache(Case.Policy);
    Out << Case.Name << std::setw(12) << F.HitShare << std::setw(14)
        << F.LoadSpread << "\n";
  }
}

void runKv(std::ostream &Out) {
  Out << std::fixed << std::setprecision(2)
      << "one replica, cache of 20000 tokens, a quarter of the prompts long\n"
      << "long prompt  rule                 in time/s  first token p95 s  "
         "preemptions\n";
  struct Rule {
    const char *Name;
    std::size_t Slots;
    double Headroom;
  };
  for (std::uint64_t Long : {400U, 2000U, 6000U})
    for (const Rule &Row : {Rule{"  16 slots           ", 16, 0},
                            Rule{"  32 slots           ", 32, 0},
                            Rule{"  64 slots           ", 64, 0},
                            Rule{"  64, cache to 80%   ", 64, 0.8},
                            Rule{"  64, cache to 100%  ", 64, 1.0}}) {
      KvResult F = simulateKvCache(Row.Slots, Row.Headroom, Long);
      Out << std::setw(11) << Long << Row.Name << std::setw(9) << F.Goodput
          << std::setw(19) << F.FirstTokenP95 << std::setw(13) << F.Preemptions
          << "\n";
    }
}

} // namespace waycove
