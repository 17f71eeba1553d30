// waycove: serving models that span several VMs.
// Copyright 2026 the waycove authors. Licensed under the Apache License,
// Version 2.0; see LICENSE.

#include "entry/ready_server.h"

#include "net/framing.h"

#include <sstream>

namespace waycove {

void ReadyServer::start(const Endpoint &Address) {
  this->Listener.bind(Poco::Net::SocketAddress(Address.Host, Address.Port),
                      true, false);
  this->Listener.listen(Backlog);
  std::thread([this] { this->serveAll(); }).detach();
}

void ReadyServer::serveAll() {
  while (true) {
    try {
      this->serveOne(Channel(this->Listener.acceptConnection()));
    } catch (const Poco::Exception &) {
      // No descriptor is free, or the connection was reset at once. The load
      // balancer sees that no answer comes.
      std::this_thread::sleep_for(AcceptRetryDelay);
    }
  }
}

void ReadyServer::serveOne(Channel Caller) {
  TimePoint Until = BootClock::now() + ConnectionTimeout;
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
