// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Requests that end each target that begins to run them were sent on and on.
#include "support/neighbours.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <sstream>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

constexpr int Targets = 10;
/// Ends of targets after which a request is known, and sends allowed then.
constexpr int EndsNeeded = 3;
constexpr int SendsAllowed = 3;
/// For what one node saw to be known at all.
constexpr milliseconds KnownEverywhere(2000);
const std::string Crash = "crash 30";

} // namespace

/// Three entries before plain targets, which some requests end.
struct CrashFixture : Neighbours {
  CrashFixture()
      : Neighbours("revoke_bound_ms: 5000, drain_bound_ms: 2000, "
                   "config_bound_ms: 2000",
                   Targets) {}

  static std::string target(int Number) {
    return "p-" + std::to_string(Number);
  }
  /// How many targets ended under the request.
  int ends(const std::string &Body = Crash) {
    int Count = 0;
    for (int I = 1; I <= Targets; ++I) {
      std::istringstream Lines(this->Run.logOf(target(I)));
      for (std::string Line; std::getline(Lines, Line);)
        Count += Line == "crashed " + Body ? 1 : 0;
    }
    return Count;
  }
  /// Starts again whatever has ended.
  void startEnded() {
    for (int I = 1; I <= Targets; ++I)
      if (this->Run.vm(target(I)).wait(milliseconds(0)) != -1) {
        this->dropTarget(target(I));
        this->Run.startVm(target(I));
      }
  }
  /// Sends the request to all entries in turn until so many targets ended.
  void crashAtAll(const std::string &Body = Crash) {
    for (int I = 0; this->ends(Body) < EndsNeeded && I < Targets; ++I)
      this->call(Entries[static_cast<std::size_t>(I) % Entries.size()], "key-1",
                 Body);
    REQUIRE(this->ends(Body) >= EndsNeeded);
    std::this_thread::sleep_for(KnownEverywhere);
    this->startEnded();
    REQUIRE(this->allTake(Entries, "key-1"));
  }
};

// A request under which three targets had ended was sent to 17 more.
TEST_CASE_METHOD(CrashFixture,
                 "crashing request: three targets ended under it: sent to no "
                 "more than three at any node",
                 "[failure]") {
  this->crashAtAll();
  int Before = this->ends();
  for (int Round = 0; Round < 4; ++Round) {
    for (const std::string &Node : Entries)
      this->call(Node, "key-1", Crash);
    this->startEnded();
  }
  CHECK(this->ends() - Before <= SendsAllowed);
  for (const std::string &Node : Entries)
    CHECK(this->call(Node, "key-1", Crash) == 503);
  CHECK(this->allTake(Entries, "key-1"));
}

// A node that had just started sent the request on, since it knew nothing.
TEST_CASE_METHOD(CrashFixture,
                 "crashing request: nodes start again one after the other: "
                 "they learn of it",
                 "[failure]") {
  this->crashAtAll();
  int Before = this->ends();
  for (const std::string &Node : Entries) {
    this->restart(Node);
    REQUIRE(this->allTake({Node}, "key-1"));
    for (int I = 0; I < 3; ++I)
      this->call(Node, "key-1", Crash);
    this->startEnded();
    REQUIRE(this->allTake(Entries, "key-1"));
  }
  CHECK(this->ends() - Before <= SendsAllowed);
}

// Nodes that all started at once knew nothing.
TEST_CASE_METHOD(CrashFixture,
                 "crashing request: all nodes start again at once: they learn "
                 "of it",
                 "[failure]") {
  this->crashAtAll();
  REQUIRE(eventually([&] {
    return this->Run.logOf(this->reader()).find("request_blamed") !=
           std::string::npos;
  }));
  // The first node of the data centre puts it down for all.
  std::this_thread::sleep_for(KnownEverywhere + milliseconds(2000));
  int Before = this->ends();
  for (const std::string &Node : Entries)
    this->Run.killNode(Node);
  for (const std::string &Node : Entries)
    this->restart(Node);
  REQUIRE(eventually([&] { return this->allTake(Entries, "key-1"); }));
  for (const std::string &Node : Entries) {
    this->call(Node, "key-1", Crash);
    this->startEnded();
    this->call(Node, "key-1", Crash);
    this->startEnded();
  }
  CHECK(this->ends() - Before <= 1);
}

// An innocent request that many send must not be taken for the one that
// crashes targets because it was always under way as well.
TEST_CASE_METHOD(CrashFixture,
                 "crashing request: a popular one runs beside it: served on",
                 "[failure]") {
  std::atomic<bool> Stop{false};
  std::vector<std::thread> Callers;
  Callers.reserve(Entries.size());
  for (const std::string &Node : Entries)
    Callers.emplace_back([&, Node] {
      while (!Stop) {
        this->Run.ask(Node, {"POST",
                             "/safe/x",
                             "popular",
                             {{"Host", "a.example"},
                              {"Authorization", "Bearer key-1"},
                              {"X-Request-Id", "popular"},
                              {"X-Deadline-Ms", "3000"}}});
        std::this_thread::sleep_for(milliseconds(5));
      }
    });
  this->crashAtAll();
  Stop = true;
  for (std::thread &Row : Callers)
    Row.join();
  for (int I = 0; I < 5; ++I)
    for (const std::string &Node : Entries)
      CHECK(this->call(Node, "key-1", "popular") == 200);
}

} // namespace waycove::test
