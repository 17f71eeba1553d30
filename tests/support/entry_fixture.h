// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "support/cluster.h"
#include "support/entry_config.h"

#include <catch2/catch.hpp>

namespace waycove::test {

/// One entry with four engines in two groups and two plain targets.
struct EntryFixture {
  /// \p More holds additional entry settings, and \p TokenMs is the time
  /// between the events of a stream.
  explicit EntryFixture(const std::string &More = "", bool Suspendable = false,
                        int TokenMs = 10) {
    this->Run.Suspendable = Suspendable;
    this->Run.addVms("e", 4, "a", "d");
    this->Run.addVms("p", 2, "a", "", "plain");
    this->Run.addNode("n1", "a");
    this->Run.TargetFlags = {
        "--token_ms=" + std::to_string(TokenMs), "--load_ms=50",
        "--registry=127.0.0.1:" + std::to_string(this->Run.platformPort())};
    this->Run.ExtraSettings =
        "entry: {ready: '127.0.0.1:" +
        std::to_string(this->Run.peerPort("n1") + 1) +
        "', revoke_bound_ms: 1500, grace_ms: 4000, first_start: true" + More +
        "}";
    this->Run.startPlatform();
    this->publish(1, "key-1");
    for (const char *Vm : {"e-1", "e-2", "e-3", "e-4", "p-1", "p-2"})
      this->Run.startVm(Vm);
    this->Run.startNode("n1");
    REQUIRE(eventually([&] { return this->isReady(); }));
    REQUIRE(eventually([&] {
      return this->Run.logOf("n1").find("\"targets\":4") != std::string::npos;
    }));
  }

  void publish(int Version, const std::string &Key, int TimeoutMs = 6000) {
    this->Run.atPlatform({"POST",
                          "/store/put?topic=keyed.op&key=config",
                          entryConfig(Version, Key, TimeoutMs),
                          {}});
  }
  bool isReady() {
    return http(static_cast<std::uint16_t>(this->Run.peerPort("n1") + 1),
                {.Path = "/api/ready"})
               .Status == 200;
  }
  Reply call(const std::string &Path, const std::string &Id,
             const std::string &Key = "key-1") {
    return this->Run.ask("n1", {"POST",
                                Path,
                                "body",
                                {{"Host", "a.example"},
                                 {"Authorization", "Bearer " + Key},
                                 {"X-Request-Id", Id},
                                 {"X-Model", "model"},
                                 {"X-Token-Count", "100,50"},
                                 {"X-Deadline-Ms", "6000"}}});
  }
  void faultAll(const std::string &Prefix, int Count,
                const std::string &Fault) {
    for (int I = 1; I <= Count; ++I)
      this->Run.vmFault(Prefix + "-" + std::to_string(I),
                        "{\"call\":\"" + Fault + "\"}");
  }
  std::uint64_t runs(const std::string &Vm) {
    return this->Run.atVm(Vm, {.Path = "/runs"}).number("runs");
  }
  std::uint64_t plainRuns() { return this->runs("p-1") + this->runs("p-2"); }

  Cluster Run;
};

} // namespace waycove::test
