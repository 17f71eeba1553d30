// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#pragma once

#include "base/connection_server.h"
#include "entry/relay.h"
#include "net/head.h"

#include <Poco/String.h>
#include <algorithm>

namespace waycove {

/// Reads requests of callers' connections and has them served.
template <CallerProtocol Protocol> class CallerServer {
public:
  CallerServer(EntryBoard &Board, Relay<Protocol> &RequestRelay,
               BufferBudget &Buffers, ConnectionResources Shared)
      : Board(Board), RequestRelay(RequestRelay), Buffers(Buffers),
        Connections(
            Shared, Board.Config.MaxStreams,
            [this](const Poco::Net::StreamSocket &Socket) {
              return std::make_unique<Connection>(*this, Socket);
            },
            {.OnRefused =
                 [this](const std::string &Reason) {
                   this->Board.Log.emit(EventCode::ConnectionRefused, "callers",
                                        LogFields().add("reason", Reason));
                 },
             .OnBroken =
                 [this](const std::string &Reason) {
                   this->Board.Log.emit(EventCode::RequestCut, "connection",
                                        LogFields().add("reason", Reason));
                 }}) {}

  /// Starts listening. Throws Poco::Exception if the address is in use.
  void start() { this->Connections.start(this->Board.Config.Http); }

  /// Closes connections without a request in progress, so that callers open
  /// their next one at another node. Skips those with unread bytes.
  void closeIdle() { this->Connections.closeIdle(); }

private:
  /// Timeout for writing an error response to an unreadable request.
  static constexpr Millis ErrorWriteTimeout{1000};

  /// A caller's connection; see ServedConnection.
  class Connection {
  public:
    Connection(CallerServer &Owner, const Poco::Net::StreamSocket &Socket)
        : Owner(Owner), Caller(Socket) {}
    bool serve(TimePoint ReadableSince) {
      return this->Owner.serveOne(this->Caller, ReadableSince);
    }
    bool hasInput() { return !this->Caller.buffer().empty(); }
    Millis idleTimeout() const { return this->Owner.limits().IdleTimeout; }

  private:
    CallerServer &Owner;
    Channel Caller;
  };

  CallerLimits limits() const {
    RoutingConfigRef Config = this->Board.Routing.read(
        [](const RoutingConfigRef &Config) { return Config; });
    return Config ? Config->Limits : CallerLimits();
  }

  /// Reads and serves one request, of which bytes could be read since \p
  /// ReadableSince. Returns false if the connection ends.
  bool serveOne(Channel &Caller, TimePoint ReadableSince) {
    CallerLimits Limits = this->limits();
    RelayRequest Request;
    Request.ReadAt = SystemClock{}.now();
    // What follows on another request has waited for that one, as its caller
    // expects.
    bool IsFirst = Caller.buffer().empty();
    Request.ArrivedAt =
        IsFirst ? std::min(ReadableSince,
                           Request.ReadAt - std::min(Caller.sinceReceived(),
                                                     Limits.IdleTimeout))
                : Request.ReadAt;
    TimePoint Until = Request.ReadAt + Limits.HeaderTimeout;
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
    Request.Body.Share = {this->Buffers, BufferBudget::Use::Request};
    if (!this->readBody(Caller, *Body, Limits, Request))
      return false;
    return this->RequestRelay.serve(Caller, std::move(Request));
  }

  /// Reads a request's head. Returns false if none arrives by \p Until or if it
  /// was refused.
  bool readHead(Channel &Caller, const CallerLimits &Limits, TimePoint Until,
                Poco::Net::HTTPRequest &Out) {
    std::string &Buffer = Caller.buffer();
    std::optional<std::size_t> Length;
    while (!(Length = headLength(Buffer))) {
      if (Buffer.size() > Limits.HeaderBytes)
        return this->refuse(Caller, 431, "the head is too large");
      if (!mayBecomeHead(Buffer))
        return this->refuse(Caller, 400, "the head is malformed");
      if (Caller.fill(Until) != IoStatus::Ok)
        return false;
    }
    if (*Length > Limits.HeaderBytes)
      return this->refuse(Caller, 431, "the head is too large");
    auto Head = parseRequestHead(std::string_view(Buffer).substr(0, *Length));
    if (!Head || !hasOneHost(*Head))
      return this->refuse(Caller, 400, "the head is malformed");
    Buffer.erase(0, *Length);
    Out = *Head;
    return true;
  }

  /// Other readers may take another one of several (RFC 9112, 3.2).
  static bool hasOneHost(const Poco::Net::HTTPRequest &Head) {
    auto IsHost = [](const auto &Field) {
      return Poco::icompare(Field.first, std::string("Host")) == 0;
    };
    return std::count_if(Head.begin(), Head.end(), IsHost) == 1;
  }

  bool readBody(Channel &Caller, BodyDecoder &Body, const CallerLimits &Limits,
                RelayRequest &Request) {
    std::string &Payload = Request.Body.Bytes;
    std::size_t DroppedBytes = 0;
    std::optional<TimePoint> Deadline;
    while (true) {
      Body.feed(Caller.buffer(), Payload);
      if (DroppedBytes + Payload.size() > Limits.BodyBytes)
        return this->refuse(Caller, 413, "the body is too large");
      // A body without room is read to its end, so that its caller can read the
      // refusal.
      Request.HasNoRoom |= !Request.Body.Share.growTo(Payload.size());
      if (Request.HasNoRoom) {
        DroppedBytes += Payload.size();
        Payload.clear();
      }
      if (Body.isMalformed())
        return this->refuse(Caller, 400, "the body's chunks are malformed");
      if (Body.isDone())
        return true;
      if (!Deadline)
        Deadline = bodyDeadline(this->Board, Request);
      TimePoint Now = SystemClock{}.now();
      if (Now >= *Deadline)
        return this->refuse(Caller, 408, "the body did not arrive in time");
      IoStatus Read =
          Caller.fill(std::min(Now + Limits.IdleTimeout, *Deadline));
      if (Read != IoStatus::Ok && Read != IoStatus::Timeout)
        return false;
      if (Read == IoStatus::Timeout && SystemClock{}.now() < *Deadline)
        return false;
    }
  }

  /// Responds to bytes that are no valid request. The connection has to end,
  /// since it is unknown where the next request starts. Always returns false.
  bool refuse(Channel &Caller, int Status, const std::string &Reason) {
    Poco::Net::HTTPResponse Out(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
    CallerResponse Response(Caller, false, true);
    Response.sendWhole(Out, Reason + "\n",
                       SystemClock{}.now() + ErrorWriteTimeout);
    this->Board.Log.emit(
        EventCode::RequestRefused, "unread",
        LogFields().add("status", Status).add("reason", Reason));
    return false;
  }

  EntryBoard &Board;
  Relay<Protocol> &RequestRelay;
  BufferBudget &Buffers;
  const std::uint64_t Seed = hashText(randomId());
  ConnectionServer<Connection> Connections;
};

} // namespace waycove
