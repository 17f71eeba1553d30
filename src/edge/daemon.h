// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/settings.h"

#include <memory>

namespace waycove {

/// The daemon: the blackboard, its controllers, and the edge.
class Daemon {
public:
  explicit Daemon(const Settings &Config);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Starts listening and the background loops. Throws Poco::Exception where an
  /// address cannot be bound.
  void start();
  /// Begins a graceful stop: refuses new work; requests in flight continue.
  void beginStop();
  /// Whether no request is in flight and other daemons own this daemon's
  /// control work, or the wait for that has timed out.
  bool isDrained() const;
  /// Number of requests in flight.
  /// Requests in flight.
  const std::atomic<std::uint32_t> &inFlight() const;

private:
  struct Parts;
  std::unique_ptr<Parts> Impl;
};

} // namespace waycove
