// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/settings.h"

#include <memory>

namespace waycove {

/// A whole daemon: the blackboard, its controllers, and the edge.
class Daemon {
public:
  explicit Daemon(const Settings &Config);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Begins to listen and to work; throws Poco::Exception where an address
  /// cannot be had.
  void start();
  /// Begins a planned stop: no new work; what is in flight goes on.
  void beginStop();
  /// Whether nothing is in flight and others have taken over this daemon's
  /// control work.
  bool isDrained() const;
  /// Requests in flight.
  std::uint32_t inFlight() const;

private:
  struct Parts;
  std::unique_ptr<Parts> Inside;
};

} // namespace waycove
