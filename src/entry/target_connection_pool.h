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

/// Idle connections to targets, by incarnation: a target that restarted never
/// gets a connection of the process before it. Thread-safe.
class TargetConnectionPool {
public:
  /// Takes an idle connection that is still usable, if there is one.
  std::optional<Channel> take(const VmIncarnation &Target, TimePoint Now);
  /// Adds a connection whose last response was complete. \p KeepAlive is the
  /// target's idle timeout, 0 if unknown. If there are more than \p Max to this
  /// target, the oldest is closed.
  void put(const VmIncarnation &Target, Channel Connection, Millis KeepAlive,
           unsigned Max, TimePoint Now);
  /// Closes all idle connections, for their descriptors.
  void closeIdle();
  /// Closes connections that were idle too long, those to targets that are not
  /// listed, and those with unread bytes, which belong to no request.
  void sweep(const std::function<bool(const VmIncarnation &)> &IsListed,
             TimePoint Now);

private:
  struct IdleConnection {
    Channel Connection;
    TimePoint GoodUntil;
  };
  std::mutex Mutex;
  std::map<VmIncarnation, std::deque<IdleConnection>> ByTarget;
};

} // namespace waycove
