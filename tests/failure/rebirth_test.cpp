// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Targets that start again under their ids, as real processes: whatever hung on
// the life that ended, requests are served by the new one soon.
#include "platform/control.h"
#include "support/entry_fixture.h"

namespace waycove::test {

/// Two groups of two engines, of which some start again.
struct RebirthFixture : EntryFixture {
  void restart(const std::string &Vm, bool Unseen = false) {
    this->Run.atVm(Vm, {"POST", Unseen ? "/restart?unseen=1" : "/restart"});
  }
  /// Whether \p Vm is the head or a member of a group that is open and whole.
  bool serves(int Call) {
    return this->call("/chat/x", "r" + std::to_string(Call)).Body ==
           wholeStream();
  }
  /// Lines of the log so far that name the group's opening.
  std::size_t opened() {
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
  CHECK(eventually([&] { return this->opened() >= 4; }));
}

TEST_CASE_METHOD(RebirthFixture,
                 "rebirth: heads start again behind a cut from the registry: "
                 "their members are formed anew while that shows them open",
                 "[failure]") {
  REQUIRE(this->serves(0));
  REQUIRE(eventually([&] { return this->opened() >= 2; }));
  for (const char *Vm : {"e-1", "e-2", "e-3", "e-4"})
    this->restart(Vm, true);
  // Nothing tells of it but the refusals of the heads.
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
  Settings Given;
  Given.Entry.emplace();
  EntryBoard Board(Given, IncarnationId("i"));
  platform::TargetControl Control(Board);
  TargetInfo Target;
  Target.Id = VmId("e-1");
  Target.Address = {"127.0.0.1", this->Run.vmPort("e-1")};
  Target.StartedAt = WallMs(1);
  // It was listed as it started long ago; what answers has started since.
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
