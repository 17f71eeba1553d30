// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <sys/types.h>

namespace waycove::test {

/// Finds out which of several processes has a local connection, so that a proxy
/// can treat them differently. Thread-safe.
class SocketOwners {
public:
  void set(const std::string &Name, pid_t Process);
  /// Name of the process that has a connection from \p Local to \p Remote, both
  /// ports of this machine; empty if none has.
  std::string nameOf(std::uint16_t Local, std::uint16_t Remote) const;

private:
  /// \p Socket is as /proc names it.
  std::string ownerOf(const std::string &Socket) const;

  mutable std::mutex Mutex;
  std::map<std::string, pid_t> Processes;
};

} // namespace waycove::test
