// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "soak/soak_system.h"

#include <array>

namespace waycove::test {

/// Time after which the entries refuse a revoked key.
inline constexpr std::chrono::milliseconds RevokeBound(1500);

/// Publishes versions of the configuration one after another. Each changes the
/// routes' timeouts and may change connection limits, a route, a model and its
/// share; each has a key that the next one revokes. The key and the routes of
/// ordinary callers are in all of them. Checks that revoked keys stay refused.
/// Thread-safe.
class ConfigSeries {
public:
  explicit ConfigSeries(SoakSystem &System) : System(System) {}
  /// Publishes the next version, which revokes the key of the previous one.
  void publish();
  /// Publishes versions until the faults are over.
  void publishRepeatedly();
  /// Timeout of all routes.
  int timeoutMsOf(int Version) const;
  int longestTimeoutMs() const;
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
  const std::array<int, 3> &timeoutsMs() const;
  std::string textOf(int Version) const;
  std::string routeOf(int Version, const std::string &Name) const;
  /// Returns a key that must be refused by now; empty if there is none.
  std::string chooseRevokedKey();

  SoakSystem &System;
  /// Held while a version is published, so that the store gets them in order.
  std::mutex PublishMutex;
  std::mutex Mutex;
  std::vector<RevokedKey> RevokedKeys;
  std::atomic<int> Version{0};
  std::atomic<unsigned> RevokedCalls{0};
};

} // namespace waycove::test
