// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

// Servers that accept connections: one that is silent, at rest or fails must
// not end or delay the others, nor hold a thread.
#include "base/connection_server.h"
#include "entry/ready_server.h"
#include "support/cluster.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <semaphore>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>

namespace waycove::test {

namespace {

/// A port that was free a moment ago.
std::uint16_t freePort() {
  Poco::Net::ServerSocket Socket(Poco::Net::SocketAddress("127.0.0.1", 0));
  return Socket.address().port();
}

/// Makes an object that lives until the process ends.
template <typename T, typename... Args> T &keep(Args &&...Arguments) {
  return *std::make_unique<T>(std::forward<Args>(Arguments)...).release();
}

Poco::Net::StreamSocket connectTo(std::uint16_t Port) {
  return Poco::Net::StreamSocket(Poco::Net::SocketAddress("127.0.0.1", Port));
}

/// Sends \p Byte and returns the response, or nothing if the connection ended.
std::optional<char> exchange(Poco::Net::StreamSocket &Socket, char Byte) {
  Socket.setReceiveTimeout(Poco::Timespan(5, 0));
  Socket.sendBytes(&Byte, 1);
  char Response = 0;
  if (Socket.receiveBytes(&Response, 1) != 1)
    return std::nullopt;
  return Response;
}

/// Waits until the peer closes \p Socket; false if it does not.
bool isClosed(Poco::Net::StreamSocket &Socket) {
  Socket.setReceiveTimeout(Poco::Timespan(5, 0));
  char Byte = 0;
  try {
    return Socket.receiveBytes(&Byte, 1) == 0;
  } catch (const Poco::Exception &) {
    return false;
  }
}

/// Waits until the peer closes or resets \p Socket; false if it does not.
bool isEnded(Poco::Net::StreamSocket &Socket) {
  Socket.setReceiveTimeout(Poco::Timespan(5, 0));
  char Byte = 0;
  try {
    return Socket.receiveBytes(&Byte, 1) == 0;
  } catch (const Poco::Net::ConnectionResetException &) {
    return true;
  }
}

/// Ends its thread slowly.
struct SlowThreadEnd {
  ~SlowThreadEnd() { std::this_thread::sleep_for(Millis(300)); }
  bool IsUsed = false;
};

/// Echoes bytes. Of special ones: 'e' ends the connection, 't' throws, 's' and
/// 'x' are served slowly and 'l' takes longest, and 'x' lets its thread end
/// slowly.
struct EchoConnection {
  EchoConnection(const Poco::Net::StreamSocket &Socket, Millis IdleTime)
      : Socket(Socket), IdleTime(IdleTime) {}
  bool serve(TimePoint /*ReadableSince*/) {
    char Byte = 0;
    if (this->Socket.receiveBytes(&Byte, 1) != 1 || Byte == 'e')
      return false;
    if (Byte == 't')
      throw Poco::IOException("broken");
    if (Byte == 'x') {
      static thread_local SlowThreadEnd End;
      End.IsUsed = true;
    }
    if (Byte == 's' || Byte == 'x')
      std::this_thread::sleep_for(Millis(400));
    if (Byte == 'l')
      std::this_thread::sleep_for(Millis(1500));
    this->Socket.sendBytes(&Byte, 1);
    return true;
  }
  bool hasInput() const { return false; }
  Millis idleTimeout() const { return this->IdleTime; }

  Poco::Net::StreamSocket Socket;
  Millis IdleTime;
};

/// An echo server with its own poller and threads.
struct EchoServer {
  static constexpr Millis ThreadIdleTime{1000};

  explicit EchoServer(std::size_t MaxConnections = 1000,
                      Millis IdleTime = Millis(60000),
                      std::size_t MaxThreads = 4)
      : Threads({MaxThreads, ThreadIdleTime, 256 << 10}),
        Server(
            {this->Poller, this->Threads}, MaxConnections,
            [this, IdleTime](const Poco::Net::StreamSocket &Socket) {
              ++this->Opened;
              return std::make_unique<EchoConnection>(Socket, IdleTime);
            },
            [this](const std::string &) { ++this->Failed; }) {
    this->Server.start({"127.0.0.1", this->Port});
    this->Poller.start();
  }

