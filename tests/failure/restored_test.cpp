// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// The store is restored from a backup and reuses offsets: nodes must not take
// its shorter logs for stale reads and miss later changes.
#include "board/feed_cache.h"
#include "support/neighbours.h"
#include "support/timeout_watch.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ConfigBound(2000);
constexpr milliseconds RevokeBound(5000);
constexpr milliseconds DrainBound(2000);
/// Duration of the outage before the restore.
constexpr milliseconds OutageDuration(800);

} // namespace

/// Three entries, one of which reads the store for the others, and a store that
/// is restored from a backup.
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
  /// Backs up the store.
  void copy() { this->atStore("/store/copy"); }
  void restore() {
    this->atStore("/store/down?how=refuse");
    std::this_thread::sleep_for(OutageDuration);
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
  /// Returns whether no entry serves a request with \p Key within \p Duration.
  bool neverServes(const std::string &Key, milliseconds Duration) {
    auto Serves = [&](const std::string &Node) {
      return this->call(Node, Key) == 200;
    };
    return !eventually(
        [&] { return std::any_of(Entries.begin(), Entries.end(), Serves); },
        Duration);
  }
  /// Revokes "key-2" after a backup that contains it.
  void replaceKeyAfterCopy() {
    this->publishUpTo(2);
    this->copy();
    this->publish(4, "key-4");
    REQUIRE(this->allReturnOk(Entries, "key-4"));
  }
  /// Publishes versions up to \p Last and waits until each is in force.
  void publishUpTo(int Last) {
    for (int Version = 2; Version <= Last; ++Version) {
      std::string Key = "key-" + std::to_string(Version);
      this->publish(Version, Key);
      REQUIRE(this->allReturnOk(Entries, Key));
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
  CHECK(this->allReturnOk(Entries, "key-6"));
  CHECK(std::chrono::steady_clock::now() - Written < ConfigBound);
  for (const std::string &Node : Entries)
    CHECK(this->call(Node, "key-5") == 401);
}

// A key that was revoked after the backup must stay refused on all entries.
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
  CHECK(this->allReturnOk(Entries, "key-6"));
  CHECK(this->neverServes("key-2", milliseconds(500)));
}

// No node remembers the version that was in force before the restore.
TEST_CASE_METHOD(RestoredFixture,
                 "store restored: all entries start after it: a key that was "
                 "taken away is refused while operators write again",
                 "[failure]") {
  this->replaceKeyAfterCopy();
  this->killAll();
  this->restore();
  this->startAll();
  CHECK(this->neverServes("key-2", milliseconds(3500)));
  // Without a new version from operators, the restored one comes into force.
  CHECK(eventually([&] { return this->call("n1", "key-2") == 200; },
                   RevokeBound));
  this->publish(6, "key-6");
  CHECK(this->allReturnOk(Entries, "key-6"));
}

TEST_CASE_METHOD(RestoredFixture,
                 "store restored: written again, then all entries start: they "
                 "serve at once",
                 "[failure]") {
  this->replaceKeyAfterCopy();
  this->restore();
  this->publish(6, "key-6");
  REQUIRE(this->allReturnOk(Entries, "key-6"));
  // Lets an entry wait for operators and record in the directory that it has.
  std::this_thread::sleep_for(FeedCache::RecoveryTimeout + milliseconds(1500));
  this->killAll();
  this->startAll();
  CHECK(eventually([&] { return this->call("n1", "key-6") == 200; },
                   RevokeBound / 2));
}

// A target that left after the backup must not be used again.
TEST_CASE_METHOD(RestoredFixture,
                 "store restored: a target had left before: gets nothing more",
                 "[failure]") {
  this->copy();
  this->dropTarget("p-1");
  auto RemovedAt = std::chrono::steady_clock::now() + milliseconds(1000);
  REQUIRE(this->callUntil(Entries, RemovedAt) > 0);
  this->restore();
  this->publish(3, "key-1");
  auto LapsedAt = std::chrono::steady_clock::now() + milliseconds(3600);
  CHECK(this->callUntil(Entries, LapsedAt) > 0);
  CHECK(this->lastRunAt("p-1") < RemovedAt);
}

// Guards against requests that are held beyond their route's timeout by nodes
// that fall back to an older one, or read all anew.
TEST_CASE_METHOD(RestoredFixture,
                 "store restored: targets hang meanwhile: each request ends "
                 "within half a second of its timeout",
                 "[failure]") {
  this->copy();
  this->shortenTimeout(2, milliseconds(700));
  this->faultTargets(3, "hang");
  TimeoutWatch Calls(this->Run, Entries, milliseconds(700));
  std::this_thread::sleep_for(milliseconds(1000));
  this->restore();
  std::this_thread::sleep_for(milliseconds(1000));
  this->publish(3, "key-1");
  std::this_thread::sleep_for(milliseconds(2000));
  CHECK(Calls.stop() == "");
  CHECK(Calls.timedOut() > 20);
}

// Guards against the same at nodes in their first seconds, and at kept
// connections of their callers.
TEST_CASE_METHOD(RestoredFixture,
                 "all entries start again while targets hang: each request "
                 "ends within half a second of its timeout",
                 "[failure]") {
  this->shortenTimeout(2, milliseconds(700));
  this->faultTargets(3, "hang");
  TimeoutWatch Calls(this->Run, Entries, milliseconds(700));
  std::this_thread::sleep_for(milliseconds(1000));
  this->killAll();
  this->startAll();
  std::this_thread::sleep_for(milliseconds(4000));
  CHECK(Calls.stop() == "");
  CHECK(Calls.timedOut() > 20);
}

} // namespace waycove::test
