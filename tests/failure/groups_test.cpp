// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Guarantees: a partial group never responds, and no VM is in two groups.
#include "support/cluster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <set>

namespace waycove::test {

/// A group as listed by a node.
struct GroupStatus {
  std::uint64_t Fence = 0;
  std::string Domain;
  std::vector<std::string> Vms;
  bool Serves = false;
};

std::vector<GroupStatus> groupsOf(Cluster &Run, const std::string &Node) {
  std::vector<GroupStatus> Found;
  auto Rows = Run.status(Node)->getArray("groups");
  for (unsigned I = 0; !Rows.isNull() && I < Rows->size(); ++I) {
    JsonObject Row = Rows->getObject(I);
    GroupStatus Out{numberAt(Row, "fence"),
                    textAt(Row, "domain"),
                    {},
                    flagAt(Row, "serves", false)};
    auto Vms = Row->getArray("vms");
    for (unsigned V = 0; V < Vms->size(); ++V)
      Out.Vms.push_back(Vms->getElement<std::string>(V));
    Found.push_back(Out);
  }
  return Found;
}

/// Checks that no VM is in two groups and no group spans two domains.
void checkGroups(Cluster &Run, const std::string &Node) {
  std::set<std::string> Seen;
  for (const GroupStatus &Group : groupsOf(Run, Node))
    for (const std::string &Vm : Group.Vms) {
      INFO(Vm);
      CHECK(Seen.insert(Vm).second);
      CHECK(Vm.rfind(Group.Domain, 0) == 0);
    }
}

/// Two daemons and three domains: two groups of two VMs, a spare VM in d1.
struct GroupCluster {
  explicit GroupCluster(std::vector<std::string> Flags = {"--token_ms=5",
                                                          "--load_ms=50"}) {
    this->Run.TargetFlags = std::move(Flags);
    this->Run.ExtraSettings = "member_dead_after_ms: 900\npoll_ms: 100";
    this->Run.addVms("d1", 3, "a", "d1");
    this->Run.addVms("d2", 2, "a", "d2");
    this->Run.addVms("d3", 2, "a", "d3");
    this->Run.addNode("n1", "a");
    this->Run.addNode("n2", "a");
    this->Run.start();
    publishUsual(this->Run, "n1", "a: 2");
    REQUIRE(eventually([&] { return this->allServe(); }));
  }

  bool allServe() {
    return this->Run.serving("n1") == 2 && this->Run.serving("n2") == 2;
  }
  /// Whether two complete groups serve, none of them with a VM whose name
  /// starts with \p Prefix.
  bool allServeWithout(const std::string &Prefix) {
    for (const GroupStatus &Group : groupsOf(this->Run, "n1"))
      for (const std::string &Vm : Group.Vms)
        if (Vm.rfind(Prefix, 0) == 0)
          return false;
    return this->allServe();
  }
  /// Whether exactly the groups without \p Excluded serve.
  bool servesOnlyWithout(const std::string &Excluded) {
    for (const GroupStatus &Group : groupsOf(this->Run, "n1")) {
      bool Has = std::find(Group.Vms.begin(), Group.Vms.end(), Excluded) !=
                 Group.Vms.end();
      if (Group.Serves == Has)
        return false;
    }
    return true;
  }
  std::string anyMember(std::size_t Rank) {
    return groupsOf(this->Run, "n1")[0].Vms[Rank];
  }