  const std::uint16_t Port = freePort();
  std::atomic<int> Opened{0};
  std::atomic<int> Failed{0};
  SocketPoller Poller;
  GrowingPool Threads;
  ConnectionServer<EchoConnection> Server;
};

/// Three echo servers that share a poller, whose thread stops after each
/// connection that it has accepted until the test lets it go on.
struct SteppedServers {
  struct Stepped {
    Stepped(SteppedServers &Owner, ConnectionResources Shared)
        : Server(
              Shared, 100,
              [this, &Owner](const Poco::Net::StreamSocket &Socket) {
                Owner.stop(*this);
                return std::make_unique<EchoConnection>(Socket, Millis(60000));
              },
              [this](const std::string &) { ++this->Failed; }) {
      this->Server.start({"127.0.0.1", this->Port});
    }

    const std::uint16_t Port = freePort();
    std::atomic<int> Failed{0};
    ConnectionServer<EchoConnection> Server;
  };

  SteppedServers() { this->Poller.start(); }
  void stop(Stepped &At) {
    this->StoppedAt = &At;
    this->Steps.acquire();
  }
  /// Lets the poller's thread go on to the next connection that it accepts.
  Stepped &step() {
    this->StoppedAt = nullptr;
    this->Steps.release();
    REQUIRE(eventually([&] { return this->StoppedAt.load() != nullptr; }));
    return *this->StoppedAt;
  }
  void run() { this->Steps.release(1000); }

