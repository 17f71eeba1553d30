// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "soak/soak_system.h"

#include <algorithm>

namespace waycove::test {

using std::chrono::milliseconds;

std::uint64_t wallMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

void Disturbances::begin(const std::string &Name) {
  std::lock_guard Lock(this->Mutex);
  this->Rows.push_back({Name, wallMs(), 0});
}

void Disturbances::end(const std::string &Name) {
  std::lock_guard Lock(this->Mutex);
  for (Period &Row : this->Rows)
    if (Row.Name == Name && Row.End == 0)
      Row.End = wallMs();
}

bool Disturbances::wasDisturbed(const std::string &Name, std::uint64_t From,
                                std::uint64_t Until) {
  std::lock_guard Lock(this->Mutex);
  return std::any_of(this->Rows.begin(), this->Rows.end(),
                     [&](const Period &Row) {
                       return Row.Name == Name && Row.Begin <= Until &&
                              (Row.End == 0 || Row.End + UnderWayMs >= From);
                     });
}

std::uint64_t Disturbances::latestEnd(const std::string &Name,
                                      std::uint64_t From, std::uint64_t Until) {
  std::lock_guard Lock(this->Mutex);
  std::uint64_t Latest = 0;
  for (const Period &Row : this->Rows)
    if (Row.Name == Name && Row.Begin <= Until &&
        (Row.End == 0 || Row.End >= From))
      Latest = std::max(Latest, Row.End == 0 ? Until : Row.End);
  return Latest;
}

void FailedChecks::add(const std::string &What) {
  std::lock_guard Lock(this->Mutex);
  this->Lines += What + "\n";
}

std::string FailedChecks::text() {
  std::lock_guard Lock(this->Mutex);
  return this->Lines;
}

Reply SoakSystem::call(const std::string &Node, const std::string &Path,
                       const std::string &Id, const std::string &Key,
                       const std::string &Body, const std::string &Parts) {
  return this->Run.ask(
      Node, {"POST",
             Path,
             Body,
             {{"Host", "a.example"},
              {"Authorization", "Bearer " + Key},
              {"X-Request-Id", Id},
              {"X-Model", "model"},
              {"X-Token-Count", "100,50"},
              {"X-Prefix-Hash", Parts},
              {"X-Deadline-Ms", std::to_string(CallerDeadline.count())}},
             milliseconds(8000)});
}

void SoakSystem::setFaults(const std::string &Vm, const std::string &Json) {
  this->Run.atVm(Vm, {"POST", "/faults", Json, {}, milliseconds(500)});
}

void SoakSystem::removeFromRegistry(const std::string &Vm) {
  this->Run.atPlatform(
      {"POST", "/store/put?topic=keyed.servers&key=" + Vm, "", {}});
}

} // namespace waycove::test
