// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Promises: a partial group never answers, and no VM is in two groups.
#include "support/cluster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <set>

namespace waycove::test {

struct GroupRow {
  std::uint64_t Fence = 0;
  std::string Domain;
  std::vector<std::string> Vms;
  bool Serves = false;
};

std::vector<GroupRow> groupsOf(Cluster &Run, const std::string &Node) {
  std::vector<GroupRow> Found;
  auto Rows = Run.status(Node)->getArray("groups");
  for (unsigned I = 0; !Rows.isNull() && I < Rows->size(); ++I) {
    JsonObject Row = Rows->getObject(I);
    GroupRow Out{numberAt(Row, "fence"),
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

/// No VM twice, and no group of two domains.
void checkGroups(Cluster &Run, const std::string &Node) {
  std::set<std::string> Seen;
  for (const GroupRow &Row : groupsOf(Run, Node))
    for (const std::string &Vm : Row.Vms) {
      INFO(Vm);
      CHECK(Seen.insert(Vm).second);
      CHECK(Vm.rfind(Row.Domain, 0) == 0);
    }
}

/// Two daemons before three domains: two groups of two VMs, one spare in d1.
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
    REQUIRE(eventually([&] { return this->whole(); }));
  }

  bool whole() {
    return this->Run.serving("n1") == 2 && this->Run.serving("n2") == 2;
  }
  /// Two whole groups again, without \p Gone.
  bool wholeWithout(const std::string &Gone) {
    for (const GroupRow &Row : groupsOf(this->Run, "n1"))
      for (const std::string &Vm : Row.Vms)
        if (Vm.rfind(Gone, 0) == 0)
          return false;
    return this->whole();
  }
  /// The groups with \p Gone do not serve, and the others do.
  bool servesOnlyWithout(const std::string &Gone) {
    for (const GroupRow &Row : groupsOf(this->Run, "n1")) {
      bool Has =
          std::find(Row.Vms.begin(), Row.Vms.end(), Gone) != Row.Vms.end();
      if (Row.Serves == Has)
        return false;
    }
    return true;
  }
  std::string anyMember(std::size_t Rank) {
    return groupsOf(this->Run, "n1")[0].Vms[Rank];
  }

  Cluster Run;
};

struct LaxCluster : GroupCluster {
  LaxCluster()
      : GroupCluster({"--token_ms=5", "--load_ms=50", "--checks_fence=false"}) {
  }
};

TEST_CASE_METHOD(GroupCluster,
                 "groups: a member dies idle: not routed to, then repaired",
                 "[process]") {
  std::string Gone = this->anyMember(1);
  std::uint64_t Fence = groupsOf(this->Run, "n1")[0].Fence;
  this->Run.killVm(Gone);
  // Within the bound on silence neither daemon routes to the group.
  CHECK(eventually(
      [&] {
        return this->Run.serving("n1") <= 1 && this->Run.serving("n2") <= 1;
      },
      std::chrono::milliseconds(2500)));
  CHECK(eventually([&] { return this->wholeWithout(Gone); }));
  for (const GroupRow &Row : groupsOf(this->Run, "n2"))
    CHECK(Row.Fence != Fence);
  checkGroups(this->Run, "n1");
  CHECK(this->Run.generate("n2", 5).Status == 200);
}

TEST_CASE_METHOD(GroupCluster,
                 "groups: a whole domain goes dark: its group moves to another",
                 "[process]") {
  std::string Domain = groupsOf(this->Run, "n1")[0].Domain;
  for (int I = 1; I <= (Domain == "d1" ? 3 : 2); ++I)
    this->Run.killVm(Domain + "-" + std::to_string(I));
  CHECK(eventually([&] { return this->wholeWithout(Domain); }));
  checkGroups(this->Run, "n1");
}

TEST_CASE_METHOD(GroupCluster,
                 "groups: a member is frozen and wakes with its old fence: "
                 "never part of an answer again",
                 "[process]") {
  std::string Frozen = this->anyMember(0);
  this->Run.vm(Frozen).signal(SIGSTOP);
  REQUIRE(eventually([&] { return this->wholeWithout(Frozen); }));
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
           this->whole();
  }));
}

