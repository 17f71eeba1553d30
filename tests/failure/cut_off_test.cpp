// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Guards against entries that refuse or keep their callers waiting while they
// have no link to any target, although their neighbours have.
#include "support/entry_config.h"
#include "support/neighbours.h"
#include "support/timeout_watch.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// From the start of a cut until entries have to serve again.
constexpr milliseconds NoticeTime(3000);
constexpr milliseconds ObservationTime(4000);
constexpr milliseconds BetweenCalls(50);

/// What callers of one entry saw.
struct Seen {
  int Sent = 0;
  int Served = 0;
  milliseconds Slowest{0};
  std::vector<int> OtherStatuses;
};

} // namespace

/// Three entries before three plain targets, with a cut between entries and
/// targets.
struct CutOffFixture : Neighbours {
  explicit CutOffFixture(int Engines = 0)
      : Neighbours("revoke_bound_ms: 20000, drain_bound_ms: 1500, "
                   "config_bound_ms: 2000",
                   NeighbourTargets{3, Engines, true}) {}

  /// Each entry gets requests at a steady rate for \p Duration, whatever the
  /// others respond.
  std::map<std::string, Seen> callAll(milliseconds Duration) {
    std::map<std::string, std::future<Seen>> Callers;
    for (const std::string &Node : Entries)
      Callers[Node] = std::async(std::launch::async, [this, Node, Duration] {
        return this->callSteadily(Node, Duration);
      });
    std::map<std::string, Seen> Found;
    for (auto &[Node, Calls] : Callers)
      Found[Node] = Calls.get();
    return Found;
  }
  Reply ask(const std::string &Node, const std::string &Path,
            std::map<std::string, std::string> Headers = {}) {
    Headers["Host"] = "a.example";
    Headers["Authorization"] = "Bearer key-1";
    Headers["X-Request-Id"] = "c" + std::to_string(++this->RequestCount);
    Headers["X-Deadline-Ms"] = "3000";
    return this->Run.ask(Node, {"POST", Path, "body", Headers});
  }
  bool isCutOff(const std::string &Node) {
    std::string Log = this->Run.logOf(Node);
    std::size_t Lost = Log.rfind("\"targets_unreachable\"");
    std::size_t Back = Log.rfind("\"targets_reachable\"");
    return Lost != std::string::npos &&
           (Back == std::string::npos || Lost > Back);
  }
  /// \p Nodes are cut off by \p Fault. Checks that callers of all entries are
  /// served, without a longer wait than a few timeouts.
  void checkServedDuring(const std::vector<std::string> &Nodes,
                         LinkFault Fault) {
    for (const std::string &Node : Nodes)
      this->cutOff(Node, Fault);
    this->callAll(NoticeTime);
    for (const auto &[Node, Calls] : this->callAll(ObservationTime)) {
      CAPTURE(Node, Calls.Sent, Calls.Served, Calls.Slowest.count(),
              Calls.OtherStatuses);
      CHECK(Calls.Sent >= 40);
      CHECK(Calls.Served >= Calls.Sent * 49 / 50);
      CHECK(Calls.Slowest < milliseconds(1000));
    }
    for (const std::string &Node : Nodes)
      this->cutOff(Node, LinkFault::None);
    CHECK(eventually(
        [&] {
          return std::none_of(
              Nodes.begin(), Nodes.end(),
              [&](const std::string &Node) { return this->isCutOff(Node); });
        },
        milliseconds(3000)));
    for (const auto &[Node, Calls] : this->callAll(milliseconds(1000)))
      CHECK(Calls.Served == Calls.Sent);
  }

  Seen callSteadily(const std::string &Node, milliseconds Duration) {
    std::vector<std::future<std::pair<int, milliseconds>>> Calls;
    auto End = steady_clock::now() + Duration;
    while (steady_clock::now() < End) {
      Calls.push_back(std::async(std::launch::async, [this, Node] {
        auto Begin = steady_clock::now();
        int Status = this->ask(Node, "/safe/x").Status;
        return std::pair(Status, std::chrono::duration_cast<milliseconds>(
                                     steady_clock::now() - Begin));
      }));
      std::this_thread::sleep_for(BetweenCalls);
    }
    Seen Found;
    for (auto &Call : Calls) {
      auto [Status, Took] = Call.get();
      ++Found.Sent;
      Found.Slowest = std::max(Found.Slowest, Took);
      if (Status == 200)
        ++Found.Served;
      else
        Found.OtherStatuses.push_back(Status);
    }
    return Found;
  }

private:
  std::atomic<int> RequestCount{0};
};

TEST_CASE_METHOD(CutOffFixture,
                 "cut off: connections of one entry hang: its callers are "
                 "served as the others",
                 "[failure]") {
  this->checkServedDuring({"n1"}, LinkFault::Silent);
}

TEST_CASE_METHOD(CutOffFixture,
                 "cut off: connections of one entry are reset: its callers "
                 "are served as the others",
                 "[failure]") {
  this->checkServedDuring({"n2"}, LinkFault::Reset);
}

