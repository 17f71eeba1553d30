// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// A leaving target gets no new requests after the bound, a planned stop cuts no
// response, and "not run" is only reported if it is true.
#include "support/cluster.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

namespace waycove::test {

struct StopCluster {
  StopCluster() {
    this->Run.ExtraSettings = "connect_timeout_ms: 300";
    this->Run.addVms("d1", 2, "a", "d1");
    this->Run.addVms("d2", 2, "a", "d2");
    // Spare VMs for a group that has to move.
    this->Run.addVms("d3", 2, "a", "d3");
    this->Run.addVms("s", 2, "a", "s", "ledger");
    for (const char *Node : {"n1", "n2", "n3"})
      this->Run.addNode(Node, "a");
    this->Run.start();
    publishUsual(this->Run, "n1", "a: 2");
    for (const char *Node : {"n1", "n2", "n3"})
      REQUIRE(eventually([&] {
        return this->Run.serving(Node) == 2 &&
               this->Run.callService(Node, "").Status == 200;
      }));
  }

  int callsAt(const std::string &Vm) {
    return static_cast<int>(
        this->Run.atVm(Vm, {.Path = "/counts"}).number("calls"));
  }

  /// Checks that after \p Bound no daemon sends a new call to \p Vm.
  void checkNoNewCalls(const std::string &Vm, std::chrono::milliseconds Bound) {
    std::this_thread::sleep_for(Bound);
    int Before = this->callsAt(Vm);
    for (int I = 0; I < 24; ++I) {
      const char *Node = I % 3 == 0 ? "n1" : I % 3 == 1 ? "n2" : "n3";
      CHECK(this->Run.callService(Node, "").Status == 200);
    }
    CHECK(this->callsAt(Vm) == Before);
  }

