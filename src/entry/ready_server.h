// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/metrics.h"
#include "base/settings.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>
#include <functional>
#include <memory>
#include <string>

namespace waycove {

/// Serves the readiness check of the platform's load balancer, and the metrics.
/// It has its own address and threads, so that load from callers cannot delay
/// the load balancer.
class ReadyServer {
public:
  /// \p IsReady is called on the server's own threads.
  ReadyServer(std::string Path, std::function<bool()> IsReady,
              const Metrics &Counters)
      : Path(std::move(Path)), IsReady(std::move(IsReady)), Counters(Counters) {
  }

  /// Starts listening. Throws Poco::Exception if the address is in use.
  void start(const Endpoint &Address);

private:
  class Handler;
  class HandlerFactory;
  static constexpr int MinThreads = 2;
  static constexpr int MaxThreads = 4;
  /// Connections waiting to be accepted.
  static constexpr int Backlog = 64;

  const std::string Path;
  const std::function<bool()> IsReady;
  const Metrics &Counters;
  Poco::ThreadPool Threads{"ready", MinThreads, MaxThreads};
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

} // namespace waycove
