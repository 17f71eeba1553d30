// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Invariants of the fold under random records, in random order, from racing and
// outdated proposers.
#include "policy/fold.h"
#include "policy/idempotency.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

namespace waycove {

namespace {

constexpr std::uint64_t Start = 1'700'000'000'000;

std::string pack(const std::string &Id, std::uint64_t Ms, auto Change) {
  wire::RecordT Record;
  Record.id = Id;
  Record.written_ms = Ms;
  Record.change.Set(std::move(Change));
  return packRecord(Record);
}

std::string deploymentRecord() {
  wire::ConfigChangeT Change;
  Change.kind = "deployment";
  Change.name = "m";
  Change.body = "kind: deployment\nname: m\nspec: {model: m, version: v, "
                "vms_per_replica: 2, replicas: {a: 4}, workspaces: {}}";
  return pack("d", Start, std::move(Change));
}

/// A proposer with a possibly outdated view of the state.
struct Proposer {
  FoldState Seen;

  wire::GroupChangeT propose(std::uint32_t Slot) const {
    SlotKey Place{DeploymentId("m"), DataCentreId("a"), waycove::Slot(Slot)};
    wire::GroupChangeT Change;
    Change.deployment = "m";
    Change.data_centre = "a";
    Change.slot = Slot;
    const Group *Present = this->Seen.groupAt(Place);
    Change.replaces = Present ? Present->Id.Value : 0;
    for (int I = 0; I < 7 && Change.vms.size() < 2; ++I) {
      VmId Vm("vm" + std::to_string((I + static_cast<int>(Slot)) % 7));
      Assignment Now = this->Seen.assignment(Vm);
      if (Now.Group != Fence())
        continue;
      auto Row = std::make_unique<wire::VmSeenT>();
      Row->vm = Vm.Text;
      Row->seen = Now.Stamp;
      Change.vms.push_back(std::move(Row));
    }
    return Change;
  }
};

bool noVmTwice(const FoldState &State) {
  std::set<VmId> Seen;
  for (const auto &[Id, Formed] : State.groups()) {
    if (Formed.Vms.size() != 2)
      return false;
    for (const VmId &Vm : Formed.Vms)
      if (!Seen.insert(Vm).second || State.assignment(Vm).Group != Id)
        return false;
  }
  return true;
}

} // namespace

TEST_CASE("fold: stale proposers race: no VM in two groups, no partial group",
          "[property]") {
  CHECK(rc::check([] {
    FoldState State;
    std::uint64_t At = 0;
    State.fold(Offset(At++), deploymentRecord());
    std::vector<Proposer> Proposers(3);
    for (Proposer &Row : Proposers)
      Row.Seen = State;
    auto Steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3 * 4 * 3));
    for (int Step : Steps) {
      Proposer &Who = Proposers[static_cast<std::size_t>(Step % 3)];
      auto Slot = static_cast<std::uint32_t>(Step / 3 % 4);
      // A third of the steps update a proposer.
      if (Step / 12 == 0) {
        Who.Seen = State;
        continue;
      }
      State.fold(Offset(At),
                 pack(std::to_string(At), Start + At, Who.propose(Slot)));
      ++At;
      RC_ASSERT(noVmTwice(State));
    }
  }));
}

TEST_CASE("fold: the same record twice: the second changes nothing",
          "[property]") {
  FoldState State;
  State.fold(Offset(0), deploymentRecord());
  Proposer Who{State};
  std::string Bytes = pack("g", Start, Who.propose(0));
  CHECK(State.fold(Offset(1), Bytes).Accepted);
  CHECK_FALSE(State.fold(Offset(2), Bytes).Accepted);
  CHECK(State.groups().size() == 1);
}

TEST_CASE("fold: racing claims and a moving clock: one holder a key for ever",
          "[property]") {
  CHECK(rc::check([] {
    FoldState State;
    std::map<std::string, std::string> First;
    std::uint64_t At = 0;
    std::uint64_t Ms = Start;
    auto Steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 4),
                       rc::gen::inRange(0, 1'500'000)));
    for (auto [KeyNumber, Who, Jump] : Steps) {
      // The clocks of writers differ, and may go back.
      Ms = Ms + static_cast<std::uint64_t>(Jump) - 200'000;
      auto Row = std::make_unique<wire::ClaimKeyT>();
      Row->workspace = "w";
      Row->issued_ms =
          Start + static_cast<std::uint64_t>(KeyNumber) * 1'000'000;
      Row->key = std::to_string(Row->issued_ms) + "-k";
      std::string Key = Row->key;
      wire::ClaimBatchT Batch;
      Batch.dispatcher = "d" + std::to_string(Who);
      Batch.claims.push_back(std::move(Row));
      FoldOutcome Outcome =
          State.fold(Offset(At), pack(std::to_string(At), Ms, Batch));
      ++At;
      RC_ASSERT(Outcome.Holders.size() == 1U);
      std::string Holder = Outcome.Holders[0].Text;
      if (Holder.empty())
        continue;
      auto [Entry, Fresh] = First.try_emplace(Key, Holder);
      RC_ASSERT(Entry->second == Holder);
    }
    RC_ASSERT(State.claimCount() <= 6U);
  }));
}