TEST_CASE_METHOD(CutOffFixture,
                 "cut off: connections of two of three entries hang: their "
                 "callers are served as the others",
                 "[failure]") {
  this->checkServedDuring({"n1", "n3"}, LinkFault::Silent);
}

TEST_CASE_METHOD(CutOffFixture,
                 "cut off: open connections fall silent and new ones are "
                 "refused: its callers are served as the others",
                 "[failure]") {
  this->checkServedDuring({"n3"}, LinkFault::SilentRefuseNew);
}

// Guards against callers that wait although no entry reaches any target, and
// against a node that still takes new connections then.
TEST_CASE_METHOD(CutOffFixture,
                 "cut off: all entries are: requests are refused at once and "
                 "served again when it ends",
                 "[failure]") {
  for (const std::string &Node : Entries)
    this->cutOff(Node, LinkFault::RefuseNew);
  for (const std::string &Node : Entries)
    this->cutOff(Node, LinkFault::Reset);
  this->callAll(NoticeTime);
  for (const auto &[Node, Calls] : this->callAll(milliseconds(1000))) {
    CAPTURE(Node, Calls.OtherStatuses);
    CHECK(Calls.Served == 0);
    CHECK(Calls.Slowest < milliseconds(500));
    CHECK(std::count(Calls.OtherStatuses.begin(), Calls.OtherStatuses.end(),
                     503) == Calls.Sent);
  }
  for (const std::string &Node : Entries) {
    CHECK_FALSE(this->isReady(Node));
    CHECK(std::stod("0" + this->ask(Node, "/safe/x").RetryAfter) > 0.05);
  }
  for (const std::string &Node : Entries)
    this->cutOff(Node, LinkFault::None);
  CHECK(eventually(
      [&] {
        return std::all_of(Entries.begin(), Entries.end(),
                           [&](const std::string &Node) {
                             return this->isReady(Node) &&
                                    this->ask(Node, "/safe/x").Status == 200;
                           });
      },
      milliseconds(3000)));
}

// Guards against requests that wait for a neighbour that does not respond.
TEST_CASE_METHOD(CutOffFixture,
                 "cut off: a neighbour is frozen, then killed: the other one "
                 "carries the requests",
                 "[failure]") {
  this->cutOff("n1", LinkFault::Silent);
  this->callAll(NoticeTime);
  REQUIRE(this->isCutOff("n1"));
  auto CheckServed = [&] {
    Seen Calls = this->callSteadily("n1", milliseconds(2000));
    CAPTURE(Calls.OtherStatuses, Calls.Slowest.count());
    CHECK(Calls.Served == Calls.Sent);
    CHECK(Calls.Slowest < milliseconds(1500));
  };
  this->Run.node("n2").signal(SIGSTOP);
  CheckServed();
  this->Run.node("n2").signal(SIGCONT);
  this->Run.killNode("n2");
  CheckServed();
}

// Guards against requests that are held beyond their route's timeout by links
// or neighbours that are silent.
TEST_CASE_METHOD(CutOffFixture,
                 "cut off: connections of two entries hang while a neighbour "
                 "freezes: each request ends within half a second of its "
                 "timeout",
                 "[failure]") {
  constexpr milliseconds Timeout(500);
  this->shortenTimeout(2, Timeout);
  TimeoutWatch Calls(this->Run, {"n1", "n3"}, Timeout);
  for (LinkFault Fault : {LinkFault::Silent, LinkFault::SilentRefuseNew}) {
    this->cutOff("n1", Fault);
    this->cutOff("n3", Fault);
    std::this_thread::sleep_for(milliseconds(1500));
    this->Run.node("n2").signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(1500));
    this->Run.node("n2").signal(SIGCONT);
    this->cutOff("n1", LinkFault::None);
    this->cutOff("n3", LinkFault::None);
    std::this_thread::sleep_for(milliseconds(1000));
  }
  CHECK(Calls.stop() == "");
  CHECK(Calls.timedOut() > 5);
}

/// The same with two groups of engines.
struct CutOffStreamsFixture : CutOffFixture {
  CutOffStreamsFixture() : CutOffFixture(4) {
    REQUIRE(eventually([&] { return this->stream("n1").Status == 200; }));
    this->cutOff("n1", LinkFault::Silent);
    REQUIRE(eventually(
        [&] {
          this->callAll(milliseconds(500));
          return this->isCutOff("n1");
        },
        milliseconds(6000)));
  }
  Reply stream(const std::string &Node) {
    std::map<std::string, std::string> Headers = {{"X-Model", "model"},
                                                  {"X-Token-Count", "100,50"}};
    return this->ask(Node, "/chat/x", Headers);
  }
  std::uint64_t sum(const std::string &Prefix, int Count,
                    const std::string &Field) {
    std::uint64_t Sum = 0;
    for (int I = 1; I <= Count; ++I)
      Sum += this->Run.atVm(Prefix + "-" + std::to_string(I), {.Path = "/runs"})
                 .number(Field);
    return Sum;
  }
};

