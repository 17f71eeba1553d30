// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Several entries of one data centre, as real processes: one reads the store
// for all, and what the others do when it is killed or frozen, or the store is
// away.
#include "support/cluster.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

namespace waycove::test {

namespace {

/// From a node's port for other nodes to its port for the balancer.
constexpr int ReadyPorts = 10;

const std::vector<std::string> Entries = {"n1", "n2", "n3"};

std::string configOf(int Version, const std::string &Key) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"safe","host":"a.example","timeout_ms":6000,)"
         R"("goal_ms":300,"priority":1,"path_prefix":"/safe/",)"
         R"("type":"idempotent","service":"plain","max_attempts":2}],)"
         R"("services":[{"name":"plain","max_conns":50}],)"
         R"("tenants":[{"name":"w1","api_keys":[")" +
         Key + R"("]}]})";
}

} // namespace

/// Three entries of one data centre before two plain targets.
struct NeighbourFixture {
  NeighbourFixture() {
    this->Run.addVms("p", 2, "a", "", "plain");
    for (const std::string &Node : Entries)
      this->Run.addNode(Node, "a");
    this->Run.TargetFlags = {"--registry=127.0.0.1:" +
                             std::to_string(this->Run.platformPort())};
    this->Run.startPlatform();
    this->publish(1, "key-1");
    for (const char *Vm : {"p-1", "p-2"})
      this->Run.startVm(Vm);
    for (const std::string &Node : Entries) {
      this->Run.ExtraSettings =
          "entry: {ready: '127.0.0.1:" +
          std::to_string(this->Run.peerPort(Node) + ReadyPorts) +
          "', revoke_bound_ms: 3000, drain_bound_ms: 5000, "
          "config_bound_ms: 5000, grace_ms: 4000, first_start: true}";
      this->Run.startNode(Node);
    }
    REQUIRE(eventually([&] { return this->followers() == 2; }));
  }

  void publish(int Version, const std::string &Key) {
    this->Run.atPlatform({"POST",
                          "/store/put?topic=keyed.op&key=config",
                          configOf(Version, Key),
                          {}});
  }
  int call(const std::string &Node, const std::string &Key) {
    return this->Run
        .ask(Node, {"POST",
                    "/safe/x",
                    "body",
                    {{"Host", "a.example"},
                     {"Authorization", "Bearer " + Key},
                     {"X-Request-Id", "r" + std::to_string(++this->Calls)},
                     {"X-Deadline-Ms", "3000"}}})
        .Status;
  }
  bool follows(const std::string &Node) {
    std::string Log = this->Run.logOf(Node);
    std::size_t Chosen = Log.rfind("\"reader_chosen\"");
    std::size_t Lost = Log.rfind("\"reader_lost\"");
    return Chosen != std::string::npos &&
           (Lost == std::string::npos || Chosen > Lost);
  }
  int followers() {
    int Count = 0;
    for (const std::string &Node : Entries)
      Count += this->follows(Node) ? 1 : 0;
    return Count;
  }
  /// The node that reads for the others.
  std::string reader() {
    for (const std::string &Node : Entries)
      if (!this->follows(Node))
        return Node;
    return "";
  }
  std::vector<std::string> others(const std::string &Reader) {
    std::vector<std::string> Rows;
    for (const std::string &Node : Entries)
      if (Node != Reader)
        Rows.emplace_back(Node);
    return Rows;
  }
  std::uint64_t reads() {
    return this->Run.atPlatform({.Path = "/store/reads"}).number("reads");
  }
  bool allTake(const std::vector<std::string> &Nodes, const std::string &Key) {
    return eventually(
        [&] {
          for (const std::string &Node : Nodes)
            if (this->call(Node, Key) != 200)
              return false;
          return true;
        },
        std::chrono::milliseconds(2000));
  }

  Cluster Run;
  int Calls = 0;
};

TEST_CASE_METHOD(NeighbourFixture,
                 "neighbours: all are calm: one reads for all", "[failure]") {
  this->publish(2, "key-2");
  CHECK(this->allTake(Entries, "key-2"));
  CHECK(this->call("n1", "key-1") == 401);
  // Three nodes that each read for themselves need 14 reads and more in 4 s.
  std::uint64_t Before = this->reads();
  std::this_thread::sleep_for(std::chrono::seconds(4));
  CHECK(this->reads() - Before <= 11);
}

TEST_CASE_METHOD(NeighbourFixture,
                 "neighbours: the reader is killed: changes still come",
                 "[failure]") {
  std::string Reader = this->reader();
  this->Run.killNode(Reader);
  this->publish(2, "key-2");
  CHECK(this->allTake(this->others(Reader), "key-2"));
}

TEST_CASE_METHOD(NeighbourFixture,
                 "neighbours: the reader is frozen: changes still come",
                 "[failure]") {
  std::string Reader = this->reader();
  this->Run.node(Reader).signal(SIGSTOP);
  this->publish(2, "key-2");
  CHECK(this->allTake(this->others(Reader), "key-2"));
  // Woken, it must not bring what was before back in force anywhere.
  this->Run.node(Reader).signal(SIGCONT);
  for (int I = 0; I < 20; ++I)
    for (const std::string &Node : this->others(Reader))
      CHECK(this->call(Node, "key-2") == 200);
  CHECK(this->allTake({Reader}, "key-2"));
}

TEST_CASE_METHOD(NeighbourFixture,
                 "neighbours: the store is away: no proof outlives its bound",
                 "[failure]") {
  this->Run.atPlatform({"POST", "/store/down?how=refuse", "", {}});
  auto Refused = [&](const std::string &Node) {
    return this->call(Node, "key-1") == 503;
  };
  // Passed on from node to node, a proof must not grow younger.
  CHECK(eventually(
      [&] { return Refused("n1") && Refused("n2") && Refused("n3"); },
      std::chrono::milliseconds(3600)));
  this->Run.atPlatform({"POST", "/store/down?how=no", "", {}});
  CHECK(eventually([&] { return this->allTake(Entries, "key-1"); }));
}

} // namespace waycove::test