TEST_CASE("fold: checkpoint in the middle: same state as without",
          "[property]") {
  CHECK(rc::check([] {
    FoldState Straight;
    FoldState Resumed;
    std::uint64_t At = 0;
    std::vector<std::string> Records{deploymentRecord()};
    Proposer Who;
    Who.Seen.fold(Offset(0), Records[0]);
    auto Slots = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 4));
    for (std::uint32_t Slot : Slots) {
      Records.push_back(
          pack(std::to_string(Records.size()), Start, Who.propose(Slot)));
      Who.Seen.fold(Offset(Records.size() - 1), Records.back());
    }
    auto Cut = *rc::gen::inRange<std::size_t>(0, Records.size() + 1);
    for (const std::string &Bytes : Records) {
      if (At == Cut) {
        std::string Saved = Straight.save();
        RC_ASSERT(Resumed.load(Saved).ok());
      }
      Straight.fold(Offset(At), Bytes);
      if (At >= Cut)
        Resumed.fold(Offset(At), Bytes);
      ++At;
    }
    if (Cut < Records.size())
      RC_ASSERT(Resumed.digest() == Straight.digest());
    // An older checkpoint is refused and changes nothing.
    std::uint64_t Before = Straight.digest();
    FoldState Young;
    RC_ASSERT(Straight.load(Young.save()).ok() == (At == 0));
    RC_ASSERT(Straight.digest() == Before);
  }));
}

TEST_CASE("fold: damaged bytes: refused, nothing accepted is lost",
          "[property]") {
  std::string Good = deploymentRecord();
  FoldState Saved;
  Saved.fold(Offset(0), Good);
  std::string Checkpoint = Saved.save();
  CHECK(rc::check([&] {
    FoldState State;
    State.fold(Offset(0), Good);
    std::uint64_t Before = State.digest();
    // Half of the cases damage a valid record, half are random bytes.
    std::string Bytes = *rc::gen::element(Good, Checkpoint, std::string());
    for (int I = *rc::gen::inRange(1, 6); I > 0 && !Bytes.empty(); --I)
      Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] ^=
          static_cast<char>(*rc::gen::inRange(1, 255));
    Bytes += *rc::gen::string<std::string>();
    FoldState Other = State;
    if (Other.load(Bytes).ok())
      RC_ASSERT(Other.next() >= State.next());
    else
      RC_ASSERT(Other.digest() == Before);
    State.fold(Offset(1), Bytes);
    RC_ASSERT(State.object({ObjectKind::Deployment, "m"}) != nullptr);
    RC_ASSERT(State.next() == Offset(2));
  }));
}

TEST_CASE("once: any order of looks, ends and prunes: begun once a window",
          "[property]") {
  CHECK(rc::check([] {
    IdempotencyTable Table(200);
    std::map<int, int> Begun;
    std::uint64_t Now = Start;
    auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 5)));
    for (auto [KeyNumber, What] : Steps) {
      ClaimId Id{WorkspaceId("w"),
                 IdempotencyKey("k" + std::to_string(KeyNumber))};
      WallMs Issued(Start);
      switch (What) {
      case 0:
      case 1:
        if (Table.begin(Id, 1, Issued))
          RC_ASSERT(++Begun[KeyNumber] == 1);
        break;
      case 2:
        Table.finish(Id, {200, "", std::string(90, 'x')});
        break;
      case 3:
        Table.finishUnknown(Id);
        break;
      default:
        // Never beyond the window.
        Now = std::min<std::uint64_t>(Now + 900'000, Start + 3'500'000);
        Table.prune(WallMs(Now));
      }
      RC_ASSERT(Table.bodyBytes() <= 200U);
    }
  }));
}

} // namespace waycove
