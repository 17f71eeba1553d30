// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "entry/relay.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>
#include <memory>
#include <mutex>
#include <set>

namespace waycove {

/// Takes callers' connections, each served by one thread of a pool, and reads
/// their requests one after the other. POCO's own server is not used here: it
/// hides whether a body was read to its end and when a caller leaves.
template <CallerProtocol Protocol> class CallerServer {
public:
  CallerServer(EntryBoard &Board, Relay<Protocol> &RequestRelay)
      : Board(Board), RequestRelay(RequestRelay),
        Threads("callers", 1, static_cast<int>(Board.Config.MaxStreams),
                IdleThreadSeconds, StackBytes) {}

  /// Begins to listen. Throws Poco::Exception where the address is taken.
  void start() {
    const Endpoint &At = this->Board.Config.Http;
    this->Listener.bind(Poco::Net::SocketAddress(At.Host, At.Port), true,
                        false);
    this->Listener.listen(Backlog);
    this->Acceptor = std::jthread(
        [this](const std::stop_token &Stop) { this->acceptAll(Stop); });
  }

  /// Closes connections on which no request is under way, so that callers open
  /// their next one elsewhere. One that has something to read is left alone.
  void closeIdle() {
    std::lock_guard Lock(this->IdleMutex);
    for (Channel *Row : this->Idle)
      if (!Row->isReadable())
        Row->shutdown();
  }

private:
  /// A thread that has no connection ends after this.
  static constexpr int IdleThreadSeconds = 5;
  /// Small, since each open connection holds a thread.
  static constexpr int StackBytes = 256 << 10;
  /// Connections that wait to be taken.
  static constexpr int Backlog = 1024;
  /// After a failed accept, so that a lasting failure does not spin.
  static constexpr Millis AcceptWait{500};
  /// For writing the refusal of what cannot be read.
  static constexpr Millis AnswerTime{1000};

  /// One connection on its thread; deletes itself when done.
  class Connection : public Poco::Runnable {
  public:
    Connection(CallerServer &Owner, const Poco::Net::StreamSocket &Socket)
        : Owner(Owner), Socket(Socket) {}
    void run() override {
      std::unique_ptr<Connection> Self(this);
      try {
        this->Owner.serveAll(Channel(this->Socket));
      } catch (const std::exception &Error) {
        this->Owner.Board.Log.emit(EventCode::RequestCut, "connection",
                                   LogFields().add("reason", Error.what()));
      }
    }

  private:
    CallerServer &Owner;
    Poco::Net::StreamSocket Socket;
  };

  void acceptAll(const std::stop_token &Stop) {
    while (!Stop.stop_requested()) {
      try {
        this->acceptOne(this->Listener.acceptConnection());
      } catch (const Poco::Exception &Error) {
        this->Board.Log.emit(EventCode::RequestCut, "accept",
                             LogFields().add("reason", Error.displayText()));
        std::this_thread::sleep_for(AcceptWait);
      }
    }
  }

  void acceptOne(const Poco::Net::StreamSocket &Socket) {
    auto Row = std::make_unique<Connection>(*this, Socket);
    try {
      this->Threads.start(*Row);
      // The connection deletes itself at the end of its run.
      static_cast<void>(Row.release());
    } catch (const Poco::NoThreadAvailableException &) {
      this->Board.Log.emit(EventCode::RequestCut, "accept",
                           LogFields().add("reason", "all threads are taken"));
    }
  }

  void serveAll(Channel Caller) {
    while (this->serveOne(Caller))
      ;
  }

  CallerLimits limits() const {
    RoutingConfigRef Config = this->Board.Routing.read(
        [](const RoutingConfigRef &Row) { return Row; });
    return Config ? Config->Limits : CallerLimits();
  }

  /// Reads and serves one request; false where the connection ends.
  bool serveOne(Channel &Caller) {
    CallerLimits Limits = this->limits();
    if (Caller.buffer().empty() &&
        !this->waitForRequest(Caller, Limits.IdleTimeout))
      return false;
    RelayRequest Request;
    Request.ArrivedAt = SystemClock{}.now();
    TimePoint Until = Request.ArrivedAt + Limits.HeaderTimeout;
    if (!this->readHead(Caller, Limits, Until, Request.Head))
      return false;
    auto Body = requestBody(Request.Head);
    if (!Body)
      return this->refuse(Caller, 400, "the body's end is ambiguous");
    Request.Info = Protocol::readRequestInfo(Request.Head);
    Request.Random = mixHash(hashText(Request.Info.Id.Text), Seed);
    if (Request.Head.getExpectContinue() &&
        Caller.send("HTTP/1.1 100 Continue\r\n\r\n", Until) != IoStatus::Ok)
      return false;
    if (!this->readBody(Caller, *Body, Limits, Request.Body))
      return false;
    return this->RequestRelay.serve(Caller, std::move(Request));
  }

  /// Takes a request's head off the connection; false where none comes by
  /// \p Until, or it was refused.
  bool readHead(Channel &Caller, const CallerLimits &Limits, TimePoint Until,
                Poco::Net::HTTPRequest &Into) {
    std::string &Buffer = Caller.buffer();
    std::optional<std::size_t> Length;
    while (!(Length = headLength(Buffer))) {
      if (Buffer.size() > Limits.HeaderBytes)
        return this->refuse(Caller, 431, "the head is too large");
      if (Caller.fill(Until) != IoStatus::Ok)
        return false;
    }
    if (*Length > Limits.HeaderBytes)
      return this->refuse(Caller, 431, "the head is too large");
    auto Head = parseRequestHead(std::string_view(Buffer).substr(0, *Length));
    if (!Head || !Head->has("Host"))
      return this->refuse(Caller, 400, "the head is malformed");
    Buffer.erase(0, *Length);
    Into = *Head;
    return true;
  }

  /// Waits for the next request's first bytes; false where none come.
  bool waitForRequest(Channel &Caller, Millis IdleTimeout) {
    {
      std::lock_guard Lock(this->IdleMutex);
      this->Idle.insert(&Caller);
    }
    TimePoint Until = SystemClock{}.now() + IdleTimeout;
    IoStatus End = Caller.waitReadable(Until);
    {
      std::lock_guard Lock(this->IdleMutex);
      this->Idle.erase(&Caller);
    }
    return End == IoStatus::Ok && Caller.fill(Until) == IoStatus::Ok;
  }

  bool readBody(Channel &Caller, BodyDecoder &Body, const CallerLimits &Limits,
                std::string &Into) {
    while (true) {
      Body.feed(Caller.buffer(), Into);
      if (Into.size() > Limits.BodyBytes)
        return this->refuse(Caller, 413, "the body is too large");
      if (Body.isMalformed())
        return this->refuse(Caller, 400, "the body's chunks are malformed");
      if (Body.isDone())
        return true;
      if (Caller.fill(SystemClock{}.now() + Limits.IdleTimeout) != IoStatus::Ok)
        return false;
    }
  }

  /// Answers what cannot be read as a request; the connection ends, since
  /// nobody knows where the next request would begin. Always false.
  bool refuse(Channel &Caller, int Status, const std::string &Reason) {
    Poco::Net::HTTPResponse Out(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
    CallerResponse Response(Caller, false, true);
    Response.sendWhole(Out, Reason + "\n", SystemClock{}.now() + AnswerTime);
    this->Board.Log.emit(
        EventCode::RequestRefused, "unread",
        LogFields().add("status", Status).add("reason", Reason));
    return false;
  }

  EntryBoard &Board;
  Relay<Protocol> &RequestRelay;
  Poco::ThreadPool Threads;
  Poco::Net::ServerSocket Listener;
  /// Connections between two requests.
  std::mutex IdleMutex;
  std::set<Channel *> Idle;
  const std::uint64_t Seed = hashText(randomId());
  std::jthread Acceptor;
};

} // namespace waycove
