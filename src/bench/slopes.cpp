// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "bench/experiments.h"
#include "board/peers.h"
#include "control/views.h"
#include "policy/fair.h"
#include "policy/links.h"
#include "policy/rendezvous.h"
#include "policy/route.h"
#include "wire/frame.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <malloc.h>
#include <ostream>
#include <random>

namespace waycove {

namespace {

constexpr int Repetitions = 5;

/// Returns the time of one of \p Count calls of \p Function in nanoseconds, as
/// the median of several repetitions.
double measureNanos(int Count, const std::function<void(int)> &Function) {
  std::vector<double> Times;
  for (int R = 0; R < Repetitions; ++R) {
    auto Start = std::chrono::steady_clock::now();
    for (int I = 0; I < Count; ++I)
      Function(I);
    Times.push_back(std::chrono::duration<double, std::nano>(
                        std::chrono::steady_clock::now() - Start)
                        .count() /
                    Count);
  }
  std::sort(Times.begin(), Times.end());
  return Times[Repetitions / 2];
}

/// Returns the number of allocated heap bytes.
double heapBytes() {
  struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks + Info.hblkhd);
}

/// Prints a result row.
void printRow(std::ostream &Out, const char *What, std::size_t Size,
              double Value, const char *Unit) {
  Out << std::left << std::setw(46) << What << std::right << std::setw(9)
      << Size << std::setw(14) << std::fixed << std::setprecision(1) << Value
      << " " << Unit << "\n";
}

RouteView viewOf(std::size_t Count) {
  RouteView View;
  View.SlotsPerReplica = 8;
  for (std::size_t I = 0; I < Count; ++I) {
    RouteTarget Row;
    Row.Head = VmId("burnaby-a-vm-" + std::to_string(I));
    Labels MemberLabels;
    MemberLabels.set("residency", "bc");
    MemberLabels.set("role", "engine");
    for (int M = 0; M < 4; ++M)
      Row.addLabels(MemberLabels);
    View.Targets.push_back(std::move(Row));
  }
  View.makeRing();
  return View;
}

void measureRouting(std::ostream &Out) {
  for (std::size_t Count : {100U, 1000U, 10000U}) {
    RouteView View = viewOf(Count);
    LoadTable Load;
    for (const RouteTarget &Row : View.Targets)
      Load.onStart(hashVm(Row.Head));
    Selector Required;
    Required.require({"residency", {"bc"}, false});
    std::mt19937_64 Random(1);
    printRow(
        Out, "route one request, by replicas known", Count,
        measureNanos(
            20000,
            [&](int) {
              RouteQuery Query{
                  Required, Random() | 1, Random(), {}, TimePoint(Millis(1))};
              pickTarget(View, Load, Query,
                         [](const RouteTarget &) { return true; });
            }),
        "ns");
  }
}

/// Returns a state with \p Groups groups of four VMs; \p NextOffset is advanced
/// past its records.
FoldState stateOf(std::size_t Groups, std::uint64_t &NextOffset) {
  FoldState State;
  wire::RecordT First;
  First.id = "d";
  First.written_ms = 1'700'000'000'000;
  wire::ConfigChangeT Spec;
  Spec.kind = "deployment";
  Spec.name = "m";
  Spec.body = "kind: deployment\nname: m\nspec: {model: m, version: v, "
              "replicas: {a: 10000}, workspaces: {}}";
  First.change.Set(std::move(Spec));
  State.fold(Offset(NextOffset++), packRecord(First));
  for (std::size_t G = 0; G < Groups; ++G) {
    wire::RecordT Record;
    Record.id = std::to_string(G);
    Record.written_ms = 1'700'000'000'000;
    wire::GroupChangeT Change;
    Change.deployment = "m";
    Change.data_centre = "a";
    Change.domain = "domain-" + std::to_string(G / 4);
    Change.slot = static_cast<std::uint32_t>(G);
    for (int V = 0; V < 4; ++V) {
      auto Row = std::make_unique<wire::VmSeenT>();
      Row->vm =
          "burnaby-a-vm-" + std::to_string(G * 4 + static_cast<std::size_t>(V));
      Change.vms.push_back(std::move(Row));
    }
    Record.change.Set(std::move(Change));
    State.fold(Offset(NextOffset++), packRecord(Record));
  }
  return State;
}

std::string claimRecord(std::uint64_t Number, std::size_t Claims) {
  wire::RecordT Record;
  Record.id = "0123456789abcdef0123456789abcdef";
  Record.written_ms = 1'700'000'000'000;
  wire::ClaimBatchT Batch;
  Batch.dispatcher = "0123456789abcdef0123456789abcdef";
  for (std::size_t I = 0; I < Claims; ++I) {
    auto Row = std::make_unique<wire::ClaimKeyT>();
    Row->workspace = "packers";
    Row->issued_ms = 1'700'000'000'000;
    Row->key = "1700000000000-alarm-" + std::to_string(Number * Claims + I);
    Batch.claims.push_back(std::move(Row));
  }
  Record.change.Set(std::move(Batch));
  return packRecord(Record);
}

std::string configRecord(int Number) {
  wire::RecordT Record;
  Record.id = std::to_string(Number);
  Record.written_ms = 1'700'000'000'000;
  wire::ConfigChangeT Change;
  Change.kind = "selector";
  Change.name = "s" + std::to_string(Number);
  Change.body = "kind: selector\nname: " + Change.name +
                "\nspec: {match: {residency: [bc], tier: [gold, plain]}}";
  Record.change.Set(std::move(Change));
  return packRecord(Record);
}

void measureFold(std::ostream &Out) {
  for (std::size_t Groups : {100U, 1000U, 10000U}) {
    double Before = heapBytes();
    std::uint64_t NextOffset = 0;
    FoldState State = stateOf(Groups, NextOffset);
    printRow(Out, "state in memory, a group of 4 VMs", Groups,
             (heapBytes() - Before) / static_cast<double>(Groups), "bytes");
    std::string Saved = State.save();
    printRow(Out, "checkpoint, by groups", Groups,
             static_cast<double>(Saved.size()), "bytes");
    printRow(Out, "write a checkpoint, by groups", Groups,
             measureNanos(1, [&](int) { State.save(); }) / 1000, "us");
    printRow(Out, "load a checkpoint, by groups", Groups,
             measureNanos(1,
                          [&](int) {
                            FoldState Loaded;
                            Loaded.load(Saved).IgnoreError();
                          }) /
                 1000,
             "us");
    // Each folded record is new, so the state grows during the measurement.
    int Number = 0;
    printRow(Out, "fold one configuration record, by groups", Groups,
             measureNanos(200,
                          [&](int) {
                            State.fold(Offset(NextOffset++),
                                       configRecord(Number++));
                          }),
             "ns");
    std::uint64_t Batch = 0;
    printRow(Out, "fold one claim (batches of 50), by groups", Groups,
             measureNanos(100,
                          [&](int) {
                            State.fold(Offset(NextOffset++),
                                       claimRecord(Batch++, 50));
                          }) /
                 50,
             "ns");
  }
  for (std::size_t Claims : {10000U, 100000U, 400000U}) {
    double Before = heapBytes();
    FoldState State;
    std::uint64_t NextOffset = 0;
    for (std::size_t I = 0; I < Claims / 50; ++I)
      State.fold(Offset(NextOffset++), claimRecord(I, 50));
    printRow(Out, "state in memory, a claim, by claims", Claims,
             (heapBytes() - Before) / static_cast<double>(Claims), "bytes");
  }
  printRow(Out, "record of one claim in a batch of 50", 50,
           static_cast<double>(claimRecord(1, 50).size()) / 50, "bytes");
  printRow(Out, "record of a configuration change", 1,
           static_cast<double>(configRecord(1).size()), "bytes");
}

void measureViews(std::ostream &Out) {
  Settings Config;
  Config.Node = NodeId("n");
  Config.DataCentre = DataCentreId("a");
  for (std::size_t Groups : {100U, 500U, 2000U}) {
    Board Tables(Config, IncarnationId("i"));
    std::uint64_t NextOffset = 0;
    Tables.State.write(
        [&](FoldState &State) { State = stateOf(Groups, NextOffset); });
    Tables.Vms.write([&](VmTable &Vms) {
      for (std::size_t I = 0; I < Groups * 4; ++I) {
        VmInfo Info;
        Info.Id = VmId("burnaby-a-vm-" + std::to_string(I));
        Info.DataCentre = DataCentreId("a");
        Info.Domain = DomainId("domain-" + std::to_string(I / 16));
        Info.Address = {"10.0.0.1", 80};
        Info.OwnLabels.set("role", "engine");
        Vms.put(Info);
      }
    });
    ViewBuilder Views(Tables);
    printRow(Out, "make the route views anew, by groups here", Groups,
             measureNanos(3,
                          [&](int) {
                            Tables.RoutingVersion.fetch_add(1);
                            Views.refresh();
                          }) /
                 1000,
             "us");
  }
}

void measurePeers(std::ostream &Out) {
  for (std::size_t Nodes : {8U, 45U, 910U}) {
    std::vector<Member> Live;
    std::vector<NodeHash> Hashes;
    for (std::size_t I = 0; I < Nodes; ++I) {
      Live.push_back({NodeHash(mixHash(I + 1, 3)),
                      DataCentreId("dc" + std::to_string(I / 45))});
      Hashes.push_back(Live.back().Node);
    }
    std::size_t Links = 0;
    for (const Member &Row : Live)
      Links += chooseLinks(Row.Node, Live).size();
    printRow(Out, "links that a daemon opens, mean, by daemons", Nodes,
             static_cast<double>(Links) / static_cast<double>(Nodes), "links");
    printRow(Out, "choose links, by daemons", Nodes,
             measureNanos(50, [&](int) { chooseLinks(Live[0].Node, Live); }) /
                 1000,
             "us");
    printRow(Out, "own a slot (rendezvous), by daemons", Nodes,
             measureNanos(2000,
                          [&](int I) {
                            rendezvousOwner(Hashes,
                                            static_cast<std::uint64_t>(I));
                          }),
             "ns");
  }
  for (std::size_t Beats : {1U, 10U, 100U}) {
    wire::GossipT Gossip;
    for (std::size_t I = 0; I < Beats; ++I)
      Gossip.heartbeats.emplace_back(I, 1, 1U, static_cast<std::uint16_t>(1),
                                     static_cast<std::uint16_t>(1));
    printRow(
        Out, "gossip frame, by heartbeats in it", Beats,
        static_cast<double>(packFrame(makeFrame(1, std::move(Gossip))).size()),
        "bytes");
  }
  for (std::size_t Rows : {1U, 10U, 100U}) {
    wire::GossipT Gossip;
    for (std::size_t I = 0; I < Rows; ++I) {
      auto Row = std::make_unique<wire::HealthRowT>();
      Row->fence = 1000 + I;
      Row->version = 1;
      Row->owner = 1;
      Row->ready = true;
      Gossip.health.push_back(std::move(Row));
    }
    printRow(
        Out, "gossip frame, by health rows in it", Rows,
        static_cast<double>(packFrame(makeFrame(1, std::move(Gossip))).size()),
        "bytes");
  }
  for (std::size_t Rows : {100U, 1000U, 10000U}) {
    double Before = heapBytes();
    HealthTable Table;
    for (std::size_t I = 0; I < Rows; ++I)
      Table.put(Fence(I), {1, NodeHash(1), true, {}});
    printRow(Out, "health row in memory, by rows", Rows,
             (heapBytes() - Before) / static_cast<double>(Rows), "bytes");
  }
}

void measureQueue(std::ostream &Out) {
  for (std::size_t Lanes : {10U, 100U, 1000U}) {
    FairQueue Queue(FairLimits{64, 1000, 100000});
    TimePoint Now{Millis(1000)};
    for (std::size_t I = 0; I < Lanes * 2; ++I)
      Queue
          .offer({WorkspaceId("w" + std::to_string(I % Lanes)), 1, Tokens(9),
                  Now + std::chrono::hours(1), 0},
                 Now)
          .status()
          .IgnoreError();
    std::vector<TicketId> Running;
    while (auto Next = Queue.take(Now))
      Running.push_back(*Next);
    std::size_t Turn = 0;
    printRow(
        Out, "admit, start and finish, by workspaces waiting", Lanes,
        measureNanos(
            2000,
            [&](int I) {
              Queue
                  .offer({WorkspaceId("w" +
                                      std::to_string(
                                          static_cast<std::size_t>(I) % Lanes)),
                          1, Tokens(9), Now + std::chrono::hours(1), 0},
                         Now)
                  .status()
                  .IgnoreError();
              TicketId &Oldest = Running[Turn++ % Running.size()];
              Queue.finish(Oldest, Tokens(9), Now);
              if (auto Next = Queue.take(Now))
                Oldest = *Next;
            }),
        "ns");
  }
}

/// Measures the updates of a daemon's health table when all groups of a data
/// centre stop serving at once.
void measureGroupLoss(std::ostream &Out) {
  for (std::size_t Groups : {50U, 500U, 2000U}) {
    HealthTable Table;
    for (std::size_t I = 0; I < Groups; ++I)
      Table.put(Fence(I), {1, NodeHash(1), true, {}});
    std::uint64_t Version = 1;
    printRow(
        Out, "take in that all groups stopped, by groups", Groups,
        measureNanos(20,
                     [&](int) {
                       ++Version;
                       for (std::size_t I = 0; I < Groups; ++I)
                         Table.put(Fence(I), {Version, NodeHash(1), false, {}});
                     }) /
            1000,
        "us");
  }
}

} // namespace

void runSlopes(std::ostream &Out) {
  measureRouting(Out);
  measureQueue(Out);
  measureFold(Out);
  measureViews(Out);
  measurePeers(Out);
  measureGroupLoss(Out);
}

} // namespace waycove
