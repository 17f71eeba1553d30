// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "support/cluster.h"
#include "support/entry_config.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <future>
#include <sstream>
#include <thread>

namespace waycove::test {

/// Entries with two plain targets, p-1 and p-2, that run a few requests at once
/// for 500 ms each, since a target that is silent for 600 ms may be suspected.
struct BoundedSlotsFixture {
  using Pending = std::vector<std::future<Reply>>;
  using Milliseconds = std::chrono::milliseconds;

  static constexpr unsigned SlotsEach = 4;
  static constexpr unsigned AllSlots = 2 * SlotsEach;
  /// Most requests at a target, running or queued: 1.5 times its slots.
  static constexpr std::uint64_t MaxAtTarget = 6;

  explicit BoundedSlotsFixture(int Nodes = 1) {
    this->Run.addVms("p", 2, "a", "", "plain");
    for (int I = 1; I <= Nodes; ++I)
      this->Run.addNode("n" + std::to_string(I), "a");
    this->Run.TargetFlags = {
        "--slots=" + std::to_string(SlotsEach), "--queue=12",
        "--registry=127.0.0.1:" + std::to_string(this->Run.platformPort())};
    this->Run.startPlatform();
    this->Run.atPlatform({"POST", "/store/put?topic=keyed.op&key=config",
                          entryConfig(1, "key-1")});
    for (const char *Vm : {"p-1", "p-2"}) {
      this->Run.startVm(Vm);
      this->Run.vmFault(Vm, R"({"call":"half_second"})");
    }
    for (int I = 1; I <= Nodes; ++I)
      this->startNode("n" + std::to_string(I));
  }
  std::uint16_t readyPort(const std::string &Node) {
    return static_cast<std::uint16_t>(this->Run.peerPort(Node) + 5);
  }
  void startNode(const std::string &Node) {
    this->Run.ExtraSettings =
        "entry: {ready: '127.0.0.1:" + std::to_string(this->readyPort(Node)) +
        "', grace_ms: 4000}";
    this->Run.startNode(Node);
    REQUIRE(eventually([&] { return this->call(Node, "0").Status == 200; }));
  }
  Reply call(const std::string &Node, const std::string &Id,
             int DeadlineMs = 6000) {
    return this->Run.ask(Node, {"POST",
                                "/safe/x",
                                "body",
                                {{"Host", "a.example"},
                                 {"Authorization", "Bearer key-1"},
                                 {"X-Request-Id", Id},
                                 {"X-Deadline-Ms", std::to_string(DeadlineMs)}},
                                Milliseconds(DeadlineMs + 1000)});
  }
  /// Sends requests with the IDs 0 to \p Count - 1 to n1, \p Gap apart.
  Pending sendMany(int Count, Milliseconds Gap) {
    Pending Calls;
    for (int I = 0; I < Count; ++I) {
      Calls.push_back(std::async(std::launch::async, [this, I] {
        return this->call("n1", std::to_string(I));
      }));
      std::this_thread::sleep_for(Gap);
    }
    return Calls;
  }
  /// Checks that each response is whole, and that refused requests have not
  /// run. Returns the number of served requests.
  unsigned checkAll(Pending &Calls) {
    unsigned Served = 0;
    for (std::size_t I = 0; I < Calls.size(); ++I) {
      Reply Response = Calls[I].get();
      INFO(I << ": " << Response.Status << " " << Response.Body);
      CHECK_FALSE(Response.Cut);
      if (Response.Status == 200 && ++Served)
        continue;
      CHECK((Response.Status == 429 || Response.Status == 503));
      CHECK_FALSE(Response.RetryAfter.empty());
      CHECK(this->countOf("ran", std::to_string(I)) == 0);
    }
    return Served;
  }
  /// The requests that a target logged with \p Event, in order.
  std::vector<std::string> logged(const std::string &Event,
                                  const std::string &Vm) {
    std::vector<std::string> Ids;
    std::istringstream Lines(this->Run.logOf(Vm));
    for (std::string Word, Id; Lines >> Word;)
      if (Word == Event && Lines >> Id)
        Ids.push_back(Id);
    return Ids;
  }
  /// How often the targets logged \p Event with the request \p Id.
  long countOf(const std::string &Event, const std::string &Id) {
    auto Ids = this->logged(Event, "p-1"), More = this->logged(Event, "p-2");
    return std::count(Ids.begin(), Ids.end(), Id) +
           std::count(More.begin(), More.end(), Id);
  }
  bool hasLogged(const std::string &Node, const std::string &Text) {
    return this->Run.logOf(Node).find(Text) != std::string::npos;
  }
  /// Requests that have reached a target.
  std::size_t arrivals() {
    return this->logged("got", "p-1").size() +
           this->logged("got", "p-2").size();
  }
  /// Requests that wait for a place at an entry.
  std::size_t waitingAt(const std::string &Node) {
    const std::string Name = "waycove_requests_waiting ";
    std::string Text = http(this->readyPort(Node), {.Path = "/metrics"}).Body;
    std::size_t At = Text.find("\n" + Name);
    return At == std::string::npos
               ? 0
               : std::stoul(Text.substr(At + 1 + Name.size()));
  }
  /// A count of requests at a target: "present", "running", "peak" or
  /// "rejected".
  std::uint64_t countAt(const std::string &Vm, const std::string &Field) {
    return this->Run.atVm(Vm, {.Path = "/runs"}).number(Field);
  }
  std::uint64_t sum(const std::string &Field) {
    return this->countAt("p-1", Field) + this->countAt("p-2", Field);
  }

  Cluster Run;
};

} // namespace waycove::test
