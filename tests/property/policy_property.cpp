// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Labels, links, admission, retries, routing and planning under random inputs.
#include "policy/fair.h"
#include "policy/links.h"
#include "policy/plan.h"
#include "policy/rendezvous.h"
#include "policy/retry.h"
#include "policy/route.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

namespace waycove {

TEST_CASE("links: any members of any centres: connected, few links each",
          "[property]") {
  CHECK(rc::check([] {
    auto Sizes =
        *rc::gen::resize(12, rc::gen::container<std::vector<std::size_t>>(
                                 rc::gen::inRange<std::size_t>(1, 30)));
    std::vector<Member> Live;
    for (std::size_t Centre = 0; Centre < Sizes.size(); ++Centre)
      for (std::size_t I = 0; I < Sizes[Centre]; ++I)
        Live.push_back({NodeHash(mixHash(Centre + 1, I + 1)),
                        DataCentreId("c" + std::to_string(Centre))});
    std::map<NodeHash, std::set<NodeHash>> Graph;
    for (const Member &Row : Live)
      for (NodeHash Other : chooseLinks(Row.Node, Live)) {
        RC_ASSERT(Other != Row.Node);
        Graph[Row.Node].insert(Other);
        Graph[Other].insert(Row.Node);
      }
    std::set<NodeHash> Reached;
    std::vector<NodeHash> Next;
    if (!Live.empty())
      Next.push_back(Live[0].Node);
    while (!Next.empty()) {
      NodeHash Node = Next.back();
      Next.pop_back();
      if (Reached.insert(Node).second)
        Next.insert(Next.end(), Graph[Node].begin(), Graph[Node].end());
    }
    RC_ASSERT(Reached.size() == Live.size());
    for (const auto &[Node, Links] : Graph)
      RC_ASSERT(Links.size() <= 16U);
  }));
}

TEST_CASE("rendezvous: a member goes: only its own keys move", "[property]") {
  CHECK(rc::check([] {
    auto Count = *rc::gen::inRange<std::uint64_t>(2, 40);
    std::vector<NodeHash> Members;
    for (std::uint64_t I = 1; I <= Count; ++I)
      Members.emplace_back(mixHash(I, 5));
    NodeHash Gone = Members[*rc::gen::inRange<std::size_t>(0, Count)];
    std::vector<NodeHash> Left = Members;
    std::erase(Left, Gone);
    for (std::uint64_t Key = 0; Key < 50; ++Key) {
      NodeHash Before = rendezvousOwner(Members, Key);
      if (Before != Gone)
        RC_ASSERT(rendezvousOwner(Left, Key) == Before);
    }
  }));
}

TEST_CASE("selector: random labels: a missing label never satisfies",
          "[property]") {
  CHECK(rc::check([] {
    Labels Subject;
    auto Keys = *rc::gen::container<std::set<int>>(rc::gen::inRange(0, 6));
    for (int Key : Keys)
      Subject.set("k" + std::to_string(Key),
                  "v" + std::to_string(*rc::gen::inRange(0, 3)));
    Requirement Row{"k" + std::to_string(*rc::gen::inRange(0, 8)),
                    {"v" + std::to_string(*rc::gen::inRange(0, 3))},
                    *rc::gen::arbitrary<bool>()};
    Selector One;
    One.require(Row);
    const std::string *Value = Subject.find(Row.Key);
    bool Expected = Value && (*Value == Row.Values[0]) != Row.Negated;
    RC_ASSERT(One.matches(Subject) == Expected);
    // Narrowing never allows more labels.
    Selector Two = One;
    Two.require({"k0", {"v0"}, false});
    RC_ASSERT(!Two.matches(Subject) || One.matches(Subject));
  }));
}

TEST_CASE("selector: any text: parsed or refused, never a crash",
          "[property]") {
  CHECK(rc::check([] {
    auto Text = *rc::gen::container<std::string>(
        rc::gen::element('a', 'b', '=', '!', ',', '|', '-', '\0', ' ', '\xff'));
    absl::StatusOr<Selector> Parsed = parseSelector(Text);
    if (!Parsed.ok())
      RC_ASSERT(kindOf(Parsed.status()) == ErrorKind::BadRequest);
  }));
}

TEST_CASE("fair queue: random offers: slots kept, nobody lost or run twice",
          "[property]") {
  CHECK(rc::check([] {
    FairQueue Queue(FairLimits{3, 8, 20});
    TimePoint Now{Millis(1000)};
    std::set<TicketId> Waiting;
    std::vector<TicketId> Running;
    auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(1, 200)));
    for (auto [What, Amount] : Steps) {
      Now += Millis(Amount);
      if (What <= 1) {
        auto Ticket =
            Queue.offer({WorkspaceId("w" + std::to_string(Amount % 4)), 1,
                         Tokens(static_cast<std::uint64_t>(Amount)),
                         Now + Millis(10 * Amount), 0},
                        Now);
        if (Ticket.ok())
          RC_ASSERT(Waiting.insert(*Ticket).second);
        else
          RC_ASSERT(retryAfterOf(Ticket.status()).count() > 0);
      } else if (What == 2 && !Running.empty()) {
        Queue.finish(Running.back(), Tokens(10), Now);
        Running.pop_back();
      } else {
        for (TicketId Gone : Queue.expire(Now))
          RC_ASSERT(Waiting.erase(Gone) == 1U);
      }
      while (auto Next = Queue.take(Now)) {
        RC_ASSERT(Waiting.erase(*Next) == 1U);
        Running.push_back(*Next);
      }
      RC_ASSERT(Running.size() <= 3U);
      RC_ASSERT(Queue.waiting() == Waiting.size());
      RC_ASSERT(Queue.running() == Running.size());
    }
  }));
}