TEST_CASE_METHOD(GroupCluster,
                 "groups: a member other than the head dies in the stream: no "
                 "token of the partial group goes out",
                 "[process]") {
  std::vector<GroupRow> Rows = groupsOf(this->Run, "n1");
  auto Call = std::async(std::launch::async,
                         [&] { return this->Run.generate("n1", 250, true); });
  std::string Member;
  std::string Head;
  REQUIRE(eventually([&] {
    for (const GroupRow &Row : Rows)
      if (this->Run.atVm(Row.Vms[0], {.Path = "/counts"}).number("running") ==
          1) {
        Head = Row.Vms[0];
        Member = Row.Vms[1];
      }
    return !Member.empty() ||
           Call.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
  }));
  if (Member.empty()) {
    Reply Early = Call.get();
    FAIL("ended early: " << Early.Status << " " << Early.Body);
  }
  this->Run.killVm(Member);
  Reply Answer = Call.get();
  CHECK_FALSE(Answer.Cut);
  CHECK(streamedIndexes(Answer.Body).size() == 250);
  // Resumed, or begun again where the death came before the first token.
  CHECK(this->Run.counter("n1", "resumes") +
            this->Run.counter("n1", "retries") ==
        1);
  // The rest came from the other group.
  CHECK(this->Run.atVm(Head, {.Path = "/counts"}).number("partial_tokens") <=
        2);
}

TEST_CASE_METHOD(LaxCluster,
                 "groups: a late order to a target that does not check "
                 "fences: found out and ordered again",
                 "[process]") {
  GroupRow Row = groupsOf(this->Run, "n1")[0];
  Ask Late{"POST",
           "/v1/order",
           R"({"group":1,"members":["x","y"],"model":"old"})",
           {}};
  REQUIRE(this->Run.atVm(Row.Vms[0], Late).Status == 200);
  // While it is wrong, no answer under the old fence reaches a caller.
  for (int I = 0; I < 10; ++I) {
    Reply Answer = this->Run.generate(I % 2 ? "n1" : "n2", 3);
    if (Answer.Status == 200)
      CHECK(Answer.text("text") == wholeText(3));
  }
  CHECK(eventually([&] {
    return this->Run.atVm(Row.Vms[0], {.Path = "/v1/state"}).number("group") ==
               Row.Fence &&
           this->whole();
  }));
}

TEST_CASE_METHOD(GroupCluster,
                 "groups: a controller is frozen while its VMs move, and "
                 "wakes: no VM in two groups",
                 "[process]") {
  this->Run.node("n1").signal(SIGSTOP);
  // n2 takes over n1's slots, and repairs what breaks meanwhile.
  std::string Gone;
  REQUIRE(eventually([&] { return this->Run.serving("n2") == 2; }));
  Gone = groupsOf(this->Run, "n2")[0].Vms[0];
  this->Run.killVm(Gone);
  REQUIRE(eventually([&] {
    auto Rows = groupsOf(this->Run, "n2");
    return this->Run.serving("n2") == 2 && Rows[0].Vms[0] != Gone;
  }));
  this->Run.node("n1").signal(SIGCONT);
  REQUIRE(eventually([&] { return this->whole(); }));
  checkGroups(this->Run, "n1");
  checkGroups(this->Run, "n2");
  CHECK(groupsOf(this->Run, "n1").size() == 2);
}

TEST_CASE_METHOD(GroupCluster,
                 "groups: the log loses the answers to all appends: groups "
                 "form once",
                 "[process]") {
  this->Run.platformFault(R"({"append":"lose_ack"})");
  std::string Gone = this->anyMember(0);
  this->Run.killVm(Gone);
  CHECK(eventually([&] { return this->wholeWithout(Gone); }));
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
  std::string Gone = this->anyMember(0);
  this->Run.killVm(Gone);
  REQUIRE(eventually([&] { return this->servesOnlyWithout(Gone); }));
  Reply Answer = this->Run.generate("n1", 5);
  INFO(Answer.Body);
  CHECK(Answer.Status == 200);
  this->Run.platformFault(R"({"append":"ok","read":"ok"})");
  CHECK(eventually([&] { return this->wholeWithout(Gone); }));
  checkGroups(this->Run, "n2");
}

} // namespace waycove::test
