// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/ready_server.h"

#include "net/head.h"

#include <sstream>

namespace waycove {

ReadyServer::ReadyServer(
    std::string Path, std::function<bool()> IsReady, const Metrics &Counters,
    ConnectionResources Shared,
    const std::function<void(const std::string &)> &OnError)
    : Path(std::move(Path)), IsReady(std::move(IsReady)), Counters(Counters),
      Connections(
          Shared, MaxConnections,
          [this](const Poco::Net::StreamSocket &Socket) {
            return std::make_unique<Connection>(*this, Socket);
          },
          OnError) {}

bool ReadyServer::Connection::serve(TimePoint /*ReadableSince*/) {
  this->Owner.serveRequest(this->Caller);
  return false;
}

void ReadyServer::serveRequest(Channel &Caller) {
  TimePoint Until = BootClock::now() + RequestTimeout;
  std::string &Buffer = Caller.buffer();
  std::optional<std::size_t> Length;
  while (!(Length = headLength(Buffer)))
    if (Buffer.size() > MaxHeadBytes || Caller.fill(Until) != IoStatus::Ok)
      return;
  auto Head = parseRequestHead(std::string_view(Buffer).substr(0, *Length));
  if (!Head)
    return this->respond(Caller, Poco::Net::HTTPResponse::HTTP_BAD_REQUEST, "",
                         "", Until);
  if (Head->getURI() == this->Path)
    return this->respond(
        Caller,
        this->IsReady() ? Poco::Net::HTTPResponse::HTTP_OK
                        : Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
        "", "", Until);
  if (Head->getURI() == "/metrics")
    return this->respond(Caller, Poco::Net::HTTPResponse::HTTP_OK,
                         this->Counters.text(), "text/plain; version=0.0.4",
                         Until);
  this->respond(Caller, Poco::Net::HTTPResponse::HTTP_NOT_FOUND, "", "", Until);
}

void ReadyServer::respond(Channel &Caller, int Status, const std::string &Body,
                          const std::string &ContentType, TimePoint Until) {
  Poco::Net::HTTPResponse Head(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  Head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  Head.setContentLength64(static_cast<Poco::Int64>(Body.size()));
  if (!ContentType.empty())
    Head.setContentType(ContentType);
  Head.set("Connection", "close");
  std::ostringstream Out;
  Head.write(Out);
  // A caller that has left needs no answer.
  static_cast<void>(Caller.send(Out.str() + Body, Until));
}

} // namespace waycove
