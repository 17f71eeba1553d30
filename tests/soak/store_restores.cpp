// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "soak/store_restores.h"

#include <random>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// Time after a restore for targets and operators to publish again.
constexpr int RepublishMs = 1000;
/// Keeps the random sequences of the options independent.
constexpr std::uint64_t RestoreSeedOffset = 1'000'000;

} // namespace

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
      this->Configs.publish();
    }
    Pause(0, 500);
    Run.atPlatform({"POST", "/store/down?how=refuse", "", {}});
    Pause(100, 1200);
    Run.atPlatform({"POST", "/store/restore", "", {}});
    Run.atPlatform({"POST", "/store/down?how=no", "", {}});
    std::thread Targets([&] { this->republishTargets(); });
    Pause(0, RepublishMs);
    this->Configs.publish();
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

} // namespace waycove::test
