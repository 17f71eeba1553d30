// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Guards against entries that together send a target more requests per second
// than it states in its responses.
#include "support/entry_fixture.h"
#include "support/neighbours.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// From its first statement until all entries have to know it.
constexpr milliseconds LearnTime(3000);
constexpr milliseconds ObservationTime(8000);
/// In four seconds, a target may get one and a half times its limit and this.
constexpr double Slack = 5;
constexpr double WindowSeconds = 4;
/// Refusing needs no target.
constexpr milliseconds RefusedAtOnce(500);

double allowedInWindow(double PerSecond) {
  return 1.5 * PerSecond * WindowSeconds + Slack;
}

} // namespace

/// Three entries with \p Targets targets of a plain service.
struct LimitedFixture : Neighbours {
  explicit LimitedFixture(int Targets = 3)
      : Neighbours("revoke_bound_ms: 20000, drain_bound_ms: 1500, "
                   "config_bound_ms: 2000",
                   Targets) {}

  void limit(const std::string &PerSecond) {
    this->Run.vmFault("p-1", R"({"limit":")" + PerSecond + "\"}");
  }
  void callFor(milliseconds Duration) {
    this->callUntil(Entries, std::chrono::steady_clock::now() + Duration);
  }
  double atTarget(const std::string &Field) {
    return static_cast<double>(
        this->Run.atVm("p-1", {.Path = "/runs"}).number(Field));
  }
  /// One request, with the whole response.
  Reply ask(const std::string &Node, const std::string &Id) {
    return this->Run.ask(Node, {"POST",
                                "/safe/x",
                                "body",
                                {{"Host", "a.example"},
                                 {"Authorization", "Bearer key-1"},
                                 {"X-Request-Id", Id},
                                 {"X-Deadline-Ms", "3000"}}});
  }
};

/// The same with a single target.
struct LimitedAloneFixture : LimitedFixture {
  LimitedAloneFixture() : LimitedFixture(1) {}
};

// Guards against entries that go on as before, or that each use the whole
// limit, and against a limit that keeps all requests away.
TEST_CASE_METHOD(LimitedFixture,
                 "limited target: three entries under traffic: together they "
                 "keep to its limit and use it",
                 "[failure]") {
  constexpr double PerSecond = 1.5;
  this->limit("1.5");
  this->callFor(LearnTime + ObservationTime);
  CHECK(this->atTarget("limited_peak") <= allowedInWindow(PerSecond));
  CHECK(this->atTarget("limited") >= 6);
}

// Guards against a limit that is broken where no other target is left, and
// against callers that wait for their turn instead of hearing of it.
TEST_CASE_METHOD(LimitedAloneFixture,
                 "limited target: no other one is left: requests are refused "
                 "at once, with the time until one is taken",
                 "[failure]") {
  constexpr double PerSecond = 0.5;
  this->limit("0.5");
  this->callFor(LearnTime + ObservationTime);
  CHECK(this->atTarget("limited_peak") <= allowedInWindow(PerSecond));
  CHECK(this->atTarget("limited") >= 2);
  int Refused = 0;
  for (int I = 0; I < 10; ++I) {
    auto Begin = std::chrono::steady_clock::now();
    Reply Response = this->ask(Entries[1], "again-" + std::to_string(I));
    if (Response.Status == 200)
      continue;
    ++Refused;
    CHECK(Response.Status == 503);
    CHECK(std::stod("0" + Response.RetryAfter) > 0.05);
    CHECK(std::chrono::steady_clock::now() - Begin < RefusedAtOnce);
  }
  CHECK(Refused >= 8);
}

// Guards against a limit that outlasts its end at entries that were told of it
// by others, and against one that holds for the next process.
TEST_CASE_METHOD(LimitedFixture,
                 "limited target: the limit ends, or the target starts again: "
                 "all entries use it as before",
                 "[failure]") {
  auto IsUsedByAll = [&] {
    return std::all_of(
        Entries.begin(), Entries.end(), [&](const std::string &Node) {
          double Before = this->atTarget("runs");
          this->callUntil({Node},
                          std::chrono::steady_clock::now() + milliseconds(500));
          return this->atTarget("runs") - Before >= 5;
        });
  };
  this->limit("0.2");
  REQUIRE(eventually([&] { return !IsUsedByAll(); }));
  this->callFor(LearnTime);
  CHECK_FALSE(IsUsedByAll());
  this->limit("");
  CHECK(eventually(IsUsedByAll));

  this->limit("0.2");
  REQUIRE(eventually([&] { return !IsUsedByAll(); }));
  // The restarted process states none.
  this->limit("");
  this->Run.atVm("p-1", {"POST", "/restart", "", {}});
  CHECK(eventually(IsUsedByAll, milliseconds(5000)));
}

// Guards against an entry that starts again and sends what it likes, although
// others know the limit.
TEST_CASE_METHOD(LimitedFixture,
                 "limited target: an entry starts again: the others tell it "
                 "the limit",
                 "[failure]") {
  this->limit("0.5");
  this->callFor(LearnTime);
  this->restart(Entries[2]);
  auto IsTold = [&] {
    std::string Log = this->Run.logOf(Entries[2]);
    std::size_t First = Log.find("\"daemon_started\"");
    std::size_t Second = Log.find("\"daemon_started\"", First + 1);
    return Second != std::string::npos &&
           Log.find("\"target_limited\"", Second) != std::string::npos;
  };
  CHECK(eventually(IsTold));
}

/// One entry with two groups of engines whose streams break after some events.
struct LimitedStreamFixture : EntryFixture {
  static constexpr int Callers = 12;

  /// Asks for streams from many callers at a time until \p Until.
  void streamUntil(std::chrono::steady_clock::time_point Until) {
    std::vector<std::thread> Threads;
    Threads.reserve(Callers);
    for (int Caller = 0; Caller < Callers; ++Caller)
      Threads.emplace_back([this, Caller, Until] {
        for (int I = 0; std::chrono::steady_clock::now() < Until; ++I)
          this->call("/chat/x",
                     "s-" + std::to_string(Caller) + "-" + std::to_string(I));
      });
    for (std::thread &Row : Threads)
      Row.join();
  }
  double atTarget(const std::string &Vm, const std::string &Field) {
    return static_cast<double>(
        this->Run.atVm(Vm, {.Path = "/runs"}).number(Field));
  }
};

// Guards against streams that are resumed at a target without regard to its
// limit.
TEST_CASE_METHOD(LimitedStreamFixture,
                 "limited target: streams break and are resumed: what is "
                 "resumed counts against the limit",
                 "[failure]") {
  constexpr double PerSecond = 1;
  for (const char *Vm : {"e-1", "e-2", "e-3", "e-4"})
    this->Run.vmFault(Vm, R"({"call":"die_after","limit":"1"})");
  this->streamUntil(std::chrono::steady_clock::now() + LearnTime +
                    ObservationTime);
  double Sum = 0;
  for (const char *Vm : {"e-1", "e-2", "e-3", "e-4"}) {
    CHECK(this->atTarget(Vm, "limited_peak") <= allowedInWindow(PerSecond));
    Sum += this->atTarget(Vm, "limited");
  }
  CHECK(Sum >= 6);
}

} // namespace waycove::test
