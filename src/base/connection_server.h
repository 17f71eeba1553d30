// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/settings.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/ThreadPool.h>
#include <functional>
#include <string>
#include <thread>

namespace waycove {

/// Accepts connections and serves each on a thread of a bounded pool. POCO's
/// own TCP server is not used: it wakes up four times a second to check whether
/// it was stopped. Runs until the process ends.
class ConnectionServer {
public:
  using Handler = std::function<void(const Poco::Net::StreamSocket &)>;
  using ErrorHandler = std::function<void(const std::string &Reason)>;

  /// \p Serve handles a connection until it ends. \p OnError gets the reason if
  /// a connection is refused or ends with an exception.
  ConnectionServer(const std::string &Name, int MaxConnections, Handler Serve,
                   ErrorHandler OnError);

  /// Starts listening. Throws Poco::Exception if the address is in use.
  void start(const Endpoint &Address);

private:
  /// Connections waiting to be accepted; all nodes may start at once.
  static constexpr int Backlog = 1024;
  /// After this time a thread without a connection ends.
  static constexpr int IdleThreadSeconds = 5;
  /// Small, since each open connection holds a thread.
  static constexpr int StackBytes = 256 << 10;
  /// Pause after a failed accept.
  static constexpr Millis AcceptRetryDelay{500};

  class Connection;
  void acceptAll();
  void acceptOne(const Poco::Net::StreamSocket &Socket);

  const Handler Serve;
  const ErrorHandler OnError;
  Poco::ThreadPool Threads;
  Poco::Net::ServerSocket Listener;
};

} // namespace waycove
