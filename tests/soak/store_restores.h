// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "soak/soak_system.h"

namespace waycove::test {

/// Time after which the entries refuse a revoked key.
inline constexpr std::chrono::milliseconds RevokeBound(1500);

/// Publishes configurations, each of which revokes a key, restores the store
/// from older copies, and checks that revoked keys stay refused. Thread-safe.
class StoreRestores {
public:
  explicit StoreRestores(SoakSystem &System) : System(System) {}
  /// Publishes the next version, which revokes the key of the previous one.
  void publish();
  /// Returns when the faults are over.
  void restoreRepeatedly();
  /// Sends a request with a revoked key, if there is one.
  void callWithRevokedKey();
  /// Whether all entries accept the key of the last published version.
  bool isLastVersionServed();

private:
  /// A revoked key and the time at which the store acknowledged its revocation.
  struct RevokedKey {
    std::string Key;
    std::chrono::steady_clock::time_point At;
  };
  /// Returns a key that must be refused by now; empty if there is none.
  std::string chooseRevokedKey();
  /// Running targets publish their entries again; those of others are removed.
  void republishTargets();

  SoakSystem &System;
  std::mutex Mutex;
  std::vector<RevokedKey> RevokedKeys;
  std::atomic<int> Version{0};
  std::atomic<unsigned> RevokedCalls{0};
};

} // namespace waycove::test