// Guards against a call that runs twice because it goes through two entries, or
// that is reported as not run although it may have.
TEST_CASE_METHOD(CutOffStreamsFixture,
                 "cut off: calls that must not be repeated: each runs once, "
                 "and is never said not to have run if it may have",
                 "[failure]") {
  std::uint64_t Before = this->sum("p", 3, "runs");
  for (int I = 0; I < 20; ++I)
    CHECK(this->ask("n1", "/once/x").Status == 200);
  CHECK(this->sum("p", 3, "runs") - Before == 20);

  for (const char *Vm : {"p-1", "p-2", "p-3"})
    this->Run.vmFault(Vm, R"({"call":"hang"})");
  auto Call = std::async(std::launch::async,
                         [this] { return this->ask("n1", "/once/x"); });
  REQUIRE(eventually([&] { return this->sum("p", 3, "runs") - Before == 21; }));
  this->Run.killNode("n2");
  this->Run.killNode("n3");
  Reply Response = Call.get();
  CAPTURE(Response.Status);
  CHECK(Response.Status != 503);
  CHECK(Response.Status != 429);
  CHECK(this->sum("p", 3, "runs") - Before == 21);
}

// Guards against streams that are damaged on their way through another entry,
// that are not resumed when it goes, and that run on after their caller left.
TEST_CASE_METHOD(CutOffStreamsFixture,
                 "cut off: streams: they are whole, also if the neighbour is "
                 "killed, and a caller's leave reaches the target",
                 "[failure]") {
  for (int I = 0; I < 5; ++I)
    CHECK(this->stream("n1").Body == wholeStream());
  std::uint64_t Before = this->sum("e", 4, "left");
  Reply Left = this->Run.ask("n1", {"POST",
                                    "/chat/x",
                                    "body",
                                    {{"Host", "a.example"},
                                     {"Authorization", "Bearer key-1"},
                                     {"X-Request-Id", "leaves"},
                                     {"X-Model", "model"},
                                     {"X-Token-Count", "100,50"},
                                     {"X-Deadline-Ms", "3000"}},
                                    milliseconds(150)});
  CHECK(Left.Cut);
  CHECK(eventually([&] { return this->sum("e", 4, "left") > Before; },
                   milliseconds(500)));

  constexpr int Together = 8;
  std::vector<std::future<Reply>> Streams;
  Streams.reserve(Together);
  for (int I = 0; I < Together; ++I)
    Streams.push_back(
        std::async(std::launch::async, [this] { return this->stream("n1"); }));
  std::this_thread::sleep_for(milliseconds(150));
  this->Run.killNode("n2");
  for (auto &Stream : Streams)
    CHECK(Stream.get().Body == wholeStream());
}

// Guards against a neighbour that goes on sending to a target which told it, in
// a response to a request that it carried, that it leaves.
TEST_CASE_METHOD(CutOffFixture,
                 "cut off: a target states that it leaves in a response that a "
                 "neighbour carried: the neighbour sends it nothing more",
                 "[failure]") {
  this->cutOff("n1", LinkFault::Silent);
  this->callAll(NoticeTime);
  REQUIRE(this->isCutOff("n1"));
  this->Run.killNode("n3");
  // The target that such requests go to now.
  REQUIRE(this->ask("n1", "/safe/x").Status == 200);
  std::string Log = this->Run.logOf("n2");
  std::string Target =
      Log.substr(Log.find("\"target\":\"p-", Log.rfind("\"request_carried\"")) +
                     std::string("\"target\":\"").size(),
                 std::string("p-1").size());
  this->Run.vmFault(Target, R"({"leaving":"yes"})");
  REQUIRE(eventually([&] {
    this->ask("n1", "/safe/x");
    return this->Run.logOf("n2").find("\"target_leaves\"") != std::string::npos;
  }));
  auto Runs = [&] {
    return this->Run.atVm(Target, {.Path = "/runs"}).number("runs");
  };
  std::this_thread::sleep_for(milliseconds(300));
  std::uint64_t Before = Runs();
  for (int I = 0; I < 30; ++I) {
    CHECK(this->ask("n1", "/safe/x").Status == 200);
    CHECK(this->ask("n2", "/safe/x").Status == 200);
  }
  CHECK(Runs() == Before);
}

// Guards against a node that takes a short silence of sound targets for a cut,
// and refuses or loses what they would have answered.
TEST_CASE_METHOD(CutOffFixture,
                 "cut off: all targets are silent towards all entries for a "
                 "second: nothing is lost",
                 "[failure]") {
  auto Calls = std::async(std::launch::async,
                          [this] { return this->callAll(milliseconds(4000)); });
  std::this_thread::sleep_for(milliseconds(1000));
  for (const std::string &Node : Entries)
    this->cutOff(Node, LinkFault::Silent);
  std::this_thread::sleep_for(milliseconds(1200));
  for (const std::string &Node : Entries)
    this->cutOff(Node, LinkFault::None);
  for (const auto &[Node, Found] : Calls.get()) {
    CAPTURE(Node, Found.OtherStatuses);
    CHECK(Found.Served == Found.Sent);
  }
}

} // namespace waycove::test
