// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// A non-repeatable request runs at most once, and its reported outcome is
// accurate.
#include "support/cluster.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

namespace waycove::test {

/// Two data centres of one daemon and one service VM each, and a third daemon.
struct OnceCluster {
  OnceCluster() {
    this->Run.ExtraSettings = "connect_timeout_ms: 300";
    this->Run.addVms("sa", 1, "a", "sa", "ledger");
    this->Run.addVms("sb", 1, "b", "sb", "ledger");
    this->Run.addNode("n1", "a");
    this->Run.addNode("n2", "a");
    this->Run.addNode("n3", "b");
    this->Run.start();
    publishUsual(this->Run, "n1", "a: 0");
    for (const char *Node : {"n1", "n2", "n3"})
      REQUIRE(eventually([&] {
        return this->Run.callService(Node, "").text("vm") ==
               (std::string(Node) == "n3" ? "sb-1" : "sa-1");
      }));
  }

  Reply call(const std::string &Node, const std::string &Key,
             const std::string &Deadline = "4000") {
    return this->Run.callService(Node, Key,
                                 {{"X-Waycove-Deadline-Ms", Deadline}});
  }

  /// Takes the only target of data centre a off the VM list.
  void takeLocalTarget() {
    this->Run.atPlatform(
        {"POST", "/vms/state", R"({"vm":"sa-1","state":"gone"})", {}});
    for (const char *Node : {"n1", "n2"})
      REQUIRE(eventually([&] {
        return this->Run.callService(Node, "").text("vm") == "sb-1";
      }));
  }

  std::string ticket(const std::string &Node) {
    return this->Run
        .ask(Node,
             {"POST", "/v1/tickets", "", {{"Authorization", "Bearer w1-key"}}})
        .text("ticket");
  }

