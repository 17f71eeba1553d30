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

constexpr std::uint64_t CrashSeedOffset = 2'000'000;
constexpr std::uint64_t PartSeedOffset = 7'000'000;
constexpr std::uint64_t UnframedSeedOffset = 8'000'000;
/// The time for entries to learn of crashes, and the maximum number of crashes
/// after that.
constexpr milliseconds PropagationTime(3000);
constexpr int MaxFurtherCrashes = 3;
const std::string CrashBody = "crash 20";
const std::string Part = "dead50";

} // namespace

CrashSeries sameRequest() {
  return {CrashSeedOffset, "crashed " + CrashBody, 3,
          [](SoakSystem &System, const std::string &Node,
             const std::string &Path, int Number) {
            System.call(Node, Path, "crash-" + std::to_string(Number), "key-1",
                        CrashBody);
          }};
}

CrashSeries sharedPart() {
  return {PartSeedOffset, "crashed part " + Part, 5,
          [](SoakSystem &System, const std::string &Node,
             const std::string &Path, int Number) {
            std::string Id = "part-" + std::to_string(Number);
            System.call(Node, Path, Id, "key-1", "body of " + Id,
                        "a1:40," + Part + ":20," + std::to_string(Number) +
                            ":5");
          }};
}

CrashingRequests::CrashingRequests(SoakSystem &System, CrashSeries Series)
    : System(System), Series(std::move(Series)),
      Random(System.Seed + this->Series.SeedOffset) {}

int CrashingRequests::countCrashes() {
  int Count = 0;
  for (const std::string &Vm : this->System.Vms) {
    std::istringstream Lines(this->System.Run.logOf(Vm));
    for (std::string Line; std::getline(Lines, Line);)
      Count += Line.starts_with(this->Series.LogLine) ? 1 : 0;
  }
  return Count;
}

void CrashingRequests::sendRepeatedly(const std::function<bool()> &IsOver) {
  std::optional<Clock::time_point> LastAllowedCrash;
  std::optional<int> CrashesBefore;
  for (int Number = 0; !IsOver(); ++Number) {
    std::this_thread::sleep_for(milliseconds(50 + this->Random() % 400));
    int Crashes = this->countCrashes();
    if (!LastAllowedCrash && Crashes >= this->Series.CrashesToBlock)
      LastAllowedCrash = Clock::now();
    if (!CrashesBefore && LastAllowedCrash &&
        Clock::now() - *LastAllowedCrash >= PropagationTime)
      CrashesBefore = Crashes;
    this->Series.Send(this->System, this->Random() % 2 ? "n1" : "n2",
                      this->System.Seed % 2 ? "/chat/x" : "/once/x", Number);
  }
  if (int Crashes = this->countCrashes();
      CrashesBefore && Crashes - *CrashesBefore > MaxFurtherCrashes)
    this->System.Failures.add(std::to_string(Crashes - *CrashesBefore) +
                              " targets ended after " +
                              std::to_string(this->Series.CrashesToBlock) +
                              " had: " + this->Series.LogLine);
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
