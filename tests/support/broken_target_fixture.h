// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "support/entry_fixture.h"

namespace waycove::test {

/// An entry some of whose targets send what is no response.
struct BrokenTargetFixture : EntryFixture {
  /// Of each route.
  static constexpr int TimeoutMs = 3000;
  /// Of a request that meets such a target: its patience with one that is slow,
  /// and an answer of another.
  static constexpr std::chrono::milliseconds MaxWait{1800};

  BrokenTargetFixture() {
    this->publish(2, "key-1", TimeoutMs);
    REQUIRE(eventually([&] {
      return this->Run.logOf("n1").find("\"before\":1") != std::string::npos;
    }));
  }
  /// Returns what a target counts of its broken responses.
  std::uint64_t broken(const std::string &Vm, const std::string &What) {
    return this->Run.atVm(Vm, {.Path = "/runs"}).number(What);
  }
  void setFault(const std::string &Vm, const std::string &Fault) {
    Poco::JSON::Object Faults;
    Faults.set("call", Fault);
    this->Run.vmFault(Vm, dumpJson(Faults));
  }
  /// Calls \p Path until one of \p Vms has sent a broken response; each call
  /// has to be served in time.
  void callUntilMet(const std::vector<std::string> &Vms,
                    const std::string &Path, const std::string &Whole) {
    auto Met = [&] {
      std::uint64_t Count = 0;
      for (const std::string &Vm : Vms)
        Count += this->broken(Vm, "broken");
      return Count;
    };
    std::uint64_t Before = Met();
    bool IsMet = false;
    for (int I = 0; I < 200 && !IsMet; ++I) {
      std::string Id = "r" + std::to_string(++this->Calls);
      auto Begin = std::chrono::steady_clock::now();
      Reply Answer = this->call(Path, Id);
      CHECK(std::chrono::steady_clock::now() - Begin < MaxWait);
      CHECK(Answer.Status == 200);
      CHECK(Answer.Body ==
            (Whole.empty() ? "ran " + Id + " for w1 body" : Whole));
      IsMet = Met() > Before;
    }
    CHECK(IsMet);
  }
  /// Lets e-1 answer orders and reports so while groups are formed; streams
  /// have to be served again.
  void checkOrders(const std::string &Fault) {
    Poco::JSON::Object Faults;
    Faults.set("order", Fault);
    Faults.set("report", Fault);
    this->Run.vmFault("e-1", dumpJson(Faults));
    // Their groups are released and ordered anew.
    for (const char *Vm : {"e-1", "e-3"})
      this->Run.atVm(Vm, {"POST", "/restart", "", {}});
    CHECK(eventually([&] { return this->broken("e-1", "broken") > 0; }));
    CHECK(eventually([&] {
      return this->call("/chat/x", "s" + std::to_string(++this->Calls)).Body ==
             wholeStream();
    }));
  }
  /// Lets one plain target answer so after the other, once for each fault.
  void checkEach(const std::vector<std::string> &Faults) {
    std::string Vm = "p-1";
    for (const std::string &Fault : Faults) {
      INFO(Fault);
      this->setFault(Vm, Fault);
      this->callUntilMet({Vm}, "/safe/x", "");
      this->setFault(Vm, "");
      Vm = Vm == "p-1" ? "p-2" : "p-1";
    }
    CHECK(http(static_cast<std::uint16_t>(this->Run.peerPort("n1") + 1),
               {.Path = "/metrics"})
              .Body.find("waycove_answers_over_bounds_total 0") ==
          std::string::npos);
  }

  int Calls = 0;
};

} // namespace waycove::test
