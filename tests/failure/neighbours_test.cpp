// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Entries of one data centre, one of which reads the store for all: updates
// must continue when it is killed or frozen, or the store is unavailable.
#include "support/neighbours.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

namespace waycove::test {

/// Three entries of one data centre in front of two plain targets.
struct NeighbourFixture : Neighbours {
  NeighbourFixture()
      : Neighbours("revoke_bound_ms: 3000, drain_bound_ms: 5000, "
                   "config_bound_ms: 5000",
                   2) {}
};

TEST_CASE_METHOD(NeighbourFixture,
                 "neighbours: all are calm: one reads for all", "[failure]") {
  this->publish(2, "key-2");
  CHECK(this->allReturnOk(Entries, "key-2"));
  CHECK(this->call("n1", "key-1") == 401);
  // Three nodes that each read the store need at least 14 reads in 4 s.
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
  CHECK(this->allReturnOk(this->others(Reader), "key-2"));
}

TEST_CASE_METHOD(NeighbourFixture,
                 "neighbours: the reader is frozen: changes still come",
                 "[failure]") {
  std::string Reader = this->reader();
  this->Run.node(Reader).signal(SIGSTOP);
  this->publish(2, "key-2");
  CHECK(this->allReturnOk(this->others(Reader), "key-2"));
  // After resuming, it must not bring an older version back into force.
  this->Run.node(Reader).signal(SIGCONT);
  for (int I = 0; I < 20; ++I)
    for (const std::string &Node : this->others(Reader))
      CHECK(this->call(Node, "key-2") == 200);
  CHECK(this->allReturnOk({Reader}, "key-2"));
}

TEST_CASE_METHOD(NeighbourFixture,
                 "neighbours: the store is away: no proof outlives its bound",
                 "[failure]") {
  this->Run.atPlatform({"POST", "/store/down?how=refuse", "", {}});
  auto Refused = [&](const std::string &Node) {
    return this->call(Node, "key-1") == 503;
  };
  // Relaying must not make a proof younger.
  CHECK(eventually(
      [&] { return Refused("n1") && Refused("n2") && Refused("n3"); },
      std::chrono::milliseconds(3200)));
  this->Run.atPlatform({"POST", "/store/down?how=no", "", {}});
  CHECK(eventually([&] { return this->allReturnOk(Entries, "key-1"); }));
}

// Nodes must not read the registry themselves when only the configuration is
// unavailable.
TEST_CASE_METHOD(NeighbourFixture,
                 "neighbours: the configuration alone is away: one still reads "
                 "the registry for all",
                 "[failure]") {
  this->Run.atPlatform(
      {"POST", "/store/down?how=refuse&topic=keyed.op", "", {}});
  auto RegistryReads = [&] {
    return this->Run.atPlatform({.Path = "/store/reads?topic=keyed.servers"})
        .number("reads");
  };
  // Waits until the configuration is older than its bound.
  std::this_thread::sleep_for(std::chrono::milliseconds(5500));
  std::uint64_t Before = RegistryReads();
  // The registry changes continuously. One reader makes at most five reads per
  // second.
  for (int I = 0; I < 30; ++I) {
    this->Run.atPlatform({"POST",
                          "/store/put?topic=keyed.servers&key=other",
                          std::to_string(I),
                          {}});
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  CHECK(RegistryReads() - Before <= 18);
  this->Run.atPlatform({"POST", "/store/down?how=no", "", {}});
  CHECK(eventually([&] { return this->allReturnOk(Entries, "key-1"); }));
}

TEST_CASE_METHOD(NeighbourFixture,
                 "neighbours: one restarts: another one tells it what there is",
                 "[failure]") {
  // Includes the first node in order, which has no upstream node otherwise.
  for (const std::string &Node :
       {this->reader(), this->others(this->reader())[0]}) {
    this->restart(Node);
    REQUIRE(eventually([&] { return this->call(Node, "key-1") == 200; }));
    for (const char *Feed : {"config", "registry"}) {
      CHECK(this->firstFeedSource(Node, Feed) != "");
      CHECK(this->firstFeedSource(Node, Feed) != "store");
    }
    REQUIRE(eventually([&] { return this->followers() == 2; }));
  }
}

TEST_CASE_METHOD(NeighbourFixture,
                 "neighbours: one restarts and no other one is there: it reads "
                 "the store",
                 "[failure]") {
  for (const std::string &Node : this->others("n1"))
    this->Run.killNode(Node);
  this->restart("n1");
  CHECK(eventually([&] { return this->call("n1", "key-1") == 200; },
                   std::chrono::milliseconds(2000)));
  CHECK(this->firstFeedSource("n1", "config") == "store");
}

/// A bound on configurations that is shorter than a long-polling read of the
/// store and its response timeout.
struct ShortBoundFixture : Neighbours {
  ShortBoundFixture()
      : Neighbours("revoke_bound_ms: 5000, drain_bound_ms: 2000, "
                   "config_bound_ms: 1500",
                   1) {}
};

TEST_CASE_METHOD(
    ShortBoundFixture,
    "neighbours: alone, and its connections to the store go silent: "
    "a change is in force in time",
    "[failure]") {
  std::string Reader = this->reader();
  std::vector<std::string> Others = this->others(Reader);
  this->Run.killNode(Reader);
  this->Run.killNode(Others[1]);
  REQUIRE(eventually([&] { return !this->follows(Others[0]); }));
  this->publish(2, "key-2");
  REQUIRE(this->allReturnOk({Others[0]}, "key-2"));
  // The next read has started.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  this->Links[Others[0]]->silenceOpen();
  this->publish(3, "key-3");
  CHECK(eventually([&] { return this->call(Others[0], "key-3") == 200; },
                   std::chrono::milliseconds(1500)));
}

} // namespace waycove::test
