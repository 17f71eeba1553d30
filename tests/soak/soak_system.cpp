// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "soak/soak_system.h"

#include "soak/soak_config.h"

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

void Disturbances::add(const Period &Ended) {
  std::lock_guard Lock(this->Mutex);
  this->Rows.push_back(Ended);
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

void EndedCalls::add(const EndedCall &Call) {
  std::lock_guard Lock(this->Mutex);
  this->Rows.push_back(Call);
}

std::vector<EndedCall> EndedCalls::all() {
  std::lock_guard Lock(this->Mutex);
  return this->Rows;
}

void FailedChecks::add(const std::string &What) {
  std::lock_guard Lock(this->Mutex);
  this->Lines += What + "\n";
}

std::string FailedChecks::text() {
  std::lock_guard Lock(this->Mutex);
  return this->Lines;
}

namespace {

/// Returns the number of whole events in the body of a stream.
int countEvents(const std::string &Body) {
  int Count = 0;
  for (std::size_t At = 0; (At = Body.find("\n\n", At)) != std::string::npos;
       At += 2)
    ++Count;
  return Count;
}

} // namespace

Reply SoakSystem::call(const std::string &Node, const std::string &Path,
                       const std::string &Id, const std::string &Key,
                       const std::string &Body, const std::string &Parts) {
  EndedCall Call{.Id = Id, .Node = Node, .Begin = wallMs()};
  Reply Response = this->Run.ask(
      Node, {"POST",
             Path,
             Body,
             {{"Host", "a.example"},
              {"Authorization", "Bearer " + Key},
              {"X-Request-Id", Id},
              {"X-Model", Path.starts_with(SparePrefix) ? SpareModel : "model"},
              {"X-Token-Count", "100,50"},
              {"X-Prefix-Hash", Parts},
              {"X-Deadline-Ms", std::to_string(this->CallerDeadline.count())}},
             this->callTimeout()});
  Call.End = wallMs();
  Call.Refused = Response.Refused;
  Call.Events = Response.Status == 200 ? countEvents(Response.Body) : 0;
  Call.Whole = !Response.Cut;
  this->Calls.add(Call);
  return Response;
}

void SoakSystem::setFaults(const std::string &Vm, const std::string &Json) {
  this->Run.atVm(Vm, {"POST", "/faults", Json, {}, milliseconds(500)});
}

void SoakSystem::removeFromRegistry(const std::string &Vm) {
  this->Run.atPlatform(
      {"POST", "/store/put?topic=keyed.servers&key=" + Vm, "", {}});
}

} // namespace waycove::test