  Cluster Run;
  std::uint64_t CallsBefore = 0;
};

/// A fault around the first attempt; the key is then resent through every
/// daemon.
struct OnceCase {
  const char *Name;
  bool Ticket;
  std::function<void(OnceCluster &)> Before;
  std::function<void(OnceCluster &)> After;
};

const std::vector<OnceCase> OnceCases{
    {"nothing wrong, claimed key", false, {}, {}},
    {"nothing wrong, ticket", true, {}, {}},
    {"target resets after running", false,
     [](OnceCluster &C) { C.Run.vmFault("sa-1", R"({"service":"reset"})"); },
     [](OnceCluster &C) { C.Run.vmFault("sa-1", R"({"service":"ok"})"); }},
    {"target resets before running", false,
     [](OnceCluster &C) {
       C.Run.vmFault("sa-1", R"({"service":"drop_before"})");
     },
     [](OnceCluster &C) { C.Run.vmFault("sa-1", R"({"service":"ok"})"); }},
    {"dispatcher killed after the answer, claimed key",
     false,
     {},
     [](OnceCluster &C) { C.Run.killNode("n1"); }},
    {"dispatcher killed after the answer, ticket",
     true,
     {},
     [](OnceCluster &C) { C.Run.killNode("n1"); }},
    {"dispatcher killed and replaced",
     false,
     {},
     [](OnceCluster &C) {
       C.Run.killNode("n1");
       C.Run.startNode("n1");
       REQUIRE(eventually([&] { return C.Run.isReady("n1"); }));
     }},
    {"claim's append loses its answer",
     false,
     [](OnceCluster &C) {
       C.Run.platformFault(R"({"append":"lose_ack_once"})");
     },
     {}},
    {"platform goes away after the first, claimed key",
     false,
     {},
     [](OnceCluster &C) {
       C.Run.platformFault(R"({"append":"refuse","read":"refuse"})");
     }},
    {"platform goes away after the first, ticket",
     true,
     {},
     [](OnceCluster &C) {
       C.Run.platformFault(R"({"append":"refuse","read":"refuse"})");
     }},
    {"target answers for another request", false,
     [](OnceCluster &C) { C.Run.vmFault("sa-1", R"({"service":"crossed"})"); },
     [](OnceCluster &C) { C.Run.vmFault("sa-1", R"({"service":"ok"})"); }},
};

TEST_CASE_METHOD(OnceCluster,
                 "once: key sent again after a fault: runs at most once",
                 "[process]") {
  for (const OnceCase &Case : OnceCases) {
    DYNAMIC_SECTION(Case.Name) {
      std::string Key = Case.Ticket ? this->ticket("n1") : freshKey("s");
      if (Case.Before)
        Case.Before(*this);
      Reply First = this->call("n1", Key);
      if (Case.After)
        Case.After(*this);
      for (const char *Node : {"n2", "n3", "n1", "n2"}) {
        Reply Retry = this->call(Node, Key);
        INFO(Node << ": " << Retry.Status << " " << Retry.Body);
        int Ran = this->Run.callsOf(Key);
        CHECK(Ran <= 1);
        // A response that reports "not run" must be accurate.
        if (Retry.Ran == "no")
          CHECK((Ran == 0 || Retry.error() == "key_reused"));
        if (Retry.Status == 200) {
          CHECK(Ran == 1);
          if (First.Status == 200)
            CHECK(Retry.Body == First.Body);
        }
      }
    }
  }
}

TEST_CASE_METHOD(OnceCluster,
                 "once: key sent to three daemons at the same time: runs once "
                 "and all get its answer",
                 "[process]") {
  for (int Round = 0; Round < 5; ++Round) {
    std::string Key = freshKey("r" + std::to_string(Round));
    std::vector<std::future<Reply>> Calls;
    for (const char *Node : {"n1", "n2", "n3", "n1", "n2", "n3"})
      Calls.push_back(std::async(std::launch::async, [this, Node, Key] {
        return this->call(Node, Key);
      }));
    std::vector<std::string> Bodies;
    for (auto &Call : Calls) {
      Reply Response = Call.get();
      INFO(Response.Status << " " << Response.Body);
      CHECK(Response.Status == 200);
      Bodies.push_back(Response.Body);
    }
    CHECK(this->Run.callsOf(Key) == 1);
    CHECK(std::count(Bodies.begin(), Bodies.end(), Bodies[0]) == 6);
  }
}

// Guards against a dispatcher that waits for itself until the deadline: the
// daemon that it forwards a request to sent it back to the key's dispatcher.
TEST_CASE_METHOD(OnceCluster,
                 "once: no target in the dispatcher's data centre: the request "
                 "runs in another one, once, and all get its answer",
                 "[process]") {
  this->takeLocalTarget();
  for (bool Ticket : {false, true}) {
    std::string Key = Ticket ? this->ticket("n1") : freshKey("far");
    Reply First = this->call("n1", Key);
    INFO(First.Status << " " << First.Body);
    CHECK(First.Status == 200);
    CHECK(First.text("vm") == "sb-1");
    for (const char *Node : {"n3", "n2", "n1"}) {
      Reply Retry = this->call(Node, Key);
      INFO(Node << ": " << Retry.Status << " " << Retry.Body);
      CHECK(Retry.Status == 200);
      CHECK(Retry.Body == First.Body);
    }
    CHECK(this->Run.callsOf(Key) == 1);
  }
}

// Guards against a dispatcher that refuses what it may forward, since another
// daemon has forwarded it to the dispatcher.
TEST_CASE_METHOD(
    OnceCluster,
    "once: passed to a dispatcher whose data centre has no target: "
    "the request runs in another one, once",
    "[process]") {
  this->takeLocalTarget();
  std::string Key = this->ticket("n1");
  for (const char *Node : {"n2", "n1", "n3"}) {
    Reply Response = this->call(Node, Key);
    INFO(Node << ": " << Response.Status << " " << Response.Body);
    CHECK(Response.Status == 200);
    CHECK(Response.text("vm") == "sb-1");
    CHECK(this->Run.callsOf(Key) == 1);
  }
}

TEST_CASE_METHOD(OnceCluster,
                 "once: dispatcher frozen while it runs: the retry is not run "
                 "elsewhere",
                 "[process]") {
  std::string Key = freshKey("freeze");
  this->Run.vmFault("sa-1", R"({"service":"slow"})");
  auto First = std::async(std::launch::async,
                          [&] { return this->call("n1", Key, "8000"); });
  REQUIRE(eventually([&] {
    return this->Run.atVm("sa-1", {.Path = "/counts"}).number("entered") > 0;
  }));
  this->Run.node("n1").signal(SIGSTOP);
  for (const char *Node : {"n2", "n3"}) {
    Reply Retry = this->call(Node, Key, "600");
    INFO(Retry.Body);
    // The frozen daemon may have sent the request or may still send it.
    CHECK(Retry.error("ran") != "no");
  }
  this->Run.node("n1").signal(SIGCONT);
  CHECK(First.get().Status == 200);
  CHECK(this->call("n3", Key).Status == 200);
  CHECK(this->Run.callsOf(Key) == 1);
}

/// The step at which the dispatcher is killed.
struct KillPoint {
  const char *Name;
  const char *PlatformFault;
  const char *VmFault;
  /// Whether the dispatcher has reached the step.
  std::function<bool(OnceCluster &)> Reached;
};

const std::vector<KillPoint> KillPoints{
    {"waits for the claim's append", R"({"append":"stall"})", "{}",
     [](OnceCluster &C) {
       return C.Run.status("n1")->optValue<int>("in_flight", 0) == 1;
     }},
    {"claim written, its answer lost", R"({"append":"lose_ack"})",
     R"({"service":"slow"})",
     [](OnceCluster &C) {
       return C.Run.atVm("sa-1", {.Path = "/counts"}).number("entered") > 0;
     }},
    {"target is at it", "{}", R"({"service":"slow"})",
     [](OnceCluster &C) {
       return C.Run.atVm("sa-1", {.Path = "/counts"}).number("entered") > 0;
     }},
    {"target ran, answer not back", "{}", R"({"service":"slow_after"})",
     [](OnceCluster &C) {
       return C.Run.atVm("sa-1", {.Path = "/counts"}).number("calls") >
              C.CallsBefore;
     }},
};

TEST_CASE_METHOD(OnceCluster,
                 "once: dispatcher killed at each step: the retry never runs a "
                 "second time, and is told no untruth",
                 "[process]") {
  for (const KillPoint &Case : KillPoints)
    DYNAMIC_SECTION(Case.Name) {
      std::string Key = freshKey("kill");
      this->CallsBefore =
          this->Run.atVm("sa-1", {.Path = "/counts"}).number("calls");
      this->Run.platformFault(Case.PlatformFault);
      this->Run.vmFault("sa-1", Case.VmFault);
      auto First =
          std::async(std::launch::async, [&] { return this->call("n1", Key); });
      REQUIRE(eventually([&] { return Case.Reached(*this); }));
      this->Run.killNode("n1");
      CHECK(First.get().Status != 200);
      this->Run.platformFault(R"({"append":"ok"})");
      this->Run.vmFault("sa-1", R"({"service":"ok"})");
      // Requests in flight at the target may still complete.
      std::vector<Reply> Responses;
      for (const char *Node : {"n2", "n3", "n2"})
        Responses.push_back(this->call(Node, Key));
      REQUIRE(eventually([&] {
        return this->Run.atVm("sa-1", {.Path = "/counts"}).number("entered") ==
               this->Run.atVm("sa-1", {.Path = "/counts"}).number("left");
      }));
      int Ran = this->Run.callsOf(Key);
      CHECK(Ran <= 1);
      for (const Reply &Retry : Responses) {
        INFO(Retry.Status << " " << Retry.Body);
        if (Retry.Ran == "no")
          CHECK(Ran == 0);
        if (Retry.Status == 200)
          CHECK(Ran == 1);
      }
    }
}

TEST_CASE_METHOD(OnceCluster,
                 "once: log is down and no ticket: refused at once and not run",
                 "[process]") {
  this->Run.platformFault(R"({"append":"refuse","read":"refuse"})");
  REQUIRE(eventually(
      [&] { return !this->Run.status("n1")->optValue<bool>("log_up", true); }));
  std::string Key = freshKey("down");
  auto Start = std::chrono::steady_clock::now();
  Reply Response = this->call("n1", Key, "30000");
  CHECK(std::chrono::steady_clock::now() - Start <
        std::chrono::milliseconds(1500));
  // An earlier attempt with this key may have run.
  CHECK(Response.error() == "log_unavailable");
  CHECK(Response.error("ran") == "unknown");
  CHECK(Response.Ran == "unknown");
  CHECK(!Response.RetryAfter.empty());
  CHECK(this->Run.callsOf(Key) == 0);
  // Tickets do not need the log and are valid at every daemon.
  std::string Ticket = this->ticket("n1");
  CHECK(this->call("n2", Ticket).Status == 200);
  CHECK(this->call("n1", Ticket).Status == 200);
  CHECK(this->Run.callsOf(Ticket) == 1);
}

TEST_CASE_METHOD(OnceCluster, "once: bad, old or reused keys: clear errors",
                 "[process]") {
  struct KeyCase {
    std::string Key;
    std::string Kind;
  };
  auto Hour = std::chrono::hours(1);
  auto Old = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch() - Hour)
                 .count();
  for (const KeyCase &Case : std::vector<KeyCase>{
           {"no-time", "key_invalid"},
           {"123", "key_invalid"},
           {"t-5", "key_invalid"},
           {"t--x-1", "key_invalid"},
           {std::to_string(Old) + "-old", "key_expired"},
           {"9999999999999-future", "key_expired"},
           {"t-" + std::to_string(Old) + "-someone-1", "key_expired"},
           {freshKey(std::string(300, 'x')), "key_invalid"},
           {"t-" + freshKey("nobody-1"), "outcome_unknown"}}) {
    Reply Response = this->call("n1", Case.Key);
    INFO(Case.Key << " " << Response.Body);
    CHECK(Response.error() == Case.Kind);
    CHECK(this->Run.callsOf(Case.Key) == 0);
  }
  std::string Key = freshKey("reused");
  CHECK(this->call("n1", Key).Status == 200);
  Reply Other = this->Run.callService(
      "n2", Key, {{"X-Waycove-Deadline-Ms", "4000"}}, "another sale");
  CHECK(Other.error() == "key_reused");
  CHECK(this->Run.callsOf(Key) == 1);
  // Keys are scoped to a workspace.
  Reply OtherWorkspace = this->Run.callService(
      "n2", Key, {{"Authorization", "Bearer w2-key"}}, "their sale");
  CHECK(OtherWorkspace.Status == 200);
  CHECK(OtherWorkspace.text("workspace") == "w2");
}

} // namespace waycove::test
