// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "support/neighbours.h"

#include "support/entry_config.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace waycove::test {

namespace {

/// Offset from a node's peer port to its readiness port.
constexpr int ReadyPorts = 10;
constexpr std::chrono::milliseconds BetweenCalls(10);

std::string configOf(int Version, const std::string &Key, int TimeoutMs) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"safe","host":"a.example","timeout_ms":)" +
         std::to_string(TimeoutMs) +
         R"(,"goal_ms":300,"priority":1,"path_prefix":"/safe/",)"
         R"("type":"idempotent","service":"plain","max_attempts":2}],)"
         R"("services":[{"name":"plain","max_conns":50}],)"
         R"("tenants":[{"name":"w1","api_keys":[")" +
         Key + R"("]}]})";
}

} // namespace

const std::vector<std::string> Neighbours::Entries = {"n1", "n2", "n3"};

Neighbours::Neighbours(const std::string &Bounds,
                       const NeighbourTargets &Targets)
    : Bounds(Bounds), HasEngines(Targets.Engines > 0) {
  this->Run.addVms("p", Targets.Plain, "a", "", "plain");
  this->Run.addVms("e", Targets.Engines, "a", "d");
  for (const std::string &Node : Entries)
    this->Run.addNode(Node, "a");
  this->Run.startPlatform();
  this->publish(1, "key-1");
  this->startTargets("p", Targets.Plain, Targets);
  this->startTargets("e", Targets.Engines, Targets);
  for (const std::string &Node : Entries) {
    this->Links[Node] =
        std::make_unique<LoopbackProxy>(this->Run.platformPort());
    this->start(Node, true);
  }
  if (!eventually([&] { return this->followers() == 2 && this->allKnown(); }))
    throw std::runtime_error("no node reads for the others");
}

void Neighbours::startTargets(const std::string &Prefix, int Count,
                              const NeighbourTargets &Targets) {
  for (int I = 1; I <= Count; ++I) {
    std::string Vm = Prefix + "-" + std::to_string(I);
    this->Run.TargetFlags = {
        "--token_ms=" + std::to_string(Targets.TokenMs), "--load_ms=50",
        "--registry=127.0.0.1:" + std::to_string(this->Run.platformPort())};
    if (Targets.HasProxies) {
      this->TargetLinks[Vm] = std::make_unique<LoopbackProxy>(
          this->Run.vmPort(Vm),
          [this](std::uint16_t Local, std::uint16_t Remote) {
            return this->Owners.nameOf(Local, Remote);
          });
      this->Run.TargetFlags.push_back(
          "--advertise=127.0.0.1:" +
          std::to_string(this->TargetLinks[Vm]->port()));
    }
    this->Run.startVm(Vm);
  }
}

bool Neighbours::isReady(const std::string &Node) {
  return http(static_cast<std::uint16_t>(this->Run.peerPort(Node) + ReadyPorts),
              {.Path = "/api/ready"})
             .Status == 200;
}

void Neighbours::cutOff(const std::string &Node, LinkFault Fault) {
  for (const auto &[Vm, Link] : this->TargetLinks)
    Link->setFor(Node, Fault);
}

void Neighbours::start(const std::string &Node, bool First) {
  this->LogStart[Node] = this->Run.logOf(Node).size();
  this->Run.PlatformProxyPort = this->Links[Node]->port();
  this->Run.ExtraSettings =
      "entry: {ready: '127.0.0.1:" +
      std::to_string(this->Run.peerPort(Node) + ReadyPorts) + "', " +
      this->Bounds + ", grace_ms: 4000" +
      (First ? ", first_start: true}" : "}");
  this->Run.startNode(Node);
  this->Owners.set(Node, this->Run.node(Node).id());
}

void Neighbours::restart(const std::string &Node) {
  this->Run.killNode(Node);
  this->start(Node, false);
}

std::string Neighbours::firstFeedSource(const std::string &Node,
                                        const std::string &Feed) {
  std::string Log = this->Run.logOf(Node).substr(this->LogStart[Node]);
  std::istringstream Lines(Log);
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.find("\"feed_advanced\"") != std::string::npos &&
        Line.find("\"subject\":\"" + Feed + "\"") != std::string::npos) {
      const std::string Key = "\"source\":\"";
      std::size_t At = Line.find(Key) + Key.size();
      return Line.substr(At, Line.find('"', At) - At);
    }
  return "";
}

