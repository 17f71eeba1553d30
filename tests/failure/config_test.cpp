// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// An accepted configuration is in force everywhere within seconds and is never
// reverted, and requests are sent only to targets that the labels allow.
#include "support/cluster.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>

namespace waycove::test {

/// Two data centres, with two daemons and one.
struct ConfigCluster {
  ConfigCluster() {
    this->Run.ExtraSettings = "checkpoint_every_records: 10";
    this->Run.addVms("sa", 1, "a", "sa", "ledger");
    this->Run.addVms("sb", 1, "b", "sb", "ledger");
    this->Run.addVms("d1", 2, "b", "d1");
    this->Run.addNode("n1", "a");
    this->Run.addNode("n2", "a");
    this->Run.addNode("n3", "b");
    this->Run.start();
    publishUsual(this->Run, "n1", "b: 1");
  }

  std::uint64_t next(const std::string &Node) {
    return numberAt(this->Run.status(Node), "next");
  }
  bool allSame() {
    std::uint64_t Offset = this->next("n1");
    return Offset > 0 && this->next("n2") == Offset &&
           this->next("n3") == Offset;
  }
  std::string revisionOf(const std::string &Node, const std::string &Name) {
    return this->Run
        .ask(Node, {"GET",
                    "/operator/v1/objects?kind=selector&name=" + Name,
                    "",
                    {{"Authorization", "Bearer op"}}})
        .Body;
  }
  Reply select(const std::string &Node, const std::string &Name,
               const std::string &Value, std::int64_t Base = -1) {
    return this->Run.apply(Node, "selector", Name,
                           "{match: {tier: [" + Value + "]}}", Base);
  }

