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
#include <string_view>
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
    /// What the callbacks do, for the log.
    std::string_view Name;
  };
  /// Gets the name of a callback that held up the poller's thread, and for how
  /// long.
  using DelayHandler = std::function<void(std::string_view, Millis)>;
  /// Gets the name of a callback that threw an exception, and the reason.
  using FailureHandler =
      std::function<void(std::string_view Name, std::string_view Reason)>;

  /// \p OnDelay is called on the poller's thread after each callback that took
  /// longer than MaxCallbackTime, and \p OnFailure after one that threw an
  /// exception, which ends neither the thread nor the wait for other sockets.
  explicit SocketPoller(DelayHandler OnDelay = {},
                        FailureHandler OnFailure = {})
      : OnDelay(std::move(OnDelay)), OnFailure(std::move(OnFailure)) {}
  SocketPoller(const SocketPoller &) = delete;
  SocketPoller &operator=(const SocketPoller &) = delete;

  void start();
  /// Calls one of \p On once, on the poller's thread, which must not be blocked
  /// there. Expired sockets are noticed within a second. Throws Poco::Exception
  /// if the socket cannot be polled.
  void await(const Poco::Net::Socket &Socket, TimePoint Until, Callbacks On);
  /// Calls \p Function soon after \p Due if called on the poller's thread, and
  /// else within a second. \p Name is for the log.
  void callLater(TimePoint Due, Callback Function, std::string_view Name);
  /// Stops to wait for \p Socket, unless it can be read; returns whether it was
  /// waited for. Neither callback is called then.
  bool cancel(const Poco::Net::Socket &Socket);

  /// Meanwhile no connection is accepted and no request read.
  static constexpr Millis MaxCallbackTime{100};

private:
  static constexpr Millis SweepInterval{1000};
  /// Pause after sockets could not be polled, e.g. while memory is short.
  static constexpr Millis RetryDelay{20};

  struct Wait {
    TimePoint Until;
    Callbacks On;
  };
  struct NamedCall {
    Callback Function;
    std::string_view Name;
  };
  struct DelayedCall {
    TimePoint Due;
    NamedCall Call;
  };

  void run();
  /// Waits once, and calls what is due.
  void pollOnce();
  /// How long to wait for sockets at most: until the next delayed call is due.
  Millis pollTimeout(TimePoint Now);
  /// Calls OnFailure, which may throw in turn.
  void reportFailure(std::string_view Name, const char *Reason) noexcept;
  /// Calls a callback, and OnDelay if it took too long.
  void runCallback(const NamedCall &Call);
  void onReadable(const Poco::Net::Socket &Socket);
  void runDelayed(TimePoint Now);
  void sweep(TimePoint Now);
  std::vector<NamedCall> takeExpired(TimePoint Now);

  const DelayHandler OnDelay;
  const FailureHandler OnFailure;
  /// Used by the poller's thread alone.
  TimePoint SweepDue;
  std::mutex Mutex;
  Poco::Net::PollSet Sockets;
  std::map<Poco::Net::Socket, Wait> Waits;
  std::vector<DelayedCall> DelayedCalls;
};

} // namespace waycove
