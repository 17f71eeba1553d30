// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// A node whose machine is suspended: the steady clock excludes that time.
#include "support/entry_fixture.h"

#include <catch2/catch.hpp>
#include <future>
#include <thread>
#include <vector>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// Longer than the revocation bound and the callers' deadlines.
constexpr milliseconds SuspendedDuration(2500);

} // namespace

struct SuspendedFixture : EntryFixture {
  SuspendedFixture() : EntryFixture("", true) {}

  void suspendFor(milliseconds Duration) {
    this->Run.suspend("n1");
    std::this_thread::sleep_for(Duration);
    this->Run.resume("n1");
  }
};

// A key that was revoked during the suspension must not be accepted.
TEST_CASE_METHOD(SuspendedFixture,
                 "suspended machine: longer than the bound on keys, with the "
                 "store away: keys are refused",
                 "[failure]") {
  REQUIRE(this->call("/safe/x", "r1").Status == 200);
  this->Run.suspend("n1");
  this->Run.atPlatform({"POST", "/store/down?how=silent", "", {}});
  std::this_thread::sleep_for(SuspendedDuration);
  this->Run.resume("n1");
  CHECK(this->call("/safe/x", "r2").Status == 503);
  this->Run.atPlatform({"POST", "/store/down?how=no", "", {}});
  CHECK(eventually([&] { return this->call("/safe/x", "r3").Status == 200; }));
}

// A request must not continue after its deadline passed during the suspension.
TEST_CASE_METHOD(SuspendedFixture,
                 "suspended machine: a request's deadline passes meanwhile: "
                 "given up at once",
                 "[failure]") {
  this->faultAll("p", 2, "hang");
  std::thread Suspended([this] {
    std::this_thread::sleep_for(milliseconds(300));
    this->suspendFor(SuspendedDuration);
  });
  Reply Response = this->Run.ask("n1", {"POST",
                                        "/once/x",
                                        "body",
                                        {{"Host", "a.example"},
                                         {"Authorization", "Bearer key-1"},
                                         {"X-Request-Id", "r1"},
                                         {"X-Deadline-Ms", "2700"}},
                                        milliseconds(20000)});
  Suspended.join();
  CHECK(Response.Status == 504);
}

// Guards against requests that go on for as long as the machine was suspended,
// since a wait counts the time that its clock stood still.
TEST_CASE_METHOD(SuspendedFixture,
                 "suspended machine: timeouts of many requests pass meanwhile: "
                 "each ends within half a second of its end",
                 "[failure]") {
  this->faultAll("p", 2, "hang");
  this->faultAll("e", 4, "hang");
  this->Run.atPlatform({"POST",
                        "/store/put?topic=keyed.op&key=config",
                        entryConfig(2, "key-2", 1000),
                        {}});
  REQUIRE(eventually(
      [&] { return this->call("/none/x", "r0", "key-2").Status == 404; }));
  std::vector<std::future<std::chrono::steady_clock::time_point>> Ends;
  constexpr int Count = 12;
  Ends.reserve(Count);
  for (int I = 0; I < Count; ++I)
    Ends.push_back(std::async(std::launch::async, [this, I] {
      const char *Path = I % 2 ? "/once/x" : "/chat/x";
      this->call(Path, "r" + std::to_string(I + 1), "key-2");
      return std::chrono::steady_clock::now();
    }));
  std::this_thread::sleep_for(milliseconds(300));
  this->suspendFor(SuspendedDuration);
  auto Resumed = std::chrono::steady_clock::now();
  for (auto &End : Ends)
    CHECK(End.get() - Resumed <= milliseconds(500));
}

} // namespace waycove::test
