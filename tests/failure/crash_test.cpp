// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Guards against retrying requests that crash every target that runs them.
#include "support/neighbours.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <sstream>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

constexpr int Targets = 10;
/// Crashes after which a request is blamed.
constexpr int CrashesToBlame = 3;
/// Attempts allowed after that.
constexpr int MaxAttempts = 3;
/// Time for one node's observation to reach all nodes.
constexpr milliseconds PropagationTime(2000);
const std::string Crash = "crash 30";

} // namespace

/// Three entries with plain targets, which some requests crash.
struct CrashFixture : Neighbours {
  CrashFixture()
      : Neighbours("revoke_bound_ms: 5000, drain_bound_ms: 2000, "
                   "config_bound_ms: 2000",
                   Targets) {}

  static std::string target(int Number) {
    return "p-" + std::to_string(Number);
  }
  /// Number of targets that crashed under the request.
  int crashes(const std::string &Body = Crash) {
    int Count = 0;
    for (int I = 1; I <= Targets; ++I) {
      std::istringstream Lines(this->Run.logOf(target(I)));
      for (std::string Line; std::getline(Lines, Line);)
        Count += Line == "crashed " + Body ? 1 : 0;
    }
    return Count;
  }
  /// Restarts the targets that crashed.
  void restartCrashed() {
    for (int I = 1; I <= Targets; ++I)
      if (this->Run.vm(target(I)).wait(milliseconds(0)) != -1) {
        this->dropTarget(target(I));
        this->Run.startVm(target(I));
      }
  }
  /// Sends the request to all entries in turn until it is blamed, and waits
  /// until all nodes know.
  void crashUntilBlamed(const std::string &Body = Crash) {
    for (int I = 0; this->crashes(Body) < CrashesToBlame && I < Targets; ++I)
      this->call(Entries[static_cast<std::size_t>(I) % Entries.size()], "key-1",
                 Body);
    REQUIRE(this->crashes(Body) >= CrashesToBlame);
    std::this_thread::sleep_for(PropagationTime);
    this->restartCrashed();
    REQUIRE(this->allReturnOk(Entries, "key-1"));
  }
};

// Guards against unlimited attempts after a request is blamed.
TEST_CASE_METHOD(CrashFixture,
                 "crashing request: three targets ended under it: sent to no "
                 "more than three at any node",
                 "[failure]") {
  this->crashUntilBlamed();
  int Before = this->crashes();
  for (int Round = 0; Round < 4; ++Round) {
    for (const std::string &Node : Entries)
      this->call(Node, "key-1", Crash);
    this->restartCrashed();
  }
  CHECK(this->crashes() - Before <= MaxAttempts);
  for (const std::string &Node : Entries)
    CHECK(this->call(Node, "key-1", Crash) == 503);
  CHECK(this->allReturnOk(Entries, "key-1"));
}

// Guards against a restarted node that does not know which requests are blamed.
TEST_CASE_METHOD(CrashFixture,
                 "crashing request: nodes start again one after the other: "
                 "they learn of it",
                 "[failure]") {
  this->crashUntilBlamed();
  int Before = this->crashes();
  for (const std::string &Node : Entries) {
    this->restart(Node);
    REQUIRE(this->allReturnOk({Node}, "key-1"));
    for (int I = 0; I < 3; ++I)
      this->call(Node, "key-1", Crash);
    this->restartCrashed();
    REQUIRE(this->allReturnOk(Entries, "key-1"));
  }
  CHECK(this->crashes() - Before <= MaxAttempts);
}

// Guards against losing what is blamed when all nodes restart at once.
TEST_CASE_METHOD(CrashFixture,
                 "crashing request: all nodes start again at once: they learn "
                 "of it",
                 "[failure]") {
  this->crashUntilBlamed();
  REQUIRE(eventually([&] {
    return this->Run.logOf(this->reader()).find("request_blamed") !=
           std::string::npos;
  }));
  // The first node of the data centre writes it to the store for all.
  std::this_thread::sleep_for(PropagationTime + milliseconds(2000));
  int Before = this->crashes();
  for (const std::string &Node : Entries)
    this->Run.killNode(Node);
  for (const std::string &Node : Entries)
    this->restart(Node);
  REQUIRE(eventually([&] { return this->allReturnOk(Entries, "key-1"); }));
  for (const std::string &Node : Entries) {
    this->call(Node, "key-1", Crash);
    this->restartCrashed();
    this->call(Node, "key-1", Crash);
    this->restartCrashed();
  }
  CHECK(this->crashes() - Before <= 1);
}

// Guards against blaming a frequent request that is in flight at each crash.
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
  this->crashUntilBlamed();
  Stop = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  for (int I = 0; I < 5; ++I)
    for (const std::string &Node : Entries)
      CHECK(this->call(Node, "key-1", "popular") == 200);
}

} // namespace waycove::test
