// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "bench/experiments.h"

#include "policy/fair.h"
#include "policy/idempotency.h"
#include "policy/links.h"
#include "policy/plan.h"
#include "policy/rendezvous.h"
#include "policy/retry.h"
#include "policy/route.h"

#include <random>

namespace waycove {

namespace {

constexpr std::uint64_t Seed = 20261202;

/// Combines the decisions of a run into one hash.
class Signature {
public:
  void add(std::uint64_t Value) { this->Hash = mixHash(this->Hash, Value); }
  std::uint64_t value() const { return this->Hash; }

private:
  std::uint64_t Hash = 1;
};

void signRouting(Signature &Result) {
  RouteView View;
  for (std::uint64_t I = 0; I < 200; ++I) {
    RouteTarget Row;
    Row.Head = VmId("vm-" + std::to_string(I));
    Row.MemberLabels.emplace_back();
    Row.MemberLabels[0].set("tier", I % 3 == 0 ? "gold" : "plain");
    View.Targets.push_back(Row);
  }
  View.makeRing();
  Selector Gold;
  Gold.require({"tier", {"gold"}, false});
  LoadTable Load;
  std::mt19937_64 Random(Seed);
  TimePoint Now{Millis(1000)};
  for (int I = 0; I < 2000; ++I) {
    Now += Millis(3);
    RouteQuery Query{Gold, I % 2 ? Random() | 1 : 0, Random(), {}, Now};
    const RouteTarget *Found =
        pickTarget(View, Load, Query, [](const RouteTarget &) { return true; });
    Result.add(Found ? hashText(Found->Head.Text) : 0);
    if (!Found)
      continue;
    Load.onStart(Found->Key);
    if (I % 5 != 0)
      Load.onEnd(Found->Key, I % 7 == 0, Now);
    Result.add(Load.ejectIfFailing(Found->Key, View.Targets.size(), Now));
  }
}

void signAdmission(Signature &Result) {
  FairQueue Queue(FairLimits{4, 32, 128});
  std::mt19937_64 Random(Seed);
  TimePoint Now{Millis(1000)};
  std::vector<TicketId> Running;
  for (int I = 0; I < 3000; ++I) {
    Now += Millis(1 + Random() % 5);
    FairOffer Offer{WorkspaceId("w" + std::to_string(Random() % 6)),
                    1 + Random() % 3, Tokens(10 + Random() % 300),
                    Now + Millis(50 + Random() % 3000),
                    static_cast<unsigned>(Random() % 3)};
    auto Ticket = Queue.offer(Offer, Now);
    Result.add(Ticket.ok() ? Ticket->Value
                           : static_cast<std::uint64_t>(
                                 retryAfterOf(Ticket.status()).count()));
    while (auto Next = Queue.take(Now)) {
      Result.add(Next->Value);
      Running.push_back(*Next);
    }
    if (!Running.empty() && Random() % 2) {
      Queue.finish(Running.front(), Tokens(Random() % 300), Now);
      Running.erase(Running.begin());
    }
    for (TicketId Expired : Queue.expire(Now))
      Result.add(Expired.Value);
  }
}

void signPlanning(Signature &Result) {
  std::mt19937_64 Random(Seed);
  Deployment Spec;
  Spec.VmsPerReplica = 4;
  for (int Round = 0; Round < 100; ++Round) {
    std::vector<PlanVm> Rows;
    Rows.reserve(40);
    for (int I = 0; I < 40; ++I)
      Rows.push_back({VmId("vm-" + std::to_string(I)),
                      DomainId("d" + std::to_string(I / 10)), Random() % 5 != 0,
                      Random() % 9, Fence(I < 4 ? 7 : 0)});
    PlanPool Pool(Rows);
    Group Current{Fence(7), {}, DomainId("d0"), {}};
    for (int I = 0; I < 4; ++I)
      Current.Vms.push_back(Rows[static_cast<std::size_t>(I)].Vm);
    for (std::uint64_t I = 0; I < 5; ++I) {
      SlotKey Key{DeploymentId("m"), DataCentreId("a"), Slot(I)};
      auto Plan = planSlot(Key, Spec, I == 0 ? &Current : nullptr, Pool,
                           RepairPolicy::KeepMembers);
      Result.add(Plan ? hashText(Plan->Domain.Text) : 0);
      if (Plan)
        for (const PlanVm &Row : Plan->Vms)
          Result.add(hashText(Row.Vm.Text));
    }
  }
}

void signMembership(Signature &Result) {
  std::vector<Member> Live;
  Live.reserve(120);
  for (std::uint64_t I = 1; I <= 120; ++I)
    Live.push_back({NodeHash(mixHash(I, Seed)),
                    DataCentreId("dc-" + std::to_string(I % 6))});
  for (const Member &Row : Live)
    for (NodeHash Node : chooseLinks(Row.Node, Live))
      Result.add(Node.Value);
  std::vector<NodeHash> Nodes;
  Nodes.reserve(Live.size());
  for (const Member &Row : Live)
    Nodes.push_back(Row.Node);
  for (std::uint64_t Key = 0; Key < 1000; ++Key)
    Result.add(rendezvousOwner(Nodes, Key).Value);
}

void signRetries(Signature &Result) {
  RetryBudget Budget;
  std::mt19937_64 Random(Seed);
  for (int I = 0; I < 2000; ++I) {
    if (Random() % 2)
      Budget.onFirstAttempt(TimePoint(Millis(1000 + 10 * I)));
    AttemptFacts Facts{
        static_cast<AttemptOutcome>(
            Random() % static_cast<std::uint64_t>(AttemptOutcome::Count)),
        Random() % 2 == 0, static_cast<unsigned>(Random() % 5),
        Random() % 8 == 0, Random() % 4 == 0};
    RetryDecision Next = decideRetry(Facts, Budget);
    Result.add(static_cast<std::uint64_t>(Next.Choice) * 100 +
               static_cast<std::uint64_t>(Next.Kind));
  }
}

void signFold(Signature &Result) {
  FoldState State;
  std::mt19937_64 Random(Seed);
  for (std::uint64_t I = 0; I < 500; ++I) {
    wire::RecordT Record;
    Record.id = std::to_string(I);
    Record.written_ms = 1'000'000'000 + I * 10'000;
    if (Random() % 2) {
      wire::ClaimBatchT Batch;
      Batch.dispatcher = "d" + std::to_string(Random() % 4);
      auto Key = std::make_unique<wire::ClaimKeyT>();
      Key->workspace = "w";
      Key->issued_ms = Record.written_ms - Random() % 5'000'000;
      Key->key =
          std::to_string(Key->issued_ms) + "-" + std::to_string(Random() % 40);
      Batch.claims.push_back(std::move(Key));
      Record.change.Set(std::move(Batch));
    } else {
      wire::ConfigChangeT Change;
      Change.kind = "selector";
      Change.name = "s" + std::to_string(Random() % 5);
      Change.base = Random() % 3 ? 0 : I;
      Change.removed = Random() % 4 == 0;
      Change.body = "kind: selector\nname: " + Change.name +
                    "\nspec: {match: {tier: [gold]}}";
      Record.change.Set(std::move(Change));
    }
    FoldOutcome Outcome = State.fold(Offset(I), packRecord(Record));
    Result.add(Outcome.Accepted);
  }
  Result.add(State.digest());
}

} // namespace

std::uint64_t decisionSignature() {
  Signature Result;
  signRouting(Result);
  signAdmission(Result);
  signPlanning(Result);
  signMembership(Result);
  signRetries(Result);
  signFold(Result);
  return Result.value() % 100'000'000;
}

} // namespace waycove