void Neighbours::publish(int Version, const std::string &Key) {
  int TimeoutMs = static_cast<int>(this->RouteTimeout.count());
  this->Run.atPlatform({"POST",
                        "/store/put?topic=keyed.op&key=config",
                        this->HasEngines ? entryConfig(Version, Key, TimeoutMs)
                                         : configOf(Version, Key, TimeoutMs),
                        {}});
}

void Neighbours::shortenTimeout(int Version,
                                std::chrono::milliseconds Timeout) {
  this->RouteTimeout = Timeout;
  const std::string Key = "key-of-" + std::to_string(Version);
  // The key shows that the version is in force.
  this->publish(Version, "key-1\",\"" + Key);
  if (!this->allReturnOk(Entries, Key))
    throw std::runtime_error("the timeout is not in force");
}

void Neighbours::faultTargets(int Count, const std::string &Fault) {
  for (int I = 1; I <= Count; ++I)
    this->Run.vmFault("p-" + std::to_string(I),
                      R"({"call":")" + Fault + R"("})");
}

int Neighbours::call(const std::string &Node, const std::string &Key,
                     const std::string &Body) {
  std::string Id = "r" + std::to_string(this->Calls.size() + 1);
  this->Calls[Id] = std::chrono::steady_clock::now();
  return this->Run
      .ask(Node, {"POST",
                  "/safe/x",
                  Body,
                  {{"Host", "a.example"},
                   {"Authorization", "Bearer " + Key},
                   {"X-Request-Id", Id},
                   {"X-Deadline-Ms", "3000"}}})
      .Status;
}

int Neighbours::callUntil(const std::vector<std::string> &Nodes, Time Until) {
  int Served = 0;
  while (std::chrono::steady_clock::now() < Until)
    for (const std::string &Node : Nodes) {
      Served += this->call(Node, "key-1") == 200 ? 1 : 0;
      std::this_thread::sleep_for(BetweenCalls);
    }
  return Served;
}

bool Neighbours::allReturnOk(const std::vector<std::string> &Nodes,
                             const std::string &Key) {
  return eventually(
      [&] {
        return std::all_of(Nodes.begin(), Nodes.end(),
                           [&](const std::string &Node) {
                             return this->call(Node, Key) == 200;
                           });
      },
      std::chrono::milliseconds(2000));
}

bool Neighbours::follows(const std::string &Node) {
  std::string Log = this->Run.logOf(Node);
  std::size_t Chosen = Log.rfind("\"reader_chosen\"");
  std::size_t Lost = Log.rfind("\"reader_lost\"");
  return Chosen != std::string::npos &&
         (Lost == std::string::npos || Chosen > Lost);
}

int Neighbours::followers() {
  return static_cast<int>(std::count_if(
      Entries.begin(), Entries.end(),
      [&](const std::string &Node) { return this->follows(Node); }));
}

bool Neighbours::allKnown() {
  return std::all_of(
      Entries.begin(), Entries.end(), [&](const std::string &Node) {
        std::string Log = this->Run.logOf(Node);
        return std::all_of(
            Entries.begin(), Entries.end(), [&](const std::string &Other) {
              return Other == Node ||
                     Log.find("\"peer_joined\",\"node\":\"" + Node +
                              "\",\"subject\":\"" + Other) != std::string::npos;
            });
      });
}

std::string Neighbours::reader() {
  for (const std::string &Node : Entries)
    if (!this->follows(Node))
      return Node;
  return "";
}

std::vector<std::string> Neighbours::others(const std::string &Reader) {
  std::vector<std::string> Rows;
  for (const std::string &Node : Entries)
    if (Node != Reader)
      Rows.emplace_back(Node);
  return Rows;
}

std::uint64_t Neighbours::reads() {
  return this->Run.atPlatform({.Path = "/store/reads"}).number("reads");
}

void Neighbours::dropTarget(const std::string &Vm) {
  this->Run.atPlatform(
      {"POST", "/store/put?topic=keyed.servers&key=" + Vm, "", {}});
}

Neighbours::Time Neighbours::lastRunAt(const std::string &Vm) {
  Time Last;
  std::istringstream Lines(this->Run.logOf(Vm));
  for (std::string Word, Id; Lines >> Word;)
    if (Word == "ran" && Lines >> Id && this->Calls.contains(Id))
      Last = std::max(Last, this->Calls.at(Id));
  return Last;
}

} // namespace waycove::test