  std::atomic<Stepped *> StoppedAt{nullptr};
  std::counting_semaphore<> Steps{0};
  SocketPoller Poller;
  GrowingPool Threads{{4, Millis(60000), 256 << 10}};
  Stepped First{*this, {Poller, Threads}};
  Stepped Second{*this, {Poller, Threads}};
  Stepped Third{*this, {Poller, Threads}};
};

/// The socket of this process that listens on \p Port.
int listenerOf(std::uint16_t Port) {
  constexpr int MaxDescriptor = 4096;
  for (int Socket = 0; Socket < MaxDescriptor; ++Socket) {
    int Listens = 0;
    socklen_t Size = sizeof(Listens);
    sockaddr_in Address{};
    socklen_t AddressSize = sizeof(Address);
    if (getsockopt(Socket, SOL_SOCKET, SO_ACCEPTCONN, &Listens, &Size) == 0 &&
        Listens != 0 &&
        getsockname(Socket, reinterpret_cast<sockaddr *>(&Address),
                    &AddressSize) == 0 &&
        ntohs(Address.sin_port) == Port)
      return Socket;
  }
  return -1;
}

} // namespace

// Guards against a connection whose exception ends the process.
TEST_CASE(
    "connection server: a handler throws: the reason is told and the next "
    "connection served",
    "[unit]") {
  auto &Echo = keep<EchoServer>();
  Poco::Net::StreamSocket Broken = connectTo(Echo.Port);
  CHECK(!exchange(Broken, 't'));
  Poco::Net::StreamSocket Next = connectTo(Echo.Port);
  CHECK(exchange(Next, 'a') == 'a');
  CHECK(Echo.Failed == 1);
}

// Guards against a thread for each open connection.
TEST_CASE(
    "connection server: 200 connections rest: they hold no threads and each "
    "is served again",
    "[unit]") {
  auto &Echo = keep<EchoServer>();
  constexpr int Count = 200;
  std::vector<Poco::Net::StreamSocket> Open;
  Open.reserve(Count);
  for (int I = 0; I < Count; ++I)
    Open.push_back(connectTo(Echo.Port));
  for (int Round = 0; Round < 2; ++Round)
    for (Poco::Net::StreamSocket &Socket : Open)
      REQUIRE(exchange(Socket, 'a') == 'a');
  CHECK(eventually([&] { return Echo.Threads.busy() == 0; }));
  CHECK(Echo.Threads.size() <= 4);
  CHECK(Echo.Failed == 0);
}

// Guards against a slow request that delays other connections.
TEST_CASE("connection server: one request is slow: others are served meanwhile",
          "[unit]") {
  auto &Echo = keep<EchoServer>();
  Poco::Net::StreamSocket Slow = connectTo(Echo.Port);
  Poco::Net::StreamSocket Quick = connectTo(Echo.Port);
  char Byte = 's';
  Slow.sendBytes(&Byte, 1);
  TimePoint Start = BootClock::now();
  CHECK(exchange(Quick, 'a') == 'a');
  CHECK(BootClock::now() - Start < Millis(300));
  CHECK(Slow.receiveBytes(&Byte, 1) == 1);
}

// Guards against connections that are kept for good by silent peers.
TEST_CASE("connection server: a connection is silent: it is closed after its "
          "idle time",
          "[unit]") {
  auto &Echo = keep<EchoServer>(10, Millis(300));
  Poco::Net::StreamSocket Silent = connectTo(Echo.Port);
  TimePoint Start = BootClock::now();
  CHECK(isClosed(Silent));
  CHECK(BootClock::now() - Start >= Millis(300));
}

// Guards against a planned stop that cuts requests, or leaves callers on the
// connections of a node that ends.
TEST_CASE("connection server: idle connections are closed: one with a request "
          "in progress gets its response",
          "[unit]") {
  auto &Echo = keep<EchoServer>();
  Poco::Net::StreamSocket Idle = connectTo(Echo.Port);
  Poco::Net::StreamSocket Busy = connectTo(Echo.Port);
  REQUIRE(exchange(Idle, 'a') == 'a');
  REQUIRE(exchange(Busy, 'a') == 'a');
  char Byte = 's';
  Busy.sendBytes(&Byte, 1);
  REQUIRE(eventually([&] { return Echo.Threads.busy() == 1; }));
  Echo.Server.closeIdle();
  CHECK(isClosed(Idle));
  CHECK(Busy.receiveBytes(&Byte, 1) == 1);
}

// Guards against a request that is lost since, for a moment, no thread is free
// or can be started.
TEST_CASE("connection server: no thread is free for a moment: a request waits "
          "for one",
          "[unit]") {
  auto &Echo = keep<EchoServer>(1000, Millis(60000), 1);
  Poco::Net::StreamSocket Slow = connectTo(Echo.Port);
  Poco::Net::StreamSocket Waiting = connectTo(Echo.Port);
  char Byte = 's';
  Slow.sendBytes(&Byte, 1);
  REQUIRE(eventually([&] { return Echo.Threads.busy() == 1; }));
  CHECK(exchange(Waiting, 'a') == 'a');
  CHECK(Slow.receiveBytes(&Byte, 1) == 1);
  CHECK(Echo.Failed == 1);
}

// Guards against a request that waits for a thread beyond its timeout.
TEST_CASE("connection server: no thread is free: a request is given up within "
          "half a second, and told once",
          "[unit]") {
  auto &Echo = keep<EchoServer>(1000, Millis(60000), 1);
  Poco::Net::StreamSocket Slow = connectTo(Echo.Port);
  Poco::Net::StreamSocket Waiting = connectTo(Echo.Port);
  char Byte = 'l';
  Slow.sendBytes(&Byte, 1);
  REQUIRE(eventually([&] { return Echo.Threads.busy() == 1; }));
  TimePoint Begin = BootClock::now();
  Waiting.sendBytes(&Byte, 1);
  CHECK(isEnded(Waiting));
  CHECK(BootClock::now() - Begin < Millis(800));
  CHECK(Slow.receiveBytes(&Byte, 1) == 1);
  CHECK(Echo.Failed == 1);
}

// Guards against connections without bound, which use up the descriptors.
TEST_CASE("connection server: more connections than allowed: the rest is "
          "refused until one ends",
          "[unit]") {
  auto &Echo = keep<EchoServer>(1);
  Poco::Net::StreamSocket First = connectTo(Echo.Port);
  REQUIRE(exchange(First, 'a') == 'a');
  Poco::Net::StreamSocket Refused = connectTo(Echo.Port);
  CHECK(isClosed(Refused));
  CHECK(Echo.Failed == 1);
  CHECK(!exchange(First, 'e'));
  REQUIRE(eventually([&] {
    Poco::Net::StreamSocket Next = connectTo(Echo.Port);
    try {
      return exchange(Next, 'b') == 'b';
    } catch (const Poco::Exception &) {
      return false;
    }
  }));
}

// Guards against a thread that waits for the next connection in accept(), since
// the announced one is gone, while requests on all others stay unread.
TEST_CASE("connection server: a connection is gone when it is to be accepted: "
          "requests on others are read",
          "[unit]") {
  auto &Servers = keep<SteppedServers>();
  Poco::Net::StreamSocket Kept = connectTo(Servers.First.Port);
  REQUIRE(eventually([&] { return Servers.StoppedAt == &Servers.First; }));
  // Both are announced at once, and one is gone before its turn comes.
  Poco::Net::StreamSocket Second = connectTo(Servers.Second.Port);
  Poco::Net::StreamSocket Third = connectTo(Servers.Third.Port);
  bool IsThirdNext = &Servers.step() == &Servers.Second;
  auto &Next = IsThirdNext ? Servers.Third : Servers.Second;
  int Gone = accept(listenerOf(Next.Port), nullptr, nullptr);
  REQUIRE(Gone >= 0);
  Servers.run();
  CHECK(exchange(Kept, 'a') == 'a');
  CHECK(exchange(IsThirdNext ? Second : Third, 'b') == 'b');
  // Ends the wait of a thread that is in accept().
  Poco::Net::StreamSocket Last = connectTo(Next.Port);
  CHECK(exchange(Last, 'c') == 'c');
}

// Guards against a pause after a failed accept() in which new connections and
// their requests wait for longer than a request may be held after its timeout.
TEST_CASE("connection server: no descriptor is free for a moment: a waiting "
          "connection is accepted soon after",
          "[unit]") {
  auto &Servers = keep<SteppedServers>();
  Poco::Net::StreamSocket Kept = connectTo(Servers.First.Port);
  REQUIRE(eventually([&] { return Servers.StoppedAt == &Servers.First; }));
  Poco::Net::StreamSocket Waiting = connectTo(Servers.Second.Port);
  rlimit Usual{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &Usual) == 0);
  const rlimit None{0, Usual.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &None) == 0);
  Servers.run();
  bool HasFailed = eventually([&] { return Servers.Second.Failed > 0; });
  REQUIRE(setrlimit(RLIMIT_NOFILE, &Usual) == 0);
  CHECK(HasFailed);
  TimePoint Start = BootClock::now();
  CHECK(exchange(Waiting, 'a') == 'a');
  CHECK(BootClock::now() - Start < Millis(400));
  CHECK(exchange(Kept, 'b') == 'b');
}

