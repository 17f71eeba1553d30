// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/ids.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace waycove {

/// Waits on one thread until sockets can be read, so that connections at rest
/// need no threads of their own. Runs until the process ends. Thread-safe.
class SocketPoller {
public:
  using Callback = std::function<void()>;
  struct Callbacks {
    /// The socket can be read, or the peer has closed it.
    Callback OnReadable;
    /// That was not the case for the whole time.
    Callback OnExpired;
  };

  void start();
  /// Calls one of \p On once, on the poller's thread, which must not be blocked
  /// there. Expired sockets are noticed within a second. Throws Poco::Exception
  /// if the socket cannot be polled.
  void await(const Poco::Net::Socket &Socket, TimePoint Until, Callbacks On);
  /// Calls \p Function within a second after \p Due.
  void callLater(TimePoint Due, Callback Function);
  /// Stops to wait for \p Socket, unless it can be read; returns whether it was
  /// waited for. Neither callback is called then.
  bool cancel(const Poco::Net::Socket &Socket);

private:
  static constexpr Millis SweepInterval{1000};

  struct Wait {
    TimePoint Until;
    Callbacks On;
  };
  struct DelayedCall {
    TimePoint Due;
    Callback Function;
  };

  void run();
  void onReadable(const Poco::Net::Socket &Socket);
  void sweep(TimePoint Now);
  std::vector<Callback> takeDue(TimePoint Now);

  std::mutex Mutex;
  Poco::Net::PollSet Sockets;
  std::map<Poco::Net::Socket, Wait> Waits;
  std::vector<DelayedCall> DelayedCalls;
};

} // namespace waycove
