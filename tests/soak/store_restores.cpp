// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "soak/store_restores.h"

#include "soak/soak_config.h"

#include <algorithm>
#include <random>
#include <thread>

namespace waycove::test {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Time after a restore for targets and operators to publish again.
constexpr int RepublishMs = 1000;
/// Keeps the random sequences of the options independent.
constexpr std::uint64_t RestoreSeedOffset = 1'000'000;

} // namespace

void StoreRestores::publish() {
  int Version = ++this->Version;
  this->System.Run.atPlatform(
      {"POST", "/store/put?topic=keyed.op&key=config", config(Version), {}});
  std::lock_guard Lock(this->Mutex);
  if (Version > 1)
    this->RevokedKeys.push_back({versionKey(Version - 1), Clock::now()});
}

void StoreRestores::restoreRepeatedly() {
  // A separate generator keeps the other faults of a seed unchanged.
  std::mt19937_64 Generator(this->System.Seed + RestoreSeedOffset);
  auto Pause = [&](int Min, int Max) {
    std::this_thread::sleep_for(
        milliseconds(std::uniform_int_distribution<int>(Min, Max)(Generator)));
  };
  Cluster &Run = this->System.Run;
  while (!this->System.FaultsOver) {
    Run.atPlatform({"POST", "/store/copy", "", {}});
    for (int Changes = static_cast<int>(Generator() % 4); Changes >= 0;
         --Changes) {
      Pause(50, 1200);
      this->publish();
    }
    Pause(0, 500);
    Run.atPlatform({"POST", "/store/down?how=refuse", "", {}});
    Pause(100, 1200);
    Run.atPlatform({"POST", "/store/restore", "", {}});
    Run.atPlatform({"POST", "/store/down?how=no", "", {}});
    std::thread Targets([&] { this->republishTargets(); });
    Pause(0, RepublishMs);
    this->publish();
    Targets.join();
    Pause(0, 2000);
  }
}

void StoreRestores::republishTargets() {
  auto Publish = [this](const std::string &Vm) {
    return this->System.Run.atVm(
        Vm, {"POST", "/publish", "", {}, milliseconds(500)});
  };
  for (const std::string &Vm : this->System.Vms) {
    std::this_thread::sleep_for(
        milliseconds(RepublishMs / this->System.Vms.size()));
    if (!Publish(Vm).Refused)
      continue;
    this->System.removeFromRegistry(Vm);
    // The target may have started in the meantime.
    Publish(Vm);
  }
}

std::string StoreRestores::chooseRevokedKey() {
  std::lock_guard Lock(this->Mutex);
  auto Latest = std::find_if(
      this->RevokedKeys.rbegin(), this->RevokedKeys.rend(),
      [](const auto &Row) { return Clock::now() - Row.At > RevokeBound; });
  if (Latest == this->RevokedKeys.rend())
    return "";
  // Half of the requests use the newest key, which a copy may still hold.
  if (this->RevokedCalls % 2 == 0)
    return Latest->Key;
  auto Count = static_cast<unsigned>(this->RevokedKeys.rend() - Latest);
  return this->RevokedKeys[this->RevokedCalls % Count].Key;
}

void StoreRestores::callWithRevokedKey() {
  std::this_thread::sleep_for(milliseconds(20));
  std::string Key = this->chooseRevokedKey();
  if (Key.empty())
    return;
  unsigned Number = ++this->RevokedCalls;
  std::string Node = Number % 4 < 2 ? "n1" : "n2";
  Reply Response = this->System.call(Node, "/once/x",
                                     "thief-" + std::to_string(Number), Key);
  if (Response.Status == 200)
    this->System.Failures.add(Node + ": served a request with " + Key +
                              ", which was taken away");
}

bool StoreRestores::isLastVersionServed() {
  std::string Key = versionKey(this->Version);
  std::string Id = "last-" + std::to_string(++this->RevokedCalls);
  return this->System.call("n1", "/once/x", Id, Key).Status == 200 &&
         this->System.call("n2", "/once/x", Id + "b", Key).Status == 200;
}

} // namespace waycove::test
