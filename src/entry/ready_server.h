// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/connection_server.h"
#include "base/metrics.h"
#include "net/channel.h"

#include <Poco/Net/HTTPResponse.h>
#include <functional>
#include <string>

namespace waycove {

/// Serves the readiness check of the platform's load balancer, and the metrics,
/// at an address of its own. A connection carries one request.
class ReadyServer {
public:
  /// \p IsReady is called on several threads. \p OnError gets the reason if a
  /// connection is refused.
  ReadyServer(std::string Path, std::function<bool()> IsReady,
              const Metrics &Counters, ConnectionResources Shared,
              const std::function<void(const std::string &Reason)> &OnError);

  /// Starts listening. Throws Poco::Exception if the address is in use.
  void start(const Endpoint &Address) { this->Connections.start(Address); }

private:
  /// A connection that is silent for longer is closed.
  static constexpr Millis IdleTimeout{1000};
  /// Time for reading a request and writing its response.
  static constexpr Millis RequestTimeout{300};
  static constexpr std::size_t MaxHeadBytes = 16 << 10;
  static constexpr std::size_t MaxConnections = 64;

  /// See ServedConnection.
  class Connection {
  public:
    Connection(ReadyServer &Owner, const Poco::Net::StreamSocket &Socket)
        : Owner(Owner), Caller(Socket) {}
    bool serve(TimePoint ReadableSince);
    bool hasInput() const { return false; }
    Millis idleTimeout() const { return IdleTimeout; }

  private:
    ReadyServer &Owner;
    Channel Caller;
  };

  void serveRequest(Channel &Caller);
  void respond(Channel &Caller, int Status, const std::string &Body,
               const std::string &ContentType, TimePoint Until);

  const std::string Path;
  const std::function<bool()> IsReady;
  const Metrics &Counters;
  ConnectionServer<Connection> Connections;
};

} // namespace waycove
