// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// The platform's log is restored from a backup: published objects must stay in
// force, and requests that were executed must not be executed again.
#include "support/cluster.h"

#include "policy/objects.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// Duration of the outage before the restore.
constexpr milliseconds OutageDuration(500);
/// Timeout for daemons to write lost records again and accept requests.
constexpr milliseconds RecoveryTimeout(10000);

} // namespace

/// Two data centres, with two daemons and one, and a group of two VMs.
struct LogRestoredCluster {
  LogRestoredCluster() {
    this->Run.ExtraSettings =
        "connect_timeout_ms: 300\ncheckpoint_every_records: 10";
    this->Run.addVms("sa", 1, "a", "sa", "ledger");
    this->Run.addVms("sb", 1, "b", "sb", "ledger");
    this->Run.addVms("d1", 2, "b", "d1");
    for (auto [Node, Centre] :
         {std::pair{"n1", "a"}, std::pair{"n2", "a"}, std::pair{"n3", "b"}})
      this->Run.addNode(Node, Centre);
    this->Run.start();
    publishUsual(this->Run, "n1", "b: 1");
    REQUIRE(eventually([&] { return this->allServe(); }));
  }

  void atStore(const std::string &Path) {
    this->Run.atPlatform({"POST", Path, "", {}});
  }
  void copy() { this->atStore("/store/copy"); }
  void restore() {
    this->Run.platformFault(
        R"({"append":"refuse","read":"refuse","list":"refuse"})");
    std::this_thread::sleep_for(OutageDuration);
    this->atStore("/store/restore");
    this->Run.platformFault(R"({"append":"ok","read":"ok","list":"ok"})");
  }
  bool allServe() {
    return std::all_of(Daemons.begin(), Daemons.end(), [&](const char *Node) {
      return this->Run.callService(Node, "").Status == 200;
    });
  }
  /// Waits until all daemons have noticed the restore and accept requests.
  bool allRecovered() {
    return eventually(
        [&] {
          return std::all_of(Daemons.begin(), Daemons.end(),
                             [&](const char *Node) {
                               return this->Run.logOf(Node).find(
                                          "store_restored") !=
                                          std::string::npos &&
                                      this->Run.isReady(Node);
                             }) &&
                 this->allServe();
        },
        RecoveryTimeout);
  }
  Reply publish(const std::string &Node, const std::string &Name,
                const std::string &Value) {
    return this->Run.apply(Node, "selector", Name,
                           "{match: {tier: [" + Value + "]}}");
  }
  /// Waits until all daemons show \p Value in the selector \p Name.
  bool allShow(const std::string &Name, const std::string &Value) {
    return eventually(
        [&] {
          return std::all_of(
              Daemons.begin(), Daemons.end(), [&](const char *Node) {
                return this->Run
                           .ask(Node, {"GET",
                                       "/operator/v1/objects?kind=selector"
                                       "&name=" +
                                           Name,
                                       "",
                                       {{"Authorization", "Bearer op"}}})
                           .Body.find("[" + Value + "]") != std::string::npos;
              });
        },
        milliseconds(4000));
  }

  static constexpr std::array Daemons{"n1", "n2", "n3"};
  Cluster Run;
};

TEST_CASE_METHOD(LogRestoredCluster,
                 "log restored: what is published then is in force everywhere",
                 "[failure]") {
  this->copy();
  for (int I = 0; I < 15; ++I)
    REQUIRE(this->publish("n1", "c" + std::to_string(I), "x").Status == 200);
  this->restore();
  REQUIRE(this->allRecovered());
  CHECK(this->publish("n3", "after", "y").Status == 200);
  CHECK(this->allShow("after", "y"));
  // Lost objects are in force again.
  CHECK(this->allShow("c0", "x"));
  CHECK(this->allShow("c14", "x"));
}

TEST_CASE_METHOD(LogRestoredCluster,
                 "log restored: an object was changed and another removed: "
                 "neither comes back as it was",
                 "[failure]") {
  REQUIRE(this->publish("n1", "changed", "old").Status == 200);
  this->copy();
  REQUIRE(this->publish("n1", "changed", "new").Status == 200);
  // Replaces the key of the workspace.
  REQUIRE(this->Run
              .apply("n1", "workspace", "w2",
                     "{key_digest: " + digestKey("w2-other") +
                         ", labels: {tier: b}}")
              .Status == 200);
  REQUIRE(this->allShow("changed", "new"));
  auto ServesOldKey = [&] {
    return std::any_of(Daemons.begin(), Daemons.end(), [&](const char *Node) {
      return this->Run
                 .callService(Node, "", {{"Authorization", "Bearer w2-key"}})
                 .Status == 200;
    });
  };
  REQUIRE(eventually([&] { return !ServesOldKey(); }));
  this->restore();
  CHECK_FALSE(eventually(ServesOldKey, milliseconds(6000)));
  REQUIRE(this->allRecovered());
  CHECK(this->allShow("changed", "new"));
  // A restarted daemon reads it from the log.
  this->Run.killNode("n2");
  this->Run.startNode("n2");
  REQUIRE(eventually([&] { return this->Run.isReady("n2"); }));
  CHECK(this->allShow("changed", "new"));
}

TEST_CASE_METHOD(LogRestoredCluster,
                 "log restored: a keyed call ran before: it does not run again",
                 "[failure]") {
  this->copy();
  std::string Key = freshKey("sale-1");
  REQUIRE(this->Run.callService("n1", Key).Status == 200);
  this->restore();
  for (int Round = 0; Round < 40; ++Round) {
    this->Run.callService(Round % 2 ? "n3" : "n2", Key);
    std::this_thread::sleep_for(milliseconds(100));
  }
  REQUIRE(this->allRecovered());
  for (const char *Node : Daemons)
    this->Run.callService(Node, Key);
  CHECK(this->Run.callsOf(Key) == 1);
  // New keys are accepted.
  CHECK(this->Run.callService("n2", freshKey("sale-2")).Status == 200);
}

TEST_CASE_METHOD(LogRestoredCluster,
                 "log restored: groups were formed since: they form again and "
                 "answer whole",
                 "[failure]") {
  REQUIRE(eventually([&] { return this->Run.serving("n3") == 1; }));
  this->restore();
  REQUIRE(
      eventually([&] { return this->Run.generate("n3", 6).Status == 200; }));
  CHECK(this->Run.generate("n3", 6).Body.find(wholeText(6)) !=
        std::string::npos);
}

TEST_CASE_METHOD(
    LogRestoredCluster,
    "log restored: the VM list went back: what it says then counts",
    "[failure]") {
  this->copy();
  for (const char *State : {"leaving", "live", "leaving", "live"})
    this->Run.atPlatform(
        {"POST",
         "/vms/state",
         std::string(R"({"vm":"sa-1","state":")") + State + R"("})",
         {}});
  std::this_thread::sleep_for(milliseconds(800));
  this->restore();
  REQUIRE(this->allRecovered());
  this->Run.atPlatform(
      {"POST", "/vms/state", R"({"vm":"sa-1","state":"gone"})", {}});
  CHECK(eventually(
      [&] { return this->Run.callService("n1", "").text("vm") == "sb-1"; }));
}

} // namespace waycove::test
