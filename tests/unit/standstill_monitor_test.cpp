// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// What the first thread of a node that stood still takes for silence.
#include "control/member_prober.h"
#include "control/shared_observations.h"
#include "support/entry_settings.h"
#include "support/times.h"
#include "wire/news_frames.h"

#include <atomic>
#include <catch2/catch.hpp>

namespace waycove::test {

namespace {

/// Counts the targets that are probed.
struct CountingControl {
  OrderOutcome order(const GroupOrder &, std::uint64_t) {
    return OrderOutcome::Accepted;
  }
  MemberStatus queryStatus(const TargetInfo &) { return MemberStatus::Unknown; }
  absl::StatusOr<std::optional<GroupKey>> reportedGroup(const TargetInfo &) {
    return std::nullopt;
  }
  Reachability probe(const TargetInfo &) {
    ++this->Probes;
    return Reachability::Unresponsive;
  }
  std::atomic<unsigned> Probes{0};
};

TargetRef makeTarget(const std::string &Id) {
  auto Row = std::make_shared<TargetInfo>();
  Row->Id = VmId(Id);
  Row->DataCentre = DataCentreId("here");
  return Row;
}

} // namespace

/// A node that last noted at 0 ms that it runs, when a target responded to it.
struct WokenNodeFixture {
  static constexpr int WokenAtMs = 1500;

  WokenNodeFixture() {
    this->Board.RunningAt.raise(at(0));
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onStart(this->Target->incarnation(), 1, at(0));
      Stats.onFirstByte(this->Target->incarnation(), at(0), 1, at(0));
    });
  }

  /// The node runs without a pause.
  void runUntil(int Ms) {
    for (int At = WokenAtMs; At <= Ms; At += 50)
      StandstillMonitor(this->Board).onRunning(at(At));
  }

  EntryBoard Board{entrySettings(), IncarnationId("i")};
  TargetRef Target = makeTarget("a");
};

// Guards against nodes that take another node's standstill for the silence of
// its targets.
TEST_CASE_METHOD(WokenNodeFixture,
                 "standstill: the first thread that runs reports loads: no "
                 "silence of targets is reported",
                 "[unit]") {
  SharedObservations Observations(this->Board);
  wire::NewsWantedT Request;
  Observations.addTo(Request, this->Board.nodeInfo(), at(WokenAtMs));
  TargetLoads Loads = unpackLoads(Request.loads);
  auto At = Loads.find(hashOf(this->Target->incarnation()));
  REQUIRE(At != Loads.end());
  CHECK(At->second.SilentFor <= Millis(100));
  CHECK_FALSE(At->second.isStalled());
}

// Guards against groups that are closed since the node which plans them stood
// still.
TEST_CASE_METHOD(WokenNodeFixture,
                 "standstill: the first thread that runs looks for lost "
                 "members: none is probed",
                 "[unit]") {
  auto Head = std::make_shared<TargetInfo>(*this->Target);
  Head->Domain = DomainId("d");
  Head->Group =
      Membership{{groupName("m", DomainId("d"), 1), 1}, 0, MemberState::Open};
  CountingControl Control;
  MemberProber<CountingControl> Prober(this->Board, Control);
  DomainView View;
  View.Domain = DomainId("d");
  View.Targets = {Head};
  View.Now = at(WokenAtMs);
  Prober.detectLost(View);
  CHECK(Control.Probes == 0);
  CHECK(View.PresumedDead.empty());
}

// Guards against requests that are blamed for a crash of a target, of which the
// node read nothing because it stood still itself.
TEST_CASE_METHOD(WokenNodeFixture,
                 "standstill: a connection broke before it: its target does "
                 "not count as crashed before the node has run on",
                 "[unit]") {
  const CrashSuspects Suspects{{SuspectKind::Request, ContentHash(7)}};
  this->Board.Crashes.write([&](CrashBlame &Crashes) {
    Crashes.recordLost(Suspects, this->Target->incarnation(), at(-100), at(0));
  });
  SharedObservations Observations(this->Board);
  auto CountCrashes = [&] {
    return this->Board.Crashes.read(
        [](const CrashBlame &Crashes) { return Crashes.allRows().size(); });
  };
  Observations.publish(at(WokenAtMs));
  CHECK(CountCrashes() == 0);
  SECTION("the target's bytes are read then") {
    this->Board.TargetStats.write([&](TargetStatsTable &Stats) {
      Stats.onProgress(this->Target->incarnation(), at(WokenAtMs + 20));
    });
    this->runUntil(WokenAtMs + 400);
    Observations.publish(at(WokenAtMs + 400));
    CHECK(CountCrashes() == 0);
  }
  SECTION("nothing comes of it") {
    this->runUntil(WokenAtMs + 400);
    Observations.publish(at(WokenAtMs + 400));
    CHECK(CountCrashes() == 1);
  }
}

} // namespace waycove::test