// Guards against a thread that notices no requests while it waits for the ends
// of threads that are no longer needed.
TEST_CASE("connection server: threads end slowly after a burst: requests are "
          "read meanwhile",
          "[unit]") {
  constexpr int Count = 20;
  auto &Echo = keep<EchoServer>(1000, Millis(60000), Count);
  std::vector<Poco::Net::StreamSocket> Open;
  Open.reserve(Count);
  for (int I = 0; I < Count; ++I)
    Open.push_back(connectTo(Echo.Port));
  char Byte = 'x';
  for (Poco::Net::StreamSocket &Socket : Open)
    Socket.sendBytes(&Byte, 1);
  for (Poco::Net::StreamSocket &Socket : Open)
    REQUIRE(Socket.receiveBytes(&Byte, 1) == 1);
  std::this_thread::sleep_for(2 * EchoServer::ThreadIdleTime);
  Millis Longest(0);
  for (int I = 0; I < 3 * Count; ++I) {
    TimePoint Start = BootClock::now();
    REQUIRE(exchange(Open[0], 'a') == 'a');
    Longest = std::max(
        Longest, std::chrono::duration_cast<Millis>(BootClock::now() - Start));
  }
  CHECK(Longest < Millis(250));
}

// Guards against a load balancer that takes the node for dead because something
// else is connected and says nothing.
TEST_CASE("ready server: a silent connection is open: checks are answered soon",
          "[unit]") {
  static Metrics Counters;
  static std::atomic<bool> IsReady{true};
  auto &Poller = keep<SocketPoller>();
  auto &Threads =
      keep<GrowingPool>(GrowingPool::Limits{4, Millis(60000), 256 << 10});
  auto &Server = keep<ReadyServer>(
      "/ready", [] { return IsReady.load(); }, Counters,
      ConnectionResources{Poller, Threads}, [](const std::string &) {});
  std::uint16_t Port = freePort();
  Server.start({"127.0.0.1", Port});
  Poller.start();
  Poco::Net::StreamSocket Silent = connectTo(Port);
  CHECK(http(Port, {.Path = "/ready"}).Status == 200);
  IsReady = false;
  CHECK(http(Port, {.Path = "/ready"}).Status == 503);
  CHECK(http(Port, {.Path = "/metrics"}).Status == 200);
  CHECK(http(Port, {.Path = "/other"}).Status == 404);
}

} // namespace waycove::test
