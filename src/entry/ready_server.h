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

/// Answers the platform's balancer, which asks whether this node takes callers,
/// and whoever reads the counters. It has an address and threads of its own, so
/// that callers cannot crowd the balancer out.
class ReadyServer {
public:
  /// \p IsReady is asked on the server's own threads.
  ReadyServer(std::string Path, std::function<bool()> IsReady,
              const Metrics &Counters)
      : Path(std::move(Path)), IsReady(std::move(IsReady)), Counters(Counters) {
  }

  /// Begins to listen. Throws Poco::Exception where the address is taken.
  void start(const Endpoint &At);

private:
  class Handler;
  class Handlers;
  static constexpr int MinThreads = 2;
  static constexpr int MaxThreads = 4;
  /// Connections that wait to be taken.
  static constexpr int Backlog = 64;

  const std::string Path;
  const std::function<bool()> IsReady;
  const Metrics &Counters;
  Poco::ThreadPool Threads{"ready", MinThreads, MaxThreads};
  std::unique_ptr<Poco::Net::HTTPServer> Server;
};

} // namespace waycove
