// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// A machine may be suspended for seconds, and its steady clock does not count
// them: whatever a node believed before is that much older.
#include "support/entry_fixture.h"

#include <catch2/catch.hpp>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// Longer than the bound on revoked keys, and than callers wait.
constexpr milliseconds SuspendedTime(2500);

} // namespace

struct SuspendedFixture : EntryFixture {
  SuspendedFixture() : EntryFixture("", true) {}

  void suspendFor(milliseconds Time) {
    this->Run.suspend("n1");
    std::this_thread::sleep_for(Time);
    this->Run.resume("n1");
  }
};

// A key that was taken away while the machine was suspended was served on.
TEST_CASE_METHOD(SuspendedFixture,
                 "suspended machine: longer than the bound on keys, with the "
                 "store away: keys are refused",
                 "[failure]") {
  REQUIRE(this->call("/safe/x", "r1").Status == 200);
  this->Run.suspend("n1");
  this->Run.atPlatform({"POST", "/store/down?how=silent", "", {}});
  std::this_thread::sleep_for(SuspendedTime);
  this->Run.resume("n1");
  CHECK(this->call("/safe/x", "r2").Status == 503);
  this->Run.atPlatform({"POST", "/store/down?how=no", "", {}});
  CHECK(eventually([&] { return this->call("/safe/x", "r3").Status == 200; }));
}

// A request went on after its caller's deadline had passed meanwhile.
TEST_CASE_METHOD(SuspendedFixture,
                 "suspended machine: a request's deadline passes meanwhile: "
                 "given up at once",
                 "[failure]") {
  this->faultAll("p", 2, "hang");
  std::thread Suspended([this] {
    std::this_thread::sleep_for(milliseconds(300));
    this->suspendFor(SuspendedTime);
  });
  Reply Answer = this->Run.ask("n1", {"POST",
                                      "/once/x",
                                      "body",
                                      {{"Host", "a.example"},
                                       {"Authorization", "Bearer key-1"},
                                       {"X-Request-Id", "r1"},
                                       {"X-Deadline-Ms", "2700"}},
                                      milliseconds(20000)});
  Suspended.join();
  CHECK(Answer.Status == 504);
}

} // namespace waycove::test
