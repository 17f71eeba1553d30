// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#define CATCH_CONFIG_MAIN
#include "support/cluster.h"

#include <catch2/catch.hpp>

namespace waycove::test {

/// Keeps the cluster logs of a failed test.
struct FailureListener : Catch::TestEventListenerBase {
  using TestEventListenerBase::TestEventListenerBase;

  void testCaseStarting(const Catch::TestCaseInfo &) override {
    Cluster::TestFailed = false;
  }
  bool assertionEnded(const Catch::AssertionStats &Stats) override {
    if (!Stats.assertionResult.isOk())
      Cluster::TestFailed = true;
    return false;
  }
};

CATCH_REGISTER_LISTENER(FailureListener)

} // namespace waycove::test