/// Expected decision by the outcome of an attempt.
struct RetryCase {
  AttemptOutcome End;
  bool Repeatable;
  bool MayHaveRun;
  RetryChoice Choice;
  ErrorKind Kind;
};

TEST_CASE("retry: each end of an attempt: again only where safe, honest else",
          "[table]") {
  using enum AttemptOutcome;
  using enum RetryChoice;
  for (const RetryCase &Row : std::vector<RetryCase>{
           {Done, false, false, Finish, ErrorKind::Internal},
           {NotSent, false, false, Retry, ErrorKind::NoCapacity},
           {Refused, false, false, Retry, ErrorKind::TargetBusy},
           {Broken, false, false, Fail, ErrorKind::OutcomeUnknown},
           {Stalled, false, false, Fail, ErrorKind::OutcomeUnknown},
           {Broken, true, false, Retry, ErrorKind::OutcomeUnknown},
           {Stalled, true, false, Retry, ErrorKind::OutcomeUnknown},
           {NotSent, false, true, Fail, ErrorKind::OutcomeUnknown},
           {CallerGone, true, false, Fail, ErrorKind::OutcomeUnknown},
       }) {
    RetryBudget Budget;
    RetryDecision Next = decideRetry(
        {Row.End, Row.Repeatable, 1, false, Row.MayHaveRun}, Budget);
    CHECK(Next.Choice == Row.Choice);
    CHECK(Next.Kind == Row.Kind);
  }
}

TEST_CASE("retry: any facts: never again after it may have run unrepeatably, "
          "never an untrue 'not run'",
          "[property]") {
  CHECK(rc::check([] {
    RetryBudget Budget;
    AttemptFacts Facts{static_cast<AttemptOutcome>(*rc::gen::inRange(
                           0, static_cast<int>(AttemptOutcome::Count))),
                       *rc::gen::arbitrary<bool>(), *rc::gen::inRange(0U, 6U),
                       *rc::gen::arbitrary<bool>(),
                       *rc::gen::arbitrary<bool>()};
    RetryDecision Next = decideRetry(Facts, Budget);
    bool Ran = Facts.MayHaveRun || (Facts.End != AttemptOutcome::NotSent &&
                                    Facts.End != AttemptOutcome::Refused);
    if (Next.Choice == RetryChoice::Retry)
      RC_ASSERT(!Ran || Facts.Repeatable);
    if (Next.Choice == RetryChoice::Fail && Ran)
      RC_ASSERT(responseFor(Next.Kind).RequestRan != Ran::No);
  }));
}

