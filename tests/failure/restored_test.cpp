// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Requests were served on routes that a configuration had taken away, more than
// two seconds after the store had acknowledged it, and everything else was
// refused meanwhile, with the store sound.
//
// How it came about: the store was away for a moment and came back from a copy
// some seconds old. What it had acknowledged since was gone, its offsets went
// back and were given out again. Nodes took a smaller end of a log for a copy
// that lags: none read on until the log had grown past what they knew, and of
// what was written until then they never learned.
//
// What proved it: the same smaller end, at the same moment, at nodes that read
// over connections of their own, while the store acknowledged versions of which
// none of them saw one; they took the first whose offset was past what they
// knew. The store says in all its answers how often it came back (Store-Era).
#include "board/feed_cache.h"
#include "support/neighbours.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ConfigBound(2000);
constexpr milliseconds RevokeBound(5000);
constexpr milliseconds DrainBound(2000);
/// How long the store is away before it comes back from its copy.
constexpr milliseconds AwayTime(800);

} // namespace

/// Three entries, one of which reads the store for the others, and a store that
/// comes back from an older copy of itself.
struct RestoredFixture : Neighbours {
  RestoredFixture()
      : Neighbours(
            "revoke_bound_ms: " + std::to_string(RevokeBound.count()) +
                ", drain_bound_ms: " + std::to_string(DrainBound.count()) +
                ", config_bound_ms: " + std::to_string(ConfigBound.count()),
            3) {}

  void atStore(const std::string &Path) {
    this->Run.atPlatform({"POST", Path, "", {}});
  }
  /// What the store holds now is what it comes back with.
  void copy() { this->atStore("/store/copy"); }
  void restore() {
    this->atStore("/store/down?how=refuse");
    std::this_thread::sleep_for(AwayTime);
    this->atStore("/store/restore");
    this->atStore("/store/down?how=no");
  }
  void killAll() {
    for (const std::string &Node : Entries)
      this->Run.killNode(Node);
  }
  void startAll() {
    for (const std::string &Node : Entries)
      this->restart(Node);
  }
  /// Whether no entry serves a request with \p Key for as long as \p Within.
  bool neverServes(const std::string &Key, milliseconds Within) {
    auto Serves = [&](const std::string &Node) {
      return this->call(Node, Key) == 200;
    };
    return !eventually(
        [&] { return std::any_of(Entries.begin(), Entries.end(), Serves); },
        Within);
  }
  /// What the store will come back with has "key-2", which version 4 has taken
  /// away since.
  void replaceKeyAfterCopy() {
    this->publishUpTo(2);
    this->copy();
    this->publish(4, "key-4");
    REQUIRE(this->allTake(Entries, "key-4"));
  }
  /// Publishes versions up to \p Last, each of which is in force.
  void publishUpTo(int Last) {
    for (int Version = 2; Version <= Last; ++Version) {
      std::string Key = "key-" + std::to_string(Version);
      this->publish(Version, Key);
      REQUIRE(this->allTake(Entries, Key));
    }
  }
};

TEST_CASE_METHOD(RestoredFixture,
                 "store restored: a configuration is written: in force "
                 "everywhere in time",
                 "[failure]") {
  this->copy();
  this->publishUpTo(5);
  this->restore();
  this->publish(6, "key-6");
  auto Written = std::chrono::steady_clock::now();
  CHECK(this->allTake(Entries, "key-6"));
  CHECK(std::chrono::steady_clock::now() - Written < ConfigBound);
  for (const std::string &Node : Entries)
    CHECK(this->call(Node, "key-5") == 401);
}

// The copy has a key that was taken away since, and nobody may use it again:
// not where the newer configuration is in force, and not at an entry that
// starts and finds the copy's in the store.
TEST_CASE_METHOD(RestoredFixture,
                 "store restored: a key was taken away before: refused "
                 "everywhere, also by entries that start",
                 "[failure]") {
  this->replaceKeyAfterCopy();
  this->restore();
  CHECK(this->neverServes("key-2", milliseconds(700)));
  std::string Reader = this->reader();
  this->restart(this->others(Reader).front());
  CHECK(this->neverServes("key-2", milliseconds(1500)));
  this->restart(Reader);
  CHECK(this->neverServes("key-2", milliseconds(2500)));
  this->publish(6, "key-6");
  CHECK(this->allTake(Entries, "key-6"));
  CHECK(this->neverServes("key-2", milliseconds(500)));
}

// Nobody is left who knows what was in force before.
TEST_CASE_METHOD(RestoredFixture,
                 "store restored: all entries start after it: a key that was "
                 "taken away is refused while operators write again",
                 "[failure]") {
  this->replaceKeyAfterCopy();
  this->killAll();
  this->restore();
  this->startAll();
  CHECK(this->neverServes("key-2", milliseconds(3500)));
  // Operators write nothing: what the copy has is what there is.
  CHECK(eventually([&] { return this->call("n1", "key-2") == 200; },
                   RevokeBound));
  this->publish(6, "key-6");
  CHECK(this->allTake(Entries, "key-6"));
}

TEST_CASE_METHOD(RestoredFixture,
                 "store restored: written again, then all entries start: they "
                 "serve at once",
                 "[failure]") {
  this->replaceKeyAfterCopy();
  this->restore();
  this->publish(6, "key-6");
  REQUIRE(this->allTake(Entries, "key-6"));
  // For one of them to have waited for operators, and to note in the directory
  // that it has.
  std::this_thread::sleep_for(FeedCache::RecoveryTimeout + milliseconds(1500));
  this->killAll();
  this->startAll();
  CHECK(eventually([&] { return this->call("n1", "key-6") == 200; },
                   RevokeBound / 2));
}

// The copy lists a target that has left since. It serves on for a while, and
// its entry lapses again only after three heartbeats of silence.
TEST_CASE_METHOD(RestoredFixture,
                 "store restored: a target had left before: gets nothing more",
                 "[failure]") {
  this->copy();
  this->dropTarget("p-1");
  auto Gone = std::chrono::steady_clock::now() + milliseconds(1000);
  REQUIRE(this->callUntil(Entries, Gone) > 0);
  this->restore();
  this->publish(3, "key-1");
  auto Lapsed = std::chrono::steady_clock::now() + milliseconds(3600);
  CHECK(this->callUntil(Entries, Lapsed) > 0);
  CHECK(this->lastRunAt("p-1") < Gone);
}

} // namespace waycove::test
