// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "soak/prompt_faults.h"

#include <optional>
#include <sstream>
#include <thread>

namespace waycove::test {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::uint64_t PartSeedOffset = 7'000'000;
constexpr std::uint64_t UnframedSeedOffset = 8'000'000;
/// Crashes after which the part must be blocked, the time for entries to learn
/// of them, and the maximum number of crashes after that.
constexpr int CrashesToBlock = 5;
constexpr milliseconds PropagationTime(3000);
constexpr int MaxFurtherCrashes = 3;
const std::string Part = "dead50";

} // namespace

CrashingParts::CrashingParts(SoakSystem &System)
    : System(System), Random(System.Seed + PartSeedOffset) {}

int CrashingParts::countCrashes() {
  int Count = 0;
  for (const std::string &Vm : this->System.Vms) {
    std::istringstream Lines(this->System.Run.logOf(Vm));
    for (std::string Line; std::getline(Lines, Line);)
      Count += Line.starts_with("crashed part " + Part) ? 1 : 0;
  }
  return Count;
}

void CrashingParts::sendRepeatedly(const std::function<bool()> &IsOver) {
  std::optional<Clock::time_point> FifthCrash;
  std::optional<int> CrashesBefore;
  for (int Number = 0; !IsOver(); ++Number) {
    std::this_thread::sleep_for(milliseconds(50 + this->Random() % 400));
    int Crashes = this->countCrashes();
    if (!FifthCrash && Crashes >= CrashesToBlock)
      FifthCrash = Clock::now();
    if (!CrashesBefore && FifthCrash &&
        Clock::now() - *FifthCrash >= PropagationTime)
      CrashesBefore = Crashes;
    std::string Id = "part-" + std::to_string(Number);
    this->System.call(this->Random() % 2 ? "n1" : "n2",
                      this->System.Seed % 2 ? "/chat/x" : "/once/x", Id,
                      "key-1", "body of " + Id,
                      "a1:40," + Part + ":20," + std::to_string(Number) + ":5");
  }
  if (int Crashes = this->countCrashes();
      CrashesBefore && Crashes - *CrashesBefore > MaxFurtherCrashes)
    this->System.Failures.add(
        std::to_string(Crashes - *CrashesBefore) +
        " targets ended under a part that had ended five");
}

void respondUnframedRepeatedly(SoakSystem &System) {
  std::mt19937_64 Random(System.Seed + UnframedSeedOffset);
  while (!System.FaultsOver) {
    const std::string &Vm = System.Vms[Random() % System.Vms.size()];
    // Only streams have events to break off within.
    bool IsCut = Vm.starts_with("e") && Random() % 2 == 0;
    std::uint64_t Begin = wallMs();
    System.setFaults(Vm, IsCut ? R"({"call":"unframed_cut"})"
                               : R"({"call":"unframed"})");
    std::this_thread::sleep_for(milliseconds(500 + Random() % 2000));
    System.setFaults(Vm, R"({"call":""})");
    if (IsCut)
      System.Breaks.add({Vm, Begin, wallMs()});
  }
}

} // namespace waycove::test
