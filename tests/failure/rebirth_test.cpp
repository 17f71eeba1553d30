// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Targets as real processes that restart under their ids: the new incarnations
// soon serve requests.
#include "platform/control.h"
#include "support/entry_fixture.h"

namespace waycove::test {

/// Two groups of two engines, of which some restart.
struct RebirthFixture : EntryFixture {
  void restart(const std::string &Vm, bool Unseen = false) {
    this->Run.atVm(Vm, {"POST", Unseen ? "/restart?unseen=1" : "/restart"});
  }
  /// Whether a streamed request gets its whole response.
  bool serves(int Call) {
    return this->call("/chat/x", "r" + std::to_string(Call)).Body ==
           wholeStream();
  }
  /// Number of logged orders to open a group.
  std::size_t openOrders() {
    std::string Log = this->Run.logOf("n1");
    std::size_t Count = 0;
    for (std::size_t At = 0;
         (At = Log.find("\"order\":\"open\"", At)) != std::string::npos; ++At)
      ++Count;
    return Count;
  }
};

TEST_CASE_METHOD(RebirthFixture,
                 "rebirth: all engines start again: they are formed anew and "
                 "serve",
                 "[failure]") {
  REQUIRE(this->serves(0));
  for (const char *Vm : {"e-1", "e-2", "e-3", "e-4"})
    this->restart(Vm);
  CHECK(eventually([&] { return this->serves(1); }));
  CHECK(eventually([&] { return this->openOrders() >= 4; }));
}

TEST_CASE_METHOD(RebirthFixture,
                 "rebirth: heads start again behind a cut from the registry: "
                 "their members are formed anew while that shows them open",
                 "[failure]") {
  REQUIRE(this->serves(0));
  REQUIRE(eventually([&] { return this->openOrders() >= 2; }));
  for (const char *Vm : {"e-1", "e-2", "e-3", "e-4"})
    this->restart(Vm, true);
  // Only the refusals of the heads reveal the restarts.
  this->serves(1);
  this->serves(2);
  CHECK(eventually([&] {
    return this->Run.logOf("n1").find("another process answers in its place") !=
           std::string::npos;
  }));
  for (const char *Vm : {"e-1", "e-2", "e-3", "e-4"})
    this->restart(Vm);
  CHECK(eventually([&] { return this->serves(3); }));
}

TEST_CASE_METHOD(RebirthFixture,
                 "rebirth: another process answers in a target's place, or a "
                 "later life: orders and questions tell that its life ended",
                 "[failure]") {
  Settings Config;
  Config.Entry.emplace();
  EntryBoard Board(Config, IncarnationId("i"));
  platform::TargetControl Control(Board);
  TargetInfo Target;
  Target.Id = VmId("e-1");
  Target.Address = {"127.0.0.1", this->Run.vmPort("e-1")};
  Target.StartedAt = WallMs(1);
  // The registry lists an earlier start time than the process reports.
  CHECK(Control.probe(Target) == Reachability::ProcessEnded);
  CHECK(Control.queryStatus(Target) == MemberStatus::Dead);
  Target.StartedAt = WallMs();
  CHECK(Control.probe(Target) == Reachability::Reachable);
  auto Other = std::make_shared<TargetInfo>(Target);
  Other->Id = VmId("another");
  CHECK(Control.probe(*Other) == Reachability::ProcessEnded);
  GroupOrder Order;
  Order.Kind = OrderKind::Leave;
  Order.To = Other;
  Order.Group = {"g", 1};
  CHECK(Control.order(Order, 1) == OrderOutcome::ProcessEnded);
}

} // namespace waycove::test
