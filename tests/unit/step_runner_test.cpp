// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Steps of controllers that share threads: none may delay another one, and a
// wake-up must not be lost.
#include "base/step_runner.h"
#include "support/cluster.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <stdexcept>
#include <thread>

namespace waycove::test {

namespace {

/// A runner and its threads, which live until the process ends.
struct Runner {
  std::atomic<int> Failed{0};
  GrowingPool Threads{{8, Millis(60000), 256 << 10}};
  StepRunner Steps{this->Threads,
                   [this](const std::string &) { ++this->Failed; }};
};

Runner &makeRunner() { return *std::make_unique<Runner>().release(); }

constexpr Millis Long(60000);

} // namespace

// Guards against a store that does not respond and so stops a whole node.
TEST_CASE("step runner: one step blocks: the others go on", "[unit]") {
  Runner &Run = makeRunner();
  static std::atomic<int> Polled{0};
  static std::atomic<bool> Blocked{false};
  Run.Steps.add({.Poll = []() -> std::optional<Millis> { return std::nullopt; },
                 .Run =
                     [] {
                       Blocked = true;
                       std::this_thread::sleep_for(Millis(3000));
                       return Long;
                     }});
  Run.Steps.add([] {
    ++Polled;
    return Millis(10);
  });
  Run.Steps.start();
  REQUIRE(eventually([&] { return Blocked.load(); }));
  int Before = Polled;
  CHECK(eventually([&] { return Polled > Before + 10; }));
}

// Guards against a change that is applied only after a long pause.
TEST_CASE("step runner: a step is woken during its pause and during its call: "
          "it is called again at once",
          "[unit]") {
  Runner &Run = makeRunner();
  static std::atomic<int> Calls{0};
  static std::atomic<bool> InCall{false};
  StepId Id = Run.Steps.add([] {
    ++Calls;
    InCall = true;
    std::this_thread::sleep_for(Millis(100));
    InCall = false;
    return Long;
  });
  Run.Steps.start();
  REQUIRE(eventually([&] { return InCall.load(); }));
  Run.Steps.wake(Id);
  REQUIRE(eventually([&] { return Calls == 2 && !InCall; }));
  std::this_thread::sleep_for(Millis(150));
  CHECK(Calls == 2);
  Run.Steps.wake(Id);
  CHECK(eventually([&] { return Calls == 3; }));
}

// Guards against a step that is never called again after an exception.
TEST_CASE("step runner: a step throws: the reason is told and it is called "
          "again",
          "[unit]") {
  Runner &Run = makeRunner();
  static std::atomic<int> Calls{0};
  Run.Steps.add({.Poll = []() -> std::optional<Millis> { return std::nullopt; },
                 .Run = []() -> Millis {
                   if (++Calls == 1)
                     throw std::runtime_error("broken");
                   return Long;
                 }});
  Run.Steps.start();
  CHECK(eventually([&] { return Calls == 2; }));
  CHECK(Run.Failed == 1);
}

// Guards against a node that ends, or a step that never runs, where no thread
// is free.
TEST_CASE("step runner: no thread is free: a blocking step runs later",
          "[unit]") {
  Runner &Run = makeRunner();
  static std::atomic<int> Runs{0};
  for (int I = 0; I < 9; ++I)
    Run.Steps.add(
        {.Poll = []() -> std::optional<Millis> { return std::nullopt; },
         .Run =
             [] {
               ++Runs;
               std::this_thread::sleep_for(Millis(300));
               return Long;
             }});
  Run.Steps.start();
  CHECK(eventually([&] { return Runs == 9; }));
  CHECK(Run.Failed > 0);
}

} // namespace waycove::test
