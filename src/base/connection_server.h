// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"
#include "base/growing_pool.h"
#include "base/report_error.h"
#include "base/settings.h"
#include "base/socket_poller.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <concepts>
#include <functional>
#include <memory>
#include <new>
#include <set>
#include <string>

namespace waycove {

/// A connection of which a server serves one request after the other.
template <typename C>
concept ServedConnection = requires(C &Connection) {
  /// Reads and serves the next request, of which bytes could be read since
  /// the given time. Returns false if the connection ends.
  { Connection.serve(TimePoint()) } -> std::same_as<bool>;
  /// Whether bytes of the next request have already been read.
  { Connection.hasInput() } -> std::same_as<bool>;
  /// How long to wait for the next request.
  { Connection.idleTimeout() } -> std::same_as<Millis>;
};

/// What servers share.
struct ConnectionResources {
  SocketPoller &Poller;
  GrowingPool &Threads;
};

/// Accepts connections and serves their requests on threads of a bounded pool.
/// A connection without a request needs no thread: a SocketPoller waits for
/// all of them. POCO's own TCP server is not used, since it holds a thread for
/// each connection. Runs until the process ends. Thread-safe.
template <ServedConnection Connection> class ConnectionServer {
public:
  using Opener = std::function<std::unique_ptr<Connection>(
      const Poco::Net::StreamSocket &)>;
  struct ErrorHandlers {
    /// A connection was not accepted or has to wait for a thread.
    ErrorHandler OnRefused;
    /// Serving a request ended with an exception, and so did its connection.
    ErrorHandler OnBroken;
  };

  /// \p Open makes the connection of a socket. \p Errors get the reasons.
  ConnectionServer(ConnectionResources Shared, std::size_t MaxConnections,
                   Opener Open, ErrorHandlers Errors)
      : Poller(Shared.Poller), Threads(Shared.Threads),
        MaxConnections(MaxConnections), Open(std::move(Open)),
        Errors(std::move(Errors)) {}
  /// The same with one handler for all errors.
  ConnectionServer(ConnectionResources Shared, std::size_t MaxConnections,
                   Opener Open, const ErrorHandler &OnError)
      : ConnectionServer(Shared, MaxConnections, std::move(Open),
                         ErrorHandlers{OnError, OnError}) {}

  /// Starts listening. Throws Poco::Exception if the address is in use.
  void start(const Endpoint &Address) {
    this->Listener.bind(Poco::Net::SocketAddress(Address.Host, Address.Port),
                        true, false);
    this->Listener.listen(Backlog);
    // accept() would wait for another connection if the announced one is gone.
    this->Listener.setBlocking(false);
    this->awaitConnection();
  }

  /// Closes connections without a request in progress. Skips those with unread
  /// bytes.
  void closeIdle() {
    std::lock_guard Lock(this->Mutex);
    std::erase_if(this->Idle, [this](const SessionRef &Candidate) {
      return this->Poller.cancel(Candidate->Socket);
    });
  }

private:
  /// Connections waiting to be accepted; all nodes may start at once.
  static constexpr int Backlog = 1024;
  /// Connections that are accepted in a row before requests are served again.
  static constexpr int MaxAccepted = 64;
  /// Pause after a failed accept, e.g. while no descriptor is free.
  static constexpr Millis AcceptRetryDelay{50};
  /// A lasting shortage is told once in this time.
  static constexpr Millis RefusalTellInterval{1000};
  /// Pause before a request whose connection found no thread is tried again.
  static constexpr Millis ThreadRetryDelay{20};
  /// How long it may wait for one in all; an unread request has to be ended
  /// within half a second of its timeout, however short that is.
  static constexpr Millis MaxThreadWait{500};

  /// An open connection.
  struct Session {
    Session(const Poco::Net::StreamSocket &Socket,
            std::unique_ptr<Connection> Served, std::atomic<std::size_t> &Count)
        : Socket(Socket), Served(std::move(Served)), Count(Count) {
      ++this->Count;
    }
    ~Session() { --this->Count; }
    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    Poco::Net::StreamSocket Socket;
    std::unique_ptr<Connection> Served;
    std::atomic<std::size_t> &Count;
  };
  using SessionRef = std::shared_ptr<Session>;

  void awaitConnection() {
    try {
      this->Poller.await(this->Listener, TimePoint::max(),
                         {.OnReadable = [this] { this->accept(); },
                          .OnExpired = {},
                          .Name = "accept"});
    } catch (const std::exception &Error) {
      this->acceptLater(Error.what());
    }
  }

  void acceptLater(const char *Reason) {
    this->reportRefusal(Reason);
    this->Poller.callLater(
        BootClock::now() + AcceptRetryDelay,
        [this] { this->awaitConnection(); }, "accept again");
  }

  void accept() {
    try {
      for (int I = 0; I < MaxAccepted; ++I)
        this->open(this->Listener.acceptConnection());
    } catch (const Poco::Exception &Error) {
      if (!isOfConnection(Error.code()))
        return this->acceptLater(Error.displayText().c_str());
    } catch (const std::exception &Error) {
      return this->acceptLater(Error.what());
    }
    this->awaitConnection();
  }

  /// Called on the poller's thread alone.
  void reportRefusal(const char *Reason) noexcept {
    TimePoint Now = BootClock::now();
    if (Now - this->RefusalToldAt < RefusalTellInterval)
      return;
    this->RefusalToldAt = Now;
    reportError(this->Errors.OnRefused, Reason);
  }

  /// Whether an error of accept() only concerns the connection, which is gone;
  /// see accept(2).
  static bool isOfConnection(int Error) {
    constexpr std::array<int, 11> Gone{
        EAGAIN, ECONNABORTED, ENETDOWN,   EPROTO,      ENOPROTOOPT, EHOSTDOWN,
        ENONET, EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH, EINTR};
    return std::find(Gone.begin(), Gone.end(), Error) != Gone.end();
  }

  void open(const Poco::Net::StreamSocket &Socket) {
    if (this->OpenCount >= this->MaxConnections)
      return this->reportRefusal("too many connections are open");
    try {
      this->rest(std::make_shared<Session>(Socket, this->Open(Socket),
                                           this->OpenCount));
    } catch (const Poco::Exception &Error) {
      // E.g. the peer has reset the connection.
      this->reportRefusal(Error.displayText().c_str());
    } catch (const std::exception &Error) {
      this->reportRefusal(Error.what());
    }
  }

  /// Waits for the next request of a session.
  void rest(const SessionRef &Resting) {
    std::lock_guard Lock(this->Mutex);
    this->Poller.await(
        Resting->Socket, BootClock::now() + Resting->Served->idleTimeout(),
        {.OnReadable =
             [this, Resting] {
               if (this->endRest(Resting))
                 this->startServing(Resting, BootClock::now());
             },
         .OnExpired = [this, Resting] { this->endRest(Resting); },
         .Name = "start to serve"});
    this->Idle.insert(Resting);
  }

  /// Returns false if the session was closed meanwhile.
  bool endRest(const SessionRef &Resting) {
    std::lock_guard Lock(this->Mutex);
    return this->Idle.erase(Resting) > 0;
  }

  /// Serves the next request of a session on a thread. Where none is free, the
  /// request waits for one for a while, as its bytes cannot be refused unread.
  void startServing(const SessionRef &Ready, TimePoint ReadableSince) {
    absl::Status Started = this->post(Ready, ReadableSince);
    if (Started.ok())
      return;
    this->reportRefusal(messageOf(Started).c_str());
    TimePoint Now = BootClock::now();
    if (Now - ReadableSince < MaxThreadWait)
      this->Poller.callLater(
          Now + ThreadRetryDelay,
          [this, Ready, ReadableSince] {
            this->startServing(Ready, ReadableSince);
          },
          "start to serve");
  }

  absl::Status post(const SessionRef &Ready, TimePoint ReadableSince) {
    try {
      return this->Threads.post(
          [this, Ready, ReadableSince] { this->serve(Ready, ReadableSince); });
    } catch (const std::bad_alloc &) {
      return makeError(ErrorKind::NoCapacity, "no memory for a task");
    }
  }

  void serve(const SessionRef &Active, TimePoint ReadableSince) {
    try {
      do {
        if (!Active->Served->serve(ReadableSince))
          return;
        ReadableSince = BootClock::now();
      } while (Active->Served->hasInput());
      this->rest(Active);
    } catch (const std::exception &Error) {
      reportError(this->Errors.OnBroken, Error.what());
    }
  }

  SocketPoller &Poller;
  GrowingPool &Threads;
  const std::size_t MaxConnections;
  const Opener Open;
  const ErrorHandlers Errors;
  /// When a refusal was told last.
  TimePoint RefusalToldAt;
  Poco::Net::ServerSocket Listener;
  std::atomic<std::size_t> OpenCount{0};
  /// Guards Idle. Locked before the poller's own mutex.
  std::mutex Mutex;
  /// Sessions that wait for their next request.
  std::set<SessionRef> Idle;
};

} // namespace waycove
