// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "soak/target_statements.h"

#include "soak/soak_config.h"

#include <algorithm>
#include <array>
#include <limits>
#include <sstream>
#include <thread>

namespace waycove::test {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Keeps the random sequences of the options independent.
constexpr std::uint64_t StatementSeedOffset = 4'000'000;
/// Requests per second that targets state, what they may get in a window of
/// four seconds on top of one and a half times that, and for how long they
/// state it.
constexpr std::array StatedRates{"0.5", "1.7", "4"};
constexpr double RateTolerance = 1.5;
constexpr double RequestTolerance = 5;
constexpr double RateWindowSeconds = 4;
constexpr milliseconds LimitTime(9000);
constexpr milliseconds RestPeriod(3000);
constexpr milliseconds LeavingTime(4000);
constexpr std::uint64_t RestMs = 2000;
/// This many requests may come in a rest after UnderWayMs.
constexpr int MaxWhileResting = 2;

/// The entry that got a caller's request; empty for other requests.
std::string entryOf(const std::string &Id) {
  std::size_t Dash = Id.find('-');
  bool IsCall = Dash != std::string::npos &&
                Id.find_first_not_of("0123456789-") == std::string::npos;
  if (!IsCall)
    return "";
  return entryOfCall(std::stoi(Id.substr(Dash + 1)));
}

} // namespace

TargetStatements::TargetStatements(SoakSystem &System)
    : System(System), Random(System.Seed + StatementSeedOffset) {}

void TargetStatements::stateSomething() {
  const std::string &Vm =
      this->System.Vms[this->Random() % this->System.Vms.size()];
  switch (this->Random() % 3) {
  case 0:
    return this->stateLimit(Vm);
  case 1:
    this->System.setFaults(Vm, R"({"call":"busy","rest":"2"})");
    this->waitForPeriod(Vm, RestPeriod);
    return this->System.setFaults(Vm, R"({"call":"","rest":""})");
  default:
    this->System.setFaults(Vm, R"({"leaving":"yes"})");
    this->waitForPeriod(Vm, LeavingTime);
    this->System.setFaults(Vm, R"({"leaving":""})");
    // Another process takes its place.
    this->System.Run.atVm(Vm, {"POST", "/restart", "", {}, milliseconds(500)});
  }
}

void TargetStatements::waitForPeriod(const std::string &Vm,
                                     milliseconds Duration) {
  std::uint64_t Begin = wallMs();
  auto End = Clock::now() + Duration;
  while (Clock::now() < End && !this->System.FaultsOver)
    std::this_thread::sleep_for(milliseconds(50));
  this->Periods.push_back({Vm, Begin, wallMs()});
}

void TargetStatements::stateLimit(const std::string &Vm) {
  const std::string Rate = StatedRates[this->Random() % StatedRates.size()];
  this->System.setFaults(Vm, R"({"limit":")" + Rate + "\"}");
  auto End = Clock::now() + LimitTime;
  double Peak = 0;
  while (Clock::now() < End && !this->System.FaultsOver) {
    std::this_thread::sleep_for(milliseconds(200));
    Reply Seen = this->System.Run.atVm(
        Vm, {.Path = "/runs", .Timeout = milliseconds(500)});
    if (Seen.Status == 200)
      Peak = std::max(Peak, static_cast<double>(Seen.number("limited_peak")));
  }
  this->System.setFaults(Vm, R"({"limit":""})");
  if (Peak >
      RateTolerance * RateWindowSeconds * std::stod(Rate) + RequestTolerance)
    this->System.Failures.add(Vm + ": " + std::to_string(Peak) +
                              " requests in 4 s at a limit of " + Rate +
                              " a second");
}

auto TargetStatements::arrivalsIn(const Period &Within)
    -> std::vector<Arrival> {
  std::vector<Arrival> Rows;
  std::istringstream Lines(this->System.Run.logOf(Within.Name));
  Arrival Row;
  for (std::string Word, Id; Lines >> Word;)
    if (Word == "got" && Lines >> Id >> Row.At >> Row.Stated) {
      Row.Entry = entryOf(Id);
      if (Row.At >= Within.Begin && Row.At < Within.End && !Row.Entry.empty())
        Rows.push_back(Row);
    }
  return Rows;
}

void TargetStatements::checkRequests() {
  for (const Period &Stated : this->Periods) {
    if (this->System.Faults.wasDisturbed(Stated.Name, Stated.Begin, Stated.End))
      continue;
    std::vector<Arrival> Rows = this->arrivalsIn(Stated);
    for (const Arrival &Told : Rows)
      if (Told.Stated != "-")
        this->checkAfter(Told, Rows, Stated.Name);
  }
}

void TargetStatements::checkAfter(const Arrival &Told,
                                  const std::vector<Arrival> &Rows,
                                  const std::string &Vm) {
  bool Leaves = Told.Stated == "leaving";
  std::uint64_t Until =
      Leaves ? std::numeric_limits<std::uint64_t>::max() : Told.At + RestMs;
  int Count = 0;
  for (const Arrival &Row : Rows)
    if (Row.Entry == Told.Entry && Row.At > Told.At + UnderWayMs &&
        Row.At < Until &&
        !this->System.Faults.wasDisturbed(Told.Entry, Told.At, Row.At))
      ++Count;
  if (Count > (Leaves ? 0 : MaxWhileResting))
    this->System.Failures.add(Vm + ": " + std::to_string(Count) +
                              " requests from " + Told.Entry +
                              " after it had stated \"" + Told.Stated +
                              "\" at " + std::to_string(Told.At));
}

} // namespace waycove::test