TEST_CASE("route: random targets: only allowed and serving ones are picked",
          "[property]") {
  CHECK(rc::check([] {
    RouteView View;
    LoadTable Load;
    TimePoint Now{Millis(5000)};
    auto Tiers = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (std::size_t I = 0; I < Tiers.size(); ++I) {
      RouteTarget Row;
      Row.Head = VmId("v" + std::to_string(I));
      Row.MemberLabels.emplace_back();
      Row.MemberLabels[0].set("tier", std::to_string(Tiers[I] % 3));
      Row.Group = Fence(static_cast<std::uint64_t>(Tiers[I]) / 3);
      for (int F = 0; F < Tiers[I]; ++F)
        Load.onEnd(hashVm(Row.Head), true, Now);
      Load.ejectIfFailing(hashVm(Row.Head), Tiers.size(), Now);
      View.Targets.push_back(Row);
    }
    View.makeRing();
    Selector Wanted;
    Wanted.require({"tier", {"1"}, false});
    auto Serves = [](const RouteTarget &Row) { return Row.Group == Fence(); };
    RouteQuery Query{Wanted,
                     *rc::gen::arbitrary<std::uint64_t>(),
                     *rc::gen::arbitrary<std::uint64_t>(),
                     {},
                     Now};
    const RouteTarget *Found = pickTarget(View, Load, Query, Serves);
    bool Any = std::any_of(View.Targets.begin(), View.Targets.end(),
                           [&](const RouteTarget &Row) {
                             return Row.allows(Wanted) && Serves(Row);
                           });
    RC_ASSERT((Found != nullptr) == Any);
    if (Found)
      RC_ASSERT(Found->allows(Wanted) && Serves(*Found));
  }));
}

TEST_CASE("plan: random VMs: whole, of one domain, of usable free VMs only",
          "[property]") {
  CHECK(rc::check([] {
    std::vector<PlanVm> Rows;
    Group Present{Fence(9), {}, DomainId("d0"), {}};
    int Count = *rc::gen::inRange(0, 24);
    for (int I = 0; I < Count; ++I) {
      std::uint64_t In = *rc::gen::element<std::uint64_t>(0, 0, 0, 5);
      Rows.push_back({VmId("v" + std::to_string(I)),
                      DomainId("d" + std::to_string(I % 3)),
                      *rc::gen::arbitrary<bool>(), 1, Fence(In)});
      if (I % 3 == 0 && Present.Vms.size() < 4) {
        Rows.back().Group = Fence(9);
        Present.Vms.push_back(Rows.back().Vm);
      }
    }
    Deployment Spec;
    PlanPool Pool(Rows);
    std::set<VmId> Given;
    for (std::uint64_t I = 0; I < 3; ++I) {
      SlotKey Place{DeploymentId("m"), DataCentreId("a"), Slot(I)};
      auto Plan = planSlot(Place, Spec, I == 0 ? &Present : nullptr, Pool,
                           RepairPolicy::KeepMembers);
      if (!Plan)
        continue;
      RC_ASSERT(Plan->Vms.size() == 4U);
      for (const PlanVm &Row : Plan->Vms) {
        RC_ASSERT(Row.Usable && Row.Domain == Plan->Domain);
        RC_ASSERT(Row.Group == Fence() || (I == 0 && Row.Group == Fence(9)));
        RC_ASSERT(Given.insert(Row.Vm).second);
      }
    }
  }));
}

} // namespace waycove
