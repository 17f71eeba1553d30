// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "soak/broken_targets.h"

#include "base/json.h"

#include <array>
#include <chrono>
#include <random>
#include <thread>

namespace waycove::test {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t EndlessSeedOffset = 14'000'000;
constexpr std::uint64_t OddSeedOffset = 15'000'000;
constexpr std::array Readers{"call", "order", "report"};
const std::vector<std::string> EndlessKinds{
    "endless:line",      "endless:head",    "endless:interim",
    "endless:extension", "endless:trailer", "endless:chunks",
    "endless:unframed",  "endless:stray",   "endless:after",
    "trickle:head",      "trickle:trailer", "trickle:interim"};
const std::vector<std::string> OddKinds{
    "odd start:HTTP/1.1 000 x",     "odd start:HTTP/1.1 200 O\nK",
    "odd lines:X\nOdd: 1",          "odd closing lines:X\nOdd: 1",
    "odd lines:X-A: 1\r\n odd",     "odd lines:Odd one: 1",
    "odd closing lines:\x01\x02",   "odd lines:\nX-A: 1",
    "odd closing lines:\rX-A: 1",   "odd lines:X-A: a\x01z",
    "odd interim:X\nOdd: 1",        "odd chunk:a\nb",
    "odd closing trailer:X\nOdd: 1"};
/// What one response may have, and what the buffers of a connection hold.
constexpr std::uint64_t MaxTakenBytes = 64 << 20;
/// An entry's buffers for bodies may have 64 MB; it needs some 15 MB else.
constexpr std::uint64_t MaxEntryBytes = 160 << 20;

void setFault(SoakSystem &System, const std::string &Vm,
              const std::string &Reader, const std::string &Kind) {
  Poco::JSON::Object Fault;
  Fault.set(Reader, Kind);
  System.setFaults(Vm, dumpJson(Fault));
}

/// Lets one target after the other answer in one of \p Kinds, for some time
/// each, until the faults are over.
void breakRepeatedly(SoakSystem &System, std::uint64_t SeedOffset,
                     const std::vector<std::string> &Kinds) {
  std::mt19937_64 Random(System.Seed + SeedOffset);
  while (!System.FaultsOver) {
    const std::string &Vm = System.Vms[Random() % System.Vms.size()];
    const std::string Reader = Readers[Random() % Readers.size()];
    const std::string &Kind = Kinds[Random() % Kinds.size()];
    std::uint64_t Begin = wallMs();
    setFault(System, Vm, Reader, Kind);
    std::this_thread::sleep_for(milliseconds(500 + Random() % 2000));
    setFault(System, Vm, Reader, "");
    // Started streams that were to go on there break once more.
    System.Breaks.add({Vm, Begin, wallMs() + UnderWayMs});
  }
}

} // namespace

void sendEndlessRepeatedly(SoakSystem &System) {
  breakRepeatedly(System, EndlessSeedOffset, EndlessKinds);
}

void sendOddRepeatedly(SoakSystem &System) {
  breakRepeatedly(System, OddSeedOffset, OddKinds);
}

void checkEndless(SoakSystem &System) {
  for (const std::string &Vm : System.Vms) {
    std::uint64_t Taken =
        System.Run.atVm(Vm, {.Path = "/runs"}).number("broken_bytes");
    if (Taken > MaxTakenBytes)
      System.Failures.add(std::to_string(Taken) +
                          " bytes of one response without end were read from " +
                          Vm);
  }
  for (const char *Node : {"n1", "n2"})
    if (std::uint64_t Peak = System.Run.node(Node).peakBytes();
        Peak > MaxEntryBytes)
      System.Failures.add(std::string(Node) + " needed " +
                          std::to_string(Peak) + " bytes of memory");
}

} // namespace waycove::test
