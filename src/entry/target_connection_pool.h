// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "net/channel.h"
#include "policy/fleet.h"

#include <deque>
#include <map>
#include <mutex>

namespace waycove {

/// Kept connections to targets, by life: a new one at an old address, also
/// under the same id, never gets a connection of the one before. Thread-safe.
class TargetConnectionPool {
public:
  /// A kept connection that is still good; nothing where there is none.
  std::optional<Channel> take(const VmIncarnation &Target, TimePoint Now);
  /// Keeps a connection whose last answer was whole for \p KeepAlive, unless
  /// \p Most to this target rest already.
  void put(const VmIncarnation &Target, Channel Connection, Millis KeepAlive,
           unsigned Most, TimePoint Now);
  /// Closes what has rested too long, and all of targets not listed.
  void sweep(const std::function<bool(const VmIncarnation &)> &IsListed,
             TimePoint Now);

private:
  struct IdleConnection {
    Channel Connection;
    TimePoint GoodUntil;
  };
  std::mutex Mutex;
  std::map<VmIncarnation, std::deque<IdleConnection>> Rows;
};

} // namespace waycove
