// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/errors.h"
#include "base/growing_pool.h"
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
  using ErrorHandler = std::function<void(const std::string &Reason)>;

  /// \p Open makes the connection of a socket. \p OnError gets the reason if
  /// one is refused or ends with an exception.
  ConnectionServer(ConnectionResources Shared, std::size_t MaxConnections,
                   Opener Open, ErrorHandler OnError)
      : Poller(Shared.Poller), Threads(Shared.Threads),
        MaxConnections(MaxConnections), Open(std::move(Open)),
        OnError(std::move(OnError)) {}

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
    this->Poller.await(this->Listener, TimePoint::max(),
                       {.OnReadable = [this] { this->accept(); },
                        .OnExpired = {},
                        .Name = "accept"});
  }

  void accept() {
    try {
      for (int I = 0; I < MaxAccepted; ++I)
        this->open(this->Listener.acceptConnection());
      this->awaitConnection();
    } catch (const Poco::Exception &Error) {
      if (isOfConnection(Error.code()))
        return this->awaitConnection();
      this->OnError(Error.displayText());
      this->Poller.callLater(
          BootClock::now() + AcceptRetryDelay,
          [this] { this->awaitConnection(); }, "accept again");
    }
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
      return this->OnError("too many connections are open");
    try {
      this->rest(std::make_shared<Session>(Socket, this->Open(Socket),
                                           this->OpenCount));
    } catch (const Poco::Exception &Error) {
      // E.g. the peer has reset the connection.
      this->OnError(Error.displayText());
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
                 this->startServing(Resting);
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

  void startServing(const SessionRef &Ready) {
    TimePoint ReadableSince = BootClock::now();
    if (absl::Status Started = this->Threads.post([this, Ready, ReadableSince] {
          this->serve(Ready, ReadableSince);
        });
        !Started.ok())
      this->OnError(messageOf(Started));
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
      this->OnError(Error.what());
    }
  }

  SocketPoller &Poller;
  GrowingPool &Threads;
  const std::size_t MaxConnections;
  const Opener Open;
  const ErrorHandler OnError;
  Poco::Net::ServerSocket Listener;
  std::atomic<std::size_t> OpenCount{0};
  /// Guards Idle. Locked before the poller's own mutex.
  std::mutex Mutex;
  /// Sessions that wait for their next request.
  std::set<SessionRef> Idle;
};

} // namespace waycove