  Cluster Run;
};

constexpr std::chrono::milliseconds LeavingBound(3000);

TEST_CASE_METHOD(StopCluster,
                 "leaving: the list says so: no new work within 3 s",
                 "[process]") {
  this->Run.atPlatform(
      {"POST", "/vms/state", R"({"vm":"s-1","state":"leaving"})", {}});
  this->checkNoNewCalls("s-1", LeavingBound);
}

TEST_CASE_METHOD(StopCluster,
                 "leaving: an operator drains: no new work within 3 s, and "
                 "work again after",
                 "[process]") {
  REQUIRE(this->Run.apply("n2", "drain", "vm-s-1", "{vms: [s-1]}").Status ==
          200);
  this->checkNoNewCalls("s-1", LeavingBound);
  Reply Undo = this->Run.apply("n2", "drain", "vm-s-1", "{vms: [other]}");
  REQUIRE(Undo.Status == 200);
  int Before = this->callsAt("s-1");
  CHECK(eventually([&] {
    this->Run.callService("n1", "");
    return this->callsAt("s-1") > Before;
  }));
}

TEST_CASE_METHOD(StopCluster,
                 "leaving: the target itself says so to one daemon while the "
                 "platform is down: none sends it work after 3 s",
                 "[process]") {
  this->Run.platformFault(
      R"({"append":"refuse","read":"refuse","list":"refuse"})");
  this->Run.vmFault("s-1", R"({"leaving":"yes","service":"busy"})");
  // Only n1 gets a response that says that the target is leaving.
  REQUIRE(eventually([&] {
    this->Run.callService("n1", "");
    return this->Run.logOf("n1").find("vm_leaving") != std::string::npos;
  }));
  this->Run.vmFault("s-1", R"({"service":"ok"})");
  this->checkNoNewCalls("s-1", LeavingBound);
}

TEST_CASE_METHOD(StopCluster,
                 "leaving: a drained group's stream in flight: ends whole "
                 "before the VMs are taken",
                 "[process]") {
  std::vector<std::future<Reply>> Calls;
  Calls.reserve(4);
  for (int I = 0; I < 4; ++I)
    Calls.push_back(std::async(std::launch::async, [this, I] {
      return this->Run.generate("n1", 300, true,
                                {{"X-Waycove-Session", std::to_string(I)}});
    }));
  REQUIRE(eventually([&] {
    return this->Run.status("n1")->optValue<int>("in_flight", 0) == 4;
  }));
  std::string Domain = textAt(
      this->Run.status("n1")->getArray("groups")->getObject(0), "domain");
  REQUIRE(
      this->Run
          .apply("n1", "drain", "one", "{match: {domain: [" + Domain + "]}}")
          .Status == 200);
  for (auto &Call : Calls) {
    Reply Response = Call.get();
    CHECK_FALSE(Response.Cut);
    CHECK(streamedIndexes(Response.Body).size() == 300);
  }
  CHECK(this->Run.counter("n1", "resumes") == 0);
  // Then the group moves.
  CHECK(eventually([&] {
    auto Groups = this->Run.status("n1")->getArray("groups");
    for (unsigned I = 0; I < Groups->size(); ++I)
      if (textAt(Groups->getObject(I), "domain") == Domain)
        return false;
    return this->Run.serving("n1") == 2;
  }));
}

TEST_CASE_METHOD(StopCluster,
                 "leaving: fewer replicas are asked for while others wait for "
                 "the VMs: streams in flight end whole first",
                 "[process]") {
  REQUIRE(this->Run
              .apply("n1", "deployment", "other",
                     "{model: o, version: v, vms_per_replica: 2, replicas: "
                     "{a: 2}, match: {role: [engine]}, workspaces: {}}")
              .Status == 200);
  REQUIRE(eventually([&] { return this->Run.serving("n1") == 3; }));
  std::vector<std::future<Reply>> Calls;
  Calls.reserve(6);
  for (int I = 0; I < 6; ++I)
    Calls.push_back(std::async(std::launch::async, [this, I] {
      return this->Run.generate("n1", 400, true,
                                {{"X-Waycove-Session", std::to_string(I)}});
    }));
  REQUIRE(eventually([&] {
    return this->Run.status("n1")->optValue<int>("in_flight", 0) == 6;
  }));
  REQUIRE(this->Run
              .apply("n1", "deployment", "model",
                     "{model: m, version: v1, vms_per_replica: 2, replicas: "
                     "{a: 1}, match: {role: [engine]}, workspaces: {}}")
              .Status == 200);
  for (auto &Call : Calls) {
    Reply Response = Call.get();
    CHECK_FALSE(Response.Cut);
    CHECK(streamedIndexes(Response.Body).size() == 400);
  }
  CHECK(this->Run.counter("n1", "resumes") == 0);
  CHECK(eventually([&] {
    auto Groups = this->Run.status("n1")->getArray("groups");
    int Others = 0;
    for (unsigned I = 0; I < Groups->size(); ++I)
      Others += textAt(Groups->getObject(I), "deployment") == "other" ? 1 : 0;
    return Others == 2 && this->Run.serving("n1") == 3;
  }));
}

TEST_CASE_METHOD(StopCluster,
                 "stop: a daemon is told to stop under load: nothing in flight "
                 "is cut, exit 0",
                 "[process]") {
  std::vector<std::future<Reply>> Calls;
  Calls.reserve(12);
  for (int I = 0; I < 12; ++I)
    Calls.push_back(std::async(std::launch::async, [this, I] {
      return this->Run.generate("n2", 150 + 10 * I, I % 2 == 0);
    }));
  REQUIRE(eventually([&] {
    return this->Run.status("n2")->optValue<int>("in_flight", 0) == 12;
  }));
  this->Run.node("n2").signal(SIGTERM);
  REQUIRE(eventually(
      [&] { return this->Run.ask("n2", {.Path = "/readyz"}).Status == 503; }));
  // New requests are refused as not run.
  Reply Refused = this->Run.generate("n2", 5);
  CHECK((Refused.Refused || Refused.error() == "stopping"));
  for (int I = 0; I < 12; ++I) {
    Reply Response = Calls[static_cast<std::size_t>(I)].get();
    CHECK(Response.Status == 200);
    CHECK_FALSE(Response.Cut);
    if (I % 2 == 0)
      CHECK(streamedIndexes(Response.Body).size() ==
            150 + 10 * static_cast<std::size_t>(I));
  }
  CHECK(this->Run.node("n2").wait(std::chrono::seconds(15)) == 0);
  // The other daemons take over its groups.
  CHECK(eventually([&] { return this->Run.serving("n1") == 2; }));
}

TEST_CASE_METHOD(StopCluster,
                 "stop: a second signal: ends at once and says what was cut",
                 "[process]") {
  auto Call = std::async(std::launch::async,
                         [&] { return this->Run.generate("n2", 1500, true); });
  REQUIRE(eventually([&] {
    bool Ended =
        Call.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    if (Ended)
      FAIL("ended early: " << Call.get().Body);
    return this->Run.status("n2")->optValue<int>("in_flight", 0) == 1;
  }));
  this->Run.node("n2").signal(SIGTERM);
  REQUIRE(eventually(
      [&] { return this->Run.ask("n2", {.Path = "/readyz"}).Status == 503; }));
  this->Run.node("n2").signal(SIGTERM);
  CHECK(this->Run.node("n2").wait(std::chrono::seconds(5)) == 1);
  CHECK(Call.get().Cut);
  CHECK(this->Run.logOf("n2").find("\"cut\":1") != std::string::npos);
}

/// A fault of both service VMs, and what a caller is told about whether its
/// unrepeatable call without a key ran.
struct NotRunCase {
  const char *Name;
  const char *Fault;
  const char *Ran;
};

TEST_CASE_METHOD(StopCluster, "not run: said only where no target ran it",
                 "[process]") {
  for (const NotRunCase &Case : std::vector<NotRunCase>{
           {"busy", R"({"service":"busy"})", "no"},
           {"reset after running", R"({"service":"reset"})", "unknown"},
           {"reset before running", R"({"service":"drop_before"})", "unknown"},
           {"too slow", R"({"service":"slow"})", "unknown"},
           {"answers another request", R"({"service":"crossed"})", "unknown"},
       }) {
    INFO(Case.Name);
    for (const char *Vm : {"s-1", "s-2"})
      this->Run.vmFault(Vm, Case.Fault);
    int Before = this->callsAt("s-1") + this->callsAt("s-2");
    Reply Response =
        this->Run.callService("n1", "", {{"X-Waycove-Deadline-Ms", "400"}});
    INFO(Response.Status << " " << Response.Body);
    CHECK(Response.error("ran") == Case.Ran);
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    int Ran = this->callsAt("s-1") + this->callsAt("s-2") - Before;
    CHECK(Ran <= 1);
    if (Response.error("ran") == "no")
      CHECK(Ran == 0);
  }
  this->Run.killVm("s-1");
  this->Run.killVm("s-2");
  Reply Response = this->Run.callService("n1", "");
  CHECK(Response.error("ran") == "no");
  // The deadline has already passed.
  Reply Late =
      this->Run.callService("n1", "", {{"X-Waycove-Deadline-Ms", "0"}});
  CHECK(Late.error("ran") == "no");
}

} // namespace waycove::test
