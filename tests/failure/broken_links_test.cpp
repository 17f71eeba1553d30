// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// An answer that an entry has started reaches its caller whole although links
// between entries and targets break.
#include "support/neighbours.h"
#include "support/started_answers_fixture.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace waycove::test {

using std::chrono::milliseconds;

struct BrokenLinksSetup {
  /// For each stream.
  int MaxAttempts = 5;
  /// Of each group.
  int Slots = 8;
  int GroupSize = 2;
  int TokenMs = 10;
};

/// Three entries that reach their targets through links which can break.
struct BrokenLinksFixture : Neighbours {
  explicit BrokenLinksFixture(const BrokenLinksSetup &Setup = {})
      : Neighbours("retry_slack: 1000",
                   NeighbourTargets{1, Targets, true, Setup.TokenMs}) {
    std::string Config = entryConfig(2, "key-1");
    auto Replace = [&](const std::string &Found, const std::string &With) {
      Config.replace(Config.find(Found), Found.size(), With);
    };
    Replace(R"("max_attempts":2,"resumable")",
            R"("max_attempts":)" + std::to_string(Setup.MaxAttempts) +
                R"(,"resumable")");
    Replace(R"("slots":8)", R"("slots":)" + std::to_string(Setup.Slots));
    Replace(R"("size":2)", R"("size":)" + std::to_string(Setup.GroupSize));
    this->Run.atPlatform(
        {"POST", "/store/put?topic=keyed.op&key=config", Config, {}});
    for (const std::string &Entry : Entries)
      REQUIRE(eventually([&] {
        return this->Run.logOf(Entry).find("\"config_applied\",\"node\":\"" +
                                           Entry + "\",\"subject\":\"2\"") !=
                   std::string::npos &&
               this->stream(Entry).Status == 200;
      }));
  }
  Reply stream(const std::string &Entry) {
    std::string Id = "b" + std::to_string(++this->StreamCount);
    return this->Run.ask(Entry, {"POST",
                                 "/chat/x",
                                 "body of " + Id,
                                 {{"Host", "a.example"},
                                  {"Authorization", "Bearer key-1"},
                                  {"X-Request-Id", Id},
                                  {"X-Model", "model"},
                                  {"X-Token-Count", "100,50"},
                                  {"X-Deadline-Ms", "6000"}}});
  }
  using Streams = std::vector<std::future<Reply>>;

  static std::string targetName(int Number) {
    return "e-" + std::to_string(Number);
  }
  std::uint64_t running(int Target) {
    return this->Run.atVm(targetName(Target), {.Path = "/runs"})
        .number("running");
  }
  /// Starts streams at all entries, and waits until targets run them.
  Streams startStreams(std::size_t Count) {
    Streams Started;
    for (std::size_t I = 0; I < Count; ++I)
      Started.push_back(std::async(std::launch::async, [this, I] {
        return this->stream(Entries[I % Entries.size()]);
      }));
    REQUIRE(eventually([&] {
      std::uint64_t Sum = 0;
      for (int I = 1; I <= Targets; ++I)
        Sum += this->running(I);
      return Sum == Count;
    }));
    std::this_thread::sleep_for(milliseconds(50));
    return Started;
  }
  static void checkAllWhole(Streams &Started) {
    std::size_t Whole = 0;
    for (auto &Stream : Started)
      Whole += Stream.get().Body == wholeStream() ? 1 : 0;
    CHECK(Whole == Started.size());
  }

  static constexpr int Targets = 4;
  std::atomic<int> StreamCount{0};
};

// Guards against streams that are cut because neither this entry nor another
// one reaches a target at this moment.
TEST_CASE_METHOD(BrokenLinksFixture,
                 "started answers: the links of all entries break for a "
                 "second: every stream goes on when they are back",
                 "[failure]") {
  Streams Started = this->startStreams(12);
  for (const std::string &Entry : Entries)
    this->cutOff(Entry, LinkFault::Reset);
  std::this_thread::sleep_for(milliseconds(1000));
  for (const std::string &Entry : Entries)
    this->cutOff(Entry, LinkFault::None);
  checkAllWhole(Started);
}

/// Two attempts a stream. While the links of one target are broken, the others
/// turn requests away.
struct OneLinkBrokenFixture : BrokenLinksFixture {
  OneLinkBrokenFixture() : BrokenLinksFixture({2, 64, 1, 50}) {}

  /// Of the first \p Among targets, the one that runs most streams.
  int busiest(int Among = Targets) {
    int Found = 1;
    for (int I = 2; I <= Among; ++I)
      if (this->running(I) > this->running(Found))
        Found = I;
    return Found;
  }
  void faultOthers(int Spared, const std::string &Json) {
    for (int I = 1; I <= Targets; ++I)
      if (I != Spared)
        this->Run.vmFault(targetName(I), Json);
  }
};

// Guards against streams that use up their attempts at the target whose
// connections have just broken, since others of its streams broke a moment
// later and so seemed to show that it lives.
TEST_CASE_METHOD(OneLinkBrokenFixture,
                 "started answers: the links of one target break while the "
                 "others are full: its streams wait for a slot",
                 "[failure]") {
  Streams Started = this->startStreams(36);
  int Broken = this->busiest();
  REQUIRE(this->running(Broken) >= 2 * Entries.size());
  this->faultOthers(Broken, R"({"call":"busy","rest":""})");
  this->breakLinksOf(targetName(Broken), LinkFault::Reset);
  std::this_thread::sleep_for(milliseconds(1000));
  this->faultOthers(Broken, R"({"call":"ok"})");
  checkAllWhole(Started);
}

// Guards against streams whose two attempts are used up by a silent target and
// by one whose links broke, although others would go on.
TEST_CASE_METHOD(
    OneLinkBrokenFixture,
    "started answers: a target is silent and the links of the next "
    "one break: each stream of two attempts goes on at a third",
    "[failure]") {
  Streams Started = this->startStreams(36);
  std::uint64_t Moved = this->running(Targets);
  REQUIRE(Moved > 0);
  std::uint64_t Others = 36 - Moved;
  this->Run.vm(targetName(Targets)).signal(SIGSTOP);
  REQUIRE(eventually([&] {
    std::uint64_t Sum = 0;
    for (int I = 1; I < Targets; ++I)
      Sum += this->running(I);
    return Sum == Others + Moved;
  }));
  std::this_thread::sleep_for(milliseconds(100));
  this->breakLinksOf(targetName(this->busiest(Targets - 1)), LinkFault::Reset);
  checkAllWhole(Started);
}

} // namespace waycove::test
