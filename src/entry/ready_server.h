// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/metrics.h"
#include "base/settings.h"
#include "net/channel.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <functional>
#include <string>
#include <thread>

namespace waycove {

/// Serves the readiness check of the platform's load balancer, and the metrics.
/// It has its own address and thread, so that load from callers cannot delay
/// the load balancer. One thread answers one connection after the other, each
/// of which may take a short time only. POCO's server is not used: it needs
/// three threads and wakes up four times a second.
/// Runs until the process ends.
class ReadyServer {
public:
  /// \p IsReady is called on the server's own thread.
  ReadyServer(std::string Path, std::function<bool()> IsReady,
              const Metrics &Counters)
      : Path(std::move(Path)), IsReady(std::move(IsReady)), Counters(Counters) {
  }

  /// Starts listening. Throws Poco::Exception if the address is in use.
  void start(const Endpoint &Address);

private:
  /// Connections waiting to be accepted.
  static constexpr int Backlog = 64;
  /// Time for reading a request and writing its response.
  static constexpr Millis ConnectionTimeout{300};
  /// Pause after a failed accept.
  static constexpr Millis AcceptRetryDelay{500};
  static constexpr std::size_t MaxHeadBytes = 16 << 10;

  void serveAll();
  void serveOne(Channel Caller);
  void respond(Channel &Caller, int Status, const std::string &Body,
               const std::string &ContentType, TimePoint Until);

  const std::string Path;
  const std::function<bool()> IsReady;
  const Metrics &Counters;
  Poco::Net::ServerSocket Listener;
};

} // namespace waycove
