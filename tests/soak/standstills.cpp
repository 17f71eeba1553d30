// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "soak/standstills.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

/// Keeps the random sequences of the options independent.
constexpr std::uint64_t StandstillSeedOffset = 12'000'000;
/// All stand still once in so many calls.
constexpr int CallsPerStandstill = 4;
constexpr int MinStillMs = 600;
constexpr int MaxStillMs = 1600;
/// By then after the entries the targets run again.
constexpr int MaxTargetDelayMs = 400;

} // namespace

Standstills::Standstills(SoakSystem &System)
    : System(System), Random(System.Seed + StandstillSeedOffset) {}

int Standstills::randomBelow(int Below) {
  return std::uniform_int_distribution<int>(0, Below - 1)(this->Random);
}

void Standstills::maybeStandStill(const std::vector<std::string> &Nodes,
                                  const std::vector<std::string> &Vms) {
  if (this->randomBelow(CallsPerStandstill) != 0)
    return;
  Cluster &Run = this->System.Run;
  std::uint64_t Begin = wallMs();
  for (const std::string &Node : Nodes)
    Run.node(Node).signal(SIGSTOP);
  for (const std::string &Vm : Vms)
    Run.vm(Vm).signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds(
      MinStillMs + this->randomBelow(MaxStillMs - MinStillMs + 1)));
  for (const std::string &Node : Nodes) {
    Run.node(Node).signal(SIGCONT);
    this->System.Faults.add({Node, Begin, wallMs()});
    this->System.Outages.add({Node, Begin, wallMs()});
  }
  std::vector<std::pair<int, std::string>> Delays;
  Delays.reserve(Vms.size());
  for (const std::string &Vm : Vms)
    Delays.emplace_back(this->randomBelow(MaxTargetDelayMs + 1), Vm);
  std::ranges::sort(Delays);
  int Waited = 0;
  for (const auto &[DelayMs, Vm] : Delays) {
    std::this_thread::sleep_for(milliseconds(DelayMs - Waited));
    Waited = DelayMs;
    Run.vm(Vm).signal(SIGCONT);
    this->System.Faults.add({Vm, Begin, wallMs()});
  }
}

} // namespace waycove::test