  Cluster Run;
};

struct UncheckedFenceCluster : GroupCluster {
  UncheckedFenceCluster()
      : GroupCluster({"--token_ms=5", "--load_ms=50", "--checks_fence=false"}) {
  }
};

TEST_CASE_METHOD(GroupCluster,
                 "groups: a member dies idle: not routed to, then repaired",
                 "[process]") {
  std::string Killed = this->anyMember(1);
  std::uint64_t Fence = groupsOf(this->Run, "n1")[0].Fence;
  this->Run.killVm(Killed);
  // Within the timeout neither daemon routes to the group.
  CHECK(eventually(
      [&] {
        return this->Run.serving("n1") <= 1 && this->Run.serving("n2") <= 1;
      },
      std::chrono::milliseconds(2500)));
  CHECK(eventually([&] { return this->allServeWithout(Killed); }));
  for (const GroupStatus &Group : groupsOf(this->Run, "n2"))
    CHECK(Group.Fence != Fence);
  checkGroups(this->Run, "n1");
  CHECK(this->Run.generate("n2", 5).Status == 200);
}

TEST_CASE_METHOD(GroupCluster,
                 "groups: a whole domain goes dark: its group moves to another",
                 "[process]") {
  std::string Domain = groupsOf(this->Run, "n1")[0].Domain;
  for (int I = 1; I <= (Domain == "d1" ? 3 : 2); ++I)
    this->Run.killVm(Domain + "-" + std::to_string(I));
  CHECK(eventually([&] { return this->allServeWithout(Domain); }));
  checkGroups(this->Run, "n1");
}

TEST_CASE_METHOD(GroupCluster,
                 "groups: a member is frozen and wakes with its old fence: "
                 "never part of an answer again",
                 "[process]") {
  std::string Frozen = this->anyMember(0);
  this->Run.vm(Frozen).signal(SIGSTOP);
  REQUIRE(eventually([&] { return this->allServeWithout(Frozen); }));
  this->Run.vm(Frozen).signal(SIGCONT);
  auto Generated = [&] {
    return this->Run.atVm(Frozen, {.Path = "/counts"}).number("generates");
  };
  REQUIRE(eventually([&] {
    return this->Run.atVm(Frozen, {.Path = "/counts"}).Status == 200;
  }));
  std::uint64_t Before = Generated();
  for (int I = 0; I < 10; ++I) {
    std::map<std::string, std::string> Session{
        {"X-Waycove-Session", std::to_string(I)}};
    CHECK(this->Run.generate(I % 2 ? "n1" : "n2", 3, false, Session).Status ==
          200);
  }
  CHECK(Generated() == Before);
  checkGroups(this->Run, "n1");
}

TEST_CASE_METHOD(GroupCluster,
                 "groups: a member restarts at once and knows no group: "
                 "ordered again before it serves",
                 "[process]") {
  std::string Vm = this->anyMember(1);
  this->Run.killVm(Vm);
  this->Run.startVm(Vm);
  for (int I = 0; I < 10; ++I)
    CHECK(this->Run.generate("n1", 3).Status == 200);
  CHECK(eventually([&] {
    return this->Run.atVm(Vm, {.Path = "/v1/state"}).number("group") > 0 &&
           this->allServe();
  }));
}

TEST_CASE_METHOD(GroupCluster,
                 "groups: a member other than the head dies in the stream: no "
                 "token of the partial group goes out",
                 "[process]") {
  std::vector<GroupStatus> Groups = groupsOf(this->Run, "n1");
  auto Call = std::async(std::launch::async,
                         [&] { return this->Run.generate("n1", 250, true); });
  std::string Member;
  std::string Head;
  REQUIRE(eventually([&] {
    for (const GroupStatus &Group : Groups)
      if (this->Run.atVm(Group.Vms[0], {.Path = "/counts"}).number("running") ==
          1) {
        Head = Group.Vms[0];
        Member = Group.Vms[1];
      }
    return !Member.empty() ||
           Call.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
  }));
  if (Member.empty()) {
    Reply Early = Call.get();
    FAIL("ended early: " << Early.Status << " " << Early.Body);
  }
  this->Run.killVm(Member);
  Reply Response = Call.get();
  CHECK_FALSE(Response.Cut);
  CHECK(streamedIndexes(Response.Body).size() == 250);
  // Resumed, or retried if the member died before the first token.
  CHECK(this->Run.counter("n1", "resumes") +
            this->Run.counter("n1", "retries") ==
        1);
  // The rest came from the other group.
  CHECK(this->Run.atVm(Head, {.Path = "/counts"}).number("partial_tokens") <=
        2);
}

TEST_CASE_METHOD(UncheckedFenceCluster,
                 "groups: a late order to a target that does not check "
                 "fences: found out and ordered again",
                 "[process]") {
  GroupStatus Group = groupsOf(this->Run, "n1")[0];
  HttpRequest Late{"POST",
                   "/v1/order",
                   R"({"group":1,"members":["x","y"],"model":"old"})",
                   {}};
  REQUIRE(this->Run.atVm(Group.Vms[0], Late).Status == 200);
  // Meanwhile no response under the old fence reaches a caller.
  for (int I = 0; I < 10; ++I) {
    Reply Response = this->Run.generate(I % 2 ? "n1" : "n2", 3);
    if (Response.Status == 200)
      CHECK(Response.text("text") == wholeText(3));
  }
  CHECK(eventually([&] {
    return this->Run.atVm(Group.Vms[0], {.Path = "/v1/state"})
                   .number("group") == Group.Fence &&
           this->allServe();
  }));
}

TEST_CASE_METHOD(GroupCluster,
                 "groups: a controller is frozen while its VMs move, and "
                 "wakes: no VM in two groups",
                 "[process]") {
  this->Run.node("n1").signal(SIGSTOP);
  // n2 takes over n1's slots and repairs groups meanwhile.
  std::string Killed;
  REQUIRE(eventually([&] { return this->Run.serving("n2") == 2; }));
  Killed = groupsOf(this->Run, "n2")[0].Vms[0];
  this->Run.killVm(Killed);
  REQUIRE(eventually([&] {
    auto Groups = groupsOf(this->Run, "n2");
    return this->Run.serving("n2") == 2 && Groups[0].Vms[0] != Killed;
  }));
  this->Run.node("n1").signal(SIGCONT);
  REQUIRE(eventually([&] { return this->allServe(); }));
  checkGroups(this->Run, "n1");
  checkGroups(this->Run, "n2");
  CHECK(groupsOf(this->Run, "n1").size() == 2);
}

TEST_CASE_METHOD(GroupCluster,
                 "groups: the log loses the answers to all appends: groups "
                 "form once",
                 "[process]") {
  this->Run.platformFault(R"({"append":"lose_ack"})");
  std::string Killed = this->anyMember(0);
  this->Run.killVm(Killed);
  CHECK(eventually([&] { return this->allServeWithout(Killed); }));
  checkGroups(this->Run, "n1");
  CHECK(groupsOf(this->Run, "n1").size() == 2);
}

TEST_CASE_METHOD(GroupCluster,
                 "groups: the platform is down: serving goes on, repair waits "
                 "and comes",
                 "[process]") {
  this->Run.platformFault(R"({"append":"refuse","read":"refuse"})");
  Reply First = this->Run.generate("n1", 5);
  INFO(First.Body);
  CHECK(First.Status == 200);
  std::string Killed = this->anyMember(0);
  this->Run.killVm(Killed);
  REQUIRE(eventually([&] { return this->servesOnlyWithout(Killed); }));
  Reply Response = this->Run.generate("n1", 5);
  INFO(Response.Body);
  CHECK(Response.Status == 200);
  this->Run.platformFault(R"({"append":"ok","read":"ok"})");
  CHECK(eventually([&] { return this->allServeWithout(Killed); }));
  checkGroups(this->Run, "n2");
}

/// Two daemons whose regular heartbeats are rarer than the test is long.
struct RareHeartbeatsCluster {
  RareHeartbeatsCluster() {
    this->Run.ExtraSettings = "heartbeat_ms: 10000";
    this->Run.addVms("d1", 2, "a", "d1");
    this->Run.addNode("n1", "a");
    this->Run.addNode("n2", "a");
    this->Run.start();
  }
  /// Whether \p Node knows \p Other and counts it as live.
  bool isLiveAt(const std::string &Node, const std::string &Other) {
    auto Rows = this->Run.status(Node)->getArray("peers");
    for (unsigned I = 0; !Rows.isNull() && I < Rows->size(); ++I)
      if (JsonObject Row = Rows->getObject(I); textAt(Row, "node") == Other)
        return flagAt(Row, "live", false);
    return false;
  }

  Cluster Run;
};

// Guards against groups that do not serve at a daemon after a new link, because
// their controller is known there but its next heartbeat is yet to come.
TEST_CASE_METHOD(RareHeartbeatsCluster,
                 "groups: a daemon starts again: its peer is live there before "
                 "the next regular heartbeat",
                 "[process]") {
  this->Run.killNode("n1");
  this->Run.startNode("n1");
  CHECK(eventually([&] { return this->isLiveAt("n1", "n2"); },
                   std::chrono::milliseconds(4000)));
}

} // namespace waycove::test