  Cluster Run;
};

TEST_CASE_METHOD(ConfigCluster,
                 "config: two operators race: one is accepted, one clearly "
                 "refused",
                 "[process]") {
  for (int Round = 0; Round < 5; ++Round) {
    std::string Name = "r" + std::to_string(Round);
    auto Left = std::async(std::launch::async,
                           [&] { return this->select("n1", Name, "left", 0); });
    auto Right = std::async(std::launch::async, [&] {
      return this->select("n3", Name, "right", 0);
    });
    Reply First = Left.get();
    Reply Second = Right.get();
    CHECK((First.Status == 200) != (Second.Status == 200));
    Reply &Lost = First.Status == 200 ? Second : First;
    CHECK(Lost.error() == "conflict");
    CHECK(Lost.error("message").find("revision") != std::string::npos);
  }
  CHECK(eventually([&] { return this->allSame(); }));
}

TEST_CASE_METHOD(ConfigCluster,
                 "config: accepted at one daemon: in force at all within 2 s",
                 "[process]") {
  REQUIRE(this->select("n1", "fast", "x").Status == 200);
  CHECK(eventually(
      [&] {
        return this->revisionOf("n2", "fast").find("tier") !=
                   std::string::npos &&
               this->revisionOf("n3", "fast").find("tier") != std::string::npos;
      },
      std::chrono::milliseconds(2000)));
}

TEST_CASE_METHOD(ConfigCluster,
                 "config: the append's answer is lost: accepted once",
                 "[process]") {
  this->Run.platformFault(R"({"append":"lose_ack"})");
  Reply Response = this->select("n1", "lost", "x");
  CHECK(Response.Status == 200);
  this->Run.platformFault(R"({"append":"ok"})");
  CHECK(eventually([&] { return this->allSame(); }));
  CHECK(this->select("n2", "lost", "y", 0).error() == "conflict");
}

TEST_CASE_METHOD(ConfigCluster,
                 "config: the log answers with an old state: nothing goes back",
                 "[process]") {
  REQUIRE(this->select("n1", "old", "x").Status == 200);
  std::uint64_t Before = this->next("n1");
  this->Run.platformFault(R"({"read":"stale","stale_next":2})");
  REQUIRE(eventually([&] {
    return this->Run.logOf("n1").find("log_stale") != std::string::npos;
  }));
  CHECK(this->next("n1") >= Before);
  CHECK(this->revisionOf("n1", "old").find("tier") != std::string::npos);
  this->Run.platformFault(R"({"read":"ok"})");
  CHECK(this->select("n1", "old2", "x").Status == 200);
}

TEST_CASE_METHOD(ConfigCluster,
                 "config: a daemon starts while the platform is down: serves "
                 "only with its peers' newest state",
                 "[process]") {
  REQUIRE(this->select("n1", "during", "x").Status == 200);
  REQUIRE(eventually([&] { return this->allSame(); }));
  this->Run.platformFault(
      R"({"append":"refuse","read":"refuse","list":"refuse"})");
  // Waits until pending group changes are folded.
  REQUIRE(eventually([&] {
    return !this->Run.status("n1")->optValue<bool>("log_up", true) &&
           !this->Run.status("n3")->optValue<bool>("log_up", true) &&
           this->allSame();
  }));
  std::uint64_t Newest = this->next("n1");
  this->Run.killNode("n2");
  this->Run.startNode("n2");
  REQUIRE(eventually([&] { return this->Run.isReady("n2"); }));
  CHECK(this->next("n2") == Newest);
  CHECK(this->revisionOf("n2", "during").find("tier") != std::string::npos);
  // It received the targets from a peer too.
  CHECK(eventually(
      [&] { return this->Run.callService("n2", "").text("vm") == "sa-1"; }));
}

TEST_CASE_METHOD(ConfigCluster,
                 "config: a daemon starts with neither platform nor peers: "
                 "refuses, as not run",
                 "[process]") {
  this->Run.platformFault(R"({"append":"refuse","read":"refuse"})");
  for (const char *Node : {"n1", "n2", "n3"})
    this->Run.killNode(Node);
  this->Run.startNode("n1");
  REQUIRE(eventually(
      [&] { return this->Run.ask("n1", {.Path = "/healthz"}).Status == 200; }));
  CHECK_FALSE(this->Run.isReady("n1"));
  Reply Response = this->Run.callService("n1", "");
  CHECK(Response.error() == "not_ready");
  CHECK(Response.error("ran") == "no");
  Reply Keyed = this->Run.callService("n1", freshKey("x"));
  CHECK(Keyed.error() == "not_ready");
  CHECK(Keyed.error("ran") == "unknown");
}

TEST_CASE_METHOD(ConfigCluster,
                 "config: a daemon cut from the platform, not from its peers: "
                 "learns what is published",
                 "[process]") {
  // Its platform address is unreachable; its peer links work.
  this->Run.killNode("n2");
  std::string Whole = this->Run.settingsFile("n2");
  Process Cut({std::string(WAYCOVE_BUILD) + "/waycoved", "--settings=" + Whole,
               "--platform=127.0.0.1:9"},
              this->Run.folder() + "/n2cut.log");
  REQUIRE(eventually([&] { return this->Run.isReady("n2"); }));
  REQUIRE(this->select("n3", "news", "x").Status == 200);
  CHECK(eventually([&] {
    return this->revisionOf("n2", "news").find("tier") != std::string::npos;
  }));
}

TEST_CASE_METHOD(ConfigCluster,
                 "config: the log forgot its start: a new daemon begins from "
                 "the checkpoint",
                 "[process]") {
  for (int I = 0; I < 25; ++I)
    REQUIRE(this->select("n1", "c" + std::to_string(I), "x").Status == 200);
  REQUIRE(eventually([&] {
    return this->Run.atPlatform({.Path = "/stats"}).number("checkpoints") >= 2;
  }));
  this->Run.atPlatform({"POST", "/log/records/trim?first=20", "", {}});
  for (const char *Node : {"n1", "n2", "n3"})
    this->Run.killNode(Node);
  this->Run.startNode("n2");
  REQUIRE(eventually([&] { return this->Run.isReady("n2"); }));
  CHECK(this->revisionOf("n2", "c0").find("tier") != std::string::npos);
  CHECK(this->revisionOf("n2", "c24").find("tier") != std::string::npos);
}

TEST_CASE_METHOD(ConfigCluster,
                 "labels: a request lands only where all labels allow",
                 "[process]") {
  REQUIRE(this->Run.apply("n1", "data_centre", "a", "{labels: {region: west}}")
              .Status == 200);
  REQUIRE(this->Run.apply("n1", "data_centre", "b", "{labels: {region: east}}")
              .Status == 200);
  REQUIRE(eventually([&] {
    return this->allSame() && this->Run.serving("n3") == 1 &&
           this->Run.callService("n1", "").Status == 200;
  }));
  struct LabelCase {
    const char *Node;
    const char *Wanted;
    int Status;
    const char *Vm;
  };
  for (const LabelCase &Row : std::vector<LabelCase>{
           {"n1", "data_centre=a", 200, "sa-1"},
           {"n1", "data_centre=b", 200, "sb-1"},
           {"n3", "region=west", 200, "sa-1"},
           {"n3", "region!=west", 200, "sb-1"},
           {"n1", "data_centre=nowhere", 403, ""},
           {"n1", "unheard=of", 403, ""},
           {"n1", "unheard!=of", 403, ""},
           {"n1", "data_centre", 400, ""},
           {"n1", "=a", 400, ""},
       }) {
    INFO(Row.Node << " " << Row.Wanted);
    REQUIRE(eventually(
        [&] {
          Reply Response = this->Run.callService(
              Row.Node, "", {{"X-Waycove-Labels", Row.Wanted}});
          return Response.Status == Row.Status &&
                 (Row.Status != 200 || Response.text("vm") == Row.Vm);
        },
        std::chrono::milliseconds(5000)));
  }
  // The model runs in b only, so a request in a is forwarded. Only the error
  // for a data centre whose entry n2 does not know yet is retried.
  Reply Forwarded;
  REQUIRE(eventually([&] {
    Forwarded = this->Run.generate("n2", 6, true);
    bool EntryUnknown = Forwarded.Status == 503 &&
                        Forwarded.Body.find("no allowed data centre answers") !=
                            std::string::npos;
    if (EntryUnknown)
      CHECK(Forwarded.text("ran") == "no");
    return !EntryUnknown;
  }));
  CAPTURE(Forwarded.Status, Forwarded.Body);
  CHECK(streamedIndexes(Forwarded.Body).size() == 6);
  // Selectors of the workspace apply too; an undefined selector allows nothing.
  REQUIRE(this->Run
              .apply("n1", "workspace", "w2",
                     "{key_digest: " + std::string(40, 'a') +
                         ", selectors: [missing]}")
              .Status == 200);
  CHECK(this->Run.callService("n1", "", {{"Authorization", "Bearer w2-key"}})
            .error() == "unauthenticated");
}

} // namespace waycove::test
