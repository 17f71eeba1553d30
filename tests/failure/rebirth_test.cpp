// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Targets as real processes that restart under their ids, or have taken orders
// that their owner does not know of: they soon serve requests.
#include "base/json.h"
#include "platform/control.h"
#include "policy/order_refusals.h"
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
  /// The group that a target reports; null if it is in none.
  JsonObject groupOf(const std::string &Vm) {
    absl::StatusOr<JsonObject> Report =
        parseJson(this->Run.atVm(Vm, {.Path = "/api/report"}).Body);
    return Report.ok() ? (*Report)->getObject("group") : JsonObject();
  }
  /// A target that is a member of a group, and not its head.
  std::string findMember() {
    for (const char *Vm : {"e-1", "e-2", "e-3", "e-4"})
      if (JsonObject Group = this->groupOf(Vm);
          Group && numberAt(Group, "rank") > 0)
        return Vm;
    return "";
  }
  /// Sends a target an order about a group with \p Epoch, as its owner does.
  void order(const std::string &Vm, const std::string &Kind,
             std::uint64_t Epoch, bool Unseen = false) {
    std::string Body = R"({"op":")" + Kind + R"(","group":"late","epoch":)" +
                       std::to_string(Epoch) + R"(,"fencing_token":)" +
                       std::to_string(Epoch >> EpochCounterBits) +
                       R"(,"model":"model","members":["another",")" + Vm +
                       R"("]})";
    this->Run.atVm(
        Vm, {"POST", Unseen ? "/api/order?unseen=1" : "/api/order", Body, {}});
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

// Guards against a target that is sent nothing any more, since it refuses a
// join for its epoch.
TEST_CASE_METHOD(RebirthFixture,
                 "late orders: a member took one and left that group: a group "
                 "is formed of it again, above the epoch that it has seen",
                 "[failure]") {
  REQUIRE(this->serves(0));
  REQUIRE(eventually([&] { return this->openOrders() >= 2; }));
  std::string Vm = this->findMember();
  REQUIRE_FALSE(Vm.empty());
  std::uint64_t Seen = numberAt(this->groupOf(Vm), "epoch") + 300;
  this->order(Vm, "join", Seen, true);
  this->order(Vm, "leave", Seen);
  CHECK(eventually([&] {
    JsonObject Group = this->groupOf(Vm);
    return Group && numberAt(Group, "epoch") > Seen &&
           textAt(Group, "state") == "ready";
  }));
  CHECK(eventually([&] { return this->openOrders() >= 3; }));
  CHECK(this->serves(1));
}

} // namespace waycove::test
